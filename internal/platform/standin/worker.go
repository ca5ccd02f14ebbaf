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
	f.begin(id, req.URL.String()+string(body), w.Kind == Prompt)
	defer f.end(id)
	f.mu.Lock()
	s := w.plan(w.Requests, id)
	w.Requests++
	w.Timeouts = append(w.Timeouts, req.Header.Get("X-Timeout-Ms"))
	fields := req.Header.Clone()
	fields.Set("Host", req.Host)
	w.Fields = append(w.Fields, fields)
	f.mu.Unlock()
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
	w.f.mu.Lock()
	w.f.states[id] = w.UID
	w.f.mu.Unlock()
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// Event is the nth event of a stream for a request.
func Event(id string, n int) string {
	return fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s %d\"}}]}\n\n", id, n)
}

func (w *Worker) write(rw http.ResponseWriter, req *http.Request, id string, s Script) {
	f := w.f
	f.mu.Lock()
	_, ok := f.states[id]
	delete(f.states, id)
	delete(f.places, id)
	f.mu.Unlock()
	if !ok {
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

func (w *Worker) hold(rw http.ResponseWriter, method, id string) {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	if method == "DELETE" {
		w.Releases++
		f.unpin(id)
		delete(f.states, id)
		delete(f.places, id)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	w.Holds++
	switch {
	case !f.reading[id]:
		rw.WriteHeader(http.StatusNoContent)
	case f.places[id] != "":
		rw.WriteHeader(http.StatusConflict)
	default:
		f.places[id] = w.UID
	}
}
