package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// ServeHTTP answers reads, writes, holds and releases as a worker does, following its script.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if id, ok := strings.CutPrefix(req.URL.Path, "/v1/holds/"); ok {
		w.awaitThaw()
		w.serveHold(rw, req.Method, id)
		return
	}
	id := req.Header.Get("X-Request-ID")
	body, err := io.ReadAll(req.Body)
	if err != nil || id == "" {
		http.Error(rw, "no id", http.StatusNotFound)
		return
	}
	f := w.fleet
	wasFrozen := w.awaitThaw()
	f.beginAttempt(w, id, req.URL.String()+string(body), w.Kind == Prompt)
	defer f.beginUnsafe(w, id, req)()
	defer f.endAttempt(id, w.Kind == Prompt)
	defer f.awaitCloseObserved(req)
	defer w.awaitThaw()
	if wasFrozen && req.Context().Err() != nil { // the connection was closed before the request was started
		w.beginClosedRequest(id)
		return
	}
	f.mu.Lock()
	s := w.script(w.Requests, id)
	w.Requests++
	w.Timeouts = append(w.Timeouts, req.Header.Get("X-Timeout-Ms"))
	fields := req.Header.Clone()
	fields.Set("Host", req.Host)
	w.ReceivedHeaders = append(w.ReceivedHeaders, fields)
	f.mu.Unlock()
	if s.Freeze {
		w.Freeze()
	}
	if !w.sleep(req, s.Delay) {
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
		if s.NotProcessed {
			rw.Header().Set("X-Not-Processed", "1")
		} else if w.Kind == Answer {
			w.recordExecution(id)
		}
		rw.WriteHeader(s.Status)
		return
	}
	if w.Kind == Prompt {
		w.serveRead(rw, id, s)
		return
	}
	w.serveWrite(rw, req, id, s)
}

// sleep waits for d. It returns false if the router closes the connection first, or the fleet is closed.
func (w *Worker) sleep(req *http.Request, d time.Duration) bool {
	if d <= 0 {
		return req.Context().Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-req.Context().Done():
	case <-w.fleet.closed:
	}
	return false
}

// recordExecution records that an attempt at a writer may have run.
func (w *Worker) recordExecution(id string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.fleet.executions[id]++; w.fleet.executions[id] > 1 && isUnsafe(id) {
		w.fleet.violations = append(w.fleet.violations, id+" ran twice")
	}
}

// writeRaw hijacks the connection, writes text, and closes it if disconnect is set, or else after the router has.
func writeRaw(rw http.ResponseWriter, text string, disconnect bool) {
	nc, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	io.WriteString(nc, text)
	if !disconnect {
		awaitDisconnect(nc)
	}
}

func (w *Worker) serveRead(rw http.ResponseWriter, id string, s Script) {
	if s.Raw != "" || s.Disconnect {
		writeRaw(rw, s.Raw, s.Disconnect)
		return
	}
	w.fleet.storeState(id, w)
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// Event returns the nth event of the stream for a request.
func Event(id string, n int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %d\"}}]}\n\n", id, n)
}

func (w *Worker) serveWrite(rw http.ResponseWriter, req *http.Request, id string, s Script) {
	f := w.fleet
	if !f.fetchState(id, w) {
		rw.Header().Set("X-Not-Processed", "1")
		rw.WriteHeader(http.StatusGone)
		return
	}
	w.recordExecution(id)
	if s.Raw != "" || s.Disconnect {
		writeRaw(rw, s.Raw, s.Disconnect)
		return
	}
	if s.Events == 0 {
		s.Events = 3
	}
	if s.RawBefore+s.RawTail+s.RawAfter == "" && !s.DisconnectAfter {
		w.streamEvents(rw, req, id, s)
		return
	}
	nc, buf, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer nc.Close()
	buf.WriteString(s.RawBefore)
	buf.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := range s.Events {
		e := Event(id, n)
		fmt.Fprintf(buf, "%x\r\n%s\r\n", len(e), e)
		if buf.Flush() != nil {
			return
		}
		select {
		case <-time.After(s.EventGap):
		case <-f.closed:
			return
		}
	}
	switch {
	case s.DisconnectAfter:
		return
	case s.RawAfter != "":
		io.WriteString(nc, s.RawAfter)
		awaitDisconnect(nc)
		return
	}
	buf.WriteString("0\r\n\r\n" + s.RawTail)
	buf.Flush()
	awaitDisconnect(nc) // the connection stays open, but can't be used again after RawTail
}

// streamEvents writes a well-formed stream on a connection that can be used again.
func (w *Worker) streamEvents(rw http.ResponseWriter, req *http.Request, id string, s Script) {
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := range s.Events {
		if s.Step != nil {
			select {
			case <-s.Step:
			case <-req.Context().Done():
				return
			}
		}
		io.WriteString(rw, Event(id, n))
		rw.(http.Flusher).Flush()
		if !w.sleep(req, s.EventGap) {
			return
		}
	}
	w.fleet.mu.Lock()
	onStreamEnd := w.onStreamEnd
	w.fleet.mu.Unlock()
	if onStreamEnd != nil {
		onStreamEnd(id)
	}
}

// unknownHoldDelay is the time until a hold is answered whose read is not known.
const unknownHoldDelay = 300 * time.Millisecond

func (w *Worker) serveHold(rw http.ResponseWriter, method, id string) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if method == "DELETE" {
		w.Releases++
		f.release(id)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	w.Holds++
	if f.readsInFlight[id] > 0 {
		f.reservePlace(id, w)
		return
	}
	if !f.denyUnknown { // by default the place is held although the answer says that the read is not known
		f.reservePlace(id, w)
	}
	f.mu.Unlock()
	time.Sleep(unknownHoldDelay)
	f.mu.Lock()
	rw.WriteHeader(http.StatusNoContent)
}

// Freeze makes a worker behave like a stopped process: connections are established, what is written to
// them waits in their sockets, and closes are not observed. Thaw ends it.
func (w *Worker) Freeze() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.frozen = make(chan struct{})
}

// Frozen reports whether a worker is frozen.
func (w *Worker) Frozen() bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.frozen != nil
}

// Thaw makes a frozen worker run again: requests that wait in its sockets are started.
func (w *Worker) Thaw() { w.resume(false) }

// Reconnect ends a freeze that stands for a network partition: connections are reset, and nothing that was written
// meanwhile arrives.
func (w *Worker) Reconnect() { w.resume(true) }

func (w *Worker) resume(reset bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.resetOnThaw = reset
	close(w.frozen)
	w.frozen = nil
}

// awaitThaw waits while the worker is frozen, and reports whether it was. It aborts the request if Reconnect ended the
// freeze.
func (w *Worker) awaitThaw() bool {
	w.fleet.mu.Lock()
	frozen := w.frozen
	w.fleet.mu.Unlock()
	if frozen == nil {
		return false
	}
	select {
	case <-frozen:
	case <-w.fleet.closed:
	}
	w.fleet.mu.Lock()
	reset := w.resetOnThaw
	w.fleet.mu.Unlock()
	if reset {
		panic(http.ErrAbortHandler)
	}
	return true
}

// beginClosedRequest starts a request whose connection was closed while the worker was frozen. A read ends before
// the close is observed; a write waits in the queue until then.
func (w *Worker) beginClosedRequest(id string) {
	if w.Kind == Prompt {
		time.Sleep(shortReadTime)
		w.fleet.storeState(id, w)
	}
}

// shortReadTime is the duration of a read that ends before its worker observes the close of its connection.
const shortReadTime = 10 * time.Millisecond
