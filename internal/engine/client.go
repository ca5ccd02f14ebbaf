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

// Paths of the engines' API. PlacesPath and StatesPath are the extension.
const (
	CompletionsPath = "/v1/completions"
	EmbeddingsPath  = "/v1/embeddings"
	RerankPath      = "/v1/rerank"
	extensionPath   = "/v1/x-gannethook/"
	PlacesPath      = extensionPath + "places"
	StatesPath      = extensionPath + "states/" // followed by the key of the read
)

// CodeNoState is the error code of a writer that found no state to fetch.
const CodeNoState = "no_state"

// Client carries out attempts on engines. It is safe for concurrent use.
type Client struct {
	pool   pool
	limits Limits
	stop   chan struct{}
	wg     sync.WaitGroup
}

// NewClient returns a client, which the caller must Close.
func NewClient(lim Limits) *Client {
	c := &Client{limits: lim, pool: pool{limits: lim}, stop: make(chan struct{})}
	c.pool.start()
	c.wg.Go(func() { c.pool.idle.Run(max(lim.Idle/4, time.Second), c.stop) })
	return c
}

// Close closes unused connections; connections in use are closed when their attempts end.
func (c *Client) Close() {
	close(c.stop)
	c.wg.Wait()
	c.pool.close()
}

// Warm opens spare connections to engines that are about to receive requests.
func (c *Client) Warm(addrs ...string) {
	for _, a := range addrs {
		c.pool.refill(a)
	}
}

// exchange is one request on one connection.
type exchange struct {
	c             *Client
	addr          string
	conn          *connpool.Conn
	res           *http1.Response
	body          *http1.Body
	control       bool
	stopAfterFunc func() bool
}

// open sends a request and reads the head of the response.
func (c *Client) open(ctx context.Context, method, path string, call *attempt.Call, body []byte) (*exchange, error) {
	control := strings.HasPrefix(path, extensionPath)
	cn, err := c.pool.get(ctx, call.Addr, control)
	if err != nil {
		return nil, err
	}
	x := &exchange{c: c, addr: call.Addr, conn: cn, control: control}
	x.stopAfterFunc = context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
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
		err = x.readHead()
	}
	if err != nil {
		x.close(false)
		return nil, err
	}
	return x, nil
}

func (x *exchange) readHead() (err error) {
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

// close returns a reusable connection to the pool. Otherwise it closes the connection, which cancels the work at the
// engine.
func (x *exchange) close(reusable bool) {
	if x.stopAfterFunc() && reusable && x.body.Complete() && x.res.Minor == 1 && !x.res.Header.Has("Connection", "close") {
		name := x.addr
		if x.control {
			name = controlPrefix + name
		}
		x.c.pool.idle.Put(name, x.conn)
		return
	}
	x.conn.Close()
}

// readAll reads the whole body; one of more than maxBytes is ErrTooLarge.
func (x *exchange) readAll(maxBytes int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(x.body, int64(maxBytes)+1))
	if err == nil && len(b) > maxBytes {
		err = http1.ErrTooLarge
	}
	return b, err
}

// failedResult maps an error of the connection to the result of the attempt.
func failedResult(ctx context.Context, err error) attempt.Result {
	return attempt.ResultOf(ctx, err, http1.ErrMalformed, http1.ErrTooLarge, jsonscan.ErrInvalid)
}

// errorResult maps a response with a status other than 200 to the result of the attempt.
func (x *exchange) errorResult() attempt.Result {
	body, err := x.readAll(x.c.limits.ResponseMax)
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

// completionRequest is the body of /v1/completions.
type completionRequest struct {
	Model        string          `json:"model,omitempty"`
	Prompt       string          `json:"prompt"`
	MaxTokens    int             `json:"max_tokens"`
	Stream       bool            `json:"stream"`
	Params       json.RawMessage `json:"kv_transfer_params,omitempty"`
	PromptTokens int             `json:"x_prompt_tokens,omitempty"`
	PrefixKey    string          `json:"x_prefix_key,omitempty"`
}

// prefillParams tells a prefill engine to keep its state for another engine (vLLM's NIXL connector).
var prefillParams = json.RawMessage(`{"do_remote_decode":true,"do_remote_prefill":false,` +
	`"remote_engine_id":null,"remote_block_ids":null,"remote_host":null,"remote_port":null}`)

func completionBody(call *attempt.Call, maxTokens int, stream bool, params json.RawMessage) []byte {
	b, _ := json.Marshal(completionRequest{Model: call.Model, Prompt: call.Prompt, MaxTokens: maxTokens, Stream: stream,
		Params: params, PromptTokens: int(call.PromptSize), PrefixKey: call.PrefixKey})
	if len(call.Sampling) > len("{}") {
		b = append(append(b[:len(b)-1], ','), call.Sampling[1:]...)
	}
	return b
}

// Read has a reader prefill the prompt. The reader then holds the state for the writer.
func (c *Client) Read(ctx context.Context, call *attempt.Call) attempt.Result {
	x, err := c.open(ctx, "POST", CompletionsPath, call, completionBody(call, 1, false, prefillParams))
	if err != nil {
		return failedResult(ctx, err)
	}
	if x.res.Status != 200 {
		return x.errorResult()
	}
	body, err := x.readAll(c.limits.ResponseMax)
	x.close(err == nil)
	if err != nil {
		return failedResult(ctx, err)
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

// Do carries out one-stage work and returns the whole answer.
func (c *Client) Do(ctx context.Context, call *attempt.Call) attempt.Result {
	x, err := c.open(ctx, "POST", call.Path, call, call.Body)
	if err != nil {
		return failedResult(ctx, err)
	}
	if x.res.Status != 200 {
		return x.errorResult()
	}
	body, err := x.readAll(c.limits.OneStageMax)
	x.close(err == nil)
	if err != nil {
		return failedResult(ctx, err)
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

// Write streams an answer. started is called at the first token, before token; token is called with the text of each
// token as a raw JSON string, valid during the call. The attempt is cancelled if one of them returns false.
func (c *Client) Write(ctx context.Context, call *attempt.Call, started func() bool, token func([]byte) bool) attempt.Result {
	x, err := c.open(ctx, "POST", CompletionsPath, call, completionBody(call, call.MaxTokens, true, call.Params))
	if err != nil {
		return failedResult(ctx, err)
	}
	if x.res.Status != 200 {
		return x.errorResult()
	}
	r := x.stream(ctx, started, token)
	r.Memory, r.Reported = Report(x.res.Header.Get(ReportHeader))
	x.close(r.Outcome == gannethook.Served)
	return r
}

// stream reads the events of a stream. An answer is complete only with "[DONE]".
func (x *exchange) stream(ctx context.Context, started func() bool, token func([]byte) bool) attempt.Result {
	events := http1.NewEvents(x.body)
	for n := 0; ; {
		data, err := events.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			r := failedResult(ctx, err)
			r.Tokens = n
			return r
		}
		if string(data) == "[DONE]" {
			if x.conn.BR.Buffered() > 0 {
				var one [1]byte
				x.body.Read(one[:]) // the end of the chunked body, if it is buffered already
			}
			return attempt.Result{Outcome: gannethook.Served, Tokens: n}
		}
		text, found, err := jsonscan.Find(data, "choices", "0", "text")
		if err != nil || !found || len(text) < 2 || text[0] != '"' {
			return attempt.Result{Outcome: gannethook.Failed, Tokens: n, Detail: "an event of the stream has no text"}
		}
		if len(text) == 2 {
			continue // the last event has only a finish_reason
		}
		if n == 0 && !started() {
			return attempt.Result{Outcome: gannethook.Cancelled, Detail: "ended before its first token"}
		}
		n++
		if !token(text) {
			return attempt.Result{Outcome: gannethook.Cancelled, Tokens: n, Detail: "the client is gone"}
		}
		x.conn.SetReadDeadline(time.Now().Add(x.c.limits.StreamIdle))
		if ctx.Err() != nil { // cancelled meanwhile: restore the deadline that wakes the read
			x.conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

// placeRequest is the body of a request for a place.
type placeRequest struct {
	Key    string `json:"request_id"`
	Reader string `json:"reader"`
	Tokens int    `json:"tokens"`
	Idle   int64  `json:"idle_ms"` // the writer drops the place this long after its state arrived or failed to
}

// Hold requests a place at a writer for the state that a reader is about to compute.
func (c *Client) Hold(ctx context.Context, call *attempt.Call, reader string) attempt.PlaceResult {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Extension)
	defer cancel()
	body, _ := json.Marshal(placeRequest{call.Key, reader, int(call.PromptSize) + call.MaxTokens,
		c.limits.PlaceIdle.Milliseconds()})
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
	releaseAttempts = 4                     // each limited by Limits.Extension
	releaseBackoff  = 20 * time.Millisecond // after the first attempt, then doubled, since a dial may fail at once
)

// Release releases what an engine holds for a request, with several attempts. Each engine knows only what it holds
// itself, so the list has one entry. If the engine can't be reached at all, the ledger of held state retries later.
func (c *Client) Release(ctx context.Context, list []attempt.Held) attempt.ReleaseResult {
	if len(list) == 0 {
		return attempt.ReleaseResult{Acknowledged: true, SentAt: time.Now()}
	}
	for try := range releaseAttempts {
		if r := c.ReleaseAt(ctx, list[0]); r.Acknowledged {
			return r
		}
		time.Sleep(releaseBackoff << try)
	}
	return attempt.ReleaseResult{}
}

// ReleaseAt is Release with a single attempt.
func (c *Client) ReleaseAt(ctx context.Context, h attempt.Held) attempt.ReleaseResult {
	sent := time.Now()
	return attempt.ReleaseResult{Acknowledged: c.deleteState(ctx, h) == nil, Server: h.Addr, SentAt: sent}
}

// LastAnswer returns zero times: this client has no liveness information other than the results of releases.
func (c *Client) LastAnswer(string) (sent, answered time.Time) { return time.Time{}, time.Time{} }

// deleteState releases the state and the place of a read at an engine. A key that the engine doesn't know (404) counts as
// released.
func (c *Client) deleteState(ctx context.Context, h attempt.Held) error {
	ctx, cancel := context.WithTimeout(ctx, c.limits.Extension)
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
	_, err = x.readAll(c.limits.ResponseMax)
	x.close(err == nil)
	return x.res.Status, err
}
