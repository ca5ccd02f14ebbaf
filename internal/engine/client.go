package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"gannethook"
	"gannethook/internal/attempt"
	"gannethook/internal/connpool"
	"gannethook/internal/http1"
	"gannethook/internal/jsonscan"
)

// Paths of the engines' API; the last two are the extension.
const (
	CompletionsPath = "/v1/completions"
	EmbeddingsPath  = "/v1/embeddings"
	RerankPath      = "/v1/rerank"
	extensionPath   = "/v1/x-gannethook/"
	PlacesPath      = extensionPath + "places"
	StatesPath      = extensionPath + "states/" // and the key
)

// CodeNoState is the code of an error body that tells that there is no state to fetch.
const CodeNoState = "no_state"

// Client makes attempts. It is safe for concurrent use.
type Client struct {
	pool pool
	lim  Limits
	stop chan struct{}
	wg   sync.WaitGroup
}

// NewClient returns a client; Close ends it.
func NewClient(lim Limits) *Client {
	c := &Client{lim: lim, pool: pool{lim: lim}, stop: make(chan struct{})}
	c.pool.open()
	c.wg.Go(func() { c.pool.idle.Run(max(lim.Idle/4, time.Second), c.stop) })
	return c
}

// Close closes unused connections; those in use close when their attempts end.
func (c *Client) Close() {
	close(c.stop)
	c.wg.Wait()
	c.pool.close()
}

// Warm opens spare connections to engines that are about to get work.
func (c *Client) Warm(addrs ...string) {
	for _, a := range addrs {
		c.pool.fill(a)
	}
}

// exchange is one request on one connection.
type exchange struct {
	c    *Client
	addr string
	conn *connpool.Conn
	res  *http1.Response
	body *http1.Body
	ctl  bool
	stop func() bool
}

// open sends a request and reads the answer's head.
func (c *Client) open(ctx context.Context, method, path string, call *attempt.Call, body []byte) (*exchange, error) {
	ctl := strings.HasPrefix(path, extensionPath)
	cn, err := c.pool.get(ctx, call.Addr, ctl)
	if err != nil {
		return nil, err
	}
	x := &exchange{c: c, addr: call.Addr, conn: cn, ctl: ctl}
	x.stop = context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	h := http1.Header{{Name: "Host", Value: call.Addr}, {Name: "Content-Type", Value: "application/json"},
		{Name: "Content-Length", Value: strconv.Itoa(len(body))}, {Name: "X-Request-Id", Value: call.Key}}
	for _, f := range []http1.Field{{Name: "Idempotency-Key", Value: call.Idempotency},
		{Name: "X-Request-Class", Value: call.Class}, {Name: "X-Tenant", Value: call.Tenant}} {
		if f.Value != "" {
			h = append(h, f)
		}
	}
	http1.WriteHead(cn.BW, method+" "+path+" HTTP/1.1", h)
	cn.BW.Write(body)
	if err = cn.BW.Flush(); err == nil {
		err = x.head()
	}
	if err != nil {
		x.close(false)
		return nil, err
	}
	return x, nil
}

func (x *exchange) head() (err error) {
	for {
		if x.res, err = http1.ReadResponse(x.conn.BR); err != nil {
			return err
		}
		if x.res.Status >= 200 {
			break
		}
	}
	x.body, err = http1.ResponseBody(x.conn.BR, x.res)
	return err
}

// close gives the connection back if the exchange is whole, else cuts it, which calls the engine's work off.
func (x *exchange) close(whole bool) {
	if x.stop() && whole && x.body.Whole() && x.res.Minor == 1 && !x.res.Header.Has("Connection", "close") {
		name := x.addr
		if x.ctl {
			name = control + name
		}
		x.c.pool.idle.Put(name, x.conn)
		return
	}
	x.conn.Close()
}

// all reads the whole body, which has so many bytes at most.
func (x *exchange) all(most int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(x.body, int64(most)+1))
	if err == nil && len(b) > most {
		err = http1.ErrTooLarge
	}
	return b, err
}

// failed maps an error of the connection to an outcome.
func failed(ctx context.Context, err error) attempt.Result {
	return attempt.ResultOf(ctx, err, http1.ErrMalformed, http1.ErrTooLarge, jsonscan.ErrBad)
}

// turned maps an answer that is not 200 to an outcome.
func (x *exchange) turned() attempt.Result {
	body, err := x.all(x.c.lim.ResponseMax)
	x.close(err == nil)
	r := attempt.Result{Outcome: gannethook.Failed, Detail: fmt.Sprintf("status %d", x.res.Status)}
	r.Memory, r.Reported = Report(x.res.Header.Get(ReportHeader))
	raw, _, _ := jsonscan.Find(body, "error", "code")
	code := strings.Trim(string(raw), `"`)
	switch {
	case x.res.Status == 409 && code == CodeNoState:
		r.Outcome, r.NoState = gannethook.Full, true
	case x.res.Status == 429 || x.res.Status == 503:
		r.Outcome = gannethook.Full
	}
	return r
}

// completion is the body of /v1/completions.
type completion struct {
	Model     string          `json:"model,omitempty"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
	Params    json.RawMessage `json:"kv_transfer_params,omitempty"`
	Size      int             `json:"x_prompt_tokens,omitempty"`
	KeptKey   string          `json:"x_prefix_key,omitempty"`
}

// readParams ask a prefill engine to keep its state for another engine (vLLM's NIXL connector).
var readParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false,` +
	`"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}`)

func bodyOf(call *attempt.Call, maxTokens int, stream bool, params json.RawMessage) []byte {
	b, _ := json.Marshal(completion{Model: call.Model, Prompt: call.Prompt, MaxTokens: maxTokens, Stream: stream,
		Params: params, Size: int(call.PromptSize), KeptKey: call.PrefixKey})
	if len(call.Sampling) > len("{}") {
		b = append(append(b[:len(b)-1], ','), call.Sampling[1:]...)
	}
	return b
}

// Read has a prompt read by a reader, whose state then waits there.
func (c *Client) Read(ctx context.Context, call *attempt.Call) attempt.Result {
	x, err := c.open(ctx, "POST", CompletionsPath, call, bodyOf(call, 1, false, readParams))
	if err != nil {
		return failed(ctx, err)
	}
	if x.res.Status != 200 {
		return x.turned()
	}
	body, err := x.all(c.lim.ResponseMax)
	x.close(err == nil)
	if err != nil {
		return failed(ctx, err)
	}
	r := attempt.Result{Outcome: gannethook.ReadDone}
	r.Memory, r.Reported = Report(x.res.Header.Get(ReportHeader))
	params, found, err := jsonscan.Find(body, "kv_transfer_params")
	if err != nil || !found || bytes.Equal(params, []byte("null")) {
		return attempt.Result{Outcome: gannethook.Failed, Detail: "the reader returned no kv_transfer_params"}
	}
	r.Params = json.RawMessage(params)
	return r
}

// Do has one-stage work done and returns the whole answer.
func (c *Client) Do(ctx context.Context, call *attempt.Call) attempt.Result {
	x, err := c.open(ctx, "POST", call.Path, call, call.Body)
	if err != nil {
		return failed(ctx, err)
	}
	if x.res.Status != 200 {
		return x.turned()
	}
	body, err := x.all(c.lim.WholeMax)
	x.close(err == nil)
	if err != nil {
		return failed(ctx, err)
	}
	r := attempt.Result{Outcome: gannethook.Served, Body: body}
	r.Memory, r.Reported = Report(x.res.Header.Get(ReportHeader))
	if call.CheckAnswer != nil {
		if err := call.CheckAnswer(body); err != nil {
			r = attempt.Result{Outcome: gannethook.Failed, Detail: err.Error()}
		}
	}
	return r
}

// Write streams an answer. started is called at the first token; where it says
// no, the attempt is over. token gets each token's text as raw JSON string,
// valid during the call, and may say no as well.
func (c *Client) Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	x, err := c.open(ctx, "POST", CompletionsPath, call, bodyOf(call, call.MaxTokens, true, call.Params))
	if err != nil {
		return failed(ctx, err)
	}
	if x.res.Status != 200 {
		return x.turned()
	}
	r := x.stream(ctx, started, token)
	r.Memory, r.Reported = Report(x.res.Header.Get(ReportHeader))
	x.close(r.Outcome == gannethook.Served)
	return r
}

// stream reads tokens to the end. Only "[DONE]" makes an answer whole.
func (x *exchange) stream(ctx context.Context, started func() bool, token func([]byte) bool) attempt.Result {
	events := http1.NewEvents(x.body)
	for n := 0; ; {
		data, err := events.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			r := failed(ctx, err)
			r.Tokens = n
			return r
		}
		if string(data) == "[DONE]" {
			if x.conn.BR.Buffered() > 0 {
				var one [1]byte
				x.body.Read(one[:]) // the end of a chunked body; not waited for
			}
			return attempt.Result{Outcome: gannethook.Served, Tokens: n}
		}
		text, found, err := jsonscan.Find(data, "choices", "0", "text")
		if err != nil || !found || len(text) < 2 || text[0] != '"' {
			return attempt.Result{Outcome: gannethook.Failed, Tokens: n, Detail: "an event of the stream has no text"}
		}
		if len(text) == 2 {
			continue // the event that only tells why the answer ended
		}
		if n == 0 && !started() {
			return attempt.Result{Outcome: gannethook.Cancelled, Detail: "ended before its first token"}
		}
		n++
		if !token(text) {
			return attempt.Result{Outcome: gannethook.Cancelled, Tokens: n, Detail: "the client is gone"}
		}
		x.conn.SetReadDeadline(time.Now().Add(x.c.lim.StreamIdle))
		if ctx.Err() != nil { // called off meanwhile: its deadline must stand
			x.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// place is the body that asks for a place.
type place struct {
	Key    string `json:"request_id"`
	Reader string `json:"reader"`
	Tokens int    `json:"tokens"`
	Idle   int64  `json:"idle_ms"` // the place lapses by itself so long after its state came or failed to
}

// Hold asks a writer for a place for the state that a reader is about to have.
func (c *Client) Hold(ctx context.Context, call *attempt.Call, reader string) attempt.PlaceResult {
	ctx, cancel := context.WithTimeout(ctx, c.lim.Extension)
	defer cancel()
	body, _ := json.Marshal(place{call.Key, reader, int(call.PromptSize) + call.MaxTokens,
		c.lim.PlaceIdle.Milliseconds()})
	status, err := c.extension(ctx, "POST", PlacesPath, call, body)
	switch {
	case err != nil:
		return attempt.NoAnswer
	case status == 201:
		return attempt.Granted
	}
	return attempt.Denied
}

const (
	releaseTries = 4                     // each bounded by Extension
	releasePause = 20 * time.Millisecond // after the first, then doubled: a dial may fail at once
)

// Release tells an engine to let go, several times if need be. Each engine knows only what it holds itself: the
// list names one. An engine that can't be reached at all is asked again later by whoever keeps account.
func (c *Client) Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult {
	if len(list) == 0 {
		return attempt.ReleaseResult{Acknowledged: true, SentAt: time.Now()}
	}
	for try := range releaseTries {
		if r := c.ReleaseAt(ctx, list[0]); r.Acknowledged {
			return r
		}
		time.Sleep(releasePause << try)
	}
	return attempt.ReleaseResult{}
}

// ReleaseAt tells an engine to let go, once.
func (c *Client) ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult {
	sent := time.Now()
	return attempt.ReleaseResult{Acknowledged: c.release(ctx, h) == nil, Server: h.Addr, SentAt: sent}
}

// LastAnswer is not known beside what a release tells.
func (c *Client) LastAnswer(string) (sent, answered time.Time) { return time.Time{}, time.Time{} }

// release lets an engine's state and place of a read go. Unknown ones count as let go.
func (c *Client) release(ctx context.Context, h attempt.Held) error {
	ctx, cancel := context.WithTimeout(ctx, c.lim.Extension)
	defer cancel()
	status, err := c.extension(ctx, "DELETE", StatesPath+h.Key, &attempt.Call{Addr: h.Addr, Key: h.Key}, nil)
	if err == nil && status/100 != 2 && status != 404 {
		err = fmt.Errorf("release: status %d", status)
	}
	return err
}

func (c *Client) extension(ctx context.Context, method, path string, call *attempt.Call, body []byte) (int, error) {
	x, err := c.open(ctx, method, path, call, body)
	if err != nil {
		return 0, err
	}
	_, err = x.all(c.lim.ResponseMax)
	x.close(err == nil)
	return x.res.Status, err
}
