// Package client is a client of the router: sessions of the Realtime API and connections of the HTTP APIs. The chat
// command, the demo and the scenarios use it.
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

// Session is an open session. Only one goroutine may use it at a time. A goroutine of its own reads the connection, so
// that pings are answered while the caller is idle.
type Session struct {
	conn      *ws.Conn
	Info      realtime.Session
	events    chan received
	closed    chan struct{}
	closeOnce sync.Once
	err       error // set once the session has ended
}

type received struct {
	msg []byte
	err error
}

// eventBuffer is the number of events that may wait for Next before reading from the connection pauses.
const eventBuffer = 64

// Answer is the result of a response.
type Answer struct {
	Status           string // completed, failed or cancelled
	Code             string // of a failed response: refused or failed
	Reason           string
	RetryAfter       time.Duration
	Text             string
	Tokens           int
	TimeToFirstToken time.Duration // from the call of Wait to the first token; 0: no token
	Duration         time.Duration
}

// ErrClosed is returned if the session ended before the final answer.
var ErrClosed = errors.New("the session ended before the final answer")

// Open connects to a router and waits for session.created.
func Open(ctx context.Context, addr, model string) (*Session, error) {
	path := front.SessionPath
	if model != "" {
		path += "?model=" + model
	}
	conn, err := ws.Dial(ctx, addr, path, "realtime", ws.DefaultLimits())
	if err != nil {
		return nil, err
	}
	s := &Session{conn: conn, events: make(chan received, eventBuffer), closed: make(chan struct{})}
	go s.readLoop()
	ev, err := s.Next()
	if err == nil && (ev.Type != realtime.SessionCreated || ev.Session == nil) {
		err = fmt.Errorf("first event from the router is %q, not session.created", ev.Type)
	}
	if err != nil {
		s.Abort()
		return nil, err
	}
	s.Info = *ev.Session
	return s, nil
}

// Close ends the session with a closing handshake.
func (s *Session) Close() { s.CloseWith(func(*realtime.ServerEvent) {}) }

func (s *Session) readLoop() {
	for {
		_, msg, err := s.conn.Read()
		select {
		case s.events <- received{msg, err}:
		case <-s.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// CloseWith is Close, and passes the events that the router still sends to seen.
func (s *Session) CloseWith(seen func(*realtime.ServerEvent)) {
	defer s.Abort()
	s.conn.Close(ws.CloseNormal, "")
	for {
		ev, err := s.Next()
		if err != nil {
			return
		}
		seen(ev)
	}
}

// Abort closes the connection at once, without a closing handshake.
func (s *Session) Abort() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.conn.Abort()
}

// Next returns the next event from the router.
func (s *Session) Next() (*realtime.ServerEvent, error) {
	if s.err != nil {
		return nil, s.err
	}
	var r received
	select {
	case r = <-s.events:
	case <-s.closed:
		r.err = net.ErrClosed
	}
	if s.err = r.err; s.err != nil {
		return nil, s.err
	}
	var ev realtime.ServerEvent
	if err := json.Unmarshal(r.msg, &ev); err != nil {
		return nil, fmt.Errorf("event from the router: %w", err)
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

// AddMessage adds a user message to the conversation.
func (s *Session) AddMessage(text string) error {
	return s.send(map[string]any{"type": realtime.ItemCreate, "item": realtime.Item{Type: "message", Role: "user",
		Content: []realtime.Part{{Type: "input_text", Text: text}}}})
}

// DeleteItem deletes an item of the conversation.
func (s *Session) DeleteItem(id string) error {
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

// RequestOutOfBand starts a response outside of the default conversation (out-of-band), with its own prompt.
func (s *Session) RequestOutOfBand(text string, metadata map[string]string, maxTokens int) error {
	return s.send(map[string]any{"type": realtime.ResponseCreate, "response": map[string]any{
		"conversation": "none", "metadata": metadata, "max_output_tokens": maxTokens,
		"input": []realtime.Item{{Type: "message", Role: "user", Content: []realtime.Part{{Type: "input_text", Text: text}}}}}})
}

// Cancel cancels the open response.
func (s *Session) Cancel() error { return s.send(map[string]any{"type": realtime.ResponseCancel}) }

// Wait reads events until the final answer and calls token with each delta of the text. An error event is returned as an
// error: the response was not accepted.
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
				a.TimeToFirstToken = time.Since(from)
			}
			a.Text += ev.Delta
			if token != nil {
				token(ev.Delta)
			}
		case realtime.ErrorType:
			return a, fmt.Errorf("error event from the router: %s: %s", ev.Error.Code, ev.Error.Message)
		case realtime.ResponseDone:
			a.Duration, a.Status = time.Since(from), ev.Response.Status
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

// Outcome returns the outcome: served, cancelled, refused or failed.
func (a *Answer) Outcome() string {
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
