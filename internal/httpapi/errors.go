// Package httpapi has the request and response formats of the HTTP APIs that the router serves: OpenAI's chat
// completions and embeddings, and the rerank API that Cohere and Jina have in common. It parses and checks requests,
// builds the requests to engines and joins their answers. It keeps no state.
package httpapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Error is an error answer: the HTTP status and the fields of the error object.
type Error struct {
	Status  int
	Type    string
	Code    string
	Param   string
	Message string
}

func (e *Error) Error() string { return e.Message }

// Body returns the error as JSON. OpenAI's clients read the error object, Cohere's the message at the top level.
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

// Values of Error.Type.
const (
	InvalidRequest = "invalid_request_error"
	RateLimited    = "rate_limit_error"
	Overloaded     = "server_overloaded"
	ServerError    = "server_error"
)

// Values of Error.Code for requests that were not served. The first two guarantee that a retry is harmless.
const (
	CodeRefused = "refused"
	CodeLimited = "rate_limit_exceeded"
	CodeFailed  = "failed"
)

// Invalid returns a 400 for an invalid value of a field of the request.
func Invalid(param, format string, args ...any) *Error {
	return &Error{Status: 400, Type: InvalidRequest, Code: "invalid_value", Param: param, Message: fmt.Sprintf(format, args...)}
}

// decode decodes a request's JSON. Unknown fields are ignored, since the published APIs gain fields.
func decode(body []byte, into any) *Error {
	dec := json.NewDecoder(bytes.NewReader(body))
	err := dec.Decode(into)
	if err == nil {
		if _, err = dec.Token(); errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more follows after the JSON value")
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Invalid(typeErr.Field, "%s: %s expected, not %s (at byte %d)", typeErr.Field, typeErr.Type, typeErr.Value, typeErr.Offset)
	}
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return &Error{Status: 400, Type: InvalidRequest, Code: "invalid_json", Message: fmt.Sprintf("%v (at byte %d)", err, syntaxErr.Offset)}
	}
	return &Error{Status: 400, Type: InvalidRequest, Code: "invalid_json", Message: err.Error()}
}

// Usage is the token usage in answers to embeddings and rerank requests.
type Usage struct {
	Prompt int `json:"prompt_tokens"`
	Total  int `json:"total_tokens"`
}
