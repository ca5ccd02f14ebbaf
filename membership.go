package gannethook

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// Membership: the list of servers, and the replacement of the settings.

// reconfigure replaces the settings for what comes from now on; requests under way keep those that they came
// under. What was learned by the old numbers of classes and tenants is dropped. If the kinds change, no
// server is known until the whole list is received again, since roles may have changed.
func (r *Router) reconfigure(set Settings) {
	if set.AskDiscovery && !r.settings.AskDiscovery {
		r.emit(Subscribe{})
	}
	sameKinds := slices.Equal(r.settings.Kinds, set.Kinds)
	r.settings, r.tenantCounts = &set, make([]decayingValue, len(set.Tenants))
	r.rejectedSends = make([]decayingValue, len(set.Classes)*(len(set.Tenants)+1)+1)
	for _, srv := range r.listed {
		clear(srv.rejectionPenalties)
		if !sameKinds {
			srv.State = Gone
		}
	}
	if !sameKinds {
		clear(r.servers)
		r.listed = nil
		r.rebuildLists()
	}
}

// handleMembership handles a list of servers, changes of it, or a failed subscription.
func (r *Router) handleMembership(ev Membership) {
	if ev.Failed {
		if r.settings.AskDiscovery {
			r.emit(Wake{In: resubscribeDelayMs, Ref: refSubscribe})
		}
		return
	}
	if ev.Whole {
		for _, srv := range r.listed {
			srv.State = Gone // unless the list has it
		}
	}
	r.learnClock(ev.Servers)
	for _, entry := range ev.Servers {
		r.updateServer(entry)
	}
	r.updates++
	if ev.Whole || len(ev.Servers) > 0 {
		r.rebuildLists()
	}
}

// rebuildLists removes servers that are gone and rebuilds the lists by id and by role, and maxReady.
func (r *Router) rebuildLists() {
	r.listed = slices.DeleteFunc(r.listed, func(srv *server) bool {
		if srv.State == Gone && r.servers[srv.ID] == srv {
			delete(r.servers, srv.ID)
		}
		return srv.State == Gone
	})
	byID := func(a, b *server) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(r.listed, byID) {
		slices.SortFunc(r.listed, byID)
	}
	for role := range r.withoutRole {
		r.withoutRole[role] = r.withoutRole[role][:0]
	}
	var ready [Mixed + 1]float64
	for _, srv := range r.listed {
		if srv.State == Ready {
			ready[srv.role]++
		}
		for role := range r.withoutRole {
			if Role(role) != srv.role {
				r.withoutRole[role] = append(r.withoutRole[role], srv)
			}
		}
	}
	for role := range r.maxReady {
		r.maxReady[role] = math.Max(r.maxReady[role], ready[role])
	}
}

// updateServer handles one entry of a list. A server that started again is a new one, of which nothing is
// known.
func (r *Router) updateServer(entry Server) {
	if entry.Kind < 0 || entry.Kind >= len(r.settings.Kinds) {
		return
	}
	srv := r.servers[entry.ID]
	if srv != nil && srv.Since == entry.Since {
		srv.Server = entry
		return
	}
	if srv != nil {
		srv.State = Gone
	}
	kind, hash := r.settings.Kinds[entry.Kind], fnv.New64a()
	hash.Write([]byte(entry.ID))
	srv = &server{Server: entry, hash: hash.Sum64(), role: kind.Role, memoryTokens: kind.Memory,
		sendTokensAt: r.now}
	srv.startedAt = r.startTime(entry)
	r.rememberStart(srv)
	srv.rejectionPenalties = map[int]decayingValue{}
	// Each router starts with a random part of a send token, so that all routers together keep the allowed
	// rate from the start; a whole token each would flood the server.
	srv.sendTokens = hashUnit(r.seed, srv.hash)
	r.servers[entry.ID] = srv
	r.listed = append(r.listed, srv)
}
