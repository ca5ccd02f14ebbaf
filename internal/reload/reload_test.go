package reload

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"gannethook/internal/settings"
)

const baseSettings = `(name r) (listen "127.0.0.1:0") (roster (file "x"))
(class q (aim 1s) (give-up 5s) (effect safe)) (class a (aim 2s) (give-up 9s) (effect unsafe))
(kind p (role reader)) (kind w (role writer)) (tenant t (quota 10/s))`

func parse(t *testing.T, text string) *settings.File {
	t.Helper()
	f, err := settings.Parse("f", text)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestDiff(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"", "", ""},
		{"(aim 1s)", "(aim 900ms)", `class "q" aim: 1s -> 900ms`},
		{"(effect unsafe)", "(effect safe)", `class "a" effect: unsafe -> safe (needs a restart)`},
		{"(quota 10/s)", "(quota 600/min)", ""},
		{"(quota 10/s)", "(quota 20/s)", `tenant "t" quota: 10 -> 20`},
		{"(quota 10/s)", "(quota 10/s) (budget (requests 5/s) (class q)) (budget (tokens 9/s))",
			`tenant "t" budget: none -> ((class q)(requests 5)(burst 5)) ((tokens 9)(token-burst 90))`},
		{"(quota 10/s)", "(quota 10/s)\n\n(budget (requests 5/s))", `tenant "t" budget: none -> ((requests 5)(burst 5))`},
		{"(tenant t (quota 10/s))", "", `tenant "t": given -> none (needs a restart)`},
		{"(kind p (role reader))", "(kind p (role reader)) (kind m (role mixed))", `kind "m": none -> given (needs a restart)`},
		{"(kind p (role reader)) (kind w (role writer))", "(kind w (role writer)) (kind p (role reader))", "kind order: p w -> w p (needs a restart)"},
		{`"127.0.0.1:0"`, `"127.0.0.1:9"`, "listen: 127.0.0.1:0 -> 127.0.0.1:9 (needs a restart)"},
		{`(file "x")`, `(watch "h:1")`, "roster watch: none -> h:1 (needs a restart); roster file: x -> none (needs a restart)"},
		{"(name r)", "(name r) (sessions (drain 9s) (most 7))", "sessions most: 20000 -> 7; sessions drain: 30s -> 9s"},
	} {
		var got []string
		for _, ch := range Diff(parse(t, baseSettings), parse(t, strings.Replace(baseSettings, c.from, c.to, 1))) {
			got = append(got, ch.String())
		}
		if s := strings.Join(got, "; "); s != c.want {
			t.Errorf("%s to %s: %s, want %s", c.from, c.to, s, c.want)
		}
	}
}

// For each change, the merged settings differ from the old file only in live
// settings and from the new file only in the others, and are compatible with the
// module of the old ones.
func TestMerge(t *testing.T) {
	old := parse(t, baseSettings)
	before := fmt.Sprintf("%+v", *old)
	for from, to := range map[string]string{
		"(aim 1s)": "(aim 500ms)", "(effect unsafe)": "(effect safe)", `"127.0.0.1:0"`: `"127.0.0.1:9"`,
		"(kind p (role reader))": "(kind p (role reader) (memory 5ktokens)) (kind m (role mixed))",
		"(name r)":               "(name s) (seed 4) (routers 9) (limits (open 5) (keys 6)) (rules (overload 2) (pin-limit 1s))",
		"(kind p (role reader)) (kind w (role writer))": "(kind w (role writer) (memory 1)) (kind p (role reader))",
		"(tenant t (quota 10/s))":                       "(tenant u (quota 1/s)) (tenant t (quota 2/s))",
		"(class q (aim 1s) (give-up 5s) (effect safe))": "(class z (aim 1s) (give-up 5s) (effect safe))",
	} {
		next := parse(t, strings.Replace(baseSettings, from, to, 1))
		merged := Merge(old, next)
		for _, c := range Diff(old, merged) {
			if !c.Live {
				t.Errorf("%s: applied without a restart: %v", to, c)
			}
		}
		for _, c := range Diff(merged, next) {
			if c.Live {
				t.Errorf("%s: live change not applied: %v", to, c)
			}
		}
		oldModule, mergedModule := old.Module(), merged.Module()
		if err := oldModule.Compatible(&mergedModule); err != nil {
			t.Errorf("%s: %v", to, err)
		}
		if fmt.Sprintf("%+v", *old) != before {
			t.Fatalf("%s: the old settings changed", to)
		}
	}
}

// Every entry of liveSettings is the path of a setting: a misspelt one would never match.
func TestLiveSettingsExist(t *testing.T) {
	known := map[string]bool{}
	var walk func(pattern string, t reflect.Type)
	walk = func(pattern string, typ reflect.Type) {
		for i := range typ.NumField() {
			name, _, _ := strings.Cut(typ.Field(i).Tag.Get("gann"), ",")
			if name == "" || name == "#" {
				continue
			}
			at, ft := joinPath(pattern, name), typ.Field(i).Type
			switch {
			case isNamedList(ft):
				walk(at+" *", ft.Elem())
			case ft.Kind() == reflect.Struct:
				walk(at, ft)
			default:
				known[at] = true
			}
		}
	}
	walk("", reflect.TypeFor[settings.File]())
	for _, name := range liveSettings {
		if !known[name] {
			t.Errorf("%q is not a setting", name)
		}
	}
}
