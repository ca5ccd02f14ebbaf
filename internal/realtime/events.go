// Package realtime has the text events of OpenAI's Realtime API over WebSocket (platform documentation, "Realtime") that
// gannethook supports; docs/client-protocol.md lists them. It parses client events and encodes server events, and keeps
// no state.
package realtime

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Types of client events.
const (
	SessionUpdate  = "session.update"
	ItemCreate     = "conversation.item.create"
	ItemDelete     = "conversation.item.delete"
	ResponseCreate = "response.create"
	ResponseCancel = "response.cancel"
)

// Types of server events.
const (
	SessionCreated  = "session.created"
	SessionUpdated  = "session.updated"
	ItemAdded       = "conversation.item.added"
	ItemDone        = "conversation.item.done"
	ItemDeleted     = "conversation.item.deleted"
	ResponseCreated = "response.created"
	OutputItemAdded = "response.output_item.added"
	PartAdded       = "response.content_part.added"
	TextDelta       = "response.output_text.delta"
	TextDone        = "response.output_text.done"
	PartDone        = "response.content_part.done"
	OutputItemDone  = "response.output_item.done"
	ResponseDone    = "response.done"
	ErrorType       = "error"
)

// Client is a client event; its type says which fields are used. The names of this type and of those of its fields are
// part of the messages of invalid_json errors, as encoding/json words them.
type Client struct {
	Type       string   `json:"type"`
	EventID    string   `json:"event_id"`
	Session    *Session `json:"session"`
	Item       *Item    `json:"item"`
	ItemID     string   `json:"item_id"`
	Response   *Params  `json:"response"`
	ResponseID string   `json:"response_id"`
}

// Session is the configuration of a session.
type Session struct {
	Type         string   `json:"type,omitempty"`
	Object       string   `json:"object,omitempty"`
	ID           string   `json:"id,omitempty"`
	Model        string   `json:"model,omitempty"`
	Instructions *string  `json:"instructions,omitempty"`
	Modalities   []string `json:"output_modalities,omitempty"`
	MaxTokens    *Limit   `json:"max_output_tokens,omitempty"`
	Router       string   `json:"router,omitempty"` // extension to the API: the router's name and start time
}

// Item is an item of a conversation; the router supports messages only.
type Item struct {
	ID      string `json:"id,omitempty"`
	Object  string `json:"object,omitempty"`
	Type    string `json:"type"`
	Status  string `json:"status,omitempty"`
	Role    string `json:"role,omitempty"`
	Content []Part `json:"content"`
}

// Part is one content part of an item.
type Part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Text joins the text parts; ok is false if the item has a part of another type.
func (i *Item) Text() (text string, ok bool) {
	var b strings.Builder
	for _, p := range i.Content {
		if p.Type != "input_text" && p.Type != "output_text" && p.Type != "text" {
			return "", false
		}
		b.WriteString(p.Text)
	}
	return b.String(), true
}

// Params are the parameters of one response.
type Params struct {
	Conversation string            `json:"conversation"`
	Instructions *string           `json:"instructions"`
	Modalities   []string          `json:"output_modalities"`
	MaxTokens    *Limit            `json:"max_output_tokens"`
	Input        []Item            `json:"input"`
	Metadata     map[string]string `json:"metadata"`
}

// Limit is a maximum number of tokens; 0 stands for "inf".
type Limit int

// UnmarshalJSON accepts an integer of at least 1, or "inf".
func (l *Limit) UnmarshalJSON(b []byte) error {
	if string(b) == `"inf"` {
		*l = 0
		return nil
	}
	n, err := strconv.Atoi(string(b))
	if err != nil || n < 1 {
		return fmt.Errorf("max_output_tokens: %s is not a number of tokens", b)
	}
	*l = Limit(n)
	return nil
}

// MarshalJSON encodes the limit as UnmarshalJSON expects it.
func (l Limit) MarshalJSON() ([]byte, error) {
	if l == 0 {
		return []byte(`"inf"`), nil
	}
	return strconv.AppendInt(nil, int64(l), 10), nil
}

// Metadata keys of a response that the router interprets.
const (
	MetaClass       = "class"
	MetaTenant      = "tenant"
	MetaSession     = "session_key"
	MetaPrefix      = "prefix_key"
	MetaPrefixSize  = "prefix_tokens"
	MetaPromptSize  = "prompt_tokens"
	MetaIdempotency = "idempotency_key"
	MetaRetry       = "retry" // "true": repeats a request whose outcome the client doesn't know
	MetaAttempt     = "try"   // number of the attempt, from 1; above 1 it is a retry, regardless of the outcome of the first
	MetaTimeout     = "give_up_ms"
)

// Limits of metadata as in OpenAI's API: entries, bytes of a key, bytes of a value.
const (
	MaxMetadata = 16
	MaxMetaKey  = 64
	MaxMetaText = 512
)

// Response is a response in server events.
type Response struct {
	Object       string            `json:"object"`
	ID           string            `json:"id"`
	Status       string            `json:"status"`
	Details      *StatusDetails    `json:"status_details"`
	Output       []Item            `json:"output"`
	Conversation string            `json:"conversation_id,omitempty"`
	Metadata     map[string]string `json:"metadata,omitempty"`
	Usage        *Usage            `json:"usage,omitempty"`
}

// StatusDetails says why a response was not completed.
type StatusDetails struct {
	Type   string         `json:"type"`
	Reason string         `json:"reason,omitempty"`
	Error  *ResponseError `json:"error,omitempty"`
}

// ResponseError is the error of a failed response. The code "refused" guarantees that a retry is harmless, best after
// RetryAfterMS; any other code guarantees nothing.
type ResponseError struct {
	Type         string `json:"type"`
	Code         string `json:"code"`
	Message      string `json:"message,omitempty"`
	RetryAfterMS *int64 `json:"retry_after_ms,omitempty"`
}

// Values of ResponseError.Code.
const (
	CodeRefused = "refused"
	CodeFailed  = "failed"
)

// Usage is the token usage of a response.
type Usage struct {
	Total  int `json:"total_tokens"`
	Input  int `json:"input_tokens"`
	Output int `json:"output_tokens"`
}

// ServerEvent is a server event.
type ServerEvent struct {
	Type       string    `json:"type"`
	EventID    string    `json:"event_id"`
	Session    *Session  `json:"session,omitempty"`
	Item       *Item     `json:"item,omitempty"`
	ItemID     string    `json:"item_id,omitempty"`
	Response   *Response `json:"response,omitempty"`
	ResponseID string    `json:"response_id,omitempty"`
	Delta      string    `json:"delta,omitempty"`
	Text       string    `json:"text,omitempty"`
	Error      *Error    `json:"error,omitempty"`
}

// Error is the content of an error event; EventID is the id of the client event that caused it.
type Error struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	EventID string `json:"event_id,omitempty"`
}

// ParseClient parses a client event.
func ParseClient(msg []byte) (*Client, *Error) {
	var c Client
	if err := json.Unmarshal(msg, &c); err != nil {
		return nil, &Error{Type: "invalid_request_error", Code: "invalid_json", Message: err.Error()}
	}
	if c.Type == "" {
		return nil, &Error{Type: "invalid_request_error", Code: "missing_field", Message: "the event has no type",
			Param: "type", EventID: c.EventID}
	}
	return &c, nil
}

// AppendDelta appends a response.output_text.delta event with the fields of the published API. text is a raw JSON
// string and is copied unchanged, which avoids decoding and encoding each token.
func AppendDelta(dst []byte, eventID uint64, responseID, itemID string, text []byte) []byte {
	dst = append(dst, `{"type":"`+TextDelta+`","event_id":"event_`...)
	dst = strconv.AppendUint(dst, eventID, 10)
	dst = append(dst, `","response_id":"`...)
	dst = append(dst, responseID...)
	dst = append(dst, `","item_id":"`...)
	dst = append(dst, itemID...)
	dst = append(dst, `","output_index":0,"content_index":0,"delta":`...)
	dst = append(dst, text...)
	return append(dst, '}')
}
