package standin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// itemCost is what each text of a batch takes besides its reading.
const itemCost = 50 * time.Microsecond

const usualDimensions = 8

// Embedding is what the stand-ins say of a text: it goes by the text alone.
func Embedding(text string, dimensions int) []float32 {
	v := make([]float32, dimensions)
	for i := range v {
		v[i] = float32(part(fmt.Sprintf("%d %s", i, text), 1)*2 - 1)
	}
	return v
}

// Relevance is what they say of a document: it goes by query and document alone.
func Relevance(query, document string) float64 { return part(query+"\x00"+document, 2) }

// texts reads an input: a text, a list of texts, the tokens of one or a list of such.
func texts(raw json.RawMessage) (list []string, err error) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []string{one}, nil
	}
	if json.Unmarshal(raw, &list) == nil {
		return list, nil
	}
	list = nil // what did not fit has left its traces
	var tokens []int
	if json.Unmarshal(raw, &tokens) == nil {
		return []string{fmt.Sprint(tokens)}, nil
	}
	var many [][]int
	if err = json.Unmarshal(raw, &many); err != nil {
		return nil, err
	}
	for _, tokens := range many {
		list = append(list, fmt.Sprint(tokens))
	}
	return list, nil
}

func (l *life) embed(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Model      string          `json:"model"`
		Input      json.RawMessage `json:"input"`
		Format     string          `json:"encoding_format"`
		Dimensions int             `json:"dimensions"`
		Size       int             `json:"x_prompt_tokens"`
	}
	if !l.reads(w) {
		return
	}
	j := l.job(w, r)
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&ask)
	list, err2 := texts(ask.Input)
	if err != nil || err2 != nil || len(list) == 0 {
		turn(w, 400, "bad_request", "an embedding has an input")
		return
	}
	if ask.Dimensions == 0 {
		ask.Dimensions = usualDimensions
	}
	j.batch(list, ask.Size)
	j.whole = func() any {
		data := make([]any, len(list))
		for i, text := range list {
			var v any = Embedding(text, ask.Dimensions)
			if ask.Format == "base64" {
				b := make([]byte, 0, 4*ask.Dimensions)
				for _, x := range Embedding(text, ask.Dimensions) {
					b = binary.LittleEndian.AppendUint32(b, math.Float32bits(x))
				}
				v = base64.StdEncoding.EncodeToString(b)
			}
			data[i] = map[string]any{"object": "embedding", "index": i, "embedding": v}
		}
		n := int(j.c.size())
		return map[string]any{"object": "list", "model": ask.Model, "data": data,
			"usage": map[string]int{"prompt_tokens": n, "total_tokens": n}}
	}
	j.serve("whole")
}

func (l *life) rerank(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Model     string   `json:"model"`
		Query     string   `json:"query"`
		Documents []string `json:"documents"`
		TopN      int      `json:"top_n"`
		Size      int      `json:"x_prompt_tokens"`
	}
	if !l.reads(w) {
		return
	}
	j := l.job(w, r)
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&ask)
	if err != nil || len(ask.Documents) == 0 {
		turn(w, 400, "bad_request", "a rerank has a query and documents")
		return
	}
	j.batch(ask.Documents, ask.Size)
	j.whole = func() any {
		type result struct {
			Index    int               `json:"index"`
			Score    float64           `json:"relevance_score"`
			Document map[string]string `json:"document"`
		}
		var list []result
		for i, d := range ask.Documents {
			list = append(list, result{i, Relevance(ask.Query, d), map[string]string{"text": d}})
		}
		slices.SortStableFunc(list, func(a, b result) int {
			if a.Score > b.Score {
				return -1
			}
			return 1
		})
		if ask.TopN > 0 {
			list = list[:min(ask.TopN, len(list))]
		}
		return map[string]any{"id": "rerank-" + j.key, "model": ask.Model, "results": list,
			"usage": map[string]int{"total_tokens": int(j.c.size())}}
	}
	j.serve("whole")
}

func (l *life) job(w http.ResponseWriter, r *http.Request) *job {
	return &job{l: l, w: w, ctx: r.Context(), key: r.Header.Get("X-Request-Id"), req: r.Header.Get("Idempotency-Key"),
		class: r.Header.Get("X-Request-Class")}
}

// reads turns one-stage work away at a writer, which has no model for it.
func (l *life) reads(w http.ResponseWriter) bool {
	if l.e.cfg.Writes && !l.e.cfg.Mixed {
		turn(w, 404, "not_found", "a writer does no one-stage work")
		return false
	}
	return true
}

// batch notes the size of texts that are read together.
func (j *job) batch(list []string, size int) {
	j.c.Prompt, j.c.Size, j.items = strings.Join(list, ""), size, len(list)
}

// oneStage reads a batch and answers; its effect happens as it starts.
func (j *job) oneStage() string {
	l := j.l
	tokens := j.c.size()
	if l.take(j.ctx, tokens) != nil {
		return "called off"
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
	d := time.Duration(tokens/l.e.cfg.ReadRate*float64(time.Second)) + time.Duration(j.items)*itemCost
	if !l.work(j.ctx, d) {
		return "called off"
	}
	j.w.Header().Set("endpoint-load-metrics", l.loadReport())
	j.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(j.w).Encode(j.whole())
	return "served"
}
