// Package httpapi has the published shapes of the HTTP APIs that the router's front
// speaks: OpenAI's chat completions and embeddings, and the rerank that Cohere
// and Jina have in common. It reads requests, builds what engines are asked, and
// joins what they answer. It keeps no state and decides nothing.
package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Error is an error answer.
type Error struct {
	Status  int
	Type    string
	Code    string
	Param   string
	Message string
}

func (e *Error) Error() string { return e.Message }

// Body is the error's JSON. OpenAI's clients read the object, Cohere's the message beside it.
func (e *Error) Body() []byte {
	type inner struct {
		Message string  `json:"message"`
		Type    string  `json:"type"`
		Param   *string `json:"param"`
		Code    string  `json:"code"`
	}
	in := inner{Message: e.Message, Type: e.Type, Code: e.Code}
	if e.Param != "" {
		in.Param = &e.Param
	}
	b, _ := json.Marshal(struct {
		Error   inner  `json:"error"`
		Message string `json:"message"`
	}{in, e.Message})
	return b
}

// Types of errors.
const (
	InvalidRequest = "invalid_request_error"
	RateLimited    = "rate_limit_error"
	Overloaded     = "server_overloaded"
	ServerError    = "server_error"
)

// Codes that tell how a request ended. The first two promise that trying again is harmless.
const (
	CodeRefused = "refused"
	CodeLimited = "rate_limit_exceeded"
	CodeFailed  = "failed"
)

// Invalid is an error of the request itself.
func Invalid(param, format string, args ...any) *Error {
	return &Error{Status: 400, Type: InvalidRequest, Code: "invalid_value", Param: param, Message: fmt.Sprintf(format, args...)}
}

// read binds a request's JSON. Fields that are not known are skipped, as published APIs grow.
func read(body []byte, to any) *Error {
	dec := json.NewDecoder(bytes.NewReader(body))
	err := dec.Decode(to)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more follows after the JSON value")
	}
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return Invalid(wrong.Field, "%s: %s expected, not %s (at byte %d)", wrong.Field, wrong.Type, wrong.Value, wrong.Offset)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return &Error{Status: 400, Type: InvalidRequest, Code: "invalid_json", Message: fmt.Sprintf("%v (at byte %d)", err, syntax.Offset)}
	}
	return &Error{Status: 400, Type: InvalidRequest, Code: "invalid_json", Message: err.Error()}
}

// Usage counts tokens as embeddings and reranks tell it.
type Usage struct {
	Prompt int `json:"prompt_tokens"`
	Total  int `json:"total_tokens"`
}
