package endpoints

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/url"
	"time"

	"gannethook"
	"gannethook/internal/http1"
)

// Size limits of the API's responses.
const (
	maxListBytes  = 32 << 20 // a list response
	maxEventBytes = 4 << 20  // an event of a watch
)

// errVersionExpired is the API's 410 Gone: the resource version is no longer available.
var errVersionExpired = errors.New("resource version expired (410); listing again")

// Watch lists and watches the EndpointSlices of a service. While the connection is
// lost, the last list stays valid; the watch is resumed from the last resource
// version, after an exponential backoff with jitter.
type Watch struct {
	Addr        string // host:port of the Kubernetes API
	Namespace   string
	Service     string        // "": all slices of the namespace
	RouterName  string        // name of this router, for the User-Agent header
	IdleTimeout time.Duration // idle timeout of a watch; must exceed the API's interval of bookmarks
	Seed        uint64        // of the jitter
	Names       Names
	Cached      []gannethook.Server         // cached list of an earlier run, published first
	Publish     func(gannethook.Membership) // called with each list and change
	SaveList    func([]gannethook.Server)   // called with the complete list after each change; may be nil
	Report      func(error)                 // called with errors, for the log

	received int // lists and events received, to reset the backoff
}

// Run watches until the context is done.
func (w *Watch) Run(ctx context.Context) {
	table := NewTable(w.Names)
	if len(w.Cached) > 0 {
		w.Publish(table.SetServers(w.Cached))
	}
	rnd := rand.New(rand.NewPCG(w.Seed, 0x726f73746572))
	resourceVersion, attempt := "", 0
	for ctx.Err() == nil {
		before := w.received
		next, err := w.listAndWatch(ctx, table, resourceVersion)
		if w.received != before {
			attempt = 0
		}
		if resourceVersion = next; errors.Is(err, errVersionExpired) {
			resourceVersion = ""
		}
		if ctx.Err() != nil {
			return
		}
		w.Report(err)
		sleep(ctx, Backoff(attempt, rnd.Float64()))
		attempt++
	}
}

// Backoff returns the wait before retry n, counted from 0: 100 ms, doubled up to
// 6.4 s, of which up to half is subtracted at random so that the routers of a
// fleet do not reconnect at the same time. unit is a random number from 0 to 1.
func Backoff(n int, unit float64) time.Duration {
	full := 100 * time.Millisecond << min(n, 6)
	return full/2 + time.Duration(unit*float64(full/2))
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// listAndWatch lists, unless a resource version is known, then watches. It returns
// the resource version to resume from; "" if the list failed.
func (w *Watch) listAndWatch(ctx context.Context, table *Table, resourceVersion string) (string, error) {
	if resourceVersion == "" {
		var err error
		if resourceVersion, err = w.list(ctx, table); err != nil {
			return "", err
		}
	}
	return w.watch(ctx, table, resourceVersion)
}

// requestPath returns the path of a list or watch request.
func (w *Watch) requestPath(watch bool, resourceVersion string) string {
	q := url.Values{}
	if w.Service != "" {
		q.Set("labelSelector", ServiceLabel+"="+w.Service)
	}
	if watch {
		q.Set("watch", "1")
		q.Set("allowWatchBookmarks", "true")
		q.Set("resourceVersion", resourceVersion)
	}
	return "/apis/discovery.k8s.io/v1/namespaces/" + url.PathEscape(w.Namespace) + "/endpointslices?" + q.Encode()
}

// get sends a request on a new connection; the returned closeConn closes it.
func (w *Watch) get(ctx context.Context, path string) (body io.Reader, nc net.Conn, closeConn func(), err error) {
	d := net.Dialer{Timeout: 2 * time.Second}
	if nc, err = d.DialContext(ctx, "tcp", w.Addr); err != nil {
		return nil, nil, nil, err
	}
	stop, conn := context.AfterFunc(ctx, func() { nc.Close() }), nc
	closeConn = func() { stop(); conn.Close() }
	defer func(closeConn func()) {
		if err != nil {
			closeConn()
		}
	}(closeConn)
	nc.SetDeadline(time.Now().Add(10 * time.Second)) // for the whole list; watch extends it with each event
	bw := bufio.NewWriter(nc)
	http1.WriteHead(bw, "GET "+path+" HTTP/1.1", http1.Header{{Name: "Host", Value: w.Addr},
		{Name: "Accept", Value: "application/json"}, {Name: "User-Agent", Value: "gannethook/" + w.RouterName}})
	if err = bw.Flush(); err != nil {
		return nil, nil, nil, err
	}
	br := bufio.NewReaderSize(nc, 16<<10)
	res, err := http1.ReadResponse(br)
	if err != nil {
		return nil, nil, nil, err
	}
	if res.Status == 410 {
		return nil, nil, nil, errVersionExpired
	}
	if res.Status != 200 {
		return nil, nil, nil, fmt.Errorf("unexpected status %d", res.Status)
	}
	b, err := http1.ResponseBody(br, res)
	return b, nc, closeConn, err
}

// list replaces the table by a full list and returns its resource version.
func (w *Watch) list(ctx context.Context, table *Table) (resourceVersion string, err error) {
	body, _, closeConn, err := w.get(ctx, w.requestPath(false, ""))
	if err != nil {
		return "", fmt.Errorf("list: %w", err)
	}
	defer closeConn()
	var list struct {
		Metadata ObjectMeta      `json:"metadata"`
		Items    []EndpointSlice `json:"items"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxListBytes)).Decode(&list); err != nil {
		return "", fmt.Errorf("list: %w", err)
	}
	w.received++
	w.publish(table, table.Replace(list.Items, nowMillis()))
	return list.Metadata.ResourceVersion, nil
}

// publish reports what the table skipped, and publishes m unless it is an empty change.
func (w *Watch) publish(table *Table, m gannethook.Membership) {
	for _, f := range table.Skipped {
		w.Report(errors.New(f))
	}
	if !m.Whole && len(m.Servers) == 0 {
		return
	}
	w.Publish(m)
	if w.SaveList != nil {
		w.SaveList(table.Snapshot().Servers)
	}
}

// watch reads events, one per line, until the connection ends. It returns the last resource version.
func (w *Watch) watch(ctx context.Context, table *Table, resourceVersion string) (string, error) {
	body, nc, closeConn, err := w.get(ctx, w.requestPath(true, resourceVersion))
	if err != nil {
		return resourceVersion, fmt.Errorf("watch: %w", err)
	}
	defer closeConn()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 16<<10), maxEventBytes)
	for {
		nc.SetDeadline(time.Now().Add(w.IdleTimeout))
		if !lines.Scan() {
			return resourceVersion, fmt.Errorf("watch ended: %w", orEOF(lines.Err()))
		}
		next, err := w.handleEvent(table, lines.Bytes())
		if err != nil {
			return resourceVersion, err
		}
		if next != "" {
			resourceVersion = next
		}
	}
}

// orEOF replaces the nil error of a Scanner at its end by io.EOF.
func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

// handleEvent processes an event and returns the resource version of its object.
func (w *Watch) handleEvent(table *Table, line []byte) (resourceVersion string, err error) {
	var ev struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		return "", fmt.Errorf("watch: %w", err)
	}
	if ev.Type != "ERROR" {
		w.received++
	} else {
		var status struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
		}
		if json.Unmarshal(ev.Object, &status); status.Code == 410 {
			return "", errVersionExpired
		}
		return "", fmt.Errorf("watch: error event: %d %s", status.Code, status.Message)
	}
	var s EndpointSlice
	if err := json.Unmarshal(ev.Object, &s); err != nil {
		return "", fmt.Errorf("watch: %w", err)
	}
	if ev.Type == "BOOKMARK" {
		return s.Metadata.ResourceVersion, nil
	}
	m, err := table.ApplyEvent(ev.Type, s, nowMillis())
	if err != nil {
		return "", err
	}
	w.publish(table, m)
	return s.Metadata.ResourceVersion, nil
}

// nowMillis returns the wall clock in Unix milliseconds.
func nowMillis() gannethook.Millis { return gannethook.Millis(float64(time.Now().UnixMicro()) / 1000) }
