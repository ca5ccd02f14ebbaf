package httpapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
)

// MaxInputs is the largest number of inputs of one request, as in OpenAI's API.
const MaxInputs = 2048

const maxDimensions = 1 << 16 // upper limit of the dimensions field

// Input is one input of the request: a text or a list of tokens.
type Input struct {
	Raw    json.RawMessage
	Tokens float64 // length of the token list, or an estimate from the text's bytes
}

// Embeddings is an embeddings request.
type Embeddings struct {
	Model      string
	Inputs     []Input
	Format     string // "float", "base64" or "" (float)
	Dimensions int    // 0: the model's default
	User       string
}

// ParseEmbeddings parses and checks the body of an embeddings request. tokenBytes is the mean number of bytes of a
// token, by which the length of texts is estimated.
func ParseEmbeddings(body []byte, tokenBytes float64) (*Embeddings, *Error) {
	var p struct {
		Model      string          `json:"model"`
		Input      json.RawMessage `json:"input"`
		Format     string          `json:"encoding_format"`
		Dimensions *int            `json:"dimensions"`
		User       string          `json:"user"`
	}
	if apiErr := decode(body, &p); apiErr != nil {
		return nil, apiErr
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
	var apiErr *Error
	e.Inputs, apiErr = parseInputs(p.Input, tokenBytes)
	return e, apiErr
}

// parseInputs parses the four forms of the input field: a text, a list of texts, a list of tokens, a list of token
// lists.
func parseInputs(raw json.RawMessage, tokenBytes float64) ([]Input, *Error) {
	if len(raw) > 0 && raw[0] == '"' {
		in, apiErr := parseInput(raw, "input", tokenBytes)
		return []Input{in}, apiErr
	}
	var list []json.RawMessage
	if len(raw) == 0 || json.Unmarshal(raw, &list) != nil {
		return nil, Invalid("input", "input is a text, a list of texts, tokens, or a list of token lists")
	}
	if len(list) == 0 {
		return nil, Invalid("input", "input is empty")
	}
	if c := list[0][0]; c != '"' && c != '[' {
		in, apiErr := parseInput(raw, "input", tokenBytes)
		return []Input{in}, apiErr
	}
	if len(list) > MaxInputs {
		return nil, Invalid("input", "input has %d texts; %d are the most", len(list), MaxInputs)
	}
	out := make([]Input, len(list))
	for i, item := range list {
		var apiErr *Error
		if out[i], apiErr = parseInput(item, fmt.Sprintf("input[%d]", i), tokenBytes); apiErr != nil {
			return nil, apiErr
		}
		if item[0] != list[0][0] {
			return nil, Invalid(fmt.Sprintf("input[%d]", i), "texts and tokens are not mixed")
		}
	}
	return out, nil
}

func parseInput(raw json.RawMessage, param string, tokenBytes float64) (Input, *Error) {
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

// TokenCounts returns the number of tokens of each input.
func (e *Embeddings) TokenCounts() []float64 {
	list := make([]float64, len(e.Inputs))
	for i := range e.Inputs {
		list[i] = e.Inputs[i].Tokens
	}
	return list
}

// EngineBody returns the body of the engine's request for the inputs [from, to); tokens is their sum.
func (e *Embeddings) EngineBody(from, to int, tokens float64) []byte {
	req := struct {
		Model      string            `json:"model"`
		Input      []json.RawMessage `json:"input"`
		Format     string            `json:"encoding_format,omitempty"`
		Dimensions int               `json:"dimensions,omitempty"`
		User       string            `json:"user,omitempty"`
		Size       int               `json:"x_prompt_tokens,omitempty"`
	}{Model: e.Model, Format: e.Format, Dimensions: e.Dimensions, User: e.User, Size: int(tokens)}
	for _, in := range e.Inputs[from:to] {
		req.Input = append(req.Input, in.Raw)
	}
	b, _ := json.Marshal(req)
	return b
}

// embeddingResponse is an engine's answer.
type embeddingResponse struct {
	Model string `json:"model"`
	Data  []struct {
		Index     int             `json:"index"`
		Embedding json.RawMessage `json:"embedding"`
	} `json:"data"`
	Usage *Usage `json:"usage"`
}

// parseAnswer parses an engine's answer and checks that each input has exactly one embedding, in the requested format.
func (e *Embeddings) parseAnswer(body []byte, inputs int) (*embeddingResponse, []json.RawMessage, error) {
	var v embeddingResponse
	if err := json.Unmarshal(body, &v); err != nil {
		return nil, nil, fmt.Errorf("embeddings: %w", err)
	}
	if v.Usage == nil || len(v.Data) != inputs {
		return nil, nil, fmt.Errorf("embeddings: %d of %d, or usage is missing", len(v.Data), inputs)
	}
	first := byte('[')
	if e.Format == "base64" {
		first = '"'
	}
	list := make([]json.RawMessage, inputs)
	for _, d := range v.Data {
		if d.Index < 0 || d.Index >= inputs || list[d.Index] != nil || len(d.Embedding) == 0 || d.Embedding[0] != first {
			return nil, nil, errors.New("embeddings: an index is repeated or out of range, or an embedding is missing or not in the requested format")
		}
		list[d.Index] = d.Embedding
	}
	return &v, list, nil
}

// Check returns an error unless body is a valid answer of an engine for this number of inputs.
func (e *Embeddings) Check(body []byte, inputs int) error {
	_, _, err := e.parseAnswer(body, inputs)
	return err
}

// Join joins the answers to the parts, in order, to the answer to the whole request. counts has the number of inputs of
// each part.
func (e *Embeddings) Join(bodies [][]byte, counts []int) ([]byte, error) {
	size := 256
	for _, b := range bodies {
		size += len(b)
	}
	out := append(make([]byte, 0, size), `{"object":"list","data":[`...)
	var sum Usage
	model, n := e.Model, 0
	for i, b := range bodies {
		v, list, err := e.parseAnswer(b, counts[i])
		if err != nil {
			return nil, err
		}
		if v.Model != "" {
			model = v.Model
		}
		sum.Prompt += v.Usage.Prompt
		sum.Total += v.Usage.Total
		for _, vector := range list {
			if n > 0 {
				out = append(out, ',')
			}
			out = append(out, `{"object":"embedding","index":`...)
			out = strconv.AppendInt(out, int64(n), 10)
			out = append(out, `,"embedding":`...)
			out = append(out, vector...)
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
