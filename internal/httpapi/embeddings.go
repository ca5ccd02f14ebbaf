package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// MaxInputs is how many texts one request may embed, as OpenAI has it.
const MaxInputs = 2048

const maxDimensions = 1 << 16

// Input is one text, or its tokens, as it came.
type Input struct {
	Raw    json.RawMessage
	Tokens float64 // as counted, or guessed from its bytes
}

// Embeddings is a request for embeddings.
type Embeddings struct {
	Model      string
	Inputs     []Input
	Format     string // "float", "base64" or "" for float
	Dimensions int    // 0: the model's own
	User       string
}

// ParseEmbeddings reads a request; a token is taken to have so many bytes.
func ParseEmbeddings(body []byte, tokenBytes float64) (*Embeddings, *Error) {
	var p struct {
		Model      string          `json:"model"`
		Input      json.RawMessage `json:"input"`
		Format     string          `json:"encoding_format"`
		Dimensions *int            `json:"dimensions"`
		User       string          `json:"user"`
	}
	if bad := read(body, &p); bad != nil {
		return nil, bad
	}
	e := &Embeddings{Model: p.Model, Format: p.Format, User: p.User}
	switch {
	case p.Model == "":
		return nil, Invalid("model", "a model is named")
	case p.Format != "" && p.Format != "float" && p.Format != "base64":
		return nil, Invalid("encoding_format", "encoding_format is float or base64, not %.40q", p.Format)
	case p.Dimensions != nil && (*p.Dimensions < 1 || *p.Dimensions > maxDimensions):
		return nil, Invalid("dimensions", "dimensions are 1 to %d", maxDimensions)
	}
	if p.Dimensions != nil {
		e.Dimensions = *p.Dimensions
	}
	var bad *Error
	e.Inputs, bad = inputs(p.Input, tokenBytes)
	return e, bad
}

// inputs reads the four forms of an input: a text, texts, tokens, lists of tokens.
func inputs(raw json.RawMessage, tokenBytes float64) ([]Input, *Error) {
	if len(raw) > 0 && raw[0] == '"' {
		in, bad := input(raw, "input", tokenBytes)
		return []Input{in}, bad
	}
	var list []json.RawMessage
	if len(raw) == 0 || json.Unmarshal(raw, &list) != nil {
		return nil, Invalid("input", "input is a text, a list of texts, tokens, or a list of token lists")
	}
	if len(list) == 0 {
		return nil, Invalid("input", "input is empty")
	}
	if c := list[0][0]; c != '"' && c != '[' {
		in, bad := input(raw, "input", tokenBytes)
		return []Input{in}, bad
	}
	if len(list) > MaxInputs {
		return nil, Invalid("input", "input has %d texts; %d are the most", len(list), MaxInputs)
	}
	out := make([]Input, len(list))
	for i, one := range list {
		var bad *Error
		if out[i], bad = input(one, fmt.Sprintf("input[%d]", i), tokenBytes); bad != nil {
			return nil, bad
		}
		if one[0] != list[0][0] {
			return nil, Invalid(fmt.Sprintf("input[%d]", i), "texts and tokens are not mixed")
		}
	}
	return out, nil
}

func input(raw json.RawMessage, param string, tokenBytes float64) (Input, *Error) {
	if raw[0] == '"' {
		var text string
		if json.Unmarshal(raw, &text) != nil || text == "" {
			return Input{}, Invalid(param, "%s is an empty text", param)
		}
		return Input{raw, math.Ceil(float64(len(text)) / tokenBytes)}, nil
	}
	var tokens []uint32
	if json.Unmarshal(raw, &tokens) != nil || len(tokens) == 0 {
		return Input{}, Invalid(param, "%s is neither a text nor a list of tokens", param)
	}
	return Input{raw, float64(len(tokens))}, nil
}

// Sizes are the inputs' tokens.
func (e *Embeddings) Sizes() []float64 {
	list := make([]float64, len(e.Inputs))
	for i := range e.Inputs {
		list[i] = e.Inputs[i].Tokens
	}
	return list
}

// Engine is what an engine is asked for the inputs from one to before another.
func (e *Embeddings) Engine(from, to int, tokens float64) []byte {
	ask := struct {
		Model      string            `json:"model"`
		Input      []json.RawMessage `json:"input"`
		Format     string            `json:"encoding_format,omitempty"`
		Dimensions int               `json:"dimensions,omitempty"`
		User       string            `json:"user,omitempty"`
		Size       int               `json:"x_prompt_tokens,omitempty"`
	}{Model: e.Model, Format: e.Format, Dimensions: e.Dimensions, User: e.User, Size: int(tokens)}
	for _, in := range e.Inputs[from:to] {
		ask.Input = append(ask.Input, in.Raw)
	}
	b, _ := json.Marshal(ask)
	return b
}

// vectors is an engine's answer, read.
type vectors struct {
	Model string `json:"model"`
	Data  []struct {
		Index     int             `json:"index"`
		Embedding json.RawMessage `json:"embedding"`
	} `json:"data"`
	Usage *Usage `json:"usage"`
}

// readVectors reads the answer for so many inputs: each has one embedding, in the form asked for.
func (e *Embeddings) readVectors(body []byte, inputs int) (*vectors, []json.RawMessage, error) {
	var v vectors
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, nil, fmt.Errorf("embeddings: %w", err)
	}
	if v.Usage == nil || len(v.Data) != inputs {
		return nil, nil, fmt.Errorf("embeddings: %d of %d, or no usage", len(v.Data), inputs)
	}
	first := byte('[')
	if e.Format == "base64" {
		first = '"'
	}
	list := make([]json.RawMessage, inputs)
	for _, d := range v.Data {
		if d.Index < 0 || d.Index >= inputs || list[d.Index] != nil || len(d.Embedding) == 0 || d.Embedding[0] != first {
			return nil, nil, errors.New("embeddings: one is twice, amiss, or not in the form asked for")
		}
		list[d.Index] = d.Embedding
	}
	return &v, list, nil
}

// Check tells whether an engine's answer is one for so many inputs.
func (e *Embeddings) Check(body []byte, inputs int) error {
	_, _, err := e.readVectors(body, inputs)
	return err
}

// Join makes the whole answer of the parts' answers, in order; counts are the inputs of each.
func (e *Embeddings) Join(bodies [][]byte, counts []int) ([]byte, error) {
	size := 256
	for _, b := range bodies {
		size += len(b)
	}
	out := append(make([]byte, 0, size), `{"object":"list","data":[`...)
	var sum Usage
	model, n := e.Model, 0
	for i, b := range bodies {
		v, list, err := e.readVectors(b, counts[i])
		if err != nil {
			return nil, err
		}
		if v.Model != "" {
			model = v.Model
		}
		sum.Prompt += v.Usage.Prompt
		sum.Total += v.Usage.Total
		for _, one := range list {
			if n > 0 {
				out = append(out, ',')
			}
			out = append(out, `{"object":"embedding","index":`...)
			out = strconv.AppendInt(out, int64(n), 10)
			out = append(out, `,"embedding":`...)
			out = append(out, one...)
			out = append(out, '}')
			n++
		}
	}
	tail, err := json.Marshal(struct {
		Model string `json:"model"`
		Usage Usage  `json:"usage"`
	}{model, sum})
	out = append(out, `],`...)
	return append(out, tail[1:]...), err
}
