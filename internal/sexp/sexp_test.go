package sexp

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

type inner struct {
	At   Pos
	Name string   `gann:"#,need"`
	Aim  Duration `gann:"aim"`
	Tags []string `gann:"tags"`
}

// Duration abbreviates time.Duration in the structs of these tests.
type Duration = time.Duration

type outer struct {
	Name  string    `gann:"name,need"`
	Rate  PerSecond `gann:"rate"`
	Size  Bytes     `gann:"size"`
	Some  Tokens    `gann:"some"`
	Count int       `gann:"count"`
	On    bool      `gann:"on"`
	Inner []inner   `gann:"class"`
	One   *inner    `gann:"one"`
}

func decode(text string) (*outer, error) {
	forms, err := Parse("f", text)
	if err != nil {
		return nil, err
	}
	var o outer
	return &o, Decode(Pos{"f", 1, 1}, forms, &o)
}

func TestDecode(t *testing.T) {
	o, err := decode(`; a comment
		(name "a \"b\"") (rate 600/min) (size 64KiB) (some 20ktokens) (count 3) (on yes)
		(class first (aim 1500ms) (tags a "b c")) (class second) (one third)`)
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(o.Name, o.Rate, o.Size, o.Some, o.Count, o.On, o.Inner[0].Aim, len(o.Inner[0].Tags), o.Inner[1].Name, o.One.Name, o.Inner[1].At)
	if want := `a "b"10 65536 20000 3 true1.5s 2secondthirdf:3:45`; strings.ReplaceAll(got, " ", "") != strings.ReplaceAll(want, " ", "") {
		t.Errorf("got %s", got)
	}
}

// Checks that each kind of error has its message and position.
func TestErrors(t *testing.T) {
	for in, want := range map[string]string{
		`(name a`:                       `f:1:1: this '(' is never closed`,
		`(name a))`:                     `f:1:9: this ')' closes nothing`,
		"(name \"a\n\")":                `f:1:7: this string is never closed on its line`,
		`(name "\q")`:                   `f:1:7: this string has an unknown escape`,
		"(name \x01)":                   `f:1:7: this character is not text`,
		`(nome a)`:                      `f:1:2: "nome" is not known here; is "name" meant?`,
		"(name a)\n (xyzzy 1)":          `f:2:3: "xyzzy" is not known here`,
		`(name a) (name b)`:             `f:1:10: "name" is given twice`,
		`(name a b)`:                    `f:1:1: "name" takes one value`,
		`(name (a))`:                    `f:1:7: a plain value is due here, not a list`,
		`name`:                          `f:1:1: the value "name" has no place here`,
		`(count 3)`:                     `f:1:1: (name ...) is missing`,
		`(name a) (count 3.5)`:          `f:1:17: "3.5" is not a whole number`,
		`(name a) (count -1)`:           `f:1:17: "-1" is not a whole number`,
		`(name a) (rate 5)(rate 6)`:     `f:1:18: "rate" is given twice`,
		`(name a) (rate fast)`:          `f:1:16: "fast" is not a rate; write 10/s or 600/min`,
		`(name a) (some NaN)`:           `f:1:16: "NaN" is not tokens; write 500, 500tokens or 20ktokens`,
		`(name a) (on maybe)`:           `f:1:14: "maybe" is not yes or no`,
		`(name a) (class)`:              `f:1:10: a value is missing`,
		`(name a) (class x (aim 5))`:    `f:1:24: "5" is not a time; write 500ms, 2s or 1m`,
		`(name a) (class x (aim -5s))`:  `f:1:24: "-5s" is not a time; write 500ms, 2s or 1m`,
		`(name a) ()`:                   `f:1:10: a form starts with its name`,
		`(name a) ("name" b)`:           `f:1:10: a form starts with its name`,
		strings.Repeat("(", MaxDepth+1): fmt.Sprintf(`f:1:%d: lists are nested more than %d deep`, MaxDepth+1, MaxDepth),
	} {
		_, err := decode(in)
		if err == nil || err.Error() != want {
			t.Errorf("%.40q: %v; want %s", in, err, want)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("(name a) ; c\n(class x (aim 1s) (tags a \"b\"))")
	f.Fuzz(func(t *testing.T, in string) {
		if _, err := decode(in); err != nil && !strings.HasPrefix(err.Error(), "f:") {
			t.Fatalf("the error has no position: %v", err)
		}
	})
}
