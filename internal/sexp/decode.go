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

// Decode sets the struct that out points to from the items of a list after its head, or from the forms of a file. A form is
// a list that starts with a name. The tag `gann:"name"` of a field names the form (name value) that sets it; the tag
// `gann:"#"` takes the next scalar of the list itself; with ",need" the value is required. A slice of structs takes all
// forms of its name, a slice of scalars the items of a single form. A field At of type Pos gets the position at, which is
// that of the list or file. Unknown forms, repeated forms and values of the wrong type are errors with a position.
func Decode(at Pos, items []*Node, out any) error {
	return decodeStruct(at, items, reflect.ValueOf(out).Elem())
}

// ReadFile sets the struct that out points to from a file.
func ReadFile(path string, out any) error {
	text, err := load(path)
	if err != nil {
		return err
	}
	return Read(path, text, out)
}

// Read sets the struct that out points to from a text; name is its file name in errors.
func Read(name, text string, out any) error {
	forms, err := Parse(name, text)
	if err != nil {
		return err
	}
	return Decode(Pos{File: name, Line: 1, Col: 1}, forms, out)
}

// Checked returns readErr, if there is one, or f with the error of its validation.
func Checked[F any](f *F, readErr error, validate func() error) (*F, error) {
	if readErr != nil {
		return nil, readErr
	}
	return f, validate()
}

// field is a struct field that a form or a scalar sets.
type field struct {
	value    reflect.Value
	required bool
	seen     bool
}

// fields returns the tagged fields of a struct: those set by forms, and those set by scalars in their order.
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

// decodeStruct sets a struct from the items of a list or file at a position.
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

// decodeForm sets the field that the head of a list names.
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

// decodeSlice appends one struct to a slice of structs, or sets a slice of scalars.
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

// isScalar reports whether a value of the type is written as one word or string. A slice counts as a scalar here; it is
// handled before.
func isScalar(t reflect.Type) bool {
	return t.Kind() != reflect.Struct && t.Kind() != reflect.Pointer ||
		reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// decodeValue sets a scalar from a word or string.
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

// unit is a suffix of a number and the factor that it stands for.
type unit struct {
	name   string
	factor float64
}

// setNumber sets a number of any kind from a text with one of the units or none. Negative numbers are errors, and so are
// integers above 2^53, which a float64 doesn't represent exactly. want completes the error "... is not".
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

// suggestion returns the end of an error message that proposes the known name closest to an unknown one, or "" if none
// differs from it in at most half of its characters.
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

// levenshtein returns the Levenshtein distance of two words, in bytes.
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
