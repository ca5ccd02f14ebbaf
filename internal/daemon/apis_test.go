package daemon_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	cohere "github.com/cohere-ai/cohere-go/v2"
	cohereclient "github.com/cohere-ai/cohere-go/v2/client"
	"github.com/cohere-ai/cohere-go/v2/core"
	cohereoption "github.com/cohere-ai/cohere-go/v2/option"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	sashabaranov "github.com/sashabaranov/go-openai"

	"gannethook/internal/apikeys"
	"gannethook/internal/settings"
	"gannethook/internal/standin"
)

// openAIClient returns OpenAI's Go client, connected to the router.
func (tb *testbed) openAIClient(more ...option.RequestOption) openai.Client {
	hc := &http.Client{Transport: &http.Transport{}}
	tb.t.Cleanup(hc.CloseIdleConnections)
	return openai.NewClient(append([]option.RequestOption{option.WithBaseURL("http://" + tb.d.Addr() + "/v1"), option.WithAPIKey("none"),
		option.WithHTTPClient(hc)}, more...)...)
}

// texts returns n different texts of up to about 210 bytes.
func texts(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf("text %d %s", i, strings.Repeat("x", i%200))
	}
	return list
}

// checkEmbedding compares an embedding with the stand-in's for the text.
func checkEmbedding(t *testing.T, got []float64, text string) {
	t.Helper()
	want := standin.Embedding(text, len(got))
	for i := range got {
		if math.Abs(got[i]-float64(want[i])) > 1e-6 {
			t.Fatalf("%q: %v, want %v", text, got, want)
		}
	}
}

// OpenAI's client gets embeddings of one text, of 2,048 texts that the router splits
// into parts and joins in order, and of tokens; a bad request gives its error type.
func TestOpenAIEmbeddings(t *testing.T) {
	tb := newTestbed(t, nil)
	c := tb.openAIClient()
	ctx := context.Background()
	one, err := c.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "m", Dimensions: openai.Int(5),
		Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("hello")}})
	if err != nil || len(one.Data) != 1 || len(one.Data[0].Embedding) != 5 || one.Model != "m" || one.Usage.PromptTokens < 1 {
		t.Fatalf("%+v, %v", one, err)
	}
	checkEmbedding(t, one.Data[0].Embedding, "hello")
	list := texts(2048)
	whole, err := c.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "m", Input: openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: list}})
	if err != nil || len(whole.Data) != len(list) {
		t.Fatalf("%d, %v", len(whole.Data), err)
	}
	for i, d := range whole.Data {
		if d.Index != int64(i) {
			t.Fatalf("index %d at %d", d.Index, i)
		}
		checkEmbedding(t, d.Embedding, list[i])
	}
	tokens, err := c.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "m",
		Input: openai.EmbeddingNewParamsInputUnion{OfArrayOfTokenArrays: [][]int64{{1, 2}, {3}}}})
	if err != nil || len(tokens.Data) != 2 || tokens.Usage.TotalTokens != 3 {
		t.Fatalf("%+v, %v", tokens, err)
	}
	_, err = c.Embeddings.New(ctx, openai.EmbeddingNewParams{Model: "m", Input: openai.EmbeddingNewParamsInputUnion{OfArrayOfStrings: texts(2049)}})
	var bad *openai.Error
	if !errors.As(err, &bad) || bad.StatusCode != 400 || bad.Param != "input" || !strings.Contains(bad.Message, "2048") {
		t.Errorf("%v", err)
	}
	n := 0
	for _, e := range tb.log.Events() {
		if e.Kind == "arrive" && e.Note == "whole" {
			n++
		}
	}
	if n < 30 || n > 80 {
		t.Errorf("%d attempts at engines for 2,048 texts and two other requests", n)
	}
}

// OpenAI's client gets the same chat completion with and without streaming.
func TestOpenAIChat(t *testing.T) {
	tb := newTestbed(t, nil)
	c := tb.openAIClient()
	params := openai.ChatCompletionNewParams{Model: "m", MaxCompletionTokens: openai.Int(20), Temperature: openai.Float(0.5),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("be brief"), openai.UserMessage("how much?")}}
	whole, err := c.Chat.Completions.New(context.Background(), params)
	if err != nil || len(whole.Choices) != 1 || !strings.HasPrefix(whole.Choices[0].Message.Content, " t0 t1") ||
		whole.Usage.CompletionTokens < 1 || whole.Usage.TotalTokens != whole.Usage.PromptTokens+whole.Usage.CompletionTokens {
		t.Fatalf("%+v, %v", whole, err)
	}
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	s := c.Chat.Completions.NewStreaming(context.Background(), params)
	var acc openai.ChatCompletionAccumulator
	for s.Next() {
		if !acc.AddChunk(s.Current()) {
			t.Fatal("the accumulator rejects a chunk")
		}
	}
	if s.Err() != nil || acc.Choices[0].Message.Content != whole.Choices[0].Message.Content || acc.Usage.TotalTokens != whole.Usage.TotalTokens ||
		acc.Choices[0].FinishReason == "" {
		t.Errorf("%+v, %v", acc.ChatCompletion, s.Err())
	}
	_, err = c.Chat.Completions.New(context.Background(), openai.ChatCompletionNewParams{Model: "m", N: openai.Int(2),
		Messages: params.Messages})
	var bad *openai.Error
	if !errors.As(err, &bad) || bad.Param != "n" {
		t.Errorf("%v", err)
	}
}

// The independent client go-openai gets base64 embeddings and a streamed chat completion.
func TestGoOpenAIClient(t *testing.T) {
	tb := newTestbed(t, nil)
	cfg := sashabaranov.DefaultConfig("none")
	hc := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(hc.CloseIdleConnections)
	cfg.BaseURL, cfg.HTTPClient = "http://"+tb.d.Addr()+"/v1", hc
	c := sashabaranov.NewClientWithConfig(cfg)
	res, err := c.CreateEmbeddings(context.Background(), sashabaranov.EmbeddingRequestStrings{Model: "m", Input: texts(200),
		EncodingFormat: sashabaranov.EmbeddingEncodingFormatBase64})
	if err != nil || len(res.Data) != 200 {
		t.Fatalf("%d, %v", len(res.Data), err)
	}
	for i, text := range texts(200) {
		for j, x := range standin.Embedding(text, len(res.Data[i].Embedding)) {
			if res.Data[i].Embedding[j] != x {
				t.Fatalf("%q: %v", text, res.Data[i].Embedding)
			}
		}
	}
	s, err := c.CreateChatCompletionStream(context.Background(), sashabaranov.ChatCompletionRequest{Model: "m", MaxCompletionTokens: 10,
		Messages: []sashabaranov.ChatCompletionMessage{{Role: "user", Content: "hi"}}})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	text := ""
	for {
		chunk, err := s.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		text += chunk.Choices[0].Delta.Content
	}
	if !strings.HasPrefix(text, " t0 t1") {
		t.Errorf("%q", text)
	}
}

// Cohere's client reranks documents that the router splits into parts.
func TestCohereRerank(t *testing.T) {
	tb := newTestbed(t, nil)
	hc := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(hc.CloseIdleConnections)
	c := cohereclient.NewClient(cohereclient.WithBaseURL("http://"+tb.d.Addr()), cohereclient.WithHTTPClient(hc), cohereoption.WithToken("none"))
	docs := texts(300)
	rerank := &cohere.RerankRequest{Model: cohere.String("m"), Query: "q", TopN: cohere.Int(7), ReturnDocuments: cohere.Bool(true)}
	for _, d := range docs {
		rerank.Documents = append(rerank.Documents, &cohere.RerankRequestDocumentsItem{String: d})
	}
	res, err := c.Rerank(context.Background(), rerank)
	if err != nil || len(res.Results) != 7 {
		t.Fatalf("%+v, %v", res, err)
	}
	best := 0.0
	for _, d := range docs {
		best = max(best, standin.Relevance("q", d))
	}
	for i, r := range res.Results {
		if r.RelevanceScore != standin.Relevance("q", docs[r.Index]) || i == 0 && r.RelevanceScore != best ||
			i > 0 && r.RelevanceScore > res.Results[i-1].RelevanceScore || r.Document.Text != docs[r.Index] {
			t.Errorf("%d: %+v", i, r)
		}
	}
	rerank.Documents = nil
	var bad *core.APIError
	if _, err = c.Rerank(context.Background(), rerank); !errors.As(err, &bad) || bad.StatusCode != 400 {
		t.Errorf("%v", err)
	}
}

// A tenant over its budget gets the documented rate limit headers, and the client's
// own retries after the stated time succeed; another tenant is not affected.
func TestRateLimitHeaders(t *testing.T) {
	tb := newTestbed(t, func(cfg *settings.File) {
		cfg.Tenants = []settings.Tenant{{Name: "a", Budgets: []settings.Budget{{Requests: 5, Burst: 2}}}, {Name: "b"}}
	})
	embed := func(tenant string, tries int) (*http.Response, error) {
		var res *http.Response
		c := tb.openAIClient(option.WithMaxRetries(tries), option.WithHeader("X-Gannethook-Tenant", tenant), option.WithResponseInto(&res))
		_, err := c.Embeddings.New(context.Background(), openai.EmbeddingNewParams{Model: "m",
			Input: openai.EmbeddingNewParamsInputUnion{OfString: openai.String("x")}})
		return res, err
	}
	for i := range 2 {
		res, err := embed("a", 0)
		if err != nil || res.Header.Get("X-Ratelimit-Limit-Requests") != "2" || res.Header.Get("X-Ratelimit-Remaining-Requests") != fmt.Sprint(1-i) {
			t.Fatalf("%v: %v", err, res.Header)
		}
	}
	_, err := embed("a", 0)
	var limited *openai.Error
	if !errors.As(err, &limited) || limited.StatusCode != 429 || limited.Code != "rate_limit_exceeded" ||
		limited.Response.Header.Get("Retry-After") != "1" || limited.Response.Header.Get("X-Should-Retry") != "true" {
		t.Fatalf("%v", err)
	}
	if _, err := embed("b", 0); err != nil {
		t.Error(err)
	}
	if _, err := embed("a", 2); err != nil { // the client waits for the Retry-After time
		t.Error(err)
	}
	if _, err := embed("nobody", 0); !errors.As(err, &limited) || limited.StatusCode != 400 {
		t.Errorf("%v", err)
	}
}

// An API key that is revoked is rejected afterwards, but its requests in flight finish; other keys stay valid.
func TestKeyRevoked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys")
	revokedKey, line := apikeys.New("a", time.Time{})
	keptKey, keptLine := apikeys.New("a", time.Time{})
	if err := os.WriteFile(path, []byte(line+keptLine), 0o600); err != nil {
		t.Fatal(err)
	}
	tb := newTestbed(t, func(cfg *settings.File) {
		cfg.Tenants = []settings.Tenant{{Name: "a"}}
		cfg.Keys = settings.Keys{File: path, PollInterval: 5 * time.Millisecond}
	}, func(c *standin.Config) { c.TokenGap = 20 * time.Millisecond })
	chat := func(key string) error {
		c := tb.openAIClient(option.WithAPIKey(key), option.WithMaxRetries(0))
		s := c.Chat.Completions.NewStreaming(context.Background(), openai.ChatCompletionNewParams{Model: "m",
			MaxCompletionTokens: openai.Int(40), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("x")}})
		for n := 0; s.Next(); n++ {
			if n == 1 && key == revokedKey { // the stream runs: revoke the key
				if err := os.WriteFile(path, []byte(keptLine), 0o600); err != nil {
					t.Fatal(err)
				}
				for end := time.Now().Add(5 * time.Second); tb.d.Keys() != 1; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the changed key file is not read")
					}
				}
			}
		}
		return s.Err()
	}
	if err := chat(revokedKey); err != nil {
		t.Errorf("request in flight: %v", err)
	}
	var bad *openai.Error
	if err := chat(revokedKey); !errors.As(err, &bad) || bad.StatusCode != 401 || bad.Code != "invalid_api_key" {
		t.Errorf("revoked key: %v", err)
	}
	if err := chat(keptKey); err != nil {
		t.Errorf("remaining key: %v", err)
	}
	if err := chat("gh_x_y"); !errors.As(err, &bad) || bad.StatusCode != 401 {
		t.Errorf("unknown key: %v", err)
	}
}
