package jsonscan

import (
	"encoding/json"
	"testing"
	"unicode/utf8"
)

func TestFind(t *testing.T) {
	for _, c := range []struct {
		in, want string
		found    bool
		bad      bool
		path     []string
	}{
		{`{"choices":[{"text":" a\"b"}]}`, `" a\"b"`, true, false, []string{"choices", "0", "text"}},
		{`{"a":1,"choices":[{"x":[{}],"text":"t"},{"text":"u"}]}`, `"t"`, true, false, []string{"choices", "0", "text"}},
		{`{"choices":[]}`, "", false, false, []string{"choices", "0", "text"}},
		{`{"choices":null}`, "", false, false, []string{"choices", "0", "text"}},
		{`{"a":{"b":{"c":-1.5e3}}}`, `-1.5e3`, true, false, []string{"a", "b", "c"}},
		{`{"a":1,"a":2}`, `1`, true, false, []string{"a"}},
		{`{"a":1} x`, "", false, true, []string{"a"}},
		{`{"a":01}`, "", false, true, []string{"a"}},
		{`{"a":"` + "\x01" + `"}`, "", false, true, []string{"a"}},
		{`{"a":"\u12"}`, "", false, true, []string{"a"}},
		{`{"a":"\xff"}`, "", false, true, []string{"a"}},
		{`{"a":tru}`, "", false, true, []string{"a"}},
		{`[1,]`, "", false, true, nil},
		{``, "", false, true, nil},
	} {
		raw, found, err := Find([]byte(c.in), c.path...)
		if string(raw) != c.want || found != c.found || (err != nil) != c.bad {
			t.Errorf("%s: %s, %v, %v", c.in, raw, found, err)
		}
	}
}

// Find accepts the same texts as encoding/json, apart from deep nesting and text that is not UTF-8, which can't be passed
// on.
func FuzzFind(f *testing.F) {
	f.Add([]byte(`{"choices":[{"text":"é\n"}]}`))
	f.Add([]byte(`[[[[{"a":[1,2,{"b":null}]}]]]]`))
	f.Fuzz(func(t *testing.T, in []byte) {
		raw, found, err := Find(in, "choices", "0", "text")
		if err == nil && !json.Valid(in) {
			t.Fatalf("accepted %q, which is not JSON", in)
		}
		if err != nil && json.Valid(in) && utf8.Valid(in) && len(in) < maxDepth {
			t.Fatalf("rejected %q, which is JSON", in)
		}
		if found && !json.Valid(raw) {
			t.Fatalf("%q: found %q, which is not JSON", in, raw)
		}
	})
}

func BenchmarkFind(b *testing.B) {
	in := []byte(`{"id":"cmpl-1","object":"text_completion","choices":[{"index":0,"text":" token","finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		Find(in, "choices", "0", "text")
	}
}
