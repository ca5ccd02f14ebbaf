// Package endpoints follows the list of engines: the Kubernetes EndpointSlice
// watch (discovery.k8s.io/v1), or a file where a fleet has no such list.
// Table is the pure part: objects in, changes out, no I/O and no clock.
package endpoints

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"gannethook"
)

// Labels and annotations that tell what an EndpointSlice has no field for.
const (
	ServiceLabel      = "kubernetes.io/service-name"
	KindLabel         = "gannethook.dev/kind"
	CellLabel         = "gannethook.dev/cell"
	StartedAnnotation = "gannethook.dev/started" // JSON: "address:port" to RFC 3339 time
)

// maxServers bounds the table; what lies beyond is left out and told.
const maxServers = 10000

// Slice is the part of an EndpointSlice that a router needs.
type Slice struct {
	Metadata  Meta       `json:"metadata"`
	Endpoints []Endpoint `json:"endpoints"`
	Ports     []Port     `json:"ports"`
}

// Meta is an object's metadata.
type Meta struct {
	Name            string            `json:"name,omitempty"`
	Namespace       string            `json:"namespace,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Endpoint is one endpoint of a slice.
type Endpoint struct {
	Addresses  []string   `json:"addresses"`
	Conditions Conditions `json:"conditions"`
	Zone       string     `json:"zone,omitempty"`
	TargetRef  *Ref       `json:"targetRef,omitempty"`
}

// Conditions of an endpoint; a missing one has its documented meaning.
type Conditions struct {
	Ready       *bool `json:"ready,omitempty"`
	Serving     *bool `json:"serving,omitempty"`
	Terminating *bool `json:"terminating,omitempty"`
}

// Ref names the pod behind an endpoint.
type Ref struct {
	UID string `json:"uid"`
}

// Port is one port of a slice.
type Port struct {
	Name string `json:"name,omitempty"`
	Port int    `json:"port"`
}

// state maps conditions to the module's: ready is Ready; terminating, or no
// longer ready but serving, is Draining; the rest is Gone.
func (c Conditions) state() gannethook.ServerState {
	ready := c.Ready == nil || *c.Ready
	serving := c.Serving == nil && ready || c.Serving != nil && *c.Serving
	terminating := c.Terminating != nil && *c.Terminating
	switch {
	case ready && !terminating:
		return gannethook.Ready
	case terminating || serving:
		return gannethook.Draining
	}
	return gannethook.Gone
}

// Names are the settings' names, whose places the module knows.
type Names struct {
	Kinds, Zones []string
	Any          bool // kinds are not told: all are one
}

// entry is a server with what tells one life of it from the next.
type entry struct {
	gannethook.Server
	uid string
}

// Table is the list of servers as the slices tell it.
type Table struct {
	names  Names
	slices map[string]Slice
	known  map[gannethook.ServerID]entry
	listed bool
	Faults []string // what the last call had to leave out, and why
}

// NewTable returns an empty table.
func NewTable(names Names) *Table {
	return &Table{names: names, slices: map[string]Slice{}, known: map[gannethook.ServerID]entry{}}
}

// List takes the whole list; now, in Unix milliseconds, is when servers that are
// new since an earlier list are taken to have started unless told otherwise.
func (t *Table) List(items []Slice, now gannethook.Millis) gannethook.Membership {
	clear(t.slices)
	for _, s := range items {
		t.slices[s.key()] = s
	}
	t.apply(now)
	return t.Whole()
}

// Change takes one object of the watch: ADDED, MODIFIED or DELETED.
func (t *Table) Change(kind string, s Slice, now gannethook.Millis) (gannethook.Membership, error) {
	switch kind {
	case "ADDED", "MODIFIED":
		t.slices[s.key()] = s
	case "DELETED":
		delete(t.slices, s.key())
	default:
		return gannethook.Membership{}, fmt.Errorf("roster: event type %q is not known", kind)
	}
	return gannethook.Membership{Servers: t.apply(now)}, nil
}

// Set takes a whole list that is not made of slices: a file's, or a cache's. It
// does not count as an earlier list: what a router slept through is not news.
func (t *Table) Set(servers []gannethook.Server) gannethook.Membership {
	clear(t.known)
	for _, s := range servers {
		t.known[s.ID] = entry{Server: s}
	}
	return t.Whole()
}

// Whole is the whole list, in order of id.
func (t *Table) Whole() gannethook.Membership {
	m := gannethook.Membership{Whole: true}
	for _, id := range slices.Sorted(maps.Keys(t.known)) {
		m.Servers = append(m.Servers, t.known[id].Server)
	}
	return m
}

func (s *Slice) key() string { return s.Metadata.Namespace + "/" + s.Metadata.Name }

// apply works out the servers anew and returns what changed, in order of id.
func (t *Table) apply(now gannethook.Millis) []gannethook.Server {
	t.Faults = t.Faults[:0]
	fresh := map[gannethook.ServerID]entry{}
	for _, key := range slices.Sorted(maps.Keys(t.slices)) {
		s := t.slices[key]
		t.addSlice(&s, fresh)
	}
	var changed []gannethook.Server
	for id, e := range fresh {
		old, was := t.known[id]
		e.Since = t.since(e, old, was, now)
		fresh[id] = e
		if !was || old.Server != e.Server {
			changed = append(changed, e.Server)
		}
	}
	for id, old := range t.known {
		if _, is := fresh[id]; !is {
			old.State = gannethook.Gone
			changed = append(changed, old.Server)
		}
	}
	t.known, t.listed = fresh, true
	slices.SortFunc(changed, func(a, b gannethook.Server) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// since is when a server started: as annotated, else as it was, else now for one
// that came or changed its pod after the first list. Rule 4 needs it: a pod
// that is new to a router is taken to be cold.
func (t *Table) since(e, old entry, was bool, now gannethook.Millis) gannethook.Millis {
	switch {
	case e.Since > 0:
		return e.Since
	case was && (e.uid == old.uid || old.uid == ""):
		return old.Since
	case t.listed:
		return now
	}
	return 0
}

func (t *Table) addSlice(s *Slice, into map[gannethook.ServerID]entry) {
	kind := slices.Index(t.names.Kinds, s.Metadata.Labels[KindLabel])
	if t.names.Any {
		kind = 0
	}
	if kind < 0 {
		t.Faults = append(t.Faults, fmt.Sprintf("slice %s: label %s=%q is no kind of the settings", s.key(),
			KindLabel, s.Metadata.Labels[KindLabel]))
		return
	}
	if len(s.Ports) == 0 {
		t.Faults = append(t.Faults, fmt.Sprintf("slice %s: no port", s.key()))
		return
	}
	cell, _ := strconv.Atoi(s.Metadata.Labels[CellLabel])
	started := map[string]time.Time{}
	if text := s.Metadata.Annotations[StartedAnnotation]; text != "" {
		if err := json.Unmarshal([]byte(text), &started); err != nil {
			t.Faults = append(t.Faults, fmt.Sprintf("slice %s: %s: %v", s.key(), StartedAnnotation, err))
		}
	}
	for _, ep := range s.Endpoints {
		if len(ep.Addresses) == 0 || ep.Conditions.state() == gannethook.Gone {
			continue
		}
		addr := net.JoinHostPort(ep.Addresses[0], strconv.Itoa(s.Ports[0].Port))
		e := entry{Server: gannethook.Server{ID: gannethook.ServerID(addr), Kind: kind, Cell: cell,
			Zone: max(slices.Index(t.names.Zones, ep.Zone), 0), State: ep.Conditions.state()}}
		if at, ok := started[addr]; ok {
			e.Since = gannethook.Millis(float64(at.UnixMicro()) / 1000)
		}
		if ep.TargetRef != nil {
			e.uid = ep.TargetRef.UID
		}
		t.add(e, into)
	}
}

// add keeps the better of two entries of one server: slices overlap while an endpoint moves between them.
func (t *Table) add(e entry, into map[gannethook.ServerID]entry) {
	if old, twice := into[e.ID]; twice && old.State <= e.State {
		return
	}
	if len(into) >= maxServers {
		t.Faults = append(t.Faults, fmt.Sprintf("server %s: over %d servers", e.ID, maxServers))
		return
	}
	into[e.ID] = e
}
