package front

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gannethook"
	"gannethook/internal/admission"
	"gannethook/internal/driver"
	"gannethook/internal/idempotency"
	"gannethook/internal/realtime"
	"gannethook/internal/settings"
)

// response is one open response; it is the driver's sink.
type response struct {
	c        *session
	id, item string
	metadata map[string]string
	input    int // tokens
	key      idempotency.Scope
	apart    bool // outside the default conversation
	call     *admission.Ticket

	// Under the session's mu:
	begun bool
	done  bool
	text  []byte // of the answer, a JSON string without its quotes
	long  bool   // it has more text than a message may; the final events leave it out
	event []byte // kept from token to token
}

// badField tells what is wrong with one field of a client's event.
type badField struct{ param, msg string }

// respond starts a response.
func (c *session) respond(ev *realtime.Client) {
	c.takeAnswers()
	p := ev.Response
	if p == nil {
		p = &realtime.Params{}
	}
	job, retry, bad := c.job(p)
	if bad != nil {
		c.fail(ev.EventID, "invalid_request_error", "invalid_value", bad.msg, bad.param)
		return
	}
	r := &response{c: c, id: c.name("resp"), item: c.name("item"), metadata: p.Metadata, input: int(job.PromptSize),
		apart: p.Conversation == "none", key: idempotency.Scope{Tenant: job.Tenant, Class: job.Class, Key: job.Idempotency}}
	if code, msg := c.enter(r); code != "" {
		c.fail(ev.EventID, "invalid_request_error", code, msg, "")
		return
	}
	switch v := c.srv.guard.begin(r.key, retry); v {
	case idempotency.Proceed:
		tried := retry || triedBefore(func(name string) (string, bool) { v, ok := p.Metadata[name]; return v, ok })
		r.call = c.srv.in.Submit(admission.Job{Job: job, Client: c.srv.client(c.who, job.Tenant), Retry: tried}, r)
	case idempotency.TableFull:
		r.turnAway(&job, driver.Answer{Outcome: driver.Refused, RetryAfter: c.srv.cfg.Load().Limits.RetryAfter,
			Reason: "too many keys are remembered"})
	default:
		r.turnAway(&job, driver.Answer{Outcome: driver.Failed, Reason: "an earlier try with this key: " + v.String()})
	}
}

// turnAway answers what was not handed to the driver: nothing of this try has run.
func (r *response) turnAway(job *driver.Job, a driver.Answer) {
	r.close(a)
	r.c.srv.done(driver.Summary{Session: job.SessionID, Class: job.ClassName, Outcome: a.Outcome, Reason: a.Reason,
		RetryAfter: a.RetryAfter, PromptSize: job.PromptSize})
}

// enter opens a response, if the session may have one more.
func (c *session) enter(r *response) (code, msg string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.revoked || c.who.key != "" && !c.srv.keys.Load().Good(time.Now(), c.who.key): // it may have ended by its time
		return "invalid_api_key", "the session's API key was taken back"
	case c.going:
		return "going_away", "the router stops; open a session elsewhere"
	case !r.apart && c.main != nil:
		return "conversation_already_has_active_response", "the conversation has an open response"
	case len(c.open) >= c.srv.cfg.Load().Sessions.Responses:
		return "too_many_responses", "the session has too many open responses"
	}
	if c.open == nil {
		c.open = map[string]*response{}
	}
	c.open[r.id] = r
	c.asked++
	if !r.apart {
		c.main = r
	}
	c.sendLocked(&realtime.Server{Type: realtime.ResponseCreated, Response: r.describe("in_progress")})
	return "", ""
}

func (r *response) describe(status string) *realtime.Response {
	return &realtime.Response{Object: "realtime.response", ID: r.id, Status: status, Output: []realtime.Item{},
		Metadata: r.metadata}
}

// Token passes a token on. Only the attempt that streams calls it; a slow client
// holds that one up, outside of the session's lock, and nobody else.
func (r *response) Token(text []byte) bool {
	c := r.c
	c.conn.Room()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return false
	}
	if !r.begun {
		r.begin()
	}
	if len(r.text)+len(text) <= int(c.srv.cfg.Load().Sessions.Message) {
		r.text = append(r.text, text[1:len(text)-1]...)
	} else {
		r.long = true
	}
	c.events++
	r.event = realtime.AppendDelta(r.event[:0], c.events, r.id, r.item, text)
	return c.conn.Send(r.event) == nil
}

func (r *response) begin() {
	r.begun = true
	item := realtime.Item{ID: r.item, Object: "realtime.item", Type: "message", Status: "in_progress",
		Role: "assistant", Content: []realtime.Part{}}
	r.c.sendLocked(&realtime.Server{Type: realtime.OutputItemAdded, ResponseID: r.id, Item: &item})
	r.c.sendLocked(&realtime.Server{Type: realtime.PartAdded, ResponseID: r.id, ItemID: r.item})
}

// Final writes the final answer, once, and nothing of the response after it.
func (r *response) Final(a driver.Answer) {
	r.c.srv.guard.end(r.key, a.MayHaveRun)
	r.close(a)
}

func (r *response) close(a driver.Answer) {
	c := r.c
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	status, details := verdict(a)
	res := r.describe(status)
	res.Details = details
	res.Usage = &realtime.Usage{Total: r.input + a.Tokens, Input: r.input, Output: a.Tokens}
	if r.begun {
		res.Output = append(res.Output, r.finishItem(status))
	}
	c.sendLocked(&realtime.Server{Type: realtime.ResponseDone, Response: res})
	delete(c.open, r.id)
	if c.main == r {
		c.main = nil
	}
	if len(c.open) == 0 {
		c.part()
	}
}

// finishItem ends the answer's item; a partial one is told as such.
func (r *response) finishItem(status string) realtime.Item {
	var text string
	if r.long {
		r.text = nil
	}
	json.Unmarshal(slices.Concat([]byte{'"'}, r.text, []byte{'"'}), &text) // checked token by token
	item := realtime.Item{ID: r.item, Object: "realtime.item", Type: "message", Status: "completed",
		Role: "assistant", Content: []realtime.Part{{Type: "output_text", Text: text}}}
	if status != "completed" {
		item.Status = "incomplete"
	}
	c := r.c
	c.sendLocked(&realtime.Server{Type: realtime.TextDone, ResponseID: r.id, ItemID: r.item, Text: text})
	c.sendLocked(&realtime.Server{Type: realtime.PartDone, ResponseID: r.id, ItemID: r.item})
	c.sendLocked(&realtime.Server{Type: realtime.OutputItemDone, ResponseID: r.id, Item: &item})
	if !r.apart {
		c.answers = append(c.answers, item)
	}
	r.text, r.event = nil, nil
	return item
}

// verdict words an answer as the API does.
func verdict(a driver.Answer) (status string, d *realtime.Details) {
	switch a.Outcome {
	case driver.Served:
		return "completed", nil
	case driver.Cancelled:
		return "cancelled", &realtime.Details{Type: "cancelled", Reason: "client_cancelled"}
	case driver.Refused:
		ms := a.RetryAfter.Milliseconds()
		return "failed", &realtime.Details{Type: "failed", Error: &realtime.Reason{Type: "server_overloaded",
			Code: realtime.CodeRefused, Message: a.Reason, RetryAfterMS: &ms}}
	}
	return "failed", &realtime.Details{Type: "failed", Error: &realtime.Reason{Type: "server_error",
		Code: realtime.CodeFailed, Message: a.Reason}}
}

// takeAnswers adds the answers that ended meanwhile to the conversation, oldest
// items going first where it would grow too long.
func (c *session) takeAnswers() {
	c.mu.Lock()
	answers := c.answers
	c.answers = nil
	c.mu.Unlock()
	for _, item := range answers {
		text, _ := item.Text()
		c.size += cost(text)
		c.items = append(c.items, item)
	}
	for c.size > int(c.srv.cfg.Load().Sessions.Conversation) && len(c.items) > 0 {
		text, _ := c.items[0].Text()
		c.size -= cost(text)
		c.items = c.items[1:]
	}
}

// job reads what is asked for, and whether the client marks it as a repeat.
func (c *session) job(p *realtime.Params) (job driver.Job, retry bool, bad *badField) {
	cfg := c.srv.cfg.Load()
	if bad = checkParams(p); bad != nil {
		return job, false, bad
	}
	m := p.Metadata
	class, bad := c.class(m)
	if bad != nil {
		return job, false, bad
	}
	job = driver.Job{Class: class, ClassName: cfg.Classes[class].Name, SessionID: c.id, Session: key(c.id),
		Timeout: cfg.Classes[class].GiveUp, MaxTokens: cfg.Classes[class].MaxTokens, Model: c.model,
		Prefix: key(m[realtime.MetaPrefix]), PrefixName: m[realtime.MetaPrefix], Idempotency: m[realtime.MetaIdempotency]}
	if name := m[realtime.MetaSession]; name != "" {
		job.Session = key(name)
	}
	var ok bool
	if job.Tenant, job.TenantName, ok = c.srv.named(c.who, m[realtime.MetaTenant]); !ok {
		return job, false, &badField{"response.metadata.tenant", "no tenant has this name, or another's key was shown"}
	}
	limit := c.maxTokens
	if p.MaxTokens != nil {
		limit = int(*p.MaxTokens)
	}
	if limit > 0 {
		job.MaxTokens = min(job.MaxTokens, limit)
	}
	if job.Prompt, bad = c.prompt(p); bad != nil {
		return job, false, bad
	}
	bad = c.srv.sizes(&job, func(name string) (string, bool) { text, ok := m[name]; return text, ok })
	if bad != nil {
		bad.param = "response.metadata." + bad.param
	}
	return job, m[realtime.MetaRetry] == "true", bad
}

func checkParams(p *realtime.Params) *badField {
	switch {
	case !textOnly(p.Modalities):
		return &badField{"response.output_modalities", "this router speaks text"}
	case p.Conversation != "" && p.Conversation != "auto" && p.Conversation != "none":
		return &badField{"response.conversation", "a conversation is auto or none"}
	}
	return checkMetadata("response.metadata", p.Metadata)
}

func printable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

func checkMetadata(where string, m map[string]string) *badField {
	if len(m) > realtime.MaxMetadata {
		return &badField{where, "metadata has 16 entries at most"}
	}
	for k, v := range m {
		if len(k) > realtime.MaxMetaKey || len(v) > realtime.MaxMetaText {
			return &badField{where, "keys have 64 bytes and values 512 at most"}
		}
	}
	for _, k := range []string{realtime.MetaIdempotency, realtime.MetaTenant, realtime.MetaPrefix} {
		if !printable(m[k]) {
			return &badField{where + "." + k, "printable ASCII without spaces expected"} // it becomes a header
		}
	}
	return nil
}

func (c *session) class(m map[string]string) (int, *badField) {
	cfg := c.srv.cfg.Load()
	i := cfg.ClassOf(settings.Chat)
	if name, ok := m[realtime.MetaClass]; ok {
		i = cfg.ClassNamed(name)
	}
	if i < 0 || cfg.Classes[i].Work != settings.Chat {
		return 0, &badField{"response.metadata.class", "no class of chat has this name"}
	}
	return i, nil
}

func key(name string) gannethook.Key {
	if name == "" {
		return 0
	}
	return gannethook.Key(max(xxhash.Sum64String(name), 1))
}

// prompt is the instructions and the conversation, or the response's own input.
func (c *session) prompt(p *realtime.Params) (string, *badField) {
	var b strings.Builder
	instructions := c.instructions
	if p.Instructions != nil {
		instructions = *p.Instructions
	}
	if instructions != "" {
		fmt.Fprintf(&b, "system: %s\n", instructions)
	}
	items := c.items
	if p.Input != nil {
		items = p.Input
	}
	for i := range items {
		text, ok := items[i].Text()
		if !ok {
			return "", &badField{"response.input", "an item's parts are texts"}
		}
		fmt.Fprintf(&b, "%s: %s\n", items[i].Role, text)
	}
	if b.Len() == 0 {
		return "", &badField{"response", "there is nothing to answer: the conversation is empty"}
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// sizes reads the numbers that a request tells of itself; sizes that are not told are guessed from the text's length.
func (s *Server) sizes(job *driver.Job, meta func(name string) (string, bool)) *badField {
	if job.Prompt != "" {
		job.PromptSize = tokensOf(job.Prompt, s.cfg.Load().Sessions.TokenBytes)
	}
	giveUp := 0.0
	for _, f := range []struct {
		name string
		to   *float64
	}{{realtime.MetaPromptSize, &job.PromptSize}, {realtime.MetaPrefixSize, &job.PrefixTokens}, {realtime.MetaGiveUp, &giveUp}} {
		text, ok := meta(f.name)
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x > 0 && x <= 1e7) {
			return &badField{f.name, "a number above 0 expected"}
		}
		*f.to = x
	}
	job.PrefixTokens = min(job.PrefixTokens, job.PromptSize)
	if d := time.Duration(giveUp * 1e6); d > 0 {
		job.Timeout = min(job.Timeout, d)
	}
	return nil
}
