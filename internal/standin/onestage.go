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

// perTextCost is the time that each text of a batch takes in addition to the read of its tokens.
const perTextCost = 50 * time.Microsecond

const defaultDimensions = 8

// Embedding returns the stand-ins' embedding of a text; it depends on the text alone.
func Embedding(text string, dimensions int) []float32 {
	vector := make([]float32, dimensions)
	for i := range vector {
		vector[i] = float32(unitHash(fmt.Sprintf("%d %s", i, text), 1)*2 - 1)
	}
	return vector
}

// Relevance returns the stand-ins' score of a document; it depends on query and document alone.
func Relevance(query, document string) float64 { return unitHash(query+"\x00"+document, 2) }

// parseTexts parses an input: a text, a list of texts, the tokens of one text or a list of such token lists.
func parseTexts(raw json.RawMessage) (list []string, err error) {
	var one string
	if json.Unmarshal(raw, &one) == nil {
		return []string{one}, nil
	}
	if json.Unmarshal(raw, &list) == nil {
		return list, nil
	}
	list = nil // the failed attempt may have filled it in part
	var tokens []int
	if json.Unmarshal(raw, &tokens) == nil {
		return []string{fmt.Sprint(tokens)}, nil
	}
	var batches [][]int
	if err = json.Unmarshal(raw, &batches); err != nil {
		return nil, err
	}
	for _, tokens := range batches {
		list = append(list, fmt.Sprint(tokens))
	}
	return list, nil
}

func (l *lifetime) handleEmbedding(w http.ResponseWriter, r *http.Request) {
	var params struct {
		Model      string          `json:"model"`
		Input      json.RawMessage `json:"input"`
		Format     string          `json:"encoding_format"`
		Dimensions int             `json:"dimensions"`
		Size       int             `json:"x_prompt_tokens"`
	}
	if !l.acceptsOneStage(w) {
		return
	}
	j := l.newJob(w, r)
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&params)
	list, err2 := parseTexts(params.Input)
	if err != nil || err2 != nil || len(list) == 0 {
		writeError(w, 400, "bad_request", "an embedding has an input")
		return
	}
	if params.Dimensions == 0 {
		params.Dimensions = defaultDimensions
	}
	j.setBatch(list, params.Size)
	j.oneStageBody = func() any {
		data := make([]any, len(list))
		for i, text := range list {
			var v any = Embedding(text, params.Dimensions)
			if params.Format == "base64" {
				b := make([]byte, 0, 4*params.Dimensions)
				for _, x := range Embedding(text, params.Dimensions) {
					b = binary.LittleEndian.AppendUint32(b, math.Float32bits(x))
				}
				v = base64.StdEncoding.EncodeToString(b)
			}
			data[i] = map[string]any{"object": "embedding", "index": i, "embedding": v}
		}
		n := int(j.body.size())
		return map[string]any{"object": "list", "model": params.Model, "data": data,
			"usage": map[string]int{"prompt_tokens": n, "total_tokens": n}}
	}
	j.serve("whole")
}

func (l *lifetime) handleRerank(w http.ResponseWriter, r *http.Request) {
	var params struct {
		Model     string   `json:"model"`
		Query     string   `json:"query"`
		Documents []string `json:"documents"`
		TopN      int      `json:"top_n"`
		Size      int      `json:"x_prompt_tokens"`
	}
	if !l.acceptsOneStage(w) {
		return
	}
	j := l.newJob(w, r)
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&params)
	if err != nil || len(params.Documents) == 0 {
		writeError(w, 400, "bad_request", "a rerank has a query and documents")
		return
	}
	j.setBatch(params.Documents, params.Size)
	j.oneStageBody = func() any {
		type result struct {
			Index    int               `json:"index"`
			Score    float64           `json:"relevance_score"`
			Document map[string]string `json:"document"`
		}
		var list []result
		for i, d := range params.Documents {
			list = append(list, result{i, Relevance(params.Query, d), map[string]string{"text": d}})
		}
		slices.SortStableFunc(list, func(a, b result) int {
			if a.Score > b.Score {
				return -1
			}
			return 1
		})
		if params.TopN > 0 {
			list = list[:min(params.TopN, len(list))]
		}
		return map[string]any{"id": "rerank-" + j.key, "model": params.Model, "results": list,
			"usage": map[string]int{"total_tokens": int(j.body.size())}}
	}
	j.serve("whole")
}

func (l *lifetime) newJob(w http.ResponseWriter, r *http.Request) *job {
	return &job{l: l, w: w, ctx: r.Context(), key: r.Header.Get("X-Request-Id"), req: r.Header.Get("Idempotency-Key"),
		class: r.Header.Get("X-Request-Class")}
}

// acceptsOneStage rejects one-stage work (embeddings, reranks) at a writer, which has no model for it.
func (l *lifetime) acceptsOneStage(w http.ResponseWriter) bool {
	if l.e.cfg.Writes && !l.e.cfg.Mixed {
		writeError(w, 404, "not_found", "a writer does no one-stage work")
		return false
	}
	return true
}

// setBatch sets the texts that are read together and their size in tokens.
func (j *job) setBatch(list []string, size int) {
	j.body.Prompt, j.body.Size, j.textCount = strings.Join(list, ""), size, len(list)
}

// runOneStage reads a batch and answers; its effect happens at the start.
func (j *job) runOneStage() string {
	l := j.l
	tokens := j.body.size()
	if l.acquireMemory(j.ctx, tokens) != nil {
		return "called off"
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
	d := time.Duration(tokens/l.e.cfg.ReadRate*float64(time.Second)) + time.Duration(j.textCount)*perTextCost
	if !l.doWork(j.ctx, d) {
		return "called off"
	}
	j.w.Header().Set("endpoint-load-metrics", l.loadReport())
	j.w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(j.w).Encode(j.oneStageBody())
	return "served"
}
