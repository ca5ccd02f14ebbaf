package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"gannethook/internal/client"
	"gannethook/internal/front"
	"gannethook/internal/http1"
	"gannethook/internal/httpapi"
	"gannethook/internal/record"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

// leaveHTTP ends the connection; what still comes on it breaks rule 1.
func (g *guest) leaveHTTP() {
	if g.http == nil {
		return
	}
	if err := g.http.Close(); err != nil && g.asked != nil {
		g.note(g.asked, g.sent, record.After, err.Error(), 0)
	}
	g.http = nil
}

// connectHTTP gives a connection that stands, at a router that the front takes to be up.
func (g *guest) connectHTTP(ctx context.Context) error {
	if g.http != nil {
		err := g.http.Stands()
		if errors.Is(err, client.ErrOutOfTurn) && g.asked != nil {
			g.note(g.asked, g.sent, record.After, err.Error(), 0)
		}
		if err == nil {
			return nil
		}
		g.http.Cut()
		g.http = nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	h, err := client.DialHTTP(ctx, g.router.addr)
	if err != nil {
		g.c.f.log.Add(record.Event{Who: g.name, Kind: record.ShutOut, Router: g.router.name, Note: err.Error()})
		return err
	}
	g.http = h
	g.c.f.log.Add(record.Event{Who: g.name, Kind: record.Open, Router: g.router.name})
	return nil
}

// list has a batch's texts: they go by the request's name, and have its tokens in all.
func (a *ask) list() []string {
	list := make([]string, a.texts)
	each := max(a.prompt*4/max(a.texts, 1), 8)
	for i := range list {
		head := fmt.Sprintf("%s/%d ", a.name, i)
		list[i] = head + strings.Repeat("x", max(each-len(head), 1))
	}
	return list
}

// httpBody is a request of a class, and where it goes.
func (g *guest) httpBody(a *ask, class *Class) (path string, body []byte) {
	var ask any
	switch class.Work {
	case settings.Chat:
		path = front.ChatPath
		ask = map[string]any{"model": "day", "stream": true, "max_completion_tokens": class.Out,
			"messages": []any{map[string]string{"role": "user", "content": "question " + a.name}}}
	case settings.Embedding:
		path, ask = front.EmbeddingsPath, map[string]any{"model": "day", "input": a.list()}
	default:
		path, ask = front.RerankPath, map[string]any{"model": "day", "query": a.name, "documents": a.list(), "top_n": topN}
	}
	body, _ = json.Marshal(ask)
	return path, body
}

const topN = 5

// tryHTTP sends a request once over HTTP and waits for its final answer.
func (g *guest) tryHTTP(ctx context.Context, a *ask, n int, again bool) tried {
	class := &g.c.f.s.Classes[a.class]
	if g.connectHTTP(ctx) != nil {
		return tried{unreachable: true}
	}
	h := http1.Header{{Name: "X-Gannethook-Class", Value: class.Name}, {Name: "Idempotency-Key", Value: a.name}}
	if class.Work == settings.Chat {
		h = append(h, http1.Field{Name: "X-Gannethook-Prompt-Tokens", Value: strconv.Itoa(a.prompt)},
			http1.Field{Name: "X-Gannethook-Session-Key", Value: g.name})
	}
	if g.tenant != "" {
		h = append(h, http1.Field{Name: "X-Gannethook-Tenant", Value: g.tenant})
	}
	if again {
		h = append(h, http1.Field{Name: "X-Gannethook-Retry", Value: "true"})
	}
	if n > 1 {
		h = append(h, http1.Field{Name: "X-Gannethook-Try", Value: strconv.Itoa(n)})
	}
	path, body := g.httpBody(a, class)
	g.asked, g.sent = a, n
	g.note(a, n, record.Offer, g.tenant, class.GiveUp.Seconds()*1000)
	conn := g.http
	var cut atomic.Value
	after := func(d time.Duration, why string) *time.Timer {
		return time.AfterFunc(d, func() { cut.Store(why); conn.Cut() })
	}
	defer after(class.GiveUp+12*time.Second, "gave up").Stop()
	if a.drop {
		defer after(a.dropAt, "left").Stop()
	}
	if conn.Post(path, h, body) != nil {
		return g.goneHTTP(a, n, "connection", &cut)
	}
	res, answer, err := conn.Head()
	if err != nil {
		return g.goneHTTP(a, n, "connection", &cut)
	}
	if res.Status != 200 {
		return g.turnedHTTP(a, n, res, answer, &cut)
	}
	if class.Work == settings.Chat {
		return g.streamHTTP(a, n, answer, &cut)
	}
	return g.wholeHTTP(a, n, answer, &cut)
}

// goneHTTP records a try without a final answer.
func (g *guest) goneHTTP(a *ask, n int, why string, cut *atomic.Value) tried {
	if own, ok := cut.Load().(string); ok {
		why = own
	}
	g.note(a, n, record.Lost, why, 0)
	g.http.Cut()
	g.http = nil
	return tried{kind: "lost", left: why == "left"}
}

// turnedHTTP takes an answer that is not 200.
func (g *guest) turnedHTTP(a *ask, n int, res *http1.Response, answer *http1.Body, cut *atomic.Value) tried {
	body, err := io.ReadAll(answer)
	var e struct {
		Error struct{ Code, Message string }
	}
	if err != nil || json.Unmarshal(body, &e) != nil {
		return g.goneHTTP(a, n, "connection", cut)
	}
	t := tried{why: e.Error.Message}
	switch e.Error.Code {
	case httpapi.CodeRefused, httpapi.CodeLimited:
		t.kind = "refused"
		ms, _ := strconv.Atoi(res.Header.Get("Retry-After-Ms"))
		t.retryAfter = time.Duration(ms) * time.Millisecond
	case httpapi.CodeFailed:
		t.kind = "failed"
	default:
		return g.goneHTTP(a, n, fmt.Sprintf("error %d %s", res.Status, body), cut)
	}
	g.note(a, n, record.Final, t.kind, float64(t.retryAfter.Milliseconds()))
	return t
}

// streamHTTP reads a streamed chat to its end. A client that stalls reads
// nothing after its first token, until its trouble is over; then it leaves.
func (g *guest) streamHTTP(a *ask, n int, answer *http1.Body, cut *atomic.Value) tried {
	events := http1.NewEvents(answer)
	first := time.Time{}
	for {
		data, err := events.Next()
		if err != nil {
			return g.goneHTTP(a, n, "connection", cut)
		}
		if first.IsZero() {
			first = time.Now()
			g.note(a, n, record.Token, "", 0)
			if left := g.c.f.s.stalls(time.Since(g.c.f.start), a.seed); left > 0 {
				time.Sleep(left)
				cut.Store("left")
				return g.goneHTTP(a, n, "left", cut)
			}
		}
		done, failed := string(data) == "[DONE]", strings.HasPrefix(string(data), `{"error"`)
		if !done && !failed {
			continue
		}
		if _, err := io.Copy(io.Discard, answer); err != nil { // the last chunk belongs to the answer
			return g.goneHTTP(a, n, "connection", cut)
		}
		if failed {
			g.note(a, n, record.Final, "failed", 0)
			return tried{kind: "failed", why: "the stream broke"}
		}
		g.note(a, n, record.Final, "served", 0)
		return tried{kind: "served", afterFirst: time.Since(first)}
	}
}

// stalls is how long a client reads nothing, 0 for one that reads.
func (s *Script) stalls(at time.Duration, seed uint64) time.Duration {
	for _, f := range s.Faults {
		if f.Kind == "stalled-clients" && at >= f.From && at < f.From+f.For && float64(seed%1000)/1000 < max(f.Part, 0.001) {
			return f.From + f.For - at
		}
	}
	return 0
}

// wholeHTTP reads the answer to a batch and checks it, text by text.
func (g *guest) wholeHTTP(a *ask, n int, answer *http1.Body, cut *atomic.Value) tried {
	body, err := io.ReadAll(answer)
	if err != nil {
		return g.goneHTTP(a, n, "connection", cut)
	}
	check := rightVectors
	if g.c.f.s.Classes[a.class].Work == settings.Rerank {
		check = rightRanking
	}
	if err := check(a, body); err != nil {
		return g.goneHTTP(a, n, "error "+err.Error(), cut)
	}
	g.note(a, n, record.Token, "", 0)
	g.note(a, n, record.Final, "served", 0)
	return tried{kind: "served"}
}

// rightVectors tells whether each text has its own embedding, in order.
func rightVectors(a *ask, body []byte) error {
	var v struct {
		Data []struct {
			Index     int
			Embedding []float32
		}
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	list := a.list()
	if len(v.Data) != len(list) {
		return fmt.Errorf("%d embeddings of %d", len(v.Data), len(list))
	}
	for i, d := range v.Data {
		if d.Index != i || !slices.EqualFunc(d.Embedding, standin.Embedding(list[i], len(d.Embedding)), func(x, y float32) bool {
			return math.Abs(float64(x-y)) < 1e-6
		}) {
			return fmt.Errorf("embedding %d is not its text's", i)
		}
	}
	return nil
}

// rightRanking tells whether the best documents came, in order.
func rightRanking(a *ask, body []byte) error {
	var v struct {
		Results []struct {
			Index int
			Score float64 `json:"relevance_score"`
		}
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	var scores []float64
	list := a.list()
	for _, d := range list {
		scores = append(scores, standin.Relevance(a.name, d))
	}
	want := slices.Clone(scores)
	slices.Sort(want)
	slices.Reverse(want)
	if len(v.Results) != min(topN, len(list)) {
		return fmt.Errorf("%d results", len(v.Results))
	}
	for i, r := range v.Results {
		if r.Index < 0 || r.Index >= len(list) || r.Score != scores[r.Index] || r.Score != want[i] {
			return fmt.Errorf("result %d is not the one due", i)
		}
	}
	return nil
}
