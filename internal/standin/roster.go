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

// Listed is one engine as the roster lists it.
type Listed struct {
	Addr    string
	Kind    string
	Zone    string
	Cell    int
	Started time.Time // zero: long ago
	State   string    // ready, draining or gone
	Service string    // "": the roster's
}

// Roster serves the list and watch of EndpointSlices, one slice for each engine. Each watch hears a change after a delay of its own.
type Roster struct {
	Service string
	Delay   func(router string, n int) time.Duration // of change n; nil: none
	log     *record.Log

	mu       sync.Mutex
	version  int
	oldest   int // changes up to it are forgotten
	engines  map[string]Listed
	left     map[string]Listed // listed once, and no longer
	changes  []change
	wake     chan struct{}
	watches  map[chan struct{}]bool // closed to cut one
	listener net.Listener
	srv      *http.Server
}

type change struct {
	version int
	at      time.Time
	kind    string
	slice   []byte
	entry   Listed
}

// NewRoster returns a roster that does not serve yet.
func NewRoster(service string, log *record.Log) *Roster {
	return &Roster{Service: service, log: log, version: 1, engines: map[string]Listed{}, left: map[string]Listed{}, wake: make(chan struct{}),
		watches: map[chan struct{}]bool{}}
}

// Start serves on an address and returns it; port 0 takes a free one.
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

// Stop ends serving; the list stays.
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

// CutWatches breaks every watch.
func (r *Roster) CutWatches() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut()
}

func (r *Roster) cut() {
	for w := range r.watches {
		close(w)
	}
	clear(r.watches)
}

// Forget compacts the history: a watch from an older version gets 410 Gone.
func (r *Roster) Forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.changes, r.oldest = nil, r.version
	r.cut()
}

// Set lists an engine, or changes how it is listed.
func (r *Roster) Set(e Listed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := "MODIFIED"
	if _, was := r.engines[e.Addr]; !was {
		kind = "ADDED"
	}
	r.engines[e.Addr] = e
	delete(r.left, e.Addr)
	r.version++
	b, _ := json.Marshal(r.slice(e))
	if e.State == "gone" {
		kind = "DELETED"
		delete(r.engines, e.Addr)
		r.left[e.Addr] = e
	}
	r.changes = append(r.changes, change{r.version, time.Now(), kind, b, e})
	close(r.wake)
	r.wake = make(chan struct{})
}

// Get is how an engine is listed.
func (r *Roster) Get(addr string) (Listed, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.engines[addr]
	return e, ok
}

func (r *Roster) service(e Listed) string {
	if e.Service != "" {
		return e.Service
	}
	return r.Service
}

// asked is the service that a request's selector names; "" for all.
func asked(req *http.Request) string {
	_, service, _ := strings.Cut(req.URL.Query().Get("labelSelector"), "=")
	return service
}

// slice is an engine's EndpointSlice. Ports belong to a slice, not to its
// endpoints, so engines that share a host get a slice each.
func (r *Roster) slice(e Listed) map[string]any {
	started := map[string]string{}
	host, port := split(e.Addr)
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
			"labels": map[string]string{"kubernetes.io/service-name": r.service(e), "gannethook.dev/kind": e.Kind,
				"gannethook.dev/cell": strconv.Itoa(e.Cell)},
			"annotations": map[string]string{"gannethook.dev/started": string(text)}},
		"endpoints": []any{endpoint}, "ports": []any{map[string]any{"name": "http", "port": port}},
	}
}

func (r *Roster) serve(w http.ResponseWriter, req *http.Request) {
	router := strings.TrimPrefix(req.UserAgent(), "gannethook/")
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Query().Get("watch") == "" {
		r.list(w, router, asked(req))
		return
	}
	from, err := strconv.Atoi(req.URL.Query().Get("resourceVersion"))
	if err != nil {
		http.Error(w, "resourceVersion", 400)
		return
	}
	r.watch(w, req, router, from)
}

func (r *Roster) told(router string, e Listed) {
	r.log.Add(record.Event{Who: "roster", Kind: record.Told, Router: router, Key: e.Addr, Note: e.State})
}

func (r *Roster) list(w http.ResponseWriter, router, service string) {
	r.mu.Lock()
	items := []any{}
	var listed []Listed
	for _, addr := range slices.Sorted(maps.Keys(r.engines)) {
		e := r.engines[addr]
		if service != "" && r.service(e) != service {
			continue
		}
		items = append(items, r.slice(e))
		listed = append(listed, e)
	}
	for _, e := range r.left { // a full list tells by leaving out
		if service == "" || r.service(e) == service {
			listed = append(listed, e)
		}
	}
	version := r.version
	r.mu.Unlock()
	for _, e := range listed {
		r.told(router, e)
	}
	json.NewEncoder(w).Encode(map[string]any{"kind": "EndpointSliceList", "apiVersion": "discovery.k8s.io/v1",
		"metadata": map[string]string{"resourceVersion": strconv.Itoa(version)}, "items": items})
}

// watch streams changes from a version on, each after its delay, and bookmarks.
func (r *Roster) watch(w http.ResponseWriter, req *http.Request, router string, from int) {
	cut := make(chan struct{})
	r.mu.Lock()
	if from < r.oldest {
		r.mu.Unlock()
		w.WriteHeader(410)
		json.NewEncoder(w).Encode(map[string]any{"kind": "Status", "code": 410, "reason": "Expired"})
		return
	}
	r.watches[cut] = true
	r.mu.Unlock()
	flush := http.NewResponseController(w)
	flush.Flush()
	mark := time.NewTicker(500 * time.Millisecond)
	defer mark.Stop()
	for {
		c, wake := r.next(from, asked(req), cut)
		if c == nil {
			select {
			case <-wake:
			case <-mark.C:
				fmt.Fprintf(w, `{"type":"BOOKMARK","object":{"kind":"EndpointSlice","metadata":{"resourceVersion":"%d"}}}`+"\n", from)
				flush.Flush()
			case <-cut:
				return
			case <-req.Context().Done():
				return
			}
			continue
		}
		if r.Delay != nil {
			late := time.NewTimer(time.Until(c.at.Add(r.Delay(router, c.version))))
			select {
			case <-late.C:
			case <-cut:
				return
			case <-req.Context().Done():
				return
			}
		}
		// Told is stamped before the write: a router can't have learned it earlier, and the grace is no shorter.
		r.told(router, c.entry)
		fmt.Fprintf(w, `{"type":%q,"object":%s}`+"\n", c.kind, c.slice)
		if flush.Flush() != nil {
			return
		}
		from = c.version
	}
}

// next is the first change after a version, or what to wait for. A watch that
// was cut hears no later change: it would pass over what was forgotten.
func (r *Roster) next(from int, service string, cut chan struct{}) (*change, chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.watches[cut] {
		return nil, cut
	}
	for i := range r.changes {
		if r.changes[i].version > from && (service == "" || r.service(r.changes[i].entry) == service) {
			c := r.changes[i]
			return &c, r.wake
		}
	}
	return nil, r.wake
}
