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
func Checked[F any](f *F, readErr error, validate func() error) (*F, error) {
	if readErr != nil {
		return nil, readErr
	}
	return f, validate()
}

type field struct {
	value    reflect.Value
	required bool
	seen     bool
}

func fields(v reflect.Value) (byName map[string]*field, positional []*field) {
	byName = map[string]*field{}
	for i := range v.NumField() {
		tag, ok := v.Type().Field(i).Tag.Lookup("gann")
		if !ok {
			continue
		}
		name, opt, _ := strings.Cut(tag, ",")
		f := &field{value: v.Field(i), required: opt == "need"}
		if name == "#" {
			positional = append(positional, f)
		} else {
			byName[name] = f
		}
	}
	return byName, positional
}

func decodeStruct(at Pos, items []*Node, v reflect.Value) error {
	byName, positional := fields(v)
	if p := v.FieldByName("At"); p.IsValid() && p.Type() == reflect.TypeFor[Pos]() {
		p.Set(reflect.ValueOf(at))
	}
	for _, n := range items {
		if !n.List {
			if len(positional) == 0 {
				return Errorf(n.Pos, "the value %q has no place here", n.Text)
			}
			if err := decodeValue(n, positional[0].value); err != nil {
				return err
			}
			positional = positional[1:]
			continue
		}
		if err := decodeForm(n, byName); err != nil {
			return err
		}
	}
	for _, f := range positional {
		if f.required {
			return Errorf(at, "a value is missing")
		}
	}
	for name, f := range byName {
		if f.required && !f.seen {
			return Errorf(at, "(%s ...) is missing", name)
		}
	}
	return nil
}

func decodeForm(n *Node, byName map[string]*field) error {
	head := n.Head()
	if head == "" {
		return Errorf(n.Pos, "a form starts with its name")
	}
	f := byName[head]
	if f == nil {
		return Errorf(n.Items[0].Pos, "%q is not known here%s", head, suggestion(head, byName))
	}
	args := n.Items[1:]
	if f.value.Kind() == reflect.Slice {
		return decodeSlice(n, args, f)
	}
	if f.seen {
		return Errorf(n.Pos, "%q is given twice", head)
	}
	f.seen = true
	if isScalar(f.value.Type()) {
		if len(args) != 1 {
			return Errorf(n.Pos, "%q takes one value", head)
		}
		return decodeValue(args[0], f.value)
	}
	if f.value.Kind() == reflect.Pointer {
		f.value.Set(reflect.New(f.value.Type().Elem()))
		return decodeStruct(n.Pos, args, f.value.Elem())
	}
	return decodeStruct(n.Pos, args, f.value)
}

func decodeSlice(n *Node, args []*Node, f *field) error {
	elem := f.value.Type().Elem()
	if !isScalar(elem) {
		v := reflect.New(elem).Elem()
		if err := decodeStruct(n.Pos, args, v); err != nil {
			return err
		}
		f.seen = true
		f.value.Set(reflect.Append(f.value, v))
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
		f.value.Set(reflect.Append(f.value, v))
	}
	return nil
}

// isScalar tells whether a value of the type is one word or string.
func isScalar(t reflect.Type) bool {
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
		return setNumber(n, v, "tokens; write 500, 500tokens or 20ktokens", unit{"ktokens", 1000}, unit{"tokens", 1})
	case PerSecond:
		return setNumber(n, v, "a rate; write 10/s or 600/min", unit{"/s", 1}, unit{"/min", 1. / 60})
	case Bytes:
		return setNumber(n, v, "a size; write 4096, 64KiB or 1MiB", unit{"KiB", 1 << 10}, unit{"MiB", 1 << 20})
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
		return setNumber(n, v, "a whole number")
	default:
		return setNumber(n, v, "a number")
	}
	return nil
}

type unit struct {
	name   string
	factor float64
}

// setNumber sets a number of any kind, with one of the units or none. Numbers below 0 are refused.
func setNumber(n *Node, v reflect.Value, want string, units ...unit) error {
	text, factor := n.Text, 1.0
	for _, u := range units {
		if digits, ok := strings.CutSuffix(text, u.name); ok {
			text, factor = digits, u.factor
			break
		}
	}
	x, err := strconv.ParseFloat(text, 64)
	x *= factor
	integral := v.Kind() != reflect.Float64
	if err != nil || !(x >= 0) || math.IsInf(x, 0) || integral && (x != math.Trunc(x) || x > 1<<53) {
		return Errorf(n.Pos, "%q is not %s", n.Text, want)
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

// suggestion suggests the known name that takes the fewest edits, if few do.
func suggestion(name string, byName map[string]*field) string {
	best, least := "", len(name)/2+1
	for known := range byName {
		if d := levenshtein(name, known); d < least || d == least && best != "" && known < best {
			best, least = known, d
		}
	}
	if best == "" {
		return ""
	}
	return `; is "` + best + `" meant?`
}

// levenshtein is the Levenshtein distance.
func levenshtein(a, b string) int {
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
