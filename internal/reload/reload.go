// Package reload compares two settings files and decides which changes a running
// router applies at once and which need a restart. It has no I/O and no clock.
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
	Path     string // form names from the outermost to the setting: class "question" aim
	Old, New string // "" if the setting is absent
	Live     bool   // applied at once; otherwise the change needs a restart
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

// liveSettings are the settings that can be applied between two events; "*" stands
// for any name. All others are bound to something that stays for the lifetime of
// the process: a port, a table's size, an open connection or a guarantee given to
// a request in flight.
var liveSettings = []string{
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

// Diff returns the settings in which two files differ, in the order of the file's forms.
func Diff(old, next *settings.File) []Change {
	d := comparison{}
	d.compareForms("", "", reflect.ValueOf(old).Elem(), reflect.ValueOf(next).Elem())
	return d.changes
}

// comparison collects the changes that Diff finds.
type comparison struct{ changes []Change }

func (c *comparison) add(path, pattern, old, next string) {
	if old != next {
		c.changes = append(c.changes, Change{Path: path, Old: old, New: next, Live: slices.Contains(liveSettings, pattern)})
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + " " + name
}

// compareForms compares two forms, setting by setting.
func (c *comparison) compareForms(path, pattern string, old, next reflect.Value) {
	t := old.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("gann"), ",")
		if name == "" || name == "#" {
			continue
		}
		c.compareValue(joinPath(path, name), joinPath(pattern, name), old.Field(i), next.Field(i))
	}
}

func (c *comparison) compareValue(path, pattern string, old, next reflect.Value) {
	switch {
	case isNamedList(old.Type()):
		c.compareNamedLists(path, pattern, old, next)
	case old.Kind() == reflect.Struct:
		c.compareForms(path, pattern, old, next)
	default:
		c.add(path, pattern, formatValue(old), formatValue(next))
	}
}

// isNamedList reports whether a type is a list of forms that have names.
func isNamedList(t reflect.Type) bool {
	if t.Kind() != reflect.Slice || t.Elem().Kind() != reflect.Struct {
		return false
	}
	_, has := t.Elem().FieldByName("Name")
	return has
}

// formatValue returns a value in the syntax of the file, without its position there.
func formatValue(v reflect.Value) string {
	switch {
	case v.Kind() == reflect.Slice:
		var list []string
		for i := range v.Len() {
			list = append(list, formatValue(v.Index(i)))
		}
		return strings.Join(list, " ")
	case v.Kind() == reflect.Struct:
		out := ""
		for i := range v.NumField() {
			if name := v.Type().Field(i).Tag.Get("gann"); name != "" && !v.Field(i).IsZero() {
				out += fmt.Sprintf("(%s %s)", name, formatValue(v.Field(i)))
			}
		}
		return "(" + out + ")"
	}
	return fmt.Sprint(v.Interface())
}

// compareNamedLists compares repeated forms by their names. Requests in flight
// refer to the forms by index, so a change of order needs a restart.
func (c *comparison) compareNamedLists(path, pattern string, old, next reflect.Value) {
	names := func(v reflect.Value) []string {
		var list []string
		for i := range v.Len() {
			list = append(list, v.Index(i).FieldByName("Name").String())
		}
		return list
	}
	oldNames, newNames := names(old), names(next)
	for i, name := range oldNames {
		formPath := fmt.Sprintf("%s %q", path, name)
		j := slices.Index(newNames, name)
		if j < 0 {
			c.add(formPath, "", "given", "")
			continue
		}
		c.compareForms(formPath, pattern+" *", old.Index(i), next.Index(j))
	}
	for _, name := range newNames {
		if !slices.Contains(oldNames, name) {
			c.add(fmt.Sprintf("%s %q", path, name), "", "", "given")
		}
	}
	if len(oldNames) == len(newNames) && !slices.Equal(oldNames, newNames) && sameSet(oldNames, newNames) {
		c.add(path+" order", "", strings.Join(oldNames, " "), strings.Join(newNames, " "))
	}
}

func sameSet(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// Merge returns the settings that a running router uses after a reload: its own,
// with the live changes of next applied. Neither file is modified.
func Merge(old, next *settings.File) *settings.File {
	merged := *old
	merged.Classes, merged.Kinds = slices.Clone(old.Classes), slices.Clone(old.Kinds)
	merged.Tenants = slices.Clone(old.Tenants)
	copyLive("", reflect.ValueOf(&merged).Elem(), reflect.ValueOf(next).Elem())
	return &merged
}

// copyLive copies the live settings of the form src to dst; forms of named lists are matched by name.
func copyLive(pattern string, dst, src reflect.Value) {
	t := dst.Type()
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("gann"), ",")
		if name == "" || name == "#" {
			continue
		}
		path, dstField, srcField := joinPath(pattern, name), dst.Field(i), src.Field(i)
		switch {
		case isNamedList(dstField.Type()):
			for n := range dstField.Len() {
				for m := range srcField.Len() {
					if dstField.Index(n).FieldByName("Name").String() == srcField.Index(m).FieldByName("Name").String() {
						copyLive(path+" *", dstField.Index(n), srcField.Index(m))
					}
				}
			}
		case dstField.Kind() == reflect.Struct:
			copyLive(path, dstField, srcField)
		case slices.Contains(liveSettings, path):
			dstField.Set(srcField)
		}
	}
}
