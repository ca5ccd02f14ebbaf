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

// response is one open response of a session; it receives the result from the driver.
type response struct {
	session   *session
	id, item  string
	metadata  map[string]string
	input     int // tokens of the prompt
	key       idempotency.Scope
	outOfBand bool // not part of the default conversation
	ticket    *admission.Ticket

	// Guarded by the session's mu:
	started bool
	done    bool
	text    []byte // of the answer: the inside of a JSON string
	tooLong bool   // the text exceeds the limit of a message; the final events omit it
	event   []byte // buffer reused for each token
}

// fieldError describes an invalid field of a client's event.
type fieldError struct{ param, message string }

// respond starts a response.
func (c *session) respond(ev *realtime.Client) {
	c.appendAnswers()
	p := ev.Response
	if p == nil {
		p = &realtime.Params{}
	}
	job, retry, fieldErr := c.job(p)
	if fieldErr != nil {
		c.fail(ev.EventID, "invalid_request_error", "invalid_value", fieldErr.message, fieldErr.param)
		return
	}
	r := &response{session: c, id: c.newID("resp"), item: c.newID("item"), metadata: p.Metadata, input: int(job.PromptSize),
		outOfBand: p.Conversation == "none", key: idempotency.Scope{Tenant: job.Tenant, Class: job.Class, Key: job.Idempotency}}
	if code, msg := c.openResponse(r); code != "" {
		c.fail(ev.EventID, "invalid_request_error", code, msg, "")
		return
	}
	switch v := c.srv.keyTable.begin(r.key, retry); v {
	case idempotency.Proceed:
		retried := retry || hasPriorAttempt(func(name string) (string, bool) { v, ok := p.Metadata[name]; return v, ok })
		r.ticket = c.srv.admission.Submit(admission.Job{Job: job, Client: c.srv.clientKey(c.caller, job.Tenant), Retry: retried}, r)
	case idempotency.TableFull:
		r.answerUnsubmitted(&job, driver.Answer{Outcome: driver.Refused, RetryAfter: c.srv.cfg.Load().Limits.MaxRetryAfter,
			Reason: "too many keys are remembered"})
	default:
		r.answerUnsubmitted(&job, driver.Answer{Outcome: driver.Failed, Reason: "an earlier try with this key: " + v.String()})
	}
}

// answerUnsubmitted ends a response that was not submitted to admission, and records it. Nothing of this attempt has run.
func (r *response) answerUnsubmitted(job *driver.Job, a driver.Answer) {
	r.close(a)
	r.session.srv.done(driver.Summary{Session: job.SessionID, Class: job.ClassName, Outcome: a.Outcome, Reason: a.Reason,
		RetryAfter: a.RetryAfter, PromptSize: job.PromptSize})
}

// openResponse adds a response to the open ones, or returns an error code and message if the session may not have it.
func (c *session) openResponse(r *response) (code, msg string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.revoked || c.caller.keyID != "" && !c.srv.keys.Load().Valid(time.Now(), c.caller.keyID): // the key may have expired
		return "invalid_api_key", "the session's API key was taken back"
	case c.draining:
		return "going_away", "the router stops; open a session elsewhere"
	case !r.outOfBand && c.active != nil:
		return "conversation_already_has_active_response", "the conversation has an open response"
	case len(c.open) >= c.srv.cfg.Load().Sessions.MaxResponses:
		return "too_many_responses", "the session has too many open responses"
	}
	if c.open == nil {
		c.open = map[string]*response{}
	}
	c.open[r.id] = r
	c.responses++
	if !r.outOfBand {
		c.active = r
	}
	c.sendLocked(&realtime.ServerEvent{Type: realtime.ResponseCreated, Response: r.describe("in_progress")})
	return "", ""
}

func (r *response) describe(status string) *realtime.Response {
	return &realtime.Response{Object: "realtime.response", ID: r.id, Status: status, Output: []realtime.Item{},
		Metadata: r.metadata}
}

// Token sends one token to the client. Only the streaming attempt calls it; a slow client delays that attempt alone,
// since WaitCapacity blocks outside of the session's lock.
func (r *response) Token(text []byte) bool {
	c := r.session
	c.conn.WaitCapacity()
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return false
	}
	if !r.started {
		r.start()
	}
	if len(r.text)+len(text) <= int(c.srv.cfg.Load().Sessions.MaxMessage) {
		r.text = append(r.text, text[1:len(text)-1]...)
	} else {
		r.tooLong = true
	}
	c.events++
	r.event = realtime.AppendDelta(r.event[:0], c.events, r.id, r.item, text)
	return c.conn.Send(r.event) == nil
}

func (r *response) start() {
	r.started = true
	item := realtime.Item{ID: r.item, Object: "realtime.item", Type: "message", Status: "in_progress",
		Role: "assistant", Content: []realtime.Part{}}
	r.session.sendLocked(&realtime.ServerEvent{Type: realtime.OutputItemAdded, ResponseID: r.id, Item: &item})
	r.session.sendLocked(&realtime.ServerEvent{Type: realtime.PartAdded, ResponseID: r.id, ItemID: r.item})
}

// Final writes the final answer, once; no event of the response follows it.
func (r *response) Final(a driver.Answer) {
	r.session.srv.keyTable.end(r.key, a.MayHaveRun)
	r.close(a)
}

func (r *response) close(a driver.Answer) {
	c := r.session
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	status, details := statusOf(a)
	res := r.describe(status)
	res.Details = details
	res.Usage = &realtime.Usage{Total: r.input + a.Tokens, Input: r.input, Output: a.Tokens}
	if r.started {
		res.Output = append(res.Output, r.endItem(status))
	}
	c.sendLocked(&realtime.ServerEvent{Type: realtime.ResponseDone, Response: res})
	delete(c.open, r.id)
	if c.active == r {
		c.active = nil
	}
	if len(c.open) == 0 {
		c.closeWithReason()
	}
}

// endItem sends the events that end the answer's item. An item of a response that was not completed is incomplete.
func (r *response) endItem(status string) realtime.Item {
	var text string
	if r.tooLong {
		r.text = nil
	}
	json.Unmarshal(slices.Concat([]byte{'"'}, r.text, []byte{'"'}), &text) // can't fail: each token was checked
	item := realtime.Item{ID: r.item, Object: "realtime.item", Type: "message", Status: "completed",
		Role: "assistant", Content: []realtime.Part{{Type: "output_text", Text: text}}}
	if status != "completed" {
		item.Status = "incomplete"
	}
	c := r.session
	c.sendLocked(&realtime.ServerEvent{Type: realtime.TextDone, ResponseID: r.id, ItemID: r.item, Text: text})
	c.sendLocked(&realtime.ServerEvent{Type: realtime.PartDone, ResponseID: r.id, ItemID: r.item})
	c.sendLocked(&realtime.ServerEvent{Type: realtime.OutputItemDone, ResponseID: r.id, Item: &item})
	if !r.outOfBand {
		c.finished = append(c.finished, item)
	}
	r.text, r.event = nil, nil
	return item
}

// statusOf maps an answer to the status and details of the Realtime API.
func statusOf(a driver.Answer) (status string, d *realtime.StatusDetails) {
	switch a.Outcome {
	case driver.Served:
		return "completed", nil
	case driver.Cancelled:
		return "cancelled", &realtime.StatusDetails{Type: "cancelled", Reason: "client_cancelled"}
	case driver.Refused:
		ms := a.RetryAfter.Milliseconds()
		return "failed", &realtime.StatusDetails{Type: "failed", Error: &realtime.ResponseError{Type: "server_overloaded",
			Code: realtime.CodeRefused, Message: a.Reason, RetryAfterMS: &ms}}
	}
	return "failed", &realtime.StatusDetails{Type: "failed", Error: &realtime.ResponseError{Type: "server_error",
		Code: realtime.CodeFailed, Message: a.Reason}}
}

// appendAnswers appends the finished answers to the conversation and drops its oldest items while it exceeds the limit.
func (c *session) appendAnswers() {
	c.mu.Lock()
	answers := c.finished
	c.finished = nil
	c.mu.Unlock()
	for _, item := range answers {
		text, _ := item.Text()
		c.bytes += itemBytes(text)
		c.items = append(c.items, item)
	}
	for c.bytes > int(c.srv.cfg.Load().Sessions.MaxConversation) && len(c.items) > 0 {
		text, _ := c.items[0].Text()
		c.bytes -= itemBytes(text)
		c.items = c.items[1:]
	}
}

// job builds the job of a response. retry is true if the client marks it as a repeat of one whose outcome it doesn't
// know.
func (c *session) job(p *realtime.Params) (job driver.Job, retry bool, fieldErr *fieldError) {
	cfg := c.srv.cfg.Load()
	if fieldErr = checkParams(p); fieldErr != nil {
		return job, false, fieldErr
	}
	m := p.Metadata
	class, fieldErr := c.class(m)
	if fieldErr != nil {
		return job, false, fieldErr
	}
	job = driver.Job{Class: class, ClassName: cfg.Classes[class].Name, SessionID: c.id, Session: hashKey(c.id),
		Timeout: cfg.Classes[class].GiveUp, MaxTokens: cfg.Classes[class].MaxTokens, Model: c.model,
		Prefix: hashKey(m[realtime.MetaPrefix]), PrefixName: m[realtime.MetaPrefix], Idempotency: m[realtime.MetaIdempotency]}
	if name := m[realtime.MetaSession]; name != "" {
		job.Session = hashKey(name)
	}
	var ok bool
	if job.Tenant, job.TenantName, ok = c.srv.resolveTenant(c.caller, m[realtime.MetaTenant]); !ok {
		return job, false, &fieldError{"response.metadata.tenant", "no tenant has this name, or another's key was shown"}
	}
	limit := c.maxTokens
	if p.MaxTokens != nil {
		limit = int(*p.MaxTokens)
	}
	if limit > 0 {
		job.MaxTokens = min(job.MaxTokens, limit)
	}
	if job.Prompt, fieldErr = c.prompt(p); fieldErr != nil {
		return job, false, fieldErr
	}
	fieldErr = c.srv.applySizes(&job, func(name string) (string, bool) { text, ok := m[name]; return text, ok })
	if fieldErr != nil {
		fieldErr.param = "response.metadata." + fieldErr.param
	}
	return job, m[realtime.MetaRetry] == "true", fieldErr
}

func checkParams(p *realtime.Params) *fieldError {
	switch {
	case !textOnly(p.Modalities):
		return &fieldError{"response.output_modalities", "this router speaks text"}
	case p.Conversation != "" && p.Conversation != "auto" && p.Conversation != "none":
		return &fieldError{"response.conversation", "a conversation is auto or none"}
	}
	return checkMetadata("response.metadata", p.Metadata)
}

func printable(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' })
}

func checkMetadata(where string, m map[string]string) *fieldError {
	if len(m) > realtime.MaxMetadata {
		return &fieldError{where, "metadata has 16 entries at most"}
	}
	for k, v := range m {
		if len(k) > realtime.MaxMetaKey || len(v) > realtime.MaxMetaText {
			return &fieldError{where, "keys have 64 bytes and values 512 at most"}
		}
	}
	for _, k := range []string{realtime.MetaIdempotency, realtime.MetaTenant, realtime.MetaPrefix} {
		if !printable(m[k]) {
			return &fieldError{where + "." + k, "printable ASCII without spaces expected"} // sent to engines as a header
		}
	}
	return nil
}

func (c *session) class(m map[string]string) (int, *fieldError) {
	cfg := c.srv.cfg.Load()
	i := cfg.ClassIndexForWork(settings.Chat)
	if name, ok := m[realtime.MetaClass]; ok {
		i = cfg.ClassIndex(name)
	}
	if i < 0 || cfg.Classes[i].Work != settings.Chat {
		return 0, &fieldError{"response.metadata.class", "no class of chat has this name"}
	}
	return i, nil
}

func hashKey(name string) gannethook.Key {
	if name == "" {
		return 0
	}
	return gannethook.Key(max(xxhash.Sum64String(name), 1))
}

// prompt returns the text for the engine: the instructions, then the conversation or the response's own input.
func (c *session) prompt(p *realtime.Params) (string, *fieldError) {
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
			return "", &fieldError{"response.input", "an item's parts are texts"}
		}
		fmt.Fprintf(&b, "%s: %s\n", items[i].Role, text)
	}
	if b.Len() == 0 {
		return "", &fieldError{"response", "there is nothing to answer: the conversation is empty"}
	}
	b.WriteString("assistant:")
	return b.String(), nil
}

// applySizes reads the sizes and the timeout that a request states. A prompt size that is not stated is estimated from
// the length of the text.
func (s *Server) applySizes(job *driver.Job, meta func(name string) (string, bool)) *fieldError {
	if job.Prompt != "" {
		job.PromptSize = tokenCount(job.Prompt, s.cfg.Load().Sessions.BytesPerToken)
	}
	timeoutMS := 0.0
	for _, f := range []struct {
		name string
		to   *float64
	}{{realtime.MetaPromptSize, &job.PromptSize}, {realtime.MetaPrefixSize, &job.PrefixTokens}, {realtime.MetaTimeout, &timeoutMS}} {
		text, ok := meta(f.name)
		if !ok {
			continue
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x > 0 && x <= 1e7) {
			return &fieldError{f.name, "a number above 0 expected"}
		}
		*f.to = x
	}
	job.PrefixTokens = min(job.PrefixTokens, job.PromptSize)
	if d := time.Duration(timeoutMS * 1e6); d > 0 {
		job.Timeout = min(job.Timeout, d)
	}
	return nil
}
