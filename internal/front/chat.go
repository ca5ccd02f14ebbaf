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

// chatSink receives the result of one chat completion and writes it to the client.
type chatSink struct {
	x          *exchange
	completion httpapi.Completion
	req        *httpapi.Chat

	mu          sync.Mutex // held while a token is written; Final doesn't take it
	started     bool
	writeFailed bool // the client doesn't read, or the connection is broken
	tooLarge    bool // the text exceeds the limit of an answer
	text        []byte
	event       []byte
}

func (x *exchange) chat(body []byte) *httpapi.Error {
	req, apiErr := httpapi.ParseChat(body)
	if apiErr != nil {
		return apiErr
	}
	if p := checkMetadata("metadata", req.Metadata); p != nil {
		return httpapi.Invalid(p.param, "%s", p.message)
	}
	meta := x.meta(req.Metadata)
	if apiErr = x.prepareJob(settings.Chat, req.Model, meta); apiErr != nil {
		return apiErr
	}
	j := &x.job
	j.Prompt, j.MaxTokens = req.Prompt(), x.conn.srv.cfg.Load().Classes[x.class].MaxTokens
	if req.MaxTokens > 0 {
		j.MaxTokens = min(j.MaxTokens, req.MaxTokens)
	}
	if req.Sampling != nil {
		j.Sampling, _ = json.Marshal(req.Sampling)
	}
	if name, ok := meta(realtime.MetaSession); ok {
		j.Session = hashKey(name)
	}
	if name, ok := meta(realtime.MetaPrefix); ok {
		if !printable(name) {
			return httpapi.Invalid(metaHeader(realtime.MetaPrefix), "printable ASCII without spaces expected")
		}
		j.Prefix, j.PrefixName = hashKey(name), name
	}
	if apiErr = x.applySizes(meta); apiErr != nil {
		return apiErr
	}
	k := &chatSink{x: x, req: req, completion: httpapi.Completion{ID: x.id, Model: req.Model, Created: time.Now().Unix(), PromptTokens: int(j.PromptSize)}}
	abandon := func() {}
	if x.beginKey() {
		abandon = x.conn.srv.admission.Submit(*j, k).Abandon
	}
	k.finish(x.wait(abandon))
	return nil
}

// Token receives one token. Streamed answers write it at once, others collect it.
func (k *chatSink) Token(text []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.writeFailed || k.tooLarge || k.x.hasFinal() {
		return false
	}
	if !k.req.Stream {
		k.text = append(k.text, text[1:len(text)-1]...)
		k.tooLarge = len(k.text) > int(k.x.conn.srv.cfg.Load().HTTP.MaxAnswer)
		return !k.tooLarge
	}
	k.event = k.event[:0]
	if !k.started {
		k.startStream()
		k.event = k.completion.Event(k.event, nil, "")
	}
	k.event = k.completion.Event(k.event, text, "")
	k.send(k.event)
	return !k.writeFailed
}

func (k *chatSink) startStream() {
	k.started = true
	h := http1.Header{{Name: "Content-Type", Value: "text/event-stream; charset=utf-8"}, {Name: "Cache-Control", Value: "no-cache"}}
	if k.x.req.Minor == 1 {
		h = append(h, http1.Field{Name: "Transfer-Encoding", Value: "chunked"})
	}
	k.x.head(200, append(h, k.x.rateLimitHeaders()...))
}

// send writes a part of the event stream.
func (k *chatSink) send(p []byte) {
	k.x.conn.nc.SetWriteDeadline(time.Now().Add(k.x.conn.srv.cfg.Load().HTTP.WriteTimeout))
	var err error
	if k.x.req.Minor == 1 {
		err = http1.WriteChunk(k.x.conn.bw, p)
	} else if _, err = k.x.conn.bw.Write(p); err == nil {
		err = k.x.conn.bw.Flush()
	}
	k.writeFailed = k.writeFailed || err != nil
}

// Final receives the final answer; the connection's goroutine writes it.
func (k *chatSink) Final(a driver.Answer) { k.x.setFinal(a) }

// finish writes the final answer, the last thing that is written of this response.
func (k *chatSink) finish(a driver.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	reason := "stop"
	if a.Tokens >= k.x.job.MaxTokens {
		reason = "length"
	}
	if k.tooLarge { // Token cancelled the attempt as if the client had disconnected
		a = driver.Answer{Outcome: driver.Failed, Reason: "the answer is too large", MayHaveRun: true}
	}
	switch {
	case k.writeFailed || a.Outcome == driver.Cancelled:
		k.x.keepAlive = false // the client has disconnected
	case !k.started && a.Outcome == driver.Served && !k.req.Stream:
		k.x.reply(200, "application/json", k.x.rateLimitHeaders(), k.completion.Response(k.text, a.Tokens, reason))
	case !k.started && a.Outcome != driver.Served:
		k.x.replyUnserved(a)
	case a.Outcome == driver.Served:
		k.finishStream(a, reason)
	default:
		k.failStream(a)
	}
}

func (k *chatSink) finishStream(a driver.Answer, reason string) {
	k.event = k.event[:0]
	if !k.started { // an answer without a token
		k.startStream()
		k.event = k.completion.Event(k.event, nil, "")
	}
	k.event = k.completion.Event(k.event, nil, reason)
	if k.req.Usage {
		k.event = k.completion.UsageEvent(k.event, a.Tokens)
	}
	k.send(append(k.event, "data: [DONE]\n\n"...))
	k.endBody()
}

// failStream ends a stream that failed after its head was sent: an error event, no [DONE], and the connection closes.
func (k *chatSink) failStream(a driver.Answer) {
	e := httpapi.Error{Type: httpapi.ServerError, Code: httpapi.CodeFailed, Message: a.Reason}
	k.send(append(append([]byte("data: "), e.Body()...), "\n\n"...))
	k.endBody()
	k.x.keepAlive = false
}

// endBody writes the last chunk. An HTTP/1.0 body ends with the connection.
func (k *chatSink) endBody() {
	if k.writeFailed || k.x.req.Minor != 1 {
		k.x.keepAlive = false
		return
	}
	if http1.WriteChunk(k.x.conn.bw, nil) != nil {
		k.x.keepAlive = false
	}
}
