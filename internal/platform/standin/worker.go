package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// ServeHTTP answers as a worker does.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, "/v1/holds/"); ok {
		w.awaitThaw()
		w.hold(rw, req.Method, id)
		return
	}
	id := req.Header.Get("X-Request-ID")
	body, err := io.ReadAll(req.Body)
	if err != nil || id == "" {
		http.Error(rw, "no id", http.StatusNotFound)
		return
	}
	f := w.f
	wasFrozen := w.awaitThaw()
	f.begin(w, id, req.URL.String()+string(body), w.Kind == Prompt)
	defer f.copy(w, id, req)()
	defer f.end(id, w.Kind == Prompt)
	defer f.noticeClose(req)
	defer w.awaitThaw()
	if wasFrozen && req.Context().Err() != nil { // its connection was closed before it was begun
		w.beginClosed(id)
		return
	}
	f.mu.Lock()
	s := w.plan(w.Requests, id)
	w.Requests++
	w.Timeouts = append(w.Timeouts, req.Header.Get("X-Timeout-Ms"))
	fields := req.Header.Clone()
	fields.Set("Host", req.Host)
	w.Fields = append(w.Fields, fields)
	f.mu.Unlock()
	if s.Hangs {
		w.Freeze()
	}
	if !w.wait(req, s.Wait) {
		return
	}
	if s.Until != nil {
		select {
		case <-s.Until:
		case <-req.Context().Done():
			return
		case <-f.closed:
			return
		}
	}
	if s.Status != 0 {
		if s.NotRun {
			rw.Header().Set("X-Not-Processed", "1")
		} else if w.Kind == Answer {
			w.run(id)
		}
		rw.WriteHeader(s.Status)
		return
	}
	if w.Kind == Prompt {
		w.read(rw, id, s)
		return
	}
	w.write(rw, req, id, s)
}

// wait waits, unless the router gives up first.
func (w *Worker) wait(req *http.Request, d time.Duration) bool {
	if d <= 0 {
		return req.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-req.Context().Done():
	case <-w.f.closed:
	}
	return false
}

// run notes that an attempt at a writer may have run.
func (w *Worker) run(id string) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	if w.f.ran[id]++; w.f.ran[id] > 1 && unsafe(id) {
		w.f.breaks = append(w.f.breaks, id+" ran twice")
	}
}

// raw takes the connection over, writes and leaves it to the router to end.
func raw(rw http.ResponseWriter, text string, cut bool) {
	nc, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, text)
	if !cut {
		hang(nc)
	}
}

func (w *Worker) read(rw http.ResponseWriter, id string, s Script) {
	if s.Raw != "" || s.Cut {
		raw(rw, s.Raw, s.Cut)
		return
	}
	w.f.keepState(id, w)
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// Event is the nth event of a stream for a request.
func Event(id string, n int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %d\"}}]}\n\n", id, n)
}

func (w *Worker) write(rw http.ResponseWriter, req *http.Request, id string, s Script) {
	f := w.f
	if !f.fetch(id, w) {
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusGone)
		return
	}
	w.run(id)
	if s.Raw != "" || s.Cut {
		raw(rw, s.Raw, s.Cut)
		return
	}
	if s.Chunks == 0 {
		s.Chunks = 3
	}
	if s.Early+s.Tail+s.After == "" && !s.Break {
		w.stream(rw, req, id, s)
		return
	}
	nc, buf, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	buf.WriteString(s.Early)
	buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := range s.Chunks {
		e := Event(id, n)
		fmt.Fprintf(buf, "%x\r\n%s\r\n", len(e), e)
		if buf.Flush() != nil {
			return
		}
		select {
		case <-time.After(s.Gap):
		case <-f.closed:
			return
		}
	}
	switch {
	case s.Break:
		return
	case s.After != "":
		io.WriteString(nc, s.After)
		hang(nc)
		return
	}
	buf.WriteString("0\r\n\r\n" + s.Tail)
	buf.Flush()
	hang(nc) // it stays open, with whatever is behind the answer, and is of no further use
}

// stream answers well, on a connection that can be used again.
func (w *Worker) stream(rw http.ResponseWriter, req *http.Request, id string, s Script) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := range s.Chunks {
		if s.Step != nil {
			select {
			case <-s.Step:
			case <-req.Context().Done():
				return
			}
		}
		io.WriteString(rw, Event(id, n))
		rw.(http.Flusher).Flush()
		if !w.wait(req, s.Gap) {
			return
		}
	}
	w.f.mu.Lock()
	finished := w.finished
	w.f.mu.Unlock()
	if finished != nil {
		finished(id)
	}
}

// holdUnknown is after how long a place is answered that is not known.
const holdUnknown = 300 * time.Millisecond

func (w *Worker) hold(rw http.ResponseWriter, method, id string) {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if method == "DELETE" {
		w.Releases++
		f.letGo(id)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	w.Holds++
	if f.reads[id] > 0 {
		f.place(id, w)
		return
	}
	if !f.denies { // it answers that it does not know, and holds the place all the same
		f.place(id, w)
	}
	f.mu.Unlock()
	time.Sleep(holdUnknown)
	f.mu.Lock()
	rw.WriteHeader(http.StatusNoContent)
}

// Freeze has a worker stop running, as a process that is stopped does: connections come up, what is
// written to them waits, and nothing is noticed. Thaw has it go on.
func (w *Worker) Freeze() {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.frozen = make(chan struct{})
}

// Frozen tells whether a worker is stopped.
func (w *Worker) Frozen() bool {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	return w.frozen != nil
}

// Thaw has a frozen worker run again: what waits in its sockets is begun.
func (w *Worker) Thaw() { w.resume(false) }

// Join ends a cut that Freeze began: connections are reset, and nothing that was written meanwhile arrives.
func (w *Worker) Join() { w.resume(true) }

func (w *Worker) resume(reset bool) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.resets = reset
	close(w.frozen)
	w.frozen = nil
}

// awaitThaw waits while the worker is frozen, and tells whether it was.
func (w *Worker) awaitThaw() bool {
	w.f.mu.Lock()
	frozen := w.frozen
	w.f.mu.Unlock()
	if frozen == nil {
		return false
	}
	select {
	case <-frozen:
	case <-w.f.closed:
	}
	w.f.mu.Lock()
	reset := w.resets
	w.f.mu.Unlock()
	if reset {
		panic(http.ErrAbortHandler)
	}
	return true
}

// beginClosed has a worker that runs again begin a request whose connection was closed meanwhile. A read
// ends before the close is noticed; a write waits in the queue until it is.
func (w *Worker) beginClosed(id string) {
	if w.Kind == Prompt {
		time.Sleep(shortRead)
		w.f.keepState(id, w)
	}
}

// shortRead is what a read takes that ends before its worker notices the close of its connection.
const shortRead = 10 * time.Millisecond
