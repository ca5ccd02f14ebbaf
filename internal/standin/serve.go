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

// Paths; all but the last are the engines' protocol, which is between stand-ins.
const (
	completionsPath = "/v1/completions"
	embeddingsPath  = "/v1/embeddings"
	rerankPath      = "/v1/rerank"
	placesPath      = "/v1/x-gannethook/places"
	statesPath      = "/v1/x-gannethook/states/"
	fetchPath       = "/standin/states/"
)

const (
	maxBody     = 8 << 20
	mostOver    = 1 << 14                // reads remembered as gone
	waitForRead = 300 * time.Millisecond // as long as a dial may take
)

// state is a read state at a reader.
type state struct {
	tokens float64
	ready  chan struct{}
	done   bool
	gone   bool
}

// place is one held at a writer; the state is on its way into it.
type place struct {
	tokens  float64
	ready   chan struct{} // closed when the state is here, or can't come
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

// size is the prompt's length in tokens; without a count, four bytes make one.
func (c *completion) size() float64 {
	if c.Size > 0 {
		return float64(c.Size)
	}
	return float64(len(c.Prompt)+3) / 4
}

func (l *life) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+completionsPath, l.complete)
	mux.HandleFunc("POST "+embeddingsPath, l.embed)
	mux.HandleFunc("POST "+rerankPath, l.rerank)
	mux.HandleFunc("GET "+fetchPath+"{key}", l.handOver)
	if l.e.cfg.Extended {
		mux.HandleFunc("POST "+placesPath, l.hold)
		mux.HandleFunc("DELETE "+statesPath+"{key}", l.letGo)
	}
	return mux
}

// job is one request at an engine.
type job struct {
	l     *life
	w     http.ResponseWriter
	ctx   context.Context
	c     completion
	key   string
	req   string
	class string
	write bool
	whole func() any // of one-stage work: its answer
	items int        // and how many texts it reads
	cut   bool       // the connection is to break
	ended bool       // the end is recorded
}

func (j *job) note(kind, note string) {
	j.l.e.log.Add(record.Event{Who: j.l.e.addr, Kind: kind, Req: j.req, Key: j.key, Class: j.class, Note: note})
}

func (l *life) complete(w http.ResponseWriter, r *http.Request) {
	j := l.job(w, r)
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&j.c); err != nil {
		turn(w, 400, "bad_request", err.Error())
		return
	}
	j.write = j.c.Stream
	kind := "read"
	if j.write {
		kind = "write"
	}
	j.serve(kind)
}

// serve does a request and records when it came and how it ended.
func (j *job) serve(kind string) {
	f := j.l.fault() // before its arrival is known: what is set later is for later requests
	j.note(record.Arrive, kind)
	how := j.run(f)
	if !j.ended {
		j.note(record.End, how)
	}
	if j.cut {
		panic(http.ErrAbortHandler) // net/http cuts the connection
	}
}

// swallowed records an attempt that came in while the engine was frozen: the
// request may run when it thaws.
func (l *life) swallowed(text []byte) {
	head := string(text)
	key, ok := field(head, "X-Request-Id: ")
	line, _, _ := strings.Cut(head, " HTTP/")
	path, posted := strings.CutPrefix(line, "POST ")
	if !ok || !posted || path != completionsPath && path != embeddingsPath && path != rerankPath {
		return
	}
	req, _ := field(head, "Idempotency-Key: ")
	class, _ := field(head, "X-Request-Class: ")
	note := "read"
	if path != completionsPath {
		note = "whole"
	} else if strings.Contains(head, `"stream":true`) {
		note = "write"
	}
	l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Swallow, Req: req, Key: key, Class: class, Note: note})
}

func field(head, name string) (string, bool) {
	_, rest, ok := strings.Cut(head, name)
	value, _, _ := strings.Cut(rest, "\r\n")
	return value, ok
}

// run does the request under the faults that it met and tells how it ended.
func (j *job) run(f Faults) string {
	l := j.l
	if l.e.cfg.Deaf {
		j.ctx = context.WithoutCancel(j.ctx)
	}
	if j.write {
		l.push(float64(j.c.MaxTokens) / 2)
	} else {
		l.push(j.c.size())
	}
	switch {
	case f.Hang:
		l.hang(j.ctx)
		return "hung"
	case f.Draining:
		return j.turned(503, "draining")
	case f.Throttle != "" && f.Throttle == j.class:
		return j.turned(429, "throttled")
	case f.Errors > 0 && l.chance() < f.Errors:
		return j.turned(500, "error")
	}
	leave, err := l.slot(j.ctx)
	if errors.Is(err, errTurned) {
		return j.turned(429, "full")
	}
	if err != nil {
		return "called off"
	}
	defer leave()
	switch {
	case j.whole != nil:
		return j.oneStage()
	case j.write:
		return j.answer()
	}
	return j.read()
}

// hang waits for the peer to leave, or for the end.
func (l *life) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-l.dead:
	}
}

func (l *life) chance() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rnd.Float64()
}

func (j *job) turned(status int, code string) string {
	j.note(record.End, code) // before the answer: the router may act on it at once
	j.ended = true
	j.w.Header().Set("endpoint-load-metrics", j.l.loadReport())
	turn(j.w, status, code, code)
	return code
}

func turn(w http.ResponseWriter, status int, code, msg string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]string{"code": code, "message": msg}})
}

// read reads a prompt and keeps its state until it is fetched, let go or too old.
func (j *job) read() string {
	l := j.l
	tokens := j.c.size()
	if l.take(j.ctx, tokens) != nil {
		return "called off"
	}
	st := &state{tokens: tokens, ready: make(chan struct{})}
	l.mu.Lock()
	if l.over[j.key] { // let go before it came
		l.mu.Unlock()
		l.give(tokens)
		return "let go"
	}
	l.states[j.key] = st
	close(l.news)
	l.news = make(chan struct{})
	l.mu.Unlock()
	if !l.work(j.ctx, time.Duration(l.toRead(j.c.Prefix, tokens)/l.e.cfg.ReadRate*float64(time.Second))) {
		l.free(j.key, "called off")
		return "called off"
	}
	l.mu.Lock()
	gone := st.gone
	st.done = true
	l.mu.Unlock()
	if gone { // let go while it was read
		return "let go"
	}
	j.note(record.Held, "state")
	close(st.ready)
	time.AfterFunc(l.e.cfg.Keep, func() { l.free(j.key, "too old") })
	host, port := split(l.e.addr)
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

// toRead is the part of a prompt whose text is not kept: a shared beginning is
// taken to be half of it.
func (l *life) toRead(prefix string, tokens float64) float64 {
	if prefix == "" {
		return tokens
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.kept[prefix] {
		return tokens / 2
	}
	l.kept[prefix] = true
	return tokens
}

func split(addr string) (host string, port int) {
	i := strings.LastIndexByte(addr, ':')
	port, _ = strconv.Atoi(addr[i+1:])
	return addr[:i], port
}

// free drops a state; the first reason is the one that counts.
func (l *life) free(key, why string) bool {
	l.mu.Lock()
	if len(l.over) >= mostOver {
		clear(l.over)
	}
	l.over[key] = true
	st := l.states[key]
	if st == nil {
		l.mu.Unlock()
		return false
	}
	delete(l.states, key)
	st.gone = true
	held := st.done
	if !held {
		close(st.ready)
	}
	l.mu.Unlock()
	l.give(st.tokens)
	if held {
		l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Freed, Key: key, Note: "state " + why})
	}
	return true
}

// find is the state of a read. A place may be held before its read has come
// here, so one that is not known yet is waited for a little.
func (l *life) find(ctx context.Context, key string) *state {
	limit := time.NewTimer(waitForRead)
	defer limit.Stop()
	for {
		l.mu.Lock()
		st, over, news := l.states[key], l.over[key], l.news
		l.mu.Unlock()
		if st != nil || over {
			return st
		}
		select {
		case <-news:
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return nil
		case <-l.dead:
			return nil
		}
	}
}

// handOver gives a state to a writer, once it is there.
func (l *life) handOver(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	st := l.find(r.Context(), key)
	if st != nil {
		select {
		case <-st.ready:
		case <-r.Context().Done():
			return
		case <-l.dead:
			return
		}
	}
	if st == nil || !l.free(key, "taken") {
		turn(w, 404, "no_state", "no such state")
		return
	}
	fmt.Fprintf(w, "%g", st.tokens)
}

// fetch gets a state from its reader.
func (l *life) fetch(ctx context.Context, reader, key string) (tokens float64, err error) {
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

// hold grants a place if memory is free at once, and starts to fetch the state into it.
func (l *life) hold(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Key    string `json:"request_id"`
		Reader string `json:"reader"`
		Tokens int    `json:"tokens"`
		Idle   int    `json:"idle_ms"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4096)).Decode(&ask); err != nil || ask.Key == "" {
		turn(w, 400, "bad_request", "a place has a request_id, a reader and tokens")
		return
	}
	f := l.fault()
	if f.Hang {
		l.hang(r.Context())
		return
	}
	l.mu.Lock()
	full := len(l.slots) == cap(l.slots) || l.queued > 0 || l.places[ask.Key] != nil
	l.mu.Unlock()
	if f.Draining || full || !l.tryTake(float64(ask.Tokens)) {
		turn(w, 409, "full", "no place is free")
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &place{tokens: float64(ask.Tokens), ready: make(chan struct{}), cancel: cancel}
	l.mu.Lock()
	l.places[ask.Key] = p
	l.mu.Unlock()
	l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Held, Key: ask.Key, Note: "place"})
	l.wg.Go(func() {
		l.fill(ctx, p, ask.Reader, ask.Key)
		if ask.Idle > 0 { // the router's word may not get through
			time.AfterFunc(time.Duration(ask.Idle)*time.Millisecond, func() { l.unplace(ask.Key, "lapsed") })
		}
	})
	time.AfterFunc(l.e.cfg.Keep, func() { l.unplace(ask.Key, "too old") })
	w.WriteHeader(201)
}

// fill fetches a state into a place; most of it has flowed while it was read.
func (l *life) fill(ctx context.Context, p *place, reader, key string) {
	defer close(p.ready)
	tokens, err := l.fetch(ctx, reader, key)
	if err != nil || !l.work(ctx, l.onTheWay(tokens*(1-l.e.cfg.Early))) {
		return
	}
	l.mu.Lock()
	p.arrived = true
	l.mu.Unlock()
}

func (l *life) onTheWay(tokens float64) time.Duration {
	return time.Duration(tokens / l.e.cfg.FetchRate * float64(time.Second))
}

// unplace gives a place up.
func (l *life) unplace(key, why string) *place {
	l.mu.Lock()
	p := l.places[key]
	delete(l.places, key)
	l.mu.Unlock()
	if p == nil {
		return nil
	}
	l.e.log.Add(record.Event{Who: l.e.addr, Kind: record.Freed, Key: key, Note: "place " + why})
	if why != "taken" {
		p.cancel()
		l.give(p.tokens)
	}
	return p
}

func (l *life) letGo(w http.ResponseWriter, r *http.Request) {
	if l.fault().Hang {
		l.hang(r.Context())
		return
	}
	key := r.PathValue("key")
	a, b := l.free(key, "let go"), l.unplace(key, "let go") != nil
	if a || b {
		w.WriteHeader(204)
		return
	}
	turn(w, 404, "unknown", "nothing is held under this name")
}

// answer streams an answer. Its effect happens as it starts.
func (j *job) answer() string {
	l := j.l
	tokens, ok := j.state()
	if !ok {
		if j.ctx.Err() != nil {
			return "called off"
		}
		return j.turned(409, "no_state")
	}
	defer l.give(tokens)
	select { // a stand-in that is dead runs nothing
	case <-l.dead:
		return "dead"
	case <-j.ctx.Done():
		return "called off"
	default:
	}
	j.apply()
	return j.stream()
}

// state gets the memory and the state, or reads the prompt on a mixed engine.
func (j *job) state() (tokens float64, ok bool) {
	l := j.l
	if p := l.unplace(j.key, "taken"); p != nil {
		select {
		case <-p.ready:
		case <-j.ctx.Done():
		case <-l.dead:
		}
		l.mu.Lock()
		arrived := p.arrived
		l.mu.Unlock()
		if arrived {
			return p.tokens, true
		}
		l.give(p.tokens) // it did not come by the place: fetched below, if it is still there
	}
	tokens = j.c.size() + float64(j.c.MaxTokens)
	if l.take(j.ctx, tokens) != nil {
		return 0, false
	}
	if j.c.Params != nil && j.c.Params.EngineID != nil {
		n, err := l.fetch(j.ctx, *j.c.Params.EngineID, j.key)
		ok = err == nil && l.work(j.ctx, l.onTheWay(n))
	} else if l.e.cfg.Mixed {
		ok = l.work(j.ctx, time.Duration(j.c.size()/l.e.cfg.ReadRate*float64(time.Second)))
	}
	if !ok {
		l.give(tokens)
	}
	return tokens, ok
}

func (j *job) apply() {
	e := j.l.e
	if e.keyed[j.class] && e.group != nil && !e.group.first(j.req) {
		j.note(record.Drop, "")
		return
	}
	e.mu.Lock()
	e.applied[j.req]++
	e.mu.Unlock()
	j.note(record.Apply, "")
}

// stream writes an answer of 40 to 100 % of what is allowed.
func (j *job) stream() string {
	l := j.l
	n := max(1, int(float64(j.c.MaxTokens)*(0.4+0.6*part(j.req+j.c.Prompt, l.e.cfg.Seed))))
	h := j.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("endpoint-load-metrics", l.loadReport())
	flush := http.NewResponseController(j.w)
	for i := range n {
		f := l.fault()
		if f.BreakAfter > 0 && i >= f.BreakAfter {
			j.cut = true
			return "broken"
		}
		if f.StallAfter > 0 && i >= f.StallAfter {
			l.hang(j.ctx)
			return "stalled"
		}
		fmt.Fprintf(j.w, "data: {\"id\":\"cmpl-%s\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\" t%d\",\"finish_reason\":null}]}\n\n", j.key, i)
		if flush.Flush() != nil {
			return "called off"
		}
		if !l.work(j.ctx, l.e.cfg.TokenGap) {
			return "called off"
		}
	}
	fmt.Fprintf(j.w, "data: {\"id\":\"cmpl-%s\",\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", j.key)
	flush.Flush()
	return "served"
}
