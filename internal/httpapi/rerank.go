package httpapi

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// MaxDocuments is the largest number of documents of one request, as in Cohere's API.
const MaxDocuments = 1000

// Rerank is a rerank request.
type Rerank struct {
	Model           string
	Query           string
	Documents       []string
	TopN            int // 0: all
	ReturnDocuments bool
	MaxTokensPerDoc int // a document's tokens beyond it are not read; 0: the model's default
	tokenCounts     []float64
}

// ParseRerank parses and checks the body of a rerank request. tokenBytes is the mean number of bytes of a token, by
// which the length of texts is estimated.
func ParseRerank(body []byte, tokenBytes float64) (*Rerank, *Error) {
	var p struct {
		Model     string            `json:"model"`
		Query     string            `json:"query"`
		Documents []json.RawMessage `json:"documents"`
		TopN      *int              `json:"top_n"`
		Return    bool              `json:"return_documents"`
		PerDoc    int               `json:"max_tokens_per_doc"`
	}
	if apiErr := decode(body, &p); apiErr != nil {
		return nil, apiErr
	}
	r := &Rerank{Model: p.Model, Query: p.Query, ReturnDocuments: p.Return, MaxTokensPerDoc: p.PerDoc}
	switch {
	case p.Model == "":
		return nil, Invalid("model", "a model is named")
	case p.Query == "":
		return nil, Invalid("query", "there is no query")
	case len(p.Documents) == 0:
		return nil, Invalid("documents", "there are no documents")
	case len(p.Documents) > MaxDocuments:
		return nil, Invalid("documents", "there are %d documents; %d are the most", len(p.Documents), MaxDocuments)
	case p.TopN != nil && *p.TopN < 1:
		return nil, Invalid("top_n", "top_n is 1 at the least")
	case p.PerDoc < 0:
		return nil, Invalid("max_tokens_per_doc", "max_tokens_per_doc is negative")
	}
	if p.TopN != nil {
		r.TopN = *p.TopN
	}
	query := math.Ceil(float64(len(p.Query)) / tokenBytes)
	for i, raw := range p.Documents {
		text, ok := parseDocument(raw)
		if !ok {
			return nil, Invalid(fmt.Sprintf("documents[%d]", i), "a document is a text, or an object with one")
		}
		size := math.Ceil(float64(len(text)) / tokenBytes)
		if r.MaxTokensPerDoc > 0 {
			size = min(size, float64(r.MaxTokensPerDoc))
		}
		r.Documents = append(r.Documents, text)
		r.tokenCounts = append(r.tokenCounts, query+size) // the model reads each document together with the query
	}
	return r, nil
}

func parseDocument(raw json.RawMessage) (string, bool) {
	var text string
	if json.Unmarshal(raw, &text) == nil && raw[0] == '"' {
		return text, true
	}
	var object struct {
		Text *string `json:"text"`
	}
	if json.Unmarshal(raw, &object) != nil || object.Text == nil {
		return "", false
	}
	return *object.Text, true
}

// TokenCounts returns the number of tokens of each document, including the query's.
func (r *Rerank) TokenCounts() []float64 { return r.tokenCounts }

// EngineBody returns the body of the engine's request for the documents [from, to); tokens is their sum.
func (r *Rerank) EngineBody(from, to int, tokens float64) []byte {
	req := struct {
		Model     string   `json:"model"`
		Query     string   `json:"query"`
		Documents []string `json:"documents"`
		TopN      int      `json:"top_n,omitempty"`
		PerDoc    int      `json:"max_tokens_per_doc,omitempty"`
		Size      int      `json:"x_prompt_tokens,omitempty"`
	}{r.Model, r.Query, r.Documents[from:to], 0, r.MaxTokensPerDoc, int(tokens)}
	if r.TopN > 0 {
		req.TopN = min(r.TopN, to-from) // the top documents of the whole are among the top of each part
	}
	b, _ := json.Marshal(req)
	return b
}

type rerankResponse struct {
	Model   string `json:"model"`
	Results []struct {
		Index int      `json:"index"`
		Score *float64 `json:"relevance_score"`
	} `json:"results"`
	Usage *Usage `json:"usage"`
}

func (r *Rerank) parseAnswer(body []byte, documents int) (*rerankResponse, error) {
	var v rerankResponse
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, fmt.Errorf("rerank: %w", err)
	}
	want := documents
	if r.TopN > 0 {
		want = min(want, r.TopN)
	}
	if len(v.Results) < want {
		return nil, fmt.Errorf("rerank: %d results of %d", len(v.Results), want)
	}
	seen := make([]bool, documents)
	for _, x := range v.Results {
		if x.Index < 0 || x.Index >= documents || seen[x.Index] || x.Score == nil {
			return nil, errors.New("rerank: an index is repeated or out of range, or a score is missing")
		}
		seen[x.Index] = true
	}
	return &v, nil
}

// Check returns an error unless body is a valid answer of an engine for this number of documents.
func (r *Rerank) Check(body []byte, documents int) error {
	_, err := r.parseAnswer(body, documents)
	return err
}

// result is one ranked document, in the format that Cohere and Jina share.
type result struct {
	Index    int           `json:"index"`
	Score    float64       `json:"relevance_score"`
	Document *documentText `json:"document,omitempty"`
}

type documentText struct {
	Text string `json:"text"`
}

// Join joins the answers to the parts, in order, to the answer to the whole request. counts has the number of documents
// of each part. Scores of different parts are comparable, since each document is scored against the query alone.
func (r *Rerank) Join(bodies [][]byte, counts []int) ([]byte, error) {
	out := struct {
		ID      string     `json:"id"`
		Model   string     `json:"model"`
		Results []result   `json:"results"`
		Usage   Usage      `json:"usage"`
		Meta    rerankMeta `json:"meta"`
	}{Model: r.Model, Results: []result{}}
	from := 0
	for i, b := range bodies {
		v, err := r.parseAnswer(b, counts[i])
		if err != nil {
			return nil, err
		}
		if v.Usage != nil {
			out.Usage.Total += v.Usage.Total
		}
		for _, x := range v.Results {
			out.Results = append(out.Results, result{Index: from + x.Index, Score: *x.Score})
		}
		from += counts[i]
	}
	out.Usage.Prompt = out.Usage.Total
	slices.SortFunc(out.Results, func(a, b result) int {
		return cmp.Or(-cmp.Compare(a.Score, b.Score), a.Index-b.Index)
	})
	if r.TopN > 0 {
		out.Results = out.Results[:min(r.TopN, len(out.Results))]
	}
	if r.ReturnDocuments {
		for i := range out.Results {
			out.Results[i].Document = &documentText{r.Documents[out.Results[i].Index]}
		}
	}
	out.Meta.Version.Version = "1"
	out.Meta.Billed.Units = (len(r.Documents) + 99) / 100
	return json.Marshal(out)
}

// rerankMeta is the meta field of Cohere's answers. A search unit is up to 100 documents.
type rerankMeta struct {
	Version struct {
		Version string `json:"version"`
	} `json:"api_version"`
	Billed struct {
		Units int `json:"search_units"`
	} `json:"billed_units"`
}
