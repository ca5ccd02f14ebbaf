// Package realtime has the text events of OpenAI's Realtime API over WebSocket
// (platform documentation, "Realtime"), as far as gannethook speaks it:
// docs/client-protocol.md lists them. It reads clients' events and writes
// servers'; it keeps no state.
package realtime

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Event types of clients.
const (
	SessionUpdate  = "session.update"
	ItemCreate     = "conversation.item.create"
	ItemDelete     = "conversation.item.delete"
	ResponseCreate = "response.create"
	ResponseCancel = "response.cancel"
)

// Event types of servers.
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

// Client is an event of a client; which fields matter goes by its type.
type Client struct {
	Type       string   `json:"type"`
	EventID    string   `json:"event_id"`
	Session    *Session `json:"session"`
	Item       *Item    `json:"item"`
	ItemID     string   `json:"item_id"`
	Response   *Params  `json:"response"`
	ResponseID string   `json:"response_id"`
}

// Session is the session's settings.
type Session struct {
	Type         string   `json:"type,omitempty"`
	Object       string   `json:"object,omitempty"`
	ID           string   `json:"id,omitempty"`
	Model        string   `json:"model,omitempty"`
	Instructions *string  `json:"instructions,omitempty"`
	Modalities   []string `json:"output_modalities,omitempty"`
	MaxTokens    *Limit   `json:"max_output_tokens,omitempty"`
	Router       string   `json:"router,omitempty"` // ours: which router and which life of it
}

// Item is a conversation's item.
type Item struct {
	ID      string `json:"id,omitempty"`
	Object  string `json:"object,omitempty"`
	Type    string `json:"type"`
	Status  string `json:"status,omitempty"`
	Role    string `json:"role,omitempty"`
	Content []Part `json:"content"`
}

// Part is a part of an item's content.
type Part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Text joins the text parts; ok is false where there is another kind.
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

// Params are the settings of one response.
type Params struct {
	Conversation string            `json:"conversation"`
	Instructions *string           `json:"instructions"`
	Modalities   []string          `json:"output_modalities"`
	MaxTokens    *Limit            `json:"max_output_tokens"`
	Input        []Item            `json:"input"`
	Metadata     map[string]string `json:"metadata"`
}

// Limit is a number of tokens, or "inf" as 0.
type Limit int

// UnmarshalJSON reads a number of 1 or more, or "inf".
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

// MarshalJSON writes what UnmarshalJSON reads.
func (l Limit) MarshalJSON() ([]byte, error) {
	if l == 0 {
		return []byte(`"inf"`), nil
	}
	return strconv.AppendInt(nil, int64(l), 10), nil
}

// Keys of a response's metadata that the router understands.
const (
	MetaClass       = "class"
	MetaTenant      = "tenant"
	MetaSession     = "session_key"
	MetaPrefix      = "prefix_key"
	MetaPrefixSize  = "prefix_tokens"
	MetaPromptSize  = "prompt_tokens"
	MetaIdempotency = "idempotency_key"
	MetaRetry       = "retry" // "true": a try whose end the client does not know went before
	MetaTry         = "try"   // 2 and more: tries went before, however they ended
	MetaGiveUp      = "give_up_ms"
)

// Bounds of metadata, as the API has them.
const (
	MaxMetadata = 16
	MaxMetaKey  = 64
	MaxMetaText = 512
)

// Response is a response as servers tell it.
type Response struct {
	Object       string            `json:"object"`
	ID           string            `json:"id"`
	Status       string            `json:"status"`
	Details      *Details          `json:"status_details"`
	Output       []Item            `json:"output"`
	Conversation string            `json:"conversation_id,omitempty"`
	Metadata     map[string]string `json:"metadata,omitempty"`
	Usage        *Usage            `json:"usage,omitempty"`
}

// Details tell why a response is not completed.
type Details struct {
	Type   string  `json:"type"`
	Reason string  `json:"reason,omitempty"`
	Error  *Reason `json:"error,omitempty"`
}

// Reason is the error of a response. A code of "refused" promises that trying
// again is harmless, after RetryAfterMS at the best; any other promises nothing.
type Reason struct {
	Type         string `json:"type"`
	Code         string `json:"code"`
	Message      string `json:"message,omitempty"`
	RetryAfterMS *int64 `json:"retry_after_ms,omitempty"`
}

// Codes of Reason.
const (
	CodeRefused = "refused"
	CodeFailed  = "failed"
)

// Usage counts tokens.
type Usage struct {
	Total  int `json:"total_tokens"`
	Input  int `json:"input_tokens"`
	Output int `json:"output_tokens"`
}

// Server is an event of a server, for clients and tests to read.
type Server struct {
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

// Error is what an error event tells.
type Error struct {
	Type    string `json:"type"`
	Code    string `json:"code"`
	Message string `json:"message"`
	Param   string `json:"param,omitempty"`
	EventID string `json:"event_id,omitempty"`
}

// ParseClient reads a client's event.
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

// AppendDelta appends a response.output_text.delta event; text is a raw JSON
// string, passed on as it came. Its fields are those of the published event.
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
