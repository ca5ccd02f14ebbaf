// Package reload decides what of a changed settings file a running router takes
// up at once and what needs a restart. It has no I/O and no clock.
package reload

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"gannethook/internal/settings"
)

// Change is one setting that differs.
type Change struct {
	Path     string // as in the file: class "question" aim
	Old, New string // "" where it is not given
	Live     bool   // taken up at once; else it needs a restart
}

func (c Change) String() string {
	s := fmt.Sprintf("%s: %s -> %s", c.Path, orNone(c.Old), orNone(c.New))
	if !c.Live {
		s += " (needs a restart)"
	}
	return s
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// live are the settings that may change between two events; "*" stands for any
// name. Everything else is bound to something that lives as long as the process:
// a port, a table's size, an open connection, or a promise to a request under way.
var live = []string{
	"routers",
	"class * aim", "class * aim-per-1000", "class * give-up", "class * worth", "class * max-tokens",
	"class * priority",
	"kind * memory",
	"tenant * quota", "tenant * weight", "tenant * identity", "tenant * budget",
	"rules cold-from", "rules warm-after", "rules overload",
	"limits attempts", "limits repeats", "limits retry-after", "limits open",
	"admit on", "admit waiting", "admit wait-part", "admit in-hand-least", "admit in-hand-start", "admit in-hand-most",
	"admit retries", "admit clients", "admit shed", "admit back", "admit back-most",
	"http body", "http bodies", "http answer", "http read", "http idle", "http write",
	"http part", "http part-items", "http parts-out", "http part-tries",
	"sessions most", "sessions responses", "sessions message", "sessions conversation", "sessions pending",
	"sessions idle", "sessions handshake", "sessions bytes-per-token", "sessions drain",
	"control releases",
}

// Diff lists the settings in which two files differ, in the order of the file's forms.
func Diff(old, next *settings.File) []Change {
	d := differ{}
	d.structs("", "", reflect.ValueOf(old).Elem(), reflect.ValueOf(next).Elem())
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(path, pattern, old, next string) {
	if old != next {
		d.changes = append(d.changes, Change{Path: path, Old: old, New: next, Live: slices.Contains(live, pattern)})
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + " " + name
}

// structs compares two forms; the zero Value stands for one that is not there.
func (d *differ) structs(path, pattern string, old, next reflect.Value) {
	t := old.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("gann"), ",")
		if name == "" || name == "#" {
			continue
		}
		d.value(join(path, name), join(pattern, name), old.Field(i), next.Field(i))
	}
}

func (d *differ) value(path, pattern string, old, next reflect.Value) {
	switch {
	case named(old.Type()):
		d.lists(path, pattern, old, next)
	case old.Kind() == reflect.Struct:
		d.structs(path, pattern, old, next)
	default:
		d.add(path, pattern, text(old), text(next))
	}
}

// named tells whether a type is a list of forms that have names.
func named(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	_, has := t.Elem().FieldByName("Name")
	return has
}

// text is a value as the file has it; where it stands in the file is left out.
func text(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Slice:
		var list []string
		for i := range v.Len() {
			list = append(list, text(v.Index(i)))
		}
		return strings.Join(list, " ")
	case v.Kind() == reflect.Struct:
		out := ""
		for i := range v.NumField() {
			if name := v.Type().Field(i).Tag.Get("gann"); name != "" && !v.Field(i).IsZero() {
				out += fmt.Sprintf("(%s %s)", name, text(v.Field(i)))
			}
		}
		return "(" + out + ")"
	}
	return fmt.Sprint(v.Interface())
}

// lists compares repeated forms by their names. Their order matters to nobody
// but requests under way, which know them by number: a change of order needs a restart.
func (d *differ) lists(path, pattern string, old, next reflect.Value) {
	names := func(v reflect.Value) []string {
		var list []string
		for i := range v.Len() {
			list = append(list, v.Index(i).FieldByName("Name").String())
		}
		return list
	}
	was, is := names(old), names(next)
	for i, name := range was {
		at := fmt.Sprintf("%s %q", path, name)
		j := slices.Index(is, name)
		if j < 0 {
			d.add(at, "", "given", "")
			continue
		}
		d.structs(at, pattern+" *", old.Index(i), next.Index(j))
	}
	for _, name := range is {
		if !slices.Contains(was, name) {
			d.add(fmt.Sprintf("%s %q", path, name), "", "", "given")
		}
	}
	if len(was) == len(is) && !slices.Equal(was, is) && sameSet(was, is) {
		d.add(path+" order", "", strings.Join(was, " "), strings.Join(is, " "))
	}
}

func sameSet(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// Merge is what a running router goes on with: its own settings with the live
// changes in their places. The two files stay as they are.
func Merge(old, next *settings.File) *settings.File {
	merged := *old
	merged.Classes, merged.Kinds = slices.Clone(old.Classes), slices.Clone(old.Kinds)
	merged.Tenants = slices.Clone(old.Tenants)
	take("", reflect.ValueOf(&merged).Elem(), reflect.ValueOf(next).Elem())
	return &merged
}

func take(pattern string, into, from reflect.Value) {
	t := into.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("gann"), ",")
		if name == "" || name == "#" {
			continue
		}
		at, a, b := join(pattern, name), into.Field(i), from.Field(i)
		switch {
		case named(a.Type()):
			for n := range a.Len() {
				for m := range b.Len() {
					if a.Index(n).FieldByName("Name").String() == b.Index(m).FieldByName("Name").String() {
						take(at+" *", a.Index(n), b.Index(m))
					}
				}
			}
		case a.Kind() == reflect.Struct:
			take(at, a, b)
		case slices.Contains(live, at):
			a.Set(b)
		}
	}
}
