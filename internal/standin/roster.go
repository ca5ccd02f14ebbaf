package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannethook/internal/record"
)

// Listing is one server as the EndpointSlice API lists it.
type Listing struct {
	Addr    string
	Kind    string
	Zone    string
	Cell    int
	Started time.Time // zero: no start time is published
	State   string    // ready, draining or gone (which deletes its slice)
	Service string    // "": the roster's own
}

// Roster serves list and watch of EndpointSlices, one slice for each server. Each watch gets a change after its own delay.
type Roster struct {
	Service string
	Delay   func(router string, n int) time.Duration // of change n at a router's watch; nil: none
	log     *record.Log

	mu        sync.Mutex
	version   int
	compacted int // history up to this version is dropped
	engines   map[string]Listing
	removed   map[string]Listing // servers that were listed once
	changes   []change
	changed   chan struct{}          // closed at the next change
	watches   map[chan struct{}]bool // watches in progress; closing the channel ends one
	listener  net.Listener
	srv       *http.Server
}

type change struct {
	version int
	at      time.Time
	kind    string
	slice   []byte
	entry   Listing
}

// NewRoster returns a roster that is not serving yet.
func NewRoster(service string, log *record.Log) *Roster {
	return &Roster{Service: service, log: log, version: 1, engines: map[string]Listing{}, removed: map[string]Listing{}, changed: make(chan struct{}),
		watches: map[chan struct{}]bool{}}
}

// Start serves on an address and returns it; port 0 takes a free port.
func (r *Roster) Start(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /apis/discovery.k8s.io/v1/namespaces/{ns}/endpointslices", r.serve)
	r.mu.Lock()
	r.listener, r.srv = ln, &http.Server{Handler: mux}
	srv := r.srv
	r.mu.Unlock()
	go srv.Serve(ln)
	return ln.Addr().String(), nil
}

// Stop ends serving; the list is kept.
func (r *Roster) Stop() {
	r.mu.Lock()
	srv := r.srv
	r.srv = nil
	r.mu.Unlock()
	if srv != nil {
		r.CutWatches()
		srv.Close()
	}
}

// CutWatches ends every watch.
func (r *Roster) CutWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutLocked()
}

func (r *Roster) cutLocked() {
	for w := range r.watches {
		close(w)
	}
	clear(r.watches)
}

// Compact compacts the history: a watch from an older version gets 410 Gone.
func (r *Roster) Compact() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.changes, r.compacted = nil, r.version
	r.cutLocked()
}

// Set lists a server, or changes its entry.
func (r *Roster) Set(e Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := "MODIFIED"
	if _, known := r.engines[e.Addr]; !known {
		kind = "ADDED"
	}
	r.engines[e.Addr] = e
	delete(r.removed, e.Addr)
	r.version++
	b, _ := json.Marshal(r.slice(e))
	if e.State == "gone" {
		kind = "DELETED"
		delete(r.engines, e.Addr)
		r.removed[e.Addr] = e
	}
	r.changes = append(r.changes, change{r.version, time.Now(), kind, b, e})
	close(r.changed)
	r.changed = make(chan struct{})
}

// Get returns the entry of a server.
func (r *Roster) Get(addr string) (Listing, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.engines[addr]
	return e, ok
}

func (r *Roster) serviceOf(e Listing) string {
	if e.Service != "" {
		return e.Service
	}
	return r.Service
}

// selectedService returns the service that a request's selector names; "" for all.
func selectedService(req *http.Request) string {
	_, service, _ := strings.Cut(req.URL.Query().Get("labelSelector"), "=")
	return service
}

// slice returns a server's EndpointSlice. Ports belong to a slice, not to its endpoints, so servers that share a host
// get a slice each.
func (r *Roster) slice(e Listing) map[string]any {
	started := map[string]string{}
	host, port := splitAddr(e.Addr)
	ready := e.State == "ready"
	if !e.Started.IsZero() {
		started[e.Addr] = e.Started.Format(time.RFC3339Nano)
	}
	text, _ := json.Marshal(started)
	endpoint := map[string]any{"addresses": []string{host}, "zone": e.Zone,
		"conditions": map[string]bool{"ready": ready, "serving": e.State != "gone", "terminating": !ready},
		"targetRef":  map[string]string{"kind": "Pod", "uid": fmt.Sprintf("%s@%d", e.Addr, e.Started.UnixMilli())}}
	return map[string]any{
		"kind": "EndpointSlice", "apiVersion": "discovery.k8s.io/v1", "addressType": "IPv4",
		"metadata": map[string]any{"name": "engine-" + strings.NewReplacer(".", "-", ":", "-").Replace(e.Addr),
			"namespace": "default", "resourceVersion": strconv.Itoa(r.version),
			"labels": map[string]string{"kubernetes.io/service-name": r.serviceOf(e), "gannethook.dev/kind": e.Kind,
				"gannethook.dev/cell": strconv.Itoa(e.Cell)},
			"annotations": map[string]string{"gannethook.dev/started": string(text)}},
		"endpoints": []any{endpoint}, "ports": []any{map[string]any{"name": "http", "port": port}},
	}
}

func (r *Roster) serve(w http.ResponseWriter, req *http.Request) {
	router := strings.TrimPrefix(req.UserAgent(), "gannethook/")
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Query().Get("watch") == "" {
		r.list(w, router, selectedService(req))
		return
	}
	from, err := strconv.Atoi(req.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, "resourceVersion", 400)
		return
	}
	r.watch(w, req, router, from)
}

func (r *Roster) recordNotified(router string, e Listing) {
	r.log.Add(record.Event{Who: "roster", Kind: record.Told, Router: router, Key: e.Addr, Note: e.State})
}

func (r *Roster) list(w http.ResponseWriter, router, service string) {
	r.mu.Lock()
	items := []any{}
	var listed []Listing
	for _, addr := range slices.Sorted(maps.Keys(r.engines)) {
		e := r.engines[addr]
		if service != "" && r.serviceOf(e) != service {
			continue
		}
		items = append(items, r.slice(e))
		listed = append(listed, e)
	}
	for _, e := range r.removed { // a full list reports a removal by omission
		if service == "" || r.serviceOf(e) == service {
			listed = append(listed, e)
		}
	}
	version := r.version
	r.mu.Unlock()
	for _, e := range listed {
		r.recordNotified(router, e)
	}
	json.NewEncoder(w).Encode(map[string]any{"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1",
		"metadata": map[string]string{"resourceVersion": strconv.Itoa(version)}, "items": items})
}

// watch streams the changes after a version, each after its delay, and bookmarks.
func (r *Roster) watch(w http.ResponseWriter, req *http.Request, router string, from int) {
	cut := make(chan struct{})
	r.mu.Lock()
	if from < r.compacted {
		r.mu.Unlock()
		w.WriteHeader(410)
		json.NewEncoder(w).Encode(map[string]any{"kind": "Status", "code": 410, "reason": "Expired"})
		return
	}
	r.watches[cut] = true
	r.mu.Unlock()
	rc := http.NewResponseController(w)
	rc.Flush()
	bookmark := time.NewTicker(500 * time.Millisecond)
	defer bookmark.Stop()
	for {
		c, changed := r.nextChange(from, selectedService(req), cut)
		if c == nil {
			select {
			case <-changed:
			case <-bookmark.C:
				fmt.Fprintf(w, `{"type":"BOOKMARK","object":{"kind":"EndpointSlice","metadata":{"resourceVersion":"%d"}}}`+"\n", from)
				rc.Flush()
			case <-cut:
				return
			case <-req.Context().Done():
				return
			}
			continue
		}
		if r.Delay != nil {
			delayed := time.NewTimer(time.Until(c.at.Add(r.Delay(router, c.version))))
			select {
			case <-delayed.C:
			case <-cut:
				return
			case <-req.Context().Done():
				return
			}
		}
		// Recorded before the write: a router can't have learned it earlier, so the drain grace is not understated.
		r.recordNotified(router, c.entry)
		fmt.Fprintf(w, `{"type":%q,"object":%s}`+"\n", c.kind, c.slice)
		if rc.Flush() != nil {
			return
		}
		from = c.version
	}
}

// nextChange returns the first change after a version, or a channel to wait on. A watch that was cut gets no later
// change: it would skip the history that Compact dropped.
func (r *Roster) nextChange(from int, service string, cut chan struct{}) (*change, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.watches[cut] {
		return nil, cut
	}
	for i := range r.changes {
		if r.changes[i].version > from && (service == "" || r.serviceOf(r.changes[i].entry) == service) {
			c := r.changes[i]
			return &c, r.changed
		}
	}
	return nil, r.changed
}
