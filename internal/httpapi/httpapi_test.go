package httpapi

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"gannethook/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// An invalid request gets an error that names the field.
func TestBadRequests(t *testing.T) {
	embed := func(b []byte) (any, *Error) { return ParseEmbeddings(b, 4) }
	rank := func(b []byte) (any, *Error) { return ParseRerank(b, 4) }
	chat := func(b []byte) (any, *Error) { return ParseChat(b) }
	for _, c := range []struct {
		name  string
		parse func([]byte) (any, *Error)
		in    string
		param string
		want  string
	}{
		{"not JSON", embed, `{"model"`, "", "unexpected EOF"},
		{"two values", embed, `{"model":"m","input":"x"} {}`, "", "more follows"},
		{"wrong type", embed, `{"model":7,"input":"x"}`, "model", "string expected, not number (at byte 10)"},
		{"no model", embed, `{"input":"x"}`, "model", "a model is named"},
		{"no input", embed, `{"model":"m"}`, "input", "a text, a list of texts"},
		{"empty list", embed, `{"model":"m","input":[]}`, "input", "empty"},
		{"empty text", embed, `{"model":"m","input":["a",""]}`, "input[1]", "empty text"},
		{"mixed", embed, `{"model":"m","input":["a",[1]]}`, "input[1]", "not mixed"},
		{"negative token", embed, `{"model":"m","input":[[1,-2]]}`, "input[0]", "neither"},
		{"an object", embed, `{"model":"m","input":[{"a":1}]}`, "input", "neither"},
		{"format", embed, `{"model":"m","input":"x","encoding_format":"int8"}`, "encoding_format", "float or base64"},
		{"dimensions", embed, `{"model":"m","input":"x","dimensions":0}`, "dimensions", "1 to"},
		{"no query", rank, `{"model":"m","documents":["a"]}`, "query", "no query"},
		{"no documents", rank, `{"model":"m","query":"q"}`, "documents", "no documents"},
		{"a number for a document", rank, `{"model":"m","query":"q","documents":["a",5]}`, "documents[1]", "a text, or an object"},
		{"null for a document", rank, `{"model":"m","query":"q","documents":[null]}`, "documents[0]", "a text, or an object"},
		{"top", rank, `{"model":"m","query":"q","documents":["a"],"top_n":0}`, "top_n", "1 at the least"},
		{"no messages", chat, `{"model":"m"}`, "messages", "no messages"},
		{"role", chat, `{"model":"m","messages":[{"role":"tool","content":"x"}]}`, "messages[0]", "role"},
		{"picture", chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages[0]", "texts"},
		{"tools", chat, `{"model":"m","messages":[{"role":"user","content":"x"}],"tools":[{}]}`, "tools", "does not do tools"},
		{"choices", chat, `{"model":"m","messages":[{"role":"user","content":"x"}],"n":2}`, "n", "one choice"},
		{"limit", chat, `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":0}`, "max_completion_tokens", "1 at the least"},
	} {
		_, err := c.parse([]byte(c.in))
		if err == nil || err.Status != 400 || err.Param != c.param || !strings.Contains(err.Message, c.want) {
			t.Errorf("%s: %+v; want %q at %q", c.name, err, c.want, c.param)
		}
		if err != nil && !json.Valid(err.Body()) {
			t.Errorf("%s: %s", c.name, err.Body())
		}
	}
	big := fmt.Sprintf(`{"model":"m","input":[%s"x"]}`, strings.Repeat(`"x",`, MaxInputs))
	if _, err := ParseEmbeddings([]byte(big), 4); err == nil || !strings.Contains(err.Message, "2048 are the most") {
		t.Errorf("%v", err)
	}
}

// However a request is split into parts, the joined answer equals the answer to the unsplit request.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "texts")
		texts := make([]string, n)
		for i := range texts {
			texts[i] = fmt.Sprintf("text %d", i)
		}
		in, _ := json.Marshal(map[string]any{"model": "m", "input": texts, "documents": texts, "query": "q",
			"top_n": rapid.IntRange(1, 50).Draw(t, "top")})
		e, embedErr := ParseEmbeddings(in, 4)
		r, rerankErr := ParseRerank(in, 4)
		if embedErr != nil || rerankErr != nil {
			t.Fatal(embedErr, rerankErr)
		}
		var counts []int
		var vectors, ranks, unsplitVectors, unsplitRanks [][]byte
		for from := 0; from < n; {
			to := min(from+rapid.IntRange(1, 10).Draw(t, "part"), n)
			counts = append(counts, to-from)
			vectors = append(vectors, engineVectors(t, e.EngineBody(from, to, 1)))
			ranks = append(ranks, engineRanks(t, r.EngineBody(from, to, 1)))
			if e.Check(vectors[len(vectors)-1], to-from) != nil || r.Check(ranks[len(ranks)-1], to-from) != nil {
				t.Fatal("a valid answer is rejected")
			}
			if e.Check(vectors[len(vectors)-1], to-from+1) == nil {
				t.Fatal("an answer with one result too few is accepted")
			}
			from = to
		}
		unsplitVectors = [][]byte{engineVectors(t, e.EngineBody(0, n, 1))}
		unsplitRanks = [][]byte{engineRanks(t, r.EngineBody(0, n, 1))}
		for _, c := range []struct {
			join         func([][]byte, []int) ([]byte, error)
			parts, whole [][]byte
		}{{e.Join, vectors, unsplitVectors}, {r.Join, ranks, unsplitRanks}} {
			a, err := c.join(c.parts, counts)
			b, err2 := c.join(c.whole, []int{n})
			var x, y map[string]any
			if err != nil || err2 != nil || json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
				t.Fatalf("%v %v %s", err, err2, a)
			}
			delete(x, "usage")
			delete(y, "usage")
			if !reflect.DeepEqual(x, y) {
				t.Fatalf("joined answer\n%s\ndiffers from the unsplit answer\n%s", a, b)
			}
		}
	})
}

// engineVectors is an engine's answer to an embeddings request, in reverse order, which the API permits.
func engineVectors(t *rapid.T, req []byte) []byte {
	var in struct{ Input []string }
	if err := json.Unmarshal(req, &in); err != nil {
		t.Fatal(err)
	}
	var data []any
	for i := len(in.Input) - 1; i >= 0; i-- {
		data = append(data, map[string]any{"index": i, "embedding": []int{len(in.Input[i]), int(in.Input[i][len(in.Input[i])-1])}})
	}
	b, _ := json.Marshal(map[string]any{"data": data, "usage": Usage{1, 1}})
	return b
}

func engineRanks(t *rapid.T, req []byte) []byte {
	var in struct {
		Documents []string
		TopN      int `json:"top_n"`
	}
	if err := json.Unmarshal(req, &in); err != nil {
		t.Fatal(err)
	}
	var list []result
	for i, d := range in.Documents {
		var n int
		fmt.Sscanf(d, "text %d", &n)
		list = append(list, result{Index: i, Score: float64(n * 7919 % 13)}) // with equal scores among them
	}
	r := Rerank{Documents: in.Documents, TopN: in.TopN}
	all, _ := json.Marshal(map[string]any{"results": list, "usage": Usage{}})
	out, err := r.Join([][]byte{all}, []int{len(list)})
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Check rejects invalid answers of engines.
func TestInvalidEngineAnswers(t *testing.T) {
	e := &Embeddings{}
	for name, body := range map[string]string{
		"not JSON":  `{`,
		"no usage":  `{"data":[{"index":0,"embedding":[1]},{"index":1,"embedding":[1]}]}`,
		"too few":   `{"data":[{"index":0,"embedding":[1]}],"usage":{}}`,
		"twice":     `{"data":[{"index":0,"embedding":[1]},{"index":0,"embedding":[1]}],"usage":{}}`,
		"beyond":    `{"data":[{"index":0,"embedding":[1]},{"index":2,"embedding":[1]}],"usage":{}}`,
		"null":      `{"data":[{"index":0,"embedding":null},{"index":1,"embedding":[1]}],"usage":{}}`,
		"as base64": `{"data":[{"index":0,"embedding":"AA=="},{"index":1,"embedding":"AA=="}],"usage":{}}`,
	} {
		if e.Check([]byte(body), 2) == nil {
			t.Errorf("%s: taken", name)
		}
	}
	r := &Rerank{Documents: []string{"a", "b"}}
	for name, body := range map[string]string{
		"too few":  `{"results":[{"index":0,"relevance_score":1}]}`,
		"twice":    `{"results":[{"index":0,"relevance_score":1},{"index":0,"relevance_score":1}]}`,
		"no score": `{"results":[{"index":0},{"index":1,"relevance_score":1}]}`,
	} {
		if r.Check([]byte(body), 2) == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// For any input a parser returns a request within its limits, or an error whose body is JSON.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","input":["a",[1,2]],"documents":["a",{"text":"b"}],"query":"q","top_n":1,"messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"m","input":[[1,2],[3]],"encoding_format":"base64","dimensions":3}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		check := func(e *Error) {
			if e != nil && !json.Valid(e.Body()) {
				t.Fatalf("%s", e.Body())
			}
		}
		if e, apiErr := ParseEmbeddings(in, 4); apiErr == nil {
			if len(e.Inputs) < 1 || len(e.Inputs) > MaxInputs || !json.Valid(e.EngineBody(0, len(e.Inputs), 1)) {
				t.Fatalf("%+v", e)
			}
		} else {
			check(apiErr)
		}
		if r, apiErr := ParseRerank(in, 4); apiErr == nil {
			if len(r.Documents) < 1 || len(r.Documents) != len(r.TokenCounts()) || !json.Valid(r.EngineBody(0, len(r.Documents), 1)) {
				t.Fatalf("%+v", r)
			}
		} else {
			check(apiErr)
		}
		if c, apiErr := ParseChat(in); apiErr == nil {
			k := Completion{ID: "x", Model: c.Model}
			if len(c.Messages) == 0 || !json.Valid(k.Response(nil, 1, "stop")) {
				t.Fatalf("%+v", c)
			}
		} else {
			check(apiErr)
		}
	})
}
