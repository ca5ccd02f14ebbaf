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

// session is one client's connection. Its fields but those under mu belong to
// the goroutine that reads it.
type session struct {
	srv   *Server
	conn  *ws.Conn
	id    string
	since time.Time
	model string
	who   caller

	instructions string
	maxTokens    int
	items        []realtime.Item
	size         int // what the items cost, in bytes
	made         int // items and responses named so far

	mu      sync.Mutex
	events  uint64               // sent so far
	open    map[string]*response // by id
	answers []realtime.Item      // ended, not yet of the conversation
	main    *response            // of the default conversation
	going   bool                 // the router stops: nothing new
	revoked bool                 // its key was taken back: the same
	asked   int                  // responses so far
}

func (s *Server) session(conn *ws.Conn, req *http1.Request, who caller) {
	c := &session{srv: s, conn: conn, who: who, since: time.Now(), id: fmt.Sprintf("sess_%s_%d", s.boot, s.serial.Add(1))}
	if _, query, ok := strings.Cut(req.Target, "?"); ok {
		if q, err := url.ParseQuery(query); err == nil {
			c.model = q.Get("model")
		}
	}
	going, ok := s.join(c)
	if !ok {
		conn.Close(ws.CloseGoingAway, "the router stops")
		conn.Read()
		return
	}
	defer s.leave(c)
	c.send(&realtime.Server{Type: realtime.SessionCreated, Session: c.describe()})
	if going {
		c.drain()
	}
	c.read()
	c.abandonAll()
}

func (c *session) describe() *realtime.Session {
	limit := realtime.Limit(c.maxTokens)
	return &realtime.Session{Type: "realtime", Object: "realtime.session", ID: c.id, Model: c.model,
		Instructions: &c.instructions, Modalities: []string{"text"}, MaxTokens: &limit, Router: c.srv.boot}
}

// read takes the client's events until the connection ends.
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

// send writes an event; its number is in the order of sending.
func (c *session) send(ev *realtime.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(ev)
}

func (c *session) sendLocked(ev *realtime.Server) {
	c.events++
	ev.EventID = fmt.Sprintf("event_%d", c.events)
	msg, err := json.Marshal(ev)
	if err != nil {
		return // none of these types fails
	}
	c.conn.Send(msg)
}

func (c *session) sendError(e *realtime.Error) {
	c.send(&realtime.Server{Type: realtime.ErrorType, Error: e})
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
		if len(*ev.Session.Instructions) > int(c.srv.cfg.Load().Sessions.Conversation) {
			c.fail(ev.EventID, "invalid_request_error", "too_long", "the instructions are too long", "session.instructions")
			return
		}
		c.instructions = *ev.Session.Instructions
	}
	if ev.Session.MaxTokens != nil {
		c.maxTokens = int(*ev.Session.MaxTokens)
	}
	c.send(&realtime.Server{Type: realtime.SessionUpdated, Session: c.describe()})
}

func (c *session) name(kind string) string {
	c.made++
	return fmt.Sprintf("%s_%s_%d", kind, c.id[len("sess_"):], c.made)
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
	if c.size+cost(text) > int(c.srv.cfg.Load().Sessions.Conversation) {
		c.fail(ev.EventID, "invalid_request_error", "too_long", "the conversation is full; delete items", "item")
		return
	}
	if item.ID == "" {
		item.ID = c.name("item")
	} else if c.find(item.ID) >= 0 {
		c.fail(ev.EventID, "invalid_request_error", "item_exists", "an item has this id", "item.id")
		return
	}
	item.Object, item.Status = "realtime.item", "completed"
	c.size += cost(text)
	c.items = append(c.items, item)
	c.send(&realtime.Server{Type: realtime.ItemAdded, Item: &item})
	c.send(&realtime.Server{Type: realtime.ItemDone, Item: &item})
}

// cost is what an item counts for in the conversation's bound: empty ones too
// take memory.
func cost(text string) int { return len(text) + 128 }

func (c *session) find(id string) int {
	return slices.IndexFunc(c.items, func(i realtime.Item) bool { return i.ID == id })
}

func (c *session) deleteItem(ev *realtime.Client) {
	c.takeAnswers()
	i := c.find(ev.ItemID)
	if i < 0 {
		c.fail(ev.EventID, "invalid_request_error", "item_not_found", "no item has this id", "item_id")
		return
	}
	text, _ := c.items[i].Text()
	c.size -= cost(text)
	c.items = slices.Delete(c.items, i, i+1)
	c.send(&realtime.Server{Type: realtime.ItemDeleted, ItemID: ev.ItemID})
}

func (c *session) cancel(ev *realtime.Client) {
	c.mu.Lock()
	r := c.main
	if ev.ResponseID != "" {
		r = c.open[ev.ResponseID]
	}
	c.mu.Unlock()
	if r == nil || r.call == nil {
		c.fail(ev.EventID, "invalid_request_error", "response_cancel_not_active", "no such response is open", "response_id")
		return
	}
	r.call.Abandon()
}

// abandonAll takes back what is open when the connection has ended.
func (c *session) abandonAll() {
	c.mu.Lock()
	var calls []*response
	for _, r := range c.open {
		calls = append(calls, r)
	}
	c.mu.Unlock()
	for _, r := range calls {
		r.call.Abandon()
	}
}

// sight shows the session.
func (c *session) sight() Sight {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Sight{ID: c.id, Since: c.since, Open: len(c.open), Made: c.asked, Going: c.going}
}

// drain closes the session as soon as no response is open.
func (c *session) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.going = true
	if len(c.open) == 0 {
		c.part()
	}
}

// revoke closes the session as soon as no response is open: its key was taken back.
func (c *session) revoke() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revoked = true
	if len(c.open) == 0 {
		c.part()
	}
}

// part closes a session that takes nothing more.
func (c *session) part() {
	switch {
	case c.revoked:
		c.conn.Close(ws.ClosePolicy, "the API key was taken back")
	case c.going:
		c.conn.Close(ws.CloseGoingAway, "the router stops")
	}
}
