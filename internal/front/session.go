package front

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"gannethook/internal/http1"
	"gannethook/internal/realtime"
	"gannethook/internal/ws"
)

// session is one session of the Realtime API. The fields that mu doesn't guard belong to the goroutine that reads the
// connection.
type session struct {
	srv    *Server
	conn   *ws.Conn
	id     string
	since  time.Time
	model  string
	caller callerIdentity

	instructions string
	maxTokens    int
	items        []realtime.Item
	bytes        int // size of the conversation, as itemBytes counts it
	ids          int // ids of items and responses generated so far

	mu        sync.Mutex
	events    uint64               // number of events sent
	open      map[string]*response // by id
	finished  []realtime.Item      // answers that are not yet in the conversation
	active    *response            // the open response of the default conversation
	draining  bool                 // the router is draining: no new responses
	revoked   bool                 // the API key was revoked: no new responses
	responses int                  // requested so far
}

func (s *Server) session(conn *ws.Conn, req *http1.Request, caller callerIdentity) {
	c := &session{srv: s, conn: conn, caller: caller, since: time.Now(), id: fmt.Sprintf("sess_%s_%d", s.incarnation, s.serial.Add(1))}
	if _, query, ok := strings.Cut(req.Target, "?"); ok {
		if q, err := url.ParseQuery(query); err == nil {
			c.model = q.Get("model")
		}
	}
	draining, ok := s.addSession(c)
	if !ok {
		conn.Close(ws.CloseGoingAway, "the router stops")
		conn.Read()
		return
	}
	defer s.removeSession(c)
	c.send(&realtime.ServerEvent{Type: realtime.SessionCreated, Session: c.describe()})
	if draining {
		c.drain()
	}
	c.read()
	c.abandonAll()
}

func (c *session) describe() *realtime.Session {
	limit := realtime.Limit(c.maxTokens)
	return &realtime.Session{Type: "realtime", Object: "realtime.session", ID: c.id, Model: c.model,
		Instructions: &c.instructions, Modalities: []string{"text"}, MaxTokens: &limit, Router: c.srv.incarnation}
}

// read handles the client's events until the connection ends.
func (c *session) read() {
	for {
		op, msg, err := c.conn.Read()
		if err != nil {
			return
		}
		if op != ws.OpText {
			c.fail("", "invalid_request_error", "binary", "events are text", "")
			continue
		}
		ev, bad := realtime.ParseClient(msg)
		if bad != nil {
			c.sendError(bad)
			continue
		}
		c.handle(ev)
	}
}

func (c *session) handle(ev *realtime.Client) {
	switch ev.Type {
	case realtime.SessionUpdate:
		c.update(ev)
	case realtime.ItemCreate:
		c.addItem(ev)
	case realtime.ItemDelete:
		c.deleteItem(ev)
	case realtime.ResponseCreate:
		c.respond(ev)
	case realtime.ResponseCancel:
		c.cancel(ev)
	default:
		c.fail(ev.EventID, "invalid_request_error", "unknown_event", "this router does not know "+
			fmt.Sprintf("%.64q", ev.Type), "type")
	}
}

// send writes an event. Event ids are numbered in the order of sending.
func (c *session) send(ev *realtime.ServerEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(ev)
}

func (c *session) sendLocked(ev *realtime.ServerEvent) {
	c.events++
	ev.EventID = fmt.Sprintf("event_%d", c.events)
	msg, err := json.Marshal(ev)
	if err != nil {
		return // can't happen with these types
	}
	c.conn.Send(msg)
}

func (c *session) sendError(e *realtime.Error) {
	c.send(&realtime.ServerEvent{Type: realtime.ErrorType, Error: e})
}

func (c *session) fail(eventID, kind, code, msg, param string) {
	c.sendError(&realtime.Error{Type: kind, Code: code, Message: msg, Param: param, EventID: eventID})
}

func textOnly(modalities []string) bool {
	return len(modalities) == 0 || len(modalities) == 1 && modalities[0] == "text"
}

func (c *session) update(ev *realtime.Client) {
	if ev.Session == nil {
		c.fail(ev.EventID, "invalid_request_error", "missing_field", "session.update has no session", "session")
		return
	}
	if !textOnly(ev.Session.Modalities) {
		c.fail(ev.EventID, "invalid_request_error", "unsupported", "this router speaks text", "session.output_modalities")
		return
	}
	if ev.Session.Instructions != nil {
		if len(*ev.Session.Instructions) > int(c.srv.cfg.Load().Sessions.MaxConversation) {
			c.fail(ev.EventID, "invalid_request_error", "too_long", "the instructions are too long", "session.instructions")
			return
		}
		c.instructions = *ev.Session.Instructions
	}
	if ev.Session.MaxTokens != nil {
		c.maxTokens = int(*ev.Session.MaxTokens)
	}
	c.send(&realtime.ServerEvent{Type: realtime.SessionUpdated, Session: c.describe()})
}

func (c *session) newID(kind string) string {
	c.ids++
	return fmt.Sprintf("%s_%s_%d", kind, c.id[len("sess_"):], c.ids)
}

func (c *session) addItem(ev *realtime.Client) {
	if ev.Item == nil || ev.Item.Type != "message" || !slices.Contains([]string{"user", "system", "assistant"}, ev.Item.Role) {
		c.fail(ev.EventID, "invalid_request_error", "invalid_item", "an item is a message of user, system or assistant", "item")
		return
	}
	item := *ev.Item
	text, ok := item.Text()
	if !ok || len(item.ID) > realtime.MaxMetaKey {
		c.fail(ev.EventID, "invalid_request_error", "invalid_item", "an item's parts are texts; its id has 64 bytes at most", "item")
		return
	}
	if c.bytes+itemBytes(text) > int(c.srv.cfg.Load().Sessions.MaxConversation) {
		c.fail(ev.EventID, "invalid_request_error", "too_long", "the conversation is full; delete items", "item")
		return
	}
	if item.ID == "" {
		item.ID = c.newID("item")
	} else if c.find(item.ID) >= 0 {
		c.fail(ev.EventID, "invalid_request_error", "item_exists", "an item has this id", "item.id")
		return
	}
	item.Object, item.Status = "realtime.item", "completed"
	c.bytes += itemBytes(text)
	c.items = append(c.items, item)
	c.send(&realtime.ServerEvent{Type: realtime.ItemAdded, Item: &item})
	c.send(&realtime.ServerEvent{Type: realtime.ItemDone, Item: &item})
}

// itemBytes returns the size of an item for the limit of a conversation: its text plus a flat 128 bytes, since empty
// items take memory too.
func itemBytes(text string) int { return len(text) + 128 }

func (c *session) find(id string) int {
	return slices.IndexFunc(c.items, func(i realtime.Item) bool { return i.ID == id })
}

func (c *session) deleteItem(ev *realtime.Client) {
	c.appendAnswers()
	i := c.find(ev.ItemID)
	if i < 0 {
		c.fail(ev.EventID, "invalid_request_error", "item_not_found", "no item has this id", "item_id")
		return
	}
	text, _ := c.items[i].Text()
	c.bytes -= itemBytes(text)
	c.items = slices.Delete(c.items, i, i+1)
	c.send(&realtime.ServerEvent{Type: realtime.ItemDeleted, ItemID: ev.ItemID})
}

func (c *session) cancel(ev *realtime.Client) {
	c.mu.Lock()
	r := c.active
	if ev.ResponseID != "" {
		r = c.open[ev.ResponseID]
	}
	c.mu.Unlock()
	if r == nil || r.ticket == nil {
		c.fail(ev.EventID, "invalid_request_error", "response_cancel_not_active", "no such response is open", "response_id")
		return
	}
	r.ticket.Abandon()
}

// abandonAll cancels the open responses when the connection has ended.
func (c *session) abandonAll() {
	c.mu.Lock()
	var calls []*response
	for _, r := range c.open {
		calls = append(calls, r)
	}
	c.mu.Unlock()
	for _, r := range calls {
		r.ticket.Abandon()
	}
}

// info describes the session for operators.
func (c *session) info() SessionInfo {
	c.mu.Lock()
	defer c.mu.Unlock()
	return SessionInfo{ID: c.id, Since: c.since, OpenResponses: len(c.open), Responses: c.responses, Draining: c.draining}
}

// drain refuses new responses and closes the session as soon as none is open.
func (c *session) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	if len(c.open) == 0 {
		c.closeWithReason()
	}
}

// revoke handles a revoked API key: new responses are refused, and the session closes as soon as none is open.
func (c *session) revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = true
	if len(c.open) == 0 {
		c.closeWithReason()
	}
}

// closeWithReason closes the connection if the session is revoked or draining.
func (c *session) closeWithReason() {
	switch {
	case c.revoked:
		c.conn.Close(ws.ClosePolicy, "the API key was taken back")
	case c.draining:
		c.conn.Close(ws.CloseGoingAway, "the router stops")
	}
}
