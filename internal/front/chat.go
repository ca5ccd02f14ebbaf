package front

import (
	"encoding/json"
	"sync"
	"time"

	"gannethook/internal/driver"
	"gannethook/internal/http1"
	"gannethook/internal/httpapi"
	"gannethook/internal/realtime"
	"gannethook/internal/settings"
)

// chat is one chat completion; it is the intake's sink.
type chat struct {
	x   *exchange
	c   httpapi.Completion
	ask *httpapi.Chat

	mu     sync.Mutex // held while a token is written: never by Final
	begun  bool
	broken bool // the client does not read
	long   bool // the text is larger than an answer may be
	text   []byte
	event  []byte
}

func (x *exchange) chat(body []byte) *httpapi.Error {
	ask, bad := httpapi.ParseChat(body)
	if bad != nil {
		return bad
	}
	if p := checkMetadata("metadata", ask.Metadata); p != nil {
		return httpapi.Invalid(p.param, "%s", p.msg)
	}
	meta := x.meta(ask.Metadata)
	if bad = x.plan(settings.Chat, ask.Model, meta); bad != nil {
		return bad
	}
	j := &x.job
	j.Prompt, j.MaxTokens = ask.Prompt(), x.l.s.cfg.Load().Classes[x.class].MaxTokens
	if ask.MaxTokens > 0 {
		j.MaxTokens = min(j.MaxTokens, ask.MaxTokens)
	}
	if ask.Sampling != nil {
		j.Sampling, _ = json.Marshal(ask.Sampling)
	}
	if name, ok := meta(realtime.MetaSession); ok {
		j.Session = key(name)
	}
	if name, ok := meta(realtime.MetaPrefix); ok {
		if !printable(name) {
			return httpapi.Invalid(headerOf(realtime.MetaPrefix), "printable ASCII without spaces expected")
		}
		j.Prefix, j.PrefixName = key(name), name
	}
	if bad = x.sized(meta); bad != nil {
		return bad
	}
	k := &chat{x: x, ask: ask, c: httpapi.Completion{ID: x.id, Model: ask.Model, Created: time.Now().Unix(), Prompt: int(j.PromptSize)}}
	abandon := func() {}
	if x.begin() {
		abandon = x.l.s.in.Submit(*j, k).Abandon
	}
	k.finish(x.wait(abandon))
	return nil
}

// Token takes a token: written at once where the answer is streamed.
func (k *chat) Token(text []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.broken || k.long || k.x.over() {
		return false
	}
	if !k.ask.Stream {
		k.text = append(k.text, text[1:len(text)-1]...)
		k.long = len(k.text) > int(k.x.l.s.cfg.Load().HTTP.Answer)
		return !k.long
	}
	k.event = k.event[:0]
	if !k.begun {
		k.begin()
		k.event = k.c.Event(k.event, nil, "")
	}
	k.event = k.c.Event(k.event, text, "")
	k.send(k.event)
	return !k.broken
}

func (k *chat) begin() {
	k.begun = true
	h := http1.Header{{Name: "Content-Type", Value: "text/event-stream; charset=utf-8"}, {Name: "Cache-Control", Value: "no-cache"}}
	if k.x.req.Minor == 1 {
		h = append(h, http1.Field{Name: "Transfer-Encoding", Value: "chunked"})
	}
	k.x.head(200, append(h, k.x.limits()...))
}

// send writes a part of the stream.
func (k *chat) send(p []byte) {
	k.x.l.nc.SetWriteDeadline(time.Now().Add(k.x.l.s.cfg.Load().HTTP.Write))
	var err error
	if k.x.req.Minor == 1 {
		err = http1.WriteChunk(k.x.l.bw, p)
	} else if _, err = k.x.l.bw.Write(p); err == nil {
		err = k.x.l.bw.Flush()
	}
	k.broken = k.broken || err != nil
}

// Final takes the final answer; the connection's goroutine writes it.
func (k *chat) Final(a driver.Answer) { k.x.settle(a) }

// finish writes the final answer and nothing after it.
func (k *chat) finish(a driver.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reason := "stop"
	if a.Tokens >= k.x.job.MaxTokens {
		reason = "length"
	}
	if k.long { // its engine was cut off, as if nobody read
		a = driver.Answer{Outcome: driver.Failed, Reason: "the answer is too large", MayHaveRun: true}
	}
	switch {
	case k.broken || a.Outcome == driver.Cancelled:
		k.x.keep = false // nobody reads
	case !k.begun && a.Outcome == driver.Served && !k.ask.Stream:
		k.x.reply(200, "application/json", k.x.limits(), k.c.Whole(k.text, a.Tokens, reason))
	case !k.begun && a.Outcome != driver.Served:
		k.x.turned(a)
	case a.Outcome == driver.Served:
		k.served(a, reason)
	default:
		k.failed(a)
	}
}

func (k *chat) served(a driver.Answer, reason string) {
	k.event = k.event[:0]
	if !k.begun { // an answer without a token
		k.begin()
		k.event = k.c.Event(k.event, nil, "")
	}
	k.event = k.c.Event(k.event, nil, reason)
	if k.ask.Usage {
		k.event = k.c.UsageEvent(k.event, a.Tokens)
	}
	k.send(append(k.event, "data: [DONE]\n\n"...))
	k.end()
}

// failed ends a stream that broke: an error in place of the rest, no [DONE], and the end of the connection.
func (k *chat) failed(a driver.Answer) {
	e := httpapi.Error{Type: httpapi.ServerError, Code: httpapi.CodeFailed, Message: a.Reason}
	k.send(append(append([]byte("data: "), e.Body()...), "\n\n"...))
	k.end()
	k.x.keep = false
}

// end ends the body.
func (k *chat) end() {
	if k.broken || k.x.req.Minor != 1 {
		k.x.keep = false
		return
	}
	if http1.WriteChunk(k.x.l.bw, nil) != nil {
		k.x.keep = false
	}
}
