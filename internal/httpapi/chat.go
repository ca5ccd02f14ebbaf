package httpapi

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Chat is a chat completion request.
type Chat struct {
	Model     string
	Messages  []Message
	MaxTokens int // 0: not stated
	Stream    bool
	Usage     bool // stream_options.include_usage: a stream ends with an event for its usage
	Metadata  map[string]string
	Sampling  map[string]json.RawMessage // passed to the engine unchanged
}

// Message is one message of the conversation; its text parts are joined.
type Message struct {
	Role string
	Text string
}

// samplingFields are the fields of a request that are passed to the engine unchanged.
var samplingFields = []string{"temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty", "logit_bias", "user"}

// unsupportedFields are the fields of features that the router doesn't support. A request with one is rejected unless
// its value asks for nothing.
var unsupportedFields = []string{"tools", "functions", "audio", "logprobs", "response_format", "modalities", "prediction"}

var chatRoles = []string{"system", "developer", "user", "assistant"}

// ParseChat parses and checks the body of a chat completion request.
func ParseChat(body []byte) (*Chat, *Error) {
	var p struct {
		Model    string `json:"model"`
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
		MaxTokens  *int              `json:"max_tokens"`
		MaxNew     *int              `json:"max_completion_tokens"`
		N          *int              `json:"n"`
		Stream     bool              `json:"stream"`
		StreamOpts *streamOptions    `json:"stream_options"`
		Metadata   map[string]string `json:"metadata"`
	}
	if apiErr := decode(body, &p); apiErr != nil {
		return nil, apiErr
	}
	c := &Chat{Model: p.Model, Stream: p.Stream, Metadata: p.Metadata}
	c.Usage = p.StreamOpts != nil && p.StreamOpts.Usage
	for _, limit := range []*int{p.MaxTokens, p.MaxNew} {
		if limit != nil && *limit < 1 {
			return nil, Invalid("max_completion_tokens", "a limit of tokens is 1 at the least")
		} else if limit != nil {
			c.MaxTokens = *limit
		}
	}
	if p.N != nil && *p.N != 1 {
		return nil, Invalid("n", "one choice is answered")
	}
	if len(p.Messages) == 0 {
		return nil, Invalid("messages", "there are no messages")
	}
	for i, m := range p.Messages {
		text, ok := messageText(m.Content)
		if !ok || !slices.Contains(chatRoles, m.Role) {
			return nil, Invalid(fmt.Sprintf("messages[%d]", i), "a message has a role of %s, and texts", strings.Join(chatRoles, ", "))
		}
		c.Messages = append(c.Messages, Message{m.Role, text})
	}
	return c, c.parseOptions(body)
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

func (c *Chat) parseOptions(body []byte) *Error {
	var fields map[string]json.RawMessage
	if apiErr := decode(body, &fields); apiErr != nil {
		return apiErr
	}
	for _, name := range unsupportedFields {
		if v := string(fields[name]); v != "" && v != "null" && v != "false" && v != "[]" && v != `["text"]` && v != `{"type":"text"}` {
			return Invalid(name, "this router does not do %s", name)
		}
	}
	for _, name := range samplingFields {
		if v, ok := fields[name]; ok && string(v) != "null" {
			if c.Sampling == nil {
				c.Sampling = map[string]json.RawMessage{}
			}
			c.Sampling[name] = v
		}
	}
	return nil
}

// messageText returns the text of a message's content: a string, or a list of text parts.
func messageText(raw json.RawMessage) (string, bool) {
	var text string
	if len(raw) > 0 && raw[0] == '"' && json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []struct {
		Type string  `json:"type"`
		Text *string `json:"text"`
	}
	if len(raw) == 0 || json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" || p.Text == nil {
			return "", false
		}
		b.WriteString(*p.Text)
	}
	return b.String(), true
}

// Prompt renders the conversation as the prompt for the engines.
func (c *Chat) Prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Text)
	}
	b.WriteString("assistant:")
	return b.String()
}

// Completion encodes the answer to one chat completion request.
type Completion struct {
	ID           string
	Model        string
	Created      int64
	PromptTokens int
}

type chatUsage struct {
	Prompt int `json:"prompt_tokens"`
	Answer int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

func (c *Completion) usage(tokens int) chatUsage {
	return chatUsage{c.PromptTokens, tokens, c.PromptTokens + tokens}
}

// Response returns the body of an answer that is not streamed. text is the inside of a JSON string, finish the
// finish_reason.
func (c *Completion) Response(text []byte, tokens int, finish string) []byte {
	out := c.openObject("chat.completion")
	out = append(out, `,"choices":[{"index":0,"message":{"role":"assistant","content":"`...)
	out = append(out, text...)
	out = append(out, `","refusal":null},"logprobs":null,"finish_reason":"`...)
	out = append(out, finish...)
	out = append(out, `"}],"usage":`...)
	usage, _ := json.Marshal(c.usage(tokens))
	return append(append(out, usage...), '}')
}

func (c *Completion) openObject(object string) []byte {
	model, _ := json.Marshal(c.Model)
	return fmt.Appendf(nil, `{"id":%q,"object":%q,"created":%d,"model":%s`, c.ID, object, c.Created, model)
}

// Event appends a server-sent event with one chunk. text is a raw JSON string. It is nil for the first chunk, which has
// the role, and for the last, which has the finish_reason.
func (c *Completion) Event(dst []byte, text []byte, finish string) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, c.openObject("chat.completion.chunk")...)
	dst = append(dst, `,"choices":[{"index":0,"delta":{`...)
	switch {
	case text != nil:
		dst = append(append(dst, `"content":`...), text...)
	case finish == "":
		dst = append(dst, `"role":"assistant","content":""`...)
	}
	dst = append(dst, `},"logprobs":null,"finish_reason":`...)
	if finish == "" {
		dst = append(dst, "null"...)
	} else {
		dst = strconv.AppendQuote(dst, finish)
	}
	return append(dst, "}]}\n\n"...)
}

// UsageEvent appends the event that reports a stream's token usage.
func (c *Completion) UsageEvent(dst []byte, tokens int) []byte {
	usage, _ := json.Marshal(c.usage(tokens))
	dst = append(append(dst, "data: "...), c.openObject("chat.completion.chunk")...)
	dst = append(dst, `,"choices":[],"usage":`...)
	return append(append(dst, usage...), "}\n\n"...)
}
