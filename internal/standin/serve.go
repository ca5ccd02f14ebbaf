package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"gannethook/internal/record"
)

// Paths. All but fetchPath are the engine protocol; fetchPath is used between stand-ins.
const (
	completionsPath = "/v1/completions"
	embeddingsPath  = "/v1/embeddings"
	rerankPath      = "/v1/rerank"
	placesPath      = "/v1/x-gannethook/places"
	statesPath      = "/v1/x-gannethook/states/"
	fetchPath       = "/standin/states/"
)

const (
	maxBody         = 8 << 20
	maxDroppedReads = 1 << 14                // entries of droppedReads
	readWait        = 300 * time.Millisecond // how long a fetch waits for its read to arrive: as long as a dial may take
)

// state is a read state at a reader.
type state struct {
	tokens  float64
	ready   chan struct{}
	done    bool
	dropped bool
}

// place is a place held at a writer; the transfer of the state into it has started.
type place struct {
	tokens  float64
	ready   chan struct{} // closed when the state has arrived or can't arrive
	arrived bool
	cancel  context.CancelFunc
}

type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Size      int    `json:"x_prompt_tokens"`
	Prefix    string `json:"x_prefix_key"`
	Params    *struct {
		RemoteDecode  bool    `json:"do_remote_decode"`
		RemotePrefill bool    `json:"do_remote_prefill"`
		EngineID      *string `json:"remote_engine_id"`
		Host          *string `json:"remote_host"`
		Port          *int    `json:"remote_port"`
		BlockIDs      []int   `json:"remote_block_ids"`
	} `json:"kv_transfer_params"`
}

// size returns the prompt's length in tokens; without a count, four bytes make one token.
func (c *completion) size() float64 {
	if c.Size > 0 {
		return float64(c.Size)
	}
	return float64(len(c.Prompt)+3) / 4
}

func (l *lifetime) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+completionsPath, l.handleCompletion)
	mux.HandleFunc("POST "+embeddingsPath, l.handleEmbedding)
	mux.HandleFunc("POST "+rerankPath, l.handleRerank)
	mux.HandleFunc("GET "+fetchPath+"{key}", l.handleFetch)
	if l.e.cfg.Extended {
		mux.HandleFunc("POST "+placesPath, l.handlePlace)
		mux.HandleFunc("DELETE "+statesPath+"{key}", l.handleRelease)
	}
	return mux
}

// job is one request at an engine.
type job struct {
	l            *lifetime
	w            http.ResponseWriter
	ctx          context.Context
	body         completion
	key          string
	req          string
	class        string
	write        bool
	oneStageBody func() any // answer of one-stage work; nil for reads and writes
	textCount    int        // texts of one-stage work
	abort        bool       // break the connection instead of ending the answer
	endRecorded  bool       // the End event is recorded
}

func (j *job) logEvent(kind, note string) {
	j.l.e.log.Add(record.Event{Who: j.l.e.addr, Kind: kind, Req: j.req, Key: j.key, Class: j.class, Note: note})
}

func (l *lifetime) handleCompletion(w http.ResponseWriter, r *http.Request) {
	j := l.newJob(w, r)
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&j.body); err != nil {
		writeError(w, 400, "bad_request", err.Error())
		return
	}
	j.write = j.body.Stream
	kind := "read"
	if j.write {
		kind = "write"
	}
	j.serve(kind)
}

// serve runs a request and records its arrival and its end.
func (j *job) serve(kind string) {
	f := j.l.currentFaults() // read before the arrival is recorded: faults set later apply to later requests
	j.logEvent(record.Arrive, kind)
	note := j.run(f)
	if !j.endRecorded {
		j.logEvent(record.End, note)
	}
	if j.abort {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
}

// recordSwallowed records an attempt that arrived while the engine was frozen; the request may run after the thaw.
func (l *lifetime) recordSwallowed(text []byte) {
	head := string(text)
	key, ok := headerValue(head, "X-Request-Id: ")
	line, _, _ := strings.Cut(head, " HTTP/")
	path, isPost := strings.CutPrefix(line, "POST ")
	if !ok || !isPost || path != completionsPath && path != embeddingsPath && path != rerankPath {
		return
	}
	req, _ := headerValue(head, "Idempotency-Key: ")
	class, _ := headerValue(head, "X-Request-Class: ")
	note := "read"
	if path != completionsPath {
		note = "whole"
	} else if strings.Contains(head, `"stream":true`) {
		note = "write"
	}
	l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Swallow, Req: req, Key: key, Class: class, Note: note})
}

func headerValue(head, name string) (string, bool) {
	_, rest, ok := strings.Cut(head, name)
	value, _, _ := strings.Cut(rest, "\r\n")
	return value, ok
}

// run executes the request under the faults at its arrival and returns how it ended.
func (j *job) run(f Faults) string {
	l := j.l
	if l.e.cfg.IgnoreCancel {
		j.ctx = context.WithoutCancel(j.ctx)
	}
	if j.write {
		l.recordWork(float64(j.body.MaxTokens) / 2)
	} else {
		l.recordWork(j.body.size())
	}
	switch {
	case f.Hang:
		l.waitForClose(j.ctx)
		return "hung"
	case f.Draining:
		return j.reject(503, "draining")
	case f.Throttle != "" && f.Throttle == j.class:
		return j.reject(429, "throttled")
	case f.Errors > 0 && l.randFloat() < f.Errors:
		return j.reject(500, "error")
	}
	leave, err := l.acquireSlot(j.ctx)
	if errors.Is(err, errQueueFull) {
		return j.reject(429, "full")
	}
	if err != nil {
		return "called off"
	}
	defer leave()
	switch {
	case j.oneStageBody != nil:
		return j.runOneStage()
	case j.write:
		return j.decode()
	}
	return j.prefill()
}

// waitForClose waits until the peer disconnects or the engine stops.
func (l *lifetime) waitForClose(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.stopped:
	}
}

func (l *lifetime) randFloat() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

func (j *job) reject(status int, code string) string {
	j.logEvent(record.End, code) // before the answer: the router may act on it at once
	j.endRecorded = true
	j.w.Header().Set("endpoint-load-metrics", j.l.loadReport())
	writeError(j.w, status, code, code)
	return code
}

func writeError(w http.ResponseWriter, status int, code, msg string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": code, "message": msg}})
}

// prefill reads a prompt and holds its state until it is fetched, released or expired.
func (j *job) prefill() string {
	l := j.l
	tokens := j.body.size()
	if l.acquireMemory(j.ctx, tokens) != nil {
		return "called off"
	}
	st := &state{tokens: tokens, ready: make(chan struct{})}
	l.mu.Lock()
	if l.droppedReads[j.key] { // released before the read arrived
		l.mu.Unlock()
		l.releaseMemory(tokens)
		return "let go"
	}
	l.states[j.key] = st
	close(l.readStarted)
	l.readStarted = make(chan struct{})
	l.mu.Unlock()
	if !l.doWork(j.ctx, time.Duration(l.uncachedTokens(j.body.Prefix, tokens)/l.e.cfg.ReadRate*float64(time.Second))) {
		l.dropState(j.key, "called off")
		return "called off"
	}
	l.mu.Lock()
	dropped := st.dropped
	st.done = true
	l.mu.Unlock()
	if dropped { // released during the read
		return "let go"
	}
	j.logEvent(record.Held, "state")
	close(st.ready)
	time.AfterFunc(l.e.cfg.StateLifetime, func() { l.dropState(j.key, "too old") })
	host, port := splitAddr(l.e.addr)
	j.w.Header().Set("endpoint-load-metrics", l.loadReport())
	j.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(j.w).Encode(map[string]any{
		"id": "cmpl-" + j.key, "object": "text_completion",
		"choices": []any{map[string]any{"index": 0, "text": "", "finish_reason": "length"}},
		"kv_transfer_params": map[string]any{"do_remote_prefill": true, "do_remote_decode": false,
			"remote_engine_id": l.e.addr, "remote_block_ids": []int{1}, "remote_host": host, "remote_port": port},
	})
	return "read"
}

// uncachedTokens returns the tokens of a prompt that have to be read: a shared prefix counts as half of the prompt
// and is cached after its first read.
func (l *lifetime) uncachedTokens(prefix string, tokens float64) float64 {
	if prefix == "" {
		return tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cachedPrefixes[prefix] {
		return tokens / 2
	}
	l.cachedPrefixes[prefix] = true
	return tokens
}

func splitAddr(addr string) (host string, port int) {
	i := strings.LastIndexByte(addr, ':')
	port, _ = strconv.Atoi(addr[i+1:])
	return addr[:i], port
}

// dropState drops a state; only the first call for a key has an effect.
func (l *lifetime) dropState(key, reason string) bool {
	l.mu.Lock()
	if len(l.droppedReads) >= maxDroppedReads {
		clear(l.droppedReads)
	}
	l.droppedReads[key] = true
	st := l.states[key]
	if st == nil {
		l.mu.Unlock()
		return false
	}
	delete(l.states, key)
	st.dropped = true
	held := st.done
	if !held {
		close(st.ready)
	}
	l.mu.Unlock()
	l.releaseMemory(st.tokens)
	if held {
		l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Freed, Key: key, Note: "state " + reason})
	}
	return true
}

// findState returns the state of a read. A place may be held before its read arrives here, so it waits up to readWait
// for an unknown key.
func (l *lifetime) findState(ctx context.Context, key string) *state {
	limit := time.NewTimer(readWait)
	defer limit.Stop()
	for {
		l.mu.Lock()
		st, dropped, started := l.states[key], l.droppedReads[key], l.readStarted
		l.mu.Unlock()
		if st != nil || dropped {
			return st
		}
		select {
		case <-started:
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return nil
		case <-l.stopped:
			return nil
		}
	}
}

// handleFetch transfers a state to a writer, once it is complete.
func (l *lifetime) handleFetch(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	st := l.findState(r.Context(), key)
	if st != nil {
		select {
		case <-st.ready:
		case <-r.Context().Done():
			return
		case <-l.stopped:
			return
		}
	}
	if st == nil || !l.dropState(key, "taken") {
		writeError(w, 404, "no_state", "no such state")
		return
	}
	fmt.Fprintf(w, "%g", st.tokens)
}

// fetchState fetches a state from its reader and returns its size.
func (l *lifetime) fetchState(ctx context.Context, reader, key string) (tokens float64, err error) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+reader+fetchPath+key, nil)
	if err != nil {
		return 0, err
	}
	res, err := l.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != 200 {
		return 0, errors.New("no state")
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, 64))
	if err != nil {
		return 0, err
	}
	return strconv.ParseFloat(string(b), 64)
}

// handlePlace grants a place if memory is free at once, and starts to fetch the state into it.
func (l *lifetime) handlePlace(w http.ResponseWriter, r *http.Request) {
	var params struct {
		Key    string `json:"request_id"`
		Reader string `json:"reader"`
		Tokens int    `json:"tokens"`
		Idle   int    `json:"idle_ms"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&params); err != nil || params.Key == "" {
		writeError(w, 400, "bad_request", "a place has a request_id, a reader and tokens")
		return
	}
	f := l.currentFaults()
	if f.Hang {
		l.waitForClose(r.Context())
		return
	}
	l.mu.Lock()
	full := len(l.slots) == cap(l.slots) || l.queued > 0 || l.places[params.Key] != nil
	l.mu.Unlock()
	if f.Draining || full || !l.tryAcquireMemory(float64(params.Tokens)) {
		writeError(w, 409, "full", "no place is free")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &place{tokens: float64(params.Tokens), ready: make(chan struct{}), cancel: cancel}
	l.mu.Lock()
	l.places[params.Key] = p
	l.mu.Unlock()
	l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Held, Key: params.Key, Note: "place"})
	l.wg.Go(func() {
		l.fillPlace(ctx, p, params.Reader, params.Key)
		if params.Idle > 0 { // the router's release may be lost
			time.AfterFunc(time.Duration(params.Idle)*time.Millisecond, func() { l.removePlace(params.Key, "lapsed") })
		}
	})
	time.AfterFunc(l.e.cfg.StateLifetime, func() { l.removePlace(params.Key, "too old") })
	w.WriteHeader(201)
}

// fillPlace fetches a state into a place; the share EarlyShare was transferred during the read.
func (l *lifetime) fillPlace(ctx context.Context, p *place, reader, key string) {
	defer close(p.ready)
	tokens, err := l.fetchState(ctx, reader, key)
	if err != nil || !l.doWork(ctx, l.transferTime(tokens*(1-l.e.cfg.EarlyShare))) {
		return
	}
	l.mu.Lock()
	p.arrived = true
	l.mu.Unlock()
}

func (l *lifetime) transferTime(tokens float64) time.Duration {
	return time.Duration(tokens / l.e.cfg.FetchRate * float64(time.Second))
}

// removePlace removes a place.
func (l *lifetime) removePlace(key, reason string) *place {
	l.mu.Lock()
	p := l.places[key]
	delete(l.places, key)
	l.mu.Unlock()
	if p == nil {
		return nil
	}
	l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Freed, Key: key, Note: "place " + reason})
	if reason != "taken" {
		p.cancel()
		l.releaseMemory(p.tokens)
	}
	return p
}

func (l *lifetime) handleRelease(w http.ResponseWriter, r *http.Request) {
	if l.currentFaults().Hang {
		l.waitForClose(r.Context())
		return
	}
	key := r.PathValue("key")
	a, b := l.dropState(key, "let go"), l.removePlace(key, "let go") != nil
	if a || b {
		w.WriteHeader(204)
		return
	}
	writeError(w, 404, "unknown", "nothing is held under this name")
}

// decode streams an answer; its effect happens at the start.
func (j *job) decode() string {
	l := j.l
	tokens, ok := j.acquireState()
	if !ok {
		if j.ctx.Err() != nil {
			return "called off"
		}
		return j.reject(409, "no_state")
	}
	defer l.releaseMemory(tokens)
	select { // a stopped stand-in runs nothing
	case <-l.stopped:
		return "dead"
	case <-j.ctx.Done():
		return "called off"
	default:
	}
	j.apply()
	return j.streamTokens()
}

// acquireState reserves memory and gets the state, or reads the prompt on a mixed engine.
func (j *job) acquireState() (tokens float64, ok bool) {
	l := j.l
	if p := l.removePlace(j.key, "taken"); p != nil {
		select {
		case <-p.ready:
		case <-j.ctx.Done():
		case <-l.stopped:
		}
		l.mu.Lock()
		arrived := p.arrived
		l.mu.Unlock()
		if arrived {
			return p.tokens, true
		}
		l.releaseMemory(p.tokens) // the transfer into the place failed: fetch again below, if the state still exists
	}
	tokens = j.body.size() + float64(j.body.MaxTokens)
	if l.acquireMemory(j.ctx, tokens) != nil {
		return 0, false
	}
	if j.body.Params != nil && j.body.Params.EngineID != nil {
		n, err := l.fetchState(j.ctx, *j.body.Params.EngineID, j.key)
		ok = err == nil && l.doWork(j.ctx, l.transferTime(n))
	} else if l.e.cfg.Mixed {
		ok = l.doWork(j.ctx, time.Duration(j.body.size()/l.e.cfg.ReadRate*float64(time.Second)))
	}
	if !ok {
		l.releaseMemory(tokens)
	}
	return tokens, ok
}

func (j *job) apply() {
	e := j.l.e
	if e.keyedClasses[j.class] && e.dedupe != nil && !e.dedupe.markNew(j.req) {
		j.logEvent(record.Drop, "")
		return
	}
	e.mu.Lock()
	e.applied[j.req]++
	e.mu.Unlock()
	j.logEvent(record.Apply, "")
}

// streamTokens writes an answer of 40 to 100 % of the permitted tokens.
func (j *job) streamTokens() string {
	l := j.l
	n := max(1, int(float64(j.body.MaxTokens)*(0.4+0.6*unitHash(j.req+j.body.Prompt, l.e.cfg.Seed))))
	h := j.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("endpoint-load-metrics", l.loadReport())
	rc := http.NewResponseController(j.w)
	for i := range n {
		f := l.currentFaults()
		if f.BreakAfter > 0 && i >= f.BreakAfter {
			j.abort = true
			return "broken"
		}
		if f.StallAfter > 0 && i >= f.StallAfter {
			l.waitForClose(j.ctx)
			return "stalled"
		}
		fmt.Fprintf(j.w, "data: {\"id\":\"cmpl-%s\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\" t%d\",\"finish_reason\":null}]}\n\n", j.key, i)
		if rc.Flush() != nil {
			return "called off"
		}
		if !l.doWork(j.ctx, l.e.cfg.TokenGap) {
			return "called off"
		}
	}
	fmt.Fprintf(j.w, "data: {\"id\":\"cmpl-%s\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", j.key)
	rc.Flush()
	return "served"
}
