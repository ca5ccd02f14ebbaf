package realtime

import (
	"encoding/json"
	"testing"
)

// Any message from a client parses to an event with a type or an error with a code; a limit is never negative.
func FuzzClient(f *testing.F) {
	f.Add([]byte(`{"type":"response.create","response":{"max_output_tokens":"inf","metadata":{"class":"q"}}}`))
	f.Add([]byte(`{"type":"conversation.item.create","item":{"type":"message","content":[{"type":"input_text","text":"a"}]}}`))
	f.Fuzz(func(t *testing.T, in []byte) {
		c, parseErr := ParseClient(in)
		switch {
		case (c == nil) == (parseErr == nil):
			t.Fatalf("%q: %v and %v", in, c, parseErr)
		case parseErr != nil && parseErr.Code == "" || c != nil && c.Type == "":
			t.Fatalf("%q: %v, %v", in, c, parseErr)
		case c != nil && c.Response != nil && c.Response.MaxTokens != nil && *c.Response.MaxTokens < 0:
			t.Fatalf("%q: %d tokens", in, *c.Response.MaxTokens)
		}
		if c != nil && c.Item != nil {
			c.Item.Text()
		}
	})
}

// AppendDelta writes the event of the published API for any text.
func TestAppendDelta(t *testing.T) {
	for _, text := range []string{"", " a", "\"\\\n", "\u00e9\u4e16"} {
		raw, _ := json.Marshal(text)
		var ev ServerEvent
		if err := json.Unmarshal(AppendDelta(nil, 7, "resp_1", "item_2", raw), &ev); err != nil {
			t.Fatal(err)
		}
		if ev.Type != TextDelta || ev.EventID != "event_7" || ev.ResponseID != "resp_1" || ev.ItemID != "item_2" || ev.Delta != text {
			t.Errorf("%+v", ev)
		}
	}
}
