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

// Bounds of the roster's answers.
const (
	maxList  = 32 << 20
	maxEvent = 4 << 20
)

var errGone = errors.New("roster: the watch's version is too old")

// Watch follows the EndpointSlices of a service. A lost watch leaves the last
// list as it is and is taken up again after a growing, jittered wait.
type Watch struct {
	Addr      string // host:port of the API
	Namespace string
	Service   string
	Agent     string        // names this router to the API
	Silence   time.Duration // a watch without a line for so long is taken as lost; bookmarks come more often
	Seed      uint64
	Names     Names
	Start     []gannethook.Server // the last list of an earlier life
	Publish   func(gannethook.Membership)
	Keep      func([]gannethook.Server) // called with each new whole list
	Report    func(error)               // what went wrong, for the log

	heard int // lists and events
}

// Run follows until the context ends.
func (w *Watch) Run(ctx context.Context) {
	table := NewTable(w.Names)
	if len(w.Start) > 0 {
		w.Publish(table.Set(w.Start))
	}
	rnd := rand.New(rand.NewPCG(w.Seed, 0x726f73746572))
	version, tries := "", 0
	for ctx.Err() == nil {
		heard := w.heard
		next, err := w.follow(ctx, table, version)
		if w.heard != heard {
			tries = 0
		}
		if version = next; errors.Is(err, errGone) {
			version = ""
		}
		if ctx.Err() != nil {
			return
		}
		w.Report(err)
		pause(ctx, Backoff(tries, rnd.Float64()))
		tries++
	}
}

// Backoff is the wait before try n: 100 ms, doubled up to 6.4 s, of which a
// random half is taken off so that routers do not come back together.
func Backoff(n int, unit float64) time.Duration {
	full := 100 * time.Millisecond << min(n, 6)
	return full/2 + time.Duration(unit*float64(full/2))
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// follow lists unless a version is known, then watches. It returns the version
// to go on from; "" if nothing was heard.
func (w *Watch) follow(ctx context.Context, table *Table, version string) (string, error) {
	if version == "" {
		var err error
		if version, err = w.list(ctx, table); err != nil {
			return "", err
		}
	}
	return w.watch(ctx, table, version)
}

func (w *Watch) path(watch bool, version string) string {
	q := url.Values{}
	if w.Service != "" {
		q.Set("labelSelector", ServiceLabel+"="+w.Service)
	}
	if watch {
		q.Set("watch", "1")
		q.Set("allowWatchBookmarks", "true")
		q.Set("resourceVersion", version)
	}
	return "/apis/discovery.k8s.io/v1/namespaces/" + url.PathEscape(w.Namespace) + "/endpointslices?" + q.Encode()
}

// get sends a request; the returned close ends the connection.
func (w *Watch) get(ctx context.Context, path string) (body io.Reader, nc net.Conn, shut func(), err error) {
	d := net.Dialer{Timeout: 2 * time.Second}
	if nc, err = d.DialContext(ctx, "tcp", w.Addr); err != nil {
		return nil, nil, nil, err
	}
	stop, opened := context.AfterFunc(ctx, func() { nc.Close() }), nc
	shut = func() { stop(); opened.Close() }
	defer func(shut func()) {
		if err != nil {
			shut()
		}
	}(shut)
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	bw := bufio.NewWriter(nc)
	http1.WriteHead(bw, "GET "+path+" HTTP/1.1", http1.Header{{Name: "Host", Value: w.Addr},
		{Name: "Accept", Value: "application/json"}, {Name: "User-Agent", Value: "gannethook/" + w.Agent}})
	if err = bw.Flush(); err != nil {
		return nil, nil, nil, err
	}
	br := bufio.NewReaderSize(nc, 16<<10)
	res, err := http1.ReadResponse(br)
	if err != nil {
		return nil, nil, nil, err
	}
	if res.Status == 410 {
		return nil, nil, nil, errGone
	}
	if res.Status != 200 {
		return nil, nil, nil, fmt.Errorf("roster: status %d", res.Status)
	}
	b, err := http1.ResponseBody(br, res)
	return b, nc, shut, err
}

func (w *Watch) list(ctx context.Context, table *Table) (version string, err error) {
	body, _, shut, err := w.get(ctx, w.path(false, ""))
	if err != nil {
		return "", fmt.Errorf("list: %w", err)
	}
	defer shut()
	var list struct {
		Metadata Meta    `json:"metadata"`
		Items    []Slice `json:"items"`
	}
	if err := json.NewDecoder(io.LimitReader(body, maxList)).Decode(&list); err != nil {
		return "", fmt.Errorf("list: %w", err)
	}
	w.heard++
	w.publish(table, table.List(list.Items, wall()))
	return list.Metadata.ResourceVersion, nil
}

func (w *Watch) publish(table *Table, m gannethook.Membership) {
	for _, f := range table.Faults {
		w.Report(errors.New(f))
	}
	if !m.Whole && len(m.Servers) == 0 {
		return
	}
	w.Publish(m)
	if w.Keep != nil {
		w.Keep(table.Whole().Servers)
	}
}

// watch reads changes until the connection ends; each line is one event.
func (w *Watch) watch(ctx context.Context, table *Table, version string) (string, error) {
	body, nc, shut, err := w.get(ctx, w.path(true, version))
	if err != nil {
		return version, fmt.Errorf("watch: %w", err)
	}
	defer shut()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 16<<10), maxEvent)
	for {
		nc.SetDeadline(time.Now().Add(w.Silence))
		if !lines.Scan() {
			return version, fmt.Errorf("watch ended: %w", orEOF(lines.Err()))
		}
		next, err := w.event(table, lines.Bytes())
		if err != nil {
			return version, err
		}
		if next != "" {
			version = next
		}
	}
}

func orEOF(err error) error {
	if err == nil {
		return io.EOF
	}
	return err
}

// event takes one line of the watch and returns its version.
func (w *Watch) event(table *Table, line []byte) (version string, err error) {
	var ev struct {
		Type   string          `json:"type"`
		Object json.RawMessage `json:"object"`
	}
	if err := json.Unmarshal(line, &ev); err != nil {
		return "", fmt.Errorf("watch: %w", err)
	}
	if ev.Type != "ERROR" {
		w.heard++
	} else {
		var status struct {
			Code    int    `json:"code"`
			Message string `json:"message"`
		}
		if json.Unmarshal(ev.Object, &status); status.Code == 410 {
			return "", errGone
		}
		return "", fmt.Errorf("watch: error %d %s", status.Code, status.Message)
	}
	var s Slice
	if err := json.Unmarshal(ev.Object, &s); err != nil {
		return "", fmt.Errorf("watch: %w", err)
	}
	if ev.Type == "BOOKMARK" {
		return s.Metadata.ResourceVersion, nil
	}
	m, err := table.Change(ev.Type, s, wall())
	if err != nil {
		return "", err
	}
	w.publish(table, m)
	return s.Metadata.ResourceVersion, nil
}

func wall() gannethook.Millis { return gannethook.Millis(float64(time.Now().UnixMicro()) / 1000) }
