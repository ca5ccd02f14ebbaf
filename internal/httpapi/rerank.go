package httpapi

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// MaxDocuments is how many documents one request may rank, as Cohere has it.
const MaxDocuments = 1000

// Rerank is a request for a ranking.
type Rerank struct {
	Model     string
	Query     string
	Documents []string
	TopN      int // 0: all
	Return    bool
	PerDoc    int // tokens read of each document at the most; 0: the model's own
	sizes     []float64
}

// ParseRerank reads a request; a token is taken to have so many bytes.
func ParseRerank(body []byte, tokenBytes float64) (*Rerank, *Error) {
	var p struct {
		Model     string            `json:"model"`
		Query     string            `json:"query"`
		Documents []json.RawMessage `json:"documents"`
		TopN      *int              `json:"top_n"`
		Return    bool              `json:"return_documents"`
		PerDoc    int               `json:"max_tokens_per_doc"`
	}
	if bad := read(body, &p); bad != nil {
		return nil, bad
	}
	r := &Rerank{Model: p.Model, Query: p.Query, Return: p.Return, PerDoc: p.PerDoc}
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
		text, ok := document(raw)
		if !ok {
			return nil, Invalid(fmt.Sprintf("documents[%d]", i), "a document is a text, or an object with one")
		}
		size := math.Ceil(float64(len(text)) / tokenBytes)
		if r.PerDoc > 0 {
			size = min(size, float64(r.PerDoc))
		}
		r.Documents = append(r.Documents, text)
		r.sizes = append(r.sizes, query+size) // each is read beside the query
	}
	return r, nil
}

func document(raw json.RawMessage) (string, bool) {
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

// Sizes are the documents' tokens, each with the query's.
func (r *Rerank) Sizes() []float64 { return r.sizes }

// Engine is what an engine is asked for the documents from one to before another.
func (r *Rerank) Engine(from, to int, tokens float64) []byte {
	ask := struct {
		Model     string   `json:"model"`
		Query     string   `json:"query"`
		Documents []string `json:"documents"`
		TopN      int      `json:"top_n,omitempty"`
		PerDoc    int      `json:"max_tokens_per_doc,omitempty"`
		Size      int      `json:"x_prompt_tokens,omitempty"`
	}{r.Model, r.Query, r.Documents[from:to], 0, r.PerDoc, int(tokens)}
	if r.TopN > 0 {
		ask.TopN = min(r.TopN, to-from) // the whole's first are among each part's
	}
	b, _ := json.Marshal(ask)
	return b
}

type ranking struct {
	Model   string `json:"model"`
	Results []struct {
		Index int      `json:"index"`
		Score *float64 `json:"relevance_score"`
	} `json:"results"`
	Usage *Usage `json:"usage"`
}

func (r *Rerank) readRanking(body []byte, documents int) (*ranking, error) {
	var v ranking
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, fmt.Errorf("rerank: %w", err)
	}
	due := documents
	if r.TopN > 0 {
		due = min(due, r.TopN)
	}
	if len(v.Results) < due {
		return nil, fmt.Errorf("rerank: %d results of %d", len(v.Results), due)
	}
	seen := make([]bool, documents)
	for _, x := range v.Results {
		if x.Index < 0 || x.Index >= documents || seen[x.Index] || x.Score == nil {
			return nil, errors.New("rerank: a result is twice, amiss, or has no score")
		}
		seen[x.Index] = true
	}
	return &v, nil
}

// Check tells whether an engine's answer is one for so many documents.
func (r *Rerank) Check(body []byte, documents int) error {
	_, err := r.readRanking(body, documents)
	return err
}

// result is one document's place, in the shape that Cohere and Jina share.
type result struct {
	Index    int       `json:"index"`
	Score    float64   `json:"relevance_score"`
	Document *textOnly `json:"document,omitempty"`
}

type textOnly struct {
	Text string `json:"text"`
}

// Join makes the whole answer of the parts' answers: each document is scored
// against the query alone, so that scores of parts compare.
func (r *Rerank) Join(bodies [][]byte, counts []int) ([]byte, error) {
	out := struct {
		ID      string   `json:"id"`
		Model   string   `json:"model"`
		Results []result `json:"results"`
		Usage   Usage    `json:"usage"`
		Meta    meta     `json:"meta"`
	}{Model: r.Model, Results: []result{}}
	from := 0
	for i, b := range bodies {
		v, err := r.readRanking(b, counts[i])
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
	if r.Return {
		for i := range out.Results {
			out.Results[i].Document = &textOnly{r.Documents[out.Results[i].Index]}
		}
	}
	out.Meta.Version.Version = "1"
	out.Meta.Billed.Units = (len(r.Documents) + 99) / 100
	return json.Marshal(out)
}

// meta is what Cohere's answers tell besides; a search unit is 100 documents.
type meta struct {
	Version struct {
		Version string `json:"version"`
	} `json:"api_version"`
	Billed struct {
		Units int `json:"search_units"`
	} `json:"billed_units"`
}
