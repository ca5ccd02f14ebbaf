// Package client opens sessions at a router and asks for answers. The chat
// command, the demo and the days use it.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"gannethook/internal/front"
	"gannethook/internal/realtime"
	"gannethook/internal/ws"
)

// Session is one open session. One goroutine uses it at a time; another reads,
// so that the router's pings are answered while its user thinks.
type Session struct {
	conn   *ws.Conn
	Info   realtime.Session
	events chan received
	cut    chan struct{}
	once   sync.Once
	err    error // once the session has ended
}

type received struct {
	msg []byte
	err error
}

// ahead is how many events may wait for their user; then the socket does.
const ahead = 64

// Answer is how a response ended.
type Answer struct {
	Status     string // completed, failed or cancelled
	Code       string // of a failed one: refused or failed
	Reason     string
	RetryAfter time.Duration
	Text       string
	Tokens     int
	First      time.Duration // until the first token; 0: none
	Whole      time.Duration
}

// ErrClosed tells that the session ended without a final answer.
var ErrClosed = errors.New("the session ended without a final answer")

// Open dials a router.
func Open(ctx context.Context, addr, model string) (*Session, error) {
	path := front.Path
	if model != "" {
		path += "?model=" + model
	}
	conn, err := ws.Dial(ctx, addr, path, "realtime", ws.DefaultLimits())
	if err != nil {
		return nil, err
	}
	s := &Session{conn: conn, events: make(chan received, ahead), cut: make(chan struct{})}
	go s.read()
	ev, err := s.Next()
	if err == nil && (ev.Type != realtime.SessionCreated || ev.Session == nil) {
		err = fmt.Errorf("the router began with %q", ev.Type)
	}
	if err != nil {
		s.Cut()
		return nil, err
	}
	s.Info = *ev.Session
	return s, nil
}

// Close ends the session politely; Cut ends it at once.
func (s *Session) Close() { s.CloseWith(func(*realtime.Server) {}) }

func (s *Session) read() {
	for {
		_, msg, err := s.conn.Read()
		select {
		case s.events <- received{msg, err}:
		case <-s.cut:
			return
		}
		if err != nil {
			return
		}
	}
}

// CloseWith is Close; what the router still sends goes to seen.
func (s *Session) CloseWith(seen func(*realtime.Server)) {
	defer s.Cut()
	s.conn.Close(ws.CloseNormal, "")
	for {
		ev, err := s.Next()
		if err != nil {
			return
		}
		seen(ev)
	}
}

// Cut ends the connection without a word.
func (s *Session) Cut() {
	s.once.Do(func() { close(s.cut) })
	s.conn.Cut()
}

// Next is the router's next event.
func (s *Session) Next() (*realtime.Server, error) {
	if s.err != nil {
		return nil, s.err
	}
	var r received
	select {
	case r = <-s.events:
	case <-s.cut:
		r.err = net.ErrClosed
	}
	if s.err = r.err; s.err != nil {
		return nil, s.err
	}
	var ev realtime.Server
	if err := json.Unmarshal(r.msg, &ev); err != nil {
		return nil, fmt.Errorf("the router's event: %w", err)
	}
	return &ev, nil
}

func (s *Session) send(v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.conn.Send(b)
}

// Say adds a message of the user to the conversation.
func (s *Session) Say(text string) error {
	return s.send(map[string]any{"type": realtime.ItemCreate, "item": realtime.Item{Type: "message", Role: "user",
		Content: []realtime.Part{{Type: "input_text", Text: text}}}})
}

// Delete takes an item out of the conversation.
func (s *Session) Delete(id string) error {
	return s.send(map[string]any{"type": realtime.ItemDelete, "item_id": id})
}

// Request starts a response without waiting for it.
func (s *Session) Request(metadata map[string]string, maxTokens int) error {
	response := map[string]any{"metadata": maps.Clone(metadata)}
	if maxTokens > 0 {
		response["max_output_tokens"] = maxTokens
	}
	return s.send(map[string]any{"type": realtime.ResponseCreate, "response": response})
}

// RequestApart starts a response outside the conversation, on a prompt of its own.
func (s *Session) RequestApart(text string, metadata map[string]string, maxTokens int) error {
	return s.send(map[string]any{"type": realtime.ResponseCreate, "response": map[string]any{
		"conversation": "none", "metadata": metadata, "max_output_tokens": maxTokens,
		"input": []realtime.Item{{Type: "message", Role: "user", Content: []realtime.Part{{Type: "input_text", Text: text}}}}}})
}

// Cancel takes the open response back.
func (s *Session) Cancel() error { return s.send(map[string]any{"type": realtime.ResponseCancel}) }

// Wait reads to the final answer; token is called with each part of the text.
// An error event is an error here: the response was not taken.
func (s *Session) Wait(token func(text string)) (*Answer, error) {
	from := time.Now()
	a := &Answer{}
	for {
		ev, err := s.Next()
		if err != nil {
			return a, fmt.Errorf("%w: %w", ErrClosed, err)
		}
		switch ev.Type {
		case realtime.TextDelta:
			if a.Tokens++; a.Tokens == 1 {
				a.First = time.Since(from)
			}
			a.Text += ev.Delta
			if token != nil {
				token(ev.Delta)
			}
		case realtime.ErrorType:
			return a, fmt.Errorf("the router: %s: %s", ev.Error.Code, ev.Error.Message)
		case realtime.ResponseDone:
			a.Whole, a.Status = time.Since(from), ev.Response.Status
			if d := ev.Response.Details; d != nil && d.Error != nil {
				a.Code, a.Reason = d.Error.Code, d.Error.Message
				if d.Error.RetryAfterMS != nil {
					a.RetryAfter = time.Duration(*d.Error.RetryAfterMS) * time.Millisecond
				}
			}
			return a, nil
		}
	}
}

// Kind is the answer in the project's words.
func (a *Answer) Kind() string {
	switch {
	case a.Status == "completed":
		return "served"
	case a.Status == "cancelled":
		return "cancelled"
	case a.Code == realtime.CodeRefused:
		return "refused"
	}
	return "failed"
}
