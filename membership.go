package gannethook

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Membership: the list of servers, and settings that take the place of others.

// reconfigure takes settings for what comes from now on; requests under way keep those that they came under.
// What was learned by the old numbers of classes and tenants goes. Where kinds change no server is known
// until the list is told again, since roles may change.
func (r *Router) reconfigure(set Settings) {
	if set.AskDiscovery && !r.set.AskDiscovery {
		r.do(Subscribe{})
	}
	same := slices.Equal(r.set.Kinds, set.Kinds)
	r.set, r.tenants = &set, make([]fading, len(set.Tenants))
	r.turned = make([]fading, len(set.Classes)*(len(set.Tenants)+1)+1)
	for _, s := range r.list {
		clear(s.full)
		if !same {
			s.State = Gone
		}
	}
	if !same {
		clear(r.servers)
		r.list = nil
		r.relist()
	}
}

// membership takes news of the list.
func (r *Router) membership(ev Membership) {
	if ev.Failed {
		if r.set.AskDiscovery {
			r.do(Wake{In: askEvery, Ref: refAsk})
		}
		return
	}
	if ev.Whole {
		for _, s := range r.list {
			s.State = Gone // unless it is listed
		}
	}
	r.learnClock(ev.Servers)
	for _, e := range ev.Servers {
		r.update(e)
	}
	r.lists++
	if ev.Whole || len(ev.Servers) > 0 {
		r.relist()
	}
}

// relist brings the lists of servers into line with their states.
func (r *Router) relist() {
	r.list = slices.DeleteFunc(r.list, func(s *server) bool {
		if s.State == Gone && r.servers[s.ID] == s {
			delete(r.servers, s.ID)
		}
		return s.State == Gone
	})
	byID := func(a, b *server) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(r.list, byID) {
		slices.SortFunc(r.list, byID)
	}
	for role := range r.without {
		r.without[role] = r.without[role][:0]
	}
	var ready [Mixed + 1]float64
	for _, s := range r.list {
		if s.State == Ready {
			ready[s.role]++
		}
		for role := range r.without {
			if Role(role) != s.role {
				r.without[role] = append(r.without[role], s)
			}
		}
	}
	for role := range r.most {
		r.most[role] = math.Max(r.most[role], ready[role])
	}
}

// update takes one entry; a server that started again is a new one, of which nothing is known.
func (r *Router) update(e Server) {
	if e.Kind < 0 || e.Kind >= len(r.set.Kinds) {
		return
	}
	s := r.servers[e.ID]
	if s != nil && s.Since == e.Since {
		s.Server = e
		return
	}
	if s != nil {
		s.State = Gone
	}
	kind, hash := r.set.Kinds[e.Kind], fnv.New64a()
	hash.Write([]byte(e.ID))
	s = &server{Server: e, hash: hash.Sum64(), role: kind.Role, size: kind.Memory, credAt: r.now}
	s.began = r.startOf(e)
	r.rememberStart(s)
	s.full = map[int]fading{}
	// Guards rule 4 for the sum over all routers: each starts somewhere between two sends of its own, so that
	// together they keep the pace at once. A whole send each would be a flood.
	s.credit = unit(r.seed, s.hash)
	r.servers[e.ID] = s
	r.list = append(r.list, s)
}
