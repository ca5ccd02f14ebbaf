// Package endpoints discovers the servers that a router sends work to: Watch lists
// and watches the EndpointSlices of a service through the Kubernetes API
// (discovery.k8s.io/v1), and File polls a file in clusters without that API. Both
// publish changes as gannethook.Membership. Table turns objects into changes,
// without I/O and without reading the clock.
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

// Labels and annotations for what an EndpointSlice has no field for.
const (
	ServiceLabel      = "kubernetes.io/service-name"
	KindLabel         = "gannethook.dev/kind"
	CellLabel         = "gannethook.dev/cell"
	StartedAnnotation = "gannethook.dev/started" // JSON: "address:port" to RFC 3339 time
)

// maxServers bounds the table; servers beyond it are skipped and reported.
const maxServers = 10000

// EndpointSlice has the fields of the API's EndpointSlice that a router needs.
type EndpointSlice struct {
	Metadata  ObjectMeta     `json:"metadata"`
	Endpoints []Endpoint     `json:"endpoints"`
	Ports     []EndpointPort `json:"ports"`
}

// ObjectMeta is the metadata of an API object or list.
type ObjectMeta struct {
	Name            string            `json:"name,omitempty"`
	Namespace       string            `json:"namespace,omitempty"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Labels          map[string]string `json:"labels,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Endpoint is an endpoint of a slice; only its first address is used.
type Endpoint struct {
	Addresses  []string         `json:"addresses"`
	Conditions Conditions       `json:"conditions"`
	Zone       string           `json:"zone,omitempty"`
	TargetRef  *ObjectReference `json:"targetRef,omitempty"`
}

// Conditions of an endpoint. By the API, a missing ready means true, a missing
// serving the value of ready, and a missing terminating false.
type Conditions struct {
	Ready       *bool `json:"ready,omitempty"`
	Serving     *bool `json:"serving,omitempty"`
	Terminating *bool `json:"terminating,omitempty"`
}

// ObjectReference refers to the pod of an endpoint.
type ObjectReference struct {
	UID string `json:"uid"`
}

// EndpointPort is a port of a slice; only the first one is used.
type EndpointPort struct {
	Name string `json:"name,omitempty"`
	Port int    `json:"port"`
}

// state maps the conditions to a server state: ready and not terminating is Ready;
// terminating, or serving but not ready, is Draining; everything else is Gone.
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

// Names are the names of kinds and zones in the settings. Servers refer to them
// by index.
type Names struct {
	Kinds, Zones []string
	AnyKind      bool // ignore the kind label: every server has kind 0
}

// entry is a server with the UID of its pod, which distinguishes incarnations at one address.
type entry struct {
	gannethook.Server
	uid string
}

// Table is the list of servers, computed from EndpointSlices. It is not safe for concurrent use.
type Table struct {
	names   Names
	slices  map[string]EndpointSlice
	servers map[gannethook.ServerID]entry
	listed  bool     // a list was received
	Skipped []string // what the last update could not use, and why
}

// NewTable returns an empty table.
func NewTable(names Names) *Table {
	return &Table{names: names, slices: map[string]EndpointSlice{}, servers: map[gannethook.ServerID]entry{}}
}

// Replace takes the result of a list request. now, in Unix milliseconds, is the
// assumed start time of servers that were not in an earlier list and have no
// annotated start time; in the first list, their start time is unknown (0).
func (t *Table) Replace(items []EndpointSlice, now gannethook.Millis) gannethook.Membership {
	clear(t.slices)
	for _, s := range items {
		t.slices[s.key()] = s
	}
	t.recompute(now)
	return t.Snapshot()
}

// ApplyEvent takes an event of the watch, ADDED, MODIFIED or DELETED, and returns the changes.
func (t *Table) ApplyEvent(kind string, s EndpointSlice, now gannethook.Millis) (gannethook.Membership, error) {
	switch kind {
	case "ADDED", "MODIFIED":
		t.slices[s.key()] = s
	case "DELETED":
		delete(t.slices, s.key())
	default:
		return gannethook.Membership{}, fmt.Errorf("watch: unknown event type %q", kind)
	}
	return gannethook.Membership{Servers: t.recompute(now)}, nil
}

// SetServers takes a complete list from a file or a cache. It does not count as an
// earlier list in Replace: a server that is missing in a cache may have started
// while the router was down, so its start time stays unknown.
func (t *Table) SetServers(servers []gannethook.Server) gannethook.Membership {
	clear(t.servers)
	for _, s := range servers {
		t.servers[s.ID] = entry{Server: s}
	}
	return t.Snapshot()
}

// Snapshot returns the complete list, ordered by ID.
func (t *Table) Snapshot() gannethook.Membership {
	m := gannethook.Membership{Whole: true}
	for _, id := range slices.Sorted(maps.Keys(t.servers)) {
		m.Servers = append(m.Servers, t.servers[id].Server)
	}
	return m
}

func (s *EndpointSlice) key() string { return s.Metadata.Namespace + "/" + s.Metadata.Name }

// recompute derives the servers from the slices and returns the changes, ordered by ID.
func (t *Table) recompute(now gannethook.Millis) []gannethook.Server {
	t.Skipped = t.Skipped[:0]
	current := map[gannethook.ServerID]entry{}
	for _, key := range slices.Sorted(maps.Keys(t.slices)) {
		s := t.slices[key]
		t.addSlice(&s, current)
	}
	var changed []gannethook.Server
	for id, e := range current {
		old, known := t.servers[id]
		e.Since = t.startedAt(e, old, known, now)
		current[id] = e
		if !known || old.Server != e.Server {
			changed = append(changed, e.Server)
		}
	}
	for id, old := range t.servers {
		if _, present := current[id]; !present {
			old.State = gannethook.Gone
			changed = append(changed, old.Server)
		}
	}
	t.servers, t.listed = current, true
	slices.SortFunc(changed, func(a, b gannethook.Server) int { return cmp.Compare(a.ID, b.ID) })
	return changed
}

// startedAt returns the start time of a server: the annotated one, else that of the
// same pod before, else now for a server or pod that appeared after the first
// list, else 0 (unknown). Slow start needs it: a pod that appears later is taken
// to have just started.
func (t *Table) startedAt(e, old entry, known bool, now gannethook.Millis) gannethook.Millis {
	switch {
	case e.Since > 0:
		return e.Since
	case known && (e.uid == old.uid || old.uid == ""):
		return old.Since
	case t.listed:
		return now
	}
	return 0
}

// addSlice adds the endpoints of a slice that are not Gone.
func (t *Table) addSlice(s *EndpointSlice, servers map[gannethook.ServerID]entry) {
	kind := slices.Index(t.names.Kinds, s.Metadata.Labels[KindLabel])
	if t.names.AnyKind {
		kind = 0
	}
	if kind < 0 {
		t.Skipped = append(t.Skipped, fmt.Sprintf("slice %s skipped: label %s=%q is not a kind of the settings", s.key(),
			KindLabel, s.Metadata.Labels[KindLabel]))
		return
	}
	if len(s.Ports) == 0 {
		t.Skipped = append(t.Skipped, fmt.Sprintf("slice %s skipped: no port", s.key()))
		return
	}
	cell, _ := strconv.Atoi(s.Metadata.Labels[CellLabel])
	started := map[string]time.Time{}
	if text := s.Metadata.Annotations[StartedAnnotation]; text != "" {
		if err := json.Unmarshal([]byte(text), &started); err != nil {
			t.Skipped = append(t.Skipped, fmt.Sprintf("slice %s: malformed annotation %s: %v", s.key(), StartedAnnotation, err))
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
		t.addServer(e, servers)
	}
}

// addServer adds an entry. Slices overlap while an endpoint moves between them; of two entries of one
// server it keeps the one in the better state.
func (t *Table) addServer(e entry, servers map[gannethook.ServerID]entry) {
	if old, duplicate := servers[e.ID]; duplicate && old.State <= e.State {
		return
	}
	if len(servers) >= maxServers {
		t.Skipped = append(t.Skipped, fmt.Sprintf("server %s skipped: more than %d servers", e.ID, maxServers))
		return
	}
	servers[e.ID] = e
}
