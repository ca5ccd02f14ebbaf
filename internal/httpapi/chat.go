package httpapi

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Chat is a request for a chat completion.
type Chat struct {
	Model     string
	Messages  []Message
	MaxTokens int // 0: not told
	Stream    bool
	Usage     bool // a stream ends with its usage
	Metadata  map[string]string
	Sampling  map[string]json.RawMessage // passed on to the engine as it came
}

// Message is one turn.
type Message struct {
	Role string
	Text string
}

// sampling are the fields of a request that the engine understands as they are.
var sampling = []string{"temperature", "top_p", "stop", "seed", "presence_penalty", "frequency_penalty", "logit_bias", "user"}

// refused are the fields that ask for what this router does not do.
var refused = []string{"tools", "functions", "audio", "logprobs", "response_format", "modalities", "prediction"}

var chatRoles = []string{"system", "developer", "user", "assistant"}

// ParseChat reads a request.
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
	if bad := read(body, &p); bad != nil {
		return nil, bad
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
		text, ok := content(m.Content)
		if !ok || !slices.Contains(chatRoles, m.Role) {
			return nil, Invalid(fmt.Sprintf("messages[%d]", i), "a message has a role of %s, and texts", strings.Join(chatRoles, ", "))
		}
		c.Messages = append(c.Messages, Message{m.Role, text})
	}
	return c, c.options(body)
}

type streamOptions struct {
	Usage bool `json:"include_usage"`
}

func (c *Chat) options(body []byte) *Error {
	var all map[string]json.RawMessage
	if bad := read(body, &all); bad != nil {
		return bad
	}
	for _, name := range refused {
		if v := string(all[name]); v != "" && v != "null" && v != "false" && v != "[]" && v != `["text"]` && v != `{"type":"text"}` {
			return Invalid(name, "this router does not do %s", name)
		}
	}
	for _, name := range sampling {
		if v, ok := all[name]; ok && string(v) != "null" {
			if c.Sampling == nil {
				c.Sampling = map[string]json.RawMessage{}
			}
			c.Sampling[name] = v
		}
	}
	return nil
}

// content reads a message's content: a text, or parts that are texts.
func content(raw json.RawMessage) (string, bool) {
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

// Prompt is the conversation as the engines read it.
func (c *Chat) Prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Text)
	}
	b.WriteString("assistant:")
	return b.String()
}

// Completion words the answer of one chat.
type Completion struct {
	ID      string
	Model   string
	Created int64
	Prompt  int // tokens
}

type chatUsage struct {
	Prompt int `json:"prompt_tokens"`
	Answer int `json:"completion_tokens"`
	Total  int `json:"total_tokens"`
}

func (c *Completion) usage(tokens int) chatUsage {
	return chatUsage{c.Prompt, tokens, c.Prompt + tokens}
}

// Whole is the answer to a chat that is not streamed; text is the inside of a JSON string.
func (c *Completion) Whole(text []byte, tokens int, finish string) []byte {
	out := c.head("chat.completion")
	out = append(out, `,"choices":[{"index":0,"message":{"role":"assistant","content":"`...)
	out = append(out, text...)
	out = append(out, `","refusal":null},"logprobs":null,"finish_reason":"`...)
	out = append(out, finish...)
	out = append(out, `"}],"usage":`...)
	usage, _ := json.Marshal(c.usage(tokens))
	return append(append(out, usage...), '}')
}

func (c *Completion) head(object string) []byte {
	model, _ := json.Marshal(c.Model)
	return fmt.Appendf(nil, `{"id":%q,"object":%q,"created":%d,"model":%s`, c.ID, object, c.Created, model)
}

// Event is a server-sent event with one chunk: text is a raw JSON string, or nil
// for the chunk that begins, and for the one that ends with a reason.
func (c *Completion) Event(dst []byte, text []byte, finish string) []byte {
	dst = append(dst, "data: "...)
	dst = append(dst, c.head("chat.completion.chunk")...)
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

// UsageEvent is the event that tells a stream's usage.
func (c *Completion) UsageEvent(dst []byte, tokens int) []byte {
	usage, _ := json.Marshal(c.usage(tokens))
	dst = append(append(dst, "data: "...), c.head("chat.completion.chunk")...)
	dst = append(dst, `,"choices":[],"usage":`...)
	return append(append(dst, usage...), "}\n\n"...)
}
