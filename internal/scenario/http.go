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

// closeHTTP ends the connection. Data that still arrives on it violates rule 1.
func (u *virtualUser) closeHTTP() {
	if u.http == nil {
		return
	}
	if err := u.http.Close(); err != nil && u.lastRequest != nil {
		u.logEvent(u.lastRequest, u.lastTry, record.After, err.Error(), 0)
	}
	u.http = nil
}

// connectHTTP reuses the connection if it is intact, or opens one to the user's router.
func (u *virtualUser) connectHTTP(ctx context.Context) error {
	if u.http != nil {
		err := u.http.CheckReusable()
		if errors.Is(err, client.ErrUnsolicited) && u.lastRequest != nil {
			u.logEvent(u.lastRequest, u.lastTry, record.After, err.Error(), 0)
		}
		if err == nil {
			return nil
		}
		u.http.Abort()
		u.http = nil
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	h, err := client.DialHTTP(ctx, u.router.addr)
	if err != nil {
		u.pool.fleet.log.Add(record.Event{Who: u.name, Kind: record.ShutOut, Router: u.router.name, Note: err.Error()})
		return err
	}
	u.http = h
	u.pool.fleet.log.Add(record.Event{Who: u.name, Kind: record.Open, Router: u.router.name})
	return nil
}

// batchTexts returns a batch's texts. They depend on the request's name, and have its prompt tokens in total.
func (r *plannedRequest) batchTexts() []string {
	texts := make([]string, r.texts)
	each := max(r.promptTokens*4/max(r.texts, 1), 8)
	for i := range texts {
		head := fmt.Sprintf("%s/%d ", r.name, i)
		texts[i] = head + strings.Repeat("x", max(each-len(head), 1))
	}
	return texts
}

// requestBody returns the path and body of a request of a class.
func (u *virtualUser) requestBody(req *plannedRequest, class *Class) (path string, body []byte) {
	var request any
	switch class.Work {
	case settings.Chat:
		path = front.ChatPath
		request = map[string]any{"model": "day", "stream": true, "max_completion_tokens": class.MaxTokens,
			"messages": []any{map[string]string{"role": "user", "content": "question " + req.name}}}
	case settings.Embedding:
		path, request = front.EmbeddingsPath, map[string]any{"model": "day", "input": req.batchTexts()}
	default:
		path, request = front.RerankPath, map[string]any{"model": "day", "query": req.name, "documents": req.batchTexts(), "top_n": rerankTopN}
	}
	body, _ = json.Marshal(request)
	return path, body
}

const rerankTopN = 5

// tryHTTP sends a request once over HTTP and waits for its final answer.
func (u *virtualUser) tryHTTP(ctx context.Context, req *plannedRequest, try int, retry bool) tryResult {
	class := &u.pool.fleet.script.Classes[req.class]
	if u.connectHTTP(ctx) != nil {
		return tryResult{unreachable: true}
	}
	headers := http1.Header{{Name: "X-Gannethook-Class", Value: class.Name}, {Name: "Idempotency-Key", Value: req.name}}
	if class.Work == settings.Chat {
		headers = append(headers, http1.Field{Name: "X-Gannethook-Prompt-Tokens", Value: strconv.Itoa(req.promptTokens)},
			http1.Field{Name: "X-Gannethook-Session-Key", Value: u.name})
	}
	if u.tenant != "" {
		headers = append(headers, http1.Field{Name: "X-Gannethook-Tenant", Value: u.tenant})
	}
	if retry {
		headers = append(headers, http1.Field{Name: "X-Gannethook-Retry", Value: "true"})
	}
	if try > 1 {
		headers = append(headers, http1.Field{Name: "X-Gannethook-Try", Value: strconv.Itoa(try)})
	}
	path, body := u.requestBody(req, class)
	u.lastRequest, u.lastTry = req, try
	u.logEvent(req, try, record.Offer, u.tenant, class.Timeout.Seconds()*1000)
	conn := u.http
	var cut atomic.Value
	cutAfter := func(d time.Duration, why string) *time.Timer {
		return time.AfterFunc(d, func() { cut.Store(why); conn.Abort() })
	}
	defer cutAfter(class.Timeout+12*time.Second, "gave up").Stop()
	if req.disconnect {
		defer cutAfter(req.disconnectAfter, "left").Stop()
	}
	if conn.Post(path, headers, body) != nil {
		return u.recordLostHTTP(req, try, "connection", &cut)
	}
	res, answer, err := conn.ReadHead()
	if err != nil {
		return u.recordLostHTTP(req, try, "connection", &cut)
	}
	if res.Status != 200 {
		return u.readErrorHTTP(req, try, res, answer, &cut)
	}
	if class.Work == settings.Chat {
		return u.readStreamHTTP(req, try, answer, &cut)
	}
	return u.readBatchHTTP(req, try, answer, &cut)
}

// recordLostHTTP records a try without a final answer, and drops the connection.
func (u *virtualUser) recordLostHTTP(req *plannedRequest, try int, reason string, cut *atomic.Value) tryResult {
	if cutReason, ok := cut.Load().(string); ok {
		reason = cutReason
	}
	u.logEvent(req, try, record.Lost, reason, 0)
	u.http.Abort()
	u.http = nil
	return tryResult{kind: "lost", disconnected: reason == "left"}
}

// readErrorHTTP reads an answer with a status other than 200.
func (u *virtualUser) readErrorHTTP(req *plannedRequest, try int, res *http1.Response, answer *http1.Body, cut *atomic.Value) tryResult {
	body, err := io.ReadAll(answer)
	var e struct {
		Error struct{ Code, Message string }
	}
	if err != nil || json.Unmarshal(body, &e) != nil {
		return u.recordLostHTTP(req, try, "connection", cut)
	}
	result := tryResult{reason: e.Error.Message}
	switch e.Error.Code {
	case httpapi.CodeRefused, httpapi.CodeLimited:
		result.kind = "refused"
		ms, _ := strconv.Atoi(res.Header.Get("Retry-After-Ms"))
		result.retryAfter = time.Duration(ms) * time.Millisecond
	case httpapi.CodeFailed:
		result.kind = "failed"
	default:
		return u.recordLostHTTP(req, try, fmt.Sprintf("error %d %s", res.Status, body), cut)
	}
	u.logEvent(req, try, record.Final, result.kind, float64(result.retryAfter.Milliseconds()))
	return result
}

// readStreamHTTP reads a streamed chat to its end. A stalled client reads nothing after its first token until the fault
// ends, and then disconnects.
func (u *virtualUser) readStreamHTTP(req *plannedRequest, try int, answer *http1.Body, cut *atomic.Value) tryResult {
	events := http1.NewEvents(answer)
	first := time.Time{}
	for {
		data, err := events.Next()
		if err != nil {
			return u.recordLostHTTP(req, try, "connection", cut)
		}
		if first.IsZero() {
			first = time.Now()
			u.logEvent(req, try, record.Token, "", 0)
			if remaining := u.pool.fleet.script.stallTime(time.Since(u.pool.fleet.start), req.seed); remaining > 0 {
				time.Sleep(remaining)
				cut.Store("left")
				return u.recordLostHTTP(req, try, "left", cut)
			}
		}
		done, failed := string(data) == "[DONE]", strings.HasPrefix(string(data), `{"error"`)
		if !done && !failed {
			continue
		}
		if _, err := io.Copy(io.Discard, answer); err != nil { // the last chunk belongs to the answer
			return u.recordLostHTTP(req, try, "connection", cut)
		}
		if failed {
			u.logEvent(req, try, record.Final, "failed", 0)
			return tryResult{kind: "failed", reason: "the stream broke"}
		}
		u.logEvent(req, try, record.Final, "served", 0)
		return tryResult{kind: "served", sinceFirstToken: time.Since(first)}
	}
}

// stallTime returns how long a client reads nothing; 0 if it does not stall.
func (s *Script) stallTime(at time.Duration, seed uint64) time.Duration {
	for _, f := range s.Faults {
		if f.Kind == "stalled-clients" && at >= f.From && at < f.From+f.For && float64(seed%1000)/1000 < max(f.Share, 0.001) {
			return f.From + f.For - at
		}
	}
	return 0
}

// readBatchHTTP reads the answer to a batch and checks it, text by text.
func (u *virtualUser) readBatchHTTP(req *plannedRequest, try int, answer *http1.Body, cut *atomic.Value) tryResult {
	body, err := io.ReadAll(answer)
	if err != nil {
		return u.recordLostHTTP(req, try, "connection", cut)
	}
	check := checkEmbeddings
	if u.pool.fleet.script.Classes[req.class].Work == settings.Rerank {
		check = checkRanking
	}
	if err := check(req, body); err != nil {
		return u.recordLostHTTP(req, try, "error "+err.Error(), cut)
	}
	u.logEvent(req, try, record.Token, "", 0)
	u.logEvent(req, try, record.Final, "served", 0)
	return tryResult{kind: "served"}
}

// checkEmbeddings checks that each text has its own embedding, in order.
func checkEmbeddings(req *plannedRequest, body []byte) error {
	var v struct {
		Data []struct {
			Index     int
			Embedding []float32
		}
	}
	if err := json.Unmarshal(body, &v); err != nil {
		return err
	}
	texts := req.batchTexts()
	if len(v.Data) != len(texts) {
		return fmt.Errorf("%d embeddings for %d texts", len(v.Data), len(texts))
	}
	for i, d := range v.Data {
		if d.Index != i || !slices.EqualFunc(d.Embedding, standin.Embedding(texts[i], len(d.Embedding)), func(x, y float32) bool {
			return math.Abs(float64(x-y)) < 1e-6
		}) {
			return fmt.Errorf("embedding %d does not match its text", i)
		}
	}
	return nil
}

// checkRanking checks that the most relevant documents came, in order.
func checkRanking(req *plannedRequest, body []byte) error {
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
	texts := req.batchTexts()
	for _, d := range texts {
		scores = append(scores, standin.Relevance(req.name, d))
	}
	want := slices.Clone(scores)
	slices.Sort(want)
	slices.Reverse(want)
	if len(v.Results) != min(rerankTopN, len(texts)) {
		return fmt.Errorf("%d results", len(v.Results))
	}
	for i, r := range v.Results {
		if r.Index < 0 || r.Index >= len(texts) || r.Score != scores[r.Index] || r.Score != want[i] {
			return fmt.Errorf("result %d is not the expected one", i)
		}
	}
	return nil
}
