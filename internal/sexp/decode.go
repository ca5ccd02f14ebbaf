package sexp

import (
	"encoding"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"
)

// Tokens is a number of tokens: "500", "500tokens" or "200ktokens".
type Tokens float64

// PerSecond is a rate: "10/s" or "600/min".
type PerSecond float64

// Bytes is a size: "4096", "64KiB", "1MiB".
type Bytes int

// Decode binds the items of a list after its head, or the forms of a file, to
// the struct that out points to. A field's tag `gann:"name"` names the form
// (name value) that sets it; `gann:"#"` takes the next plain value of the list
// itself; `gann:"name,need"` must be there. Slices of structs take repeated
// forms, slices of values the rest of one. Unknown forms, repeats and values
// that do not fit are errors with a place. at is the place of the whole.
func Decode(at Pos, items []*Node, out any) error {
	return decodeStruct(at, items, reflect.ValueOf(out).Elem())
}

// ReadFile binds a whole file to the struct that out points to.
func ReadFile(path string, out any) error {
	text, err := load(path)
	if err != nil {
		return err
	}
	return Read(path, text, out)
}

// Read binds a text; name stands for its file in errors.
func Read(name, text string, out any) error {
	forms, err := Parse(name, text)
	if err != nil {
		return err
	}
	return Decode(Pos{File: name, Line: 1, Col: 1}, forms, out)
}

// Checked returns what was read, once its own check has passed.
func Checked[F any](f *F, read error, check func() error) (*F, error) {
	if read != nil {
		return nil, read
	}
	return f, check()
}

type field struct {
	v    reflect.Value
	need bool
	seen bool
}

func fields(v reflect.Value) (named map[string]*field, plain []*field) {
	named = map[string]*field{}
	for i := range v.NumField() {
		tag, ok := v.Type().Field(i).Tag.Lookup("gann")
		if !ok {
			continue
		}
		name, opt, _ := strings.Cut(tag, ",")
		f := &field{v: v.Field(i), need: opt == "need"}
		if name == "#" {
			plain = append(plain, f)
		} else {
			named[name] = f
		}
	}
	return named, plain
}

func decodeStruct(at Pos, items []*Node, v reflect.Value) error {
	named, plain := fields(v)
	if p := v.FieldByName("At"); p.IsValid() && p.Type() == reflect.TypeFor[Pos]() {
		p.Set(reflect.ValueOf(at))
	}
	for _, n := range items {
		if !n.List {
			if len(plain) == 0 {
				return Errorf(n.Pos, "the value %q has no place here", n.Text)
			}
			if err := decodeValue(n, plain[0].v); err != nil {
				return err
			}
			plain = plain[1:]
			continue
		}
		if err := decodeForm(n, named); err != nil {
			return err
		}
	}
	for _, f := range plain {
		if f.need {
			return Errorf(at, "a value is missing")
		}
	}
	for name, f := range named {
		if f.need && !f.seen {
			return Errorf(at, "(%s ...) is missing", name)
		}
	}
	return nil
}

func decodeForm(n *Node, named map[string]*field) error {
	head := n.Head()
	if head == "" {
		return Errorf(n.Pos, "a form starts with its name")
	}
	f := named[head]
	if f == nil {
		return Errorf(n.Items[0].Pos, "%q is not known here%s", head, nearest(head, named))
	}
	args := n.Items[1:]
	if f.v.Kind() == reflect.Slice {
		return decodeSlice(n, args, f)
	}
	if f.seen {
		return Errorf(n.Pos, "%q is given twice", head)
	}
	f.seen = true
	if isPlain(f.v.Type()) {
		if len(args) != 1 {
			return Errorf(n.Pos, "%q takes one value", head)
		}
		return decodeValue(args[0], f.v)
	}
	if f.v.Kind() == reflect.Pointer {
		f.v.Set(reflect.New(f.v.Type().Elem()))
		return decodeStruct(n.Pos, args, f.v.Elem())
	}
	return decodeStruct(n.Pos, args, f.v)
}

func decodeSlice(n *Node, args []*Node, f *field) error {
	elem := f.v.Type().Elem()
	if !isPlain(elem) {
		v := reflect.New(elem).Elem()
		if err := decodeStruct(n.Pos, args, v); err != nil {
			return err
		}
		f.seen = true
		f.v.Set(reflect.Append(f.v, v))
		return nil
	}
	if f.seen {
		return Errorf(n.Pos, "%q is given twice", n.Head())
	}
	f.seen = true
	for _, a := range args {
		v := reflect.New(elem).Elem()
		if err := decodeValue(a, v); err != nil {
			return err
		}
		f.v.Set(reflect.Append(f.v, v))
	}
	return nil
}

// isPlain tells whether a value of the type is one word or string.
func isPlain(t reflect.Type) bool {
	return t.Kind() != reflect.Struct && t.Kind() != reflect.Pointer ||
		reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

func decodeValue(n *Node, v reflect.Value) error {
	if n.List {
		return Errorf(n.Pos, "a plain value is due here, not a list")
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(n.Text)); err != nil {
			return Errorf(n.Pos, "%v", err)
		}
		return nil
	}
	switch v.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(n.Text)
		if err != nil || d < 0 {
			return Errorf(n.Pos, "%q is not a time; write 500ms, 2s or 1m", n.Text)
		}
		v.SetInt(int64(d))
		return nil
	case Tokens:
		return number(n, v, "tokens; write 500, 500tokens or 20ktokens", unit{"ktokens", 1000}, unit{"tokens", 1})
	case PerSecond:
		return number(n, v, "a rate; write 10/s or 600/min", unit{"/s", 1}, unit{"/min", 1. / 60})
	case Bytes:
		return number(n, v, "a size; write 4096, 64KiB or 1MiB", unit{"KiB", 1 << 10}, unit{"MiB", 1 << 20})
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString(n.Text)
	case reflect.Bool:
		switch n.Text {
		case "yes", "true", "on":
			v.SetBool(true)
		case "no", "false", "off":
			v.SetBool(false)
		default:
			return Errorf(n.Pos, "%q is not yes or no", n.Text)
		}
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return number(n, v, "a whole number")
	default:
		return number(n, v, "a number")
	}
	return nil
}

type unit struct {
	name  string
	times float64
}

// number sets a number of any kind, with one of the units or none. Numbers below 0 are refused.
func number(n *Node, v reflect.Value, what string, units ...unit) error {
	text, times := n.Text, 1.0
	for _, u := range units {
		if cut, ok := strings.CutSuffix(text, u.name); ok {
			text, times = cut, u.times
			break
		}
	}
	x, err := strconv.ParseFloat(text, 64)
	x *= times
	whole := v.Kind() != reflect.Float64
	if err != nil || !(x >= 0) || math.IsInf(x, 0) || whole && (x != math.Trunc(x) || x > 1<<53) {
		return Errorf(n.Pos, "%q is not %s", n.Text, what)
	}
	switch v.Kind() {
	case reflect.Float64:
		v.SetFloat(x)
	case reflect.Uint64:
		v.SetUint(uint64(x))
	default:
		v.SetInt(int64(x))
	}
	return nil
}

// nearest suggests the known name that takes the fewest edits, if few do.
func nearest(name string, named map[string]*field) string {
	best, least := "", len(name)/2+1
	for known := range named {
		if d := edits(name, known); d < least || d == least && best != "" && known < best {
			best, least = known, d
		}
	}
	if best == "" {
		return ""
	}
	return `; is "` + best + `" meant?`
}

// edits is the Levenshtein distance.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diag := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diag, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diag+cost)
		}
	}
	return row[len(b)]
}
