package settings

import (
	"strings"
	"testing"
	"time"

	"gannethook"
	"gannethook/internal/limits"
)

// good is a minimal valid settings file.
const good = `(name r) (listen "127.0.0.1:0") (class q (aim 1s) (give-up 5s) (effect safe))
(kind p (role reader)) (kind a (role writer) (memory 20ktokens)) (roster (file "x"))`

func TestDefault(t *testing.T) {
	f, err := Parse("default.gann", Default)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := gannethook.New(f.Module(), 1); err != nil {
		t.Errorf("the module rejects the default settings: %v", err)
	}
}

func TestModule(t *testing.T) {
	f, err := Parse("f", good+`(tenant t (quota 120/min)) (class e (aim 2s) (aim-per-1000 40ms) (give-up 9s) (effect keyed)
		(group zone) (window 30s) (worth 2)) (rules (pin-limit 400ms)) (routers 3) (engines (holds no) (stream-idle 3s))`)
	if err != nil {
		t.Fatal(err)
	}
	m := f.Module()
	c := m.Classes[1]
	if m.Routers != 3 || m.Holds || !m.Cancel || m.PinLimit != 400 || m.Tenants[0].QuotaPerS != 2 || m.Kinds[1].Memory != 20000 ||
		m.Kinds[0].Role != gannethook.Reader || c.Effect != gannethook.Keyed || c.Group != gannethook.GroupZone ||
		c.Window != 30000 || c.Aim != 2000 || c.AimPer1000 != 40 || c.Worth != 2 || m.Classes[0].Worth != 1 {
		t.Errorf("%+v", m)
	}
	f, err = Parse("f", good+`(class e (aim 2s) (give-up 9s) (effect safe) (work embedding) (priority 2)) (limits (repeats 0.2))
		(tenant t (weight 3) (budget (class e) (requests 5/s) (tokens 100/s) (token-burst 5ktokens))) (admit (shed no))`)
	if err != nil {
		t.Fatal(err)
	}
	m = f.Module()
	l := f.Limiter()
	if !m.Classes[1].OneStage || m.Classes[1].Streamed || m.Classes[0].OneStage || m.RepeatPart != 0.2 || l.Shed || l.Tenants[0].Weight != 3 ||
		l.Tenants[0].Budgets[0] != (limits.Budget{Class: 1, Requests: limits.Rate{PerSecond: 5, Burst: 5}, Tokens: limits.Rate{PerSecond: 100, Burst: 5000}}) ||
		l.Classes[1].Priority != 2 || l.Classes[1].Aim != 2*time.Second {
		t.Errorf("%+v, %+v", m, l)
	}
}

func TestEngineLimits(t *testing.T) {
	f, err := Parse("f", good+`(engines (stream-idle 3s)) (rules (pin-limit 400ms))`)
	if err != nil {
		t.Fatal(err)
	}
	if f.EngineLimits().StreamIdle != 3*time.Second || f.EngineLimits().PlaceIdle != 400*time.Millisecond {
		t.Errorf("%+v", f.EngineLimits())
	}
}

func TestErrors(t *testing.T) {
	for change, want := range map[string]string{
		"": "",
		`(class q (aim 1s) (give-up 5s) (effect safe))`:               `f:3:1: class "q" is given twice`,
		`(class x (aim 6s) (give-up 5s) (effect safe))`:               `f:3:1: class "x" gives up before its aim`,
		`(class x (aim 1s) (give-up 5s) (effect keyed))`:              `f:3:1: class "x" is keyed: it needs (group ...) and (window ...)`,
		`(class x (aim 1s) (give-up 5s) (effect unsafe) (window 1s))`: `f:3:1: class "x" is not keyed: (group ...) and (window ...) have no meaning`,
		`(class x (aim 1s) (give-up 5s) (effect sometimes))`:          `f:3:40: "sometimes" is not an effect; known are ["safe" "keyed" "unsafe"]`,
		`(class x (aim 1s) (effect safe))`:                            `f:3:1: (give-up ...) is missing`,
		`(kind p (role writer))`:                                      `f:3:1: kind "p" is given twice`,
		`(kind x (role painter))`:                                     `f:3:15: "painter" is not a role; known are ["reader" "writer" "mixed"]`,
		`(limits (open 0))`:                                           `f:1:1: routers, open, inbox and responses are 1 at the least`,
		`(limits (opne 1))`:                                           `f:3:10: "opne" is not known here; is "open" meant?`,
		`(sessions (bytes-per-token 0))`:                              `f:1:1: bytes-per-token and quantum are above 0`,
		`(class e (aim 1s) (give-up 5s) (effect safe) (work dance))`:  `f:3:52: "dance" is not a kind of work; known are ["chat" "embedding" "rerank"]`,
		`(tenant t) (tenant t)`:                                       `f:3:12: tenant "t" is given twice`,
		`(tenant t (budget (class x) (requests 1/s)))`:                `f:3:11: no class is named "x"`,
		`(tenant t (budget (class q)))`:                               `f:3:11: a budget has (requests ...), (tokens ...) or both`,
		`(tenant t (budget (tokens 1/s) (burst 2)))`:                  `f:3:11: (burst ...) goes with (requests ...) and is 1 at the least`,
		`(tenant t (identity "spiffe://x/t"))`:                        `f:3:1: (identity ...) needs (tls ...)`,
		`(tls (cert "c"))`:                                            `f:3:1: tls needs (domain ...), (cert ...), (key ...) and (authority ...)`,
		`(admit (in-hand-least 100))`:                                 `f:3:1: waiting, clients and in-hand-least are 1 at the least; in-hand-start and in-hand-most no less than that`,
		`(admit (wait-part 2))`:                                       `f:3:1: wait-part is above 0 and 1 at the most`,
		`(http (part 0))`:                                             `f:1:1: http: body and answer are 1KiB at the least, bodies no less than body; part, part-items, parts-out and part-tries 1`,
		`(name other)`:                                                `f:3:1: "name" is given twice`,
	} {
		_, err := Parse("f", good+"\n"+change)
		if want == "" && err != nil || want != "" && (err == nil || err.Error() != want) {
			t.Errorf("%s: %v; want %s", change, err, want)
		}
	}
	for text, want := range map[string]string{
		strings.Replace(good, `"127.0.0.1:0"`, "here", 1):                         `f:1:1: (listen ...): "here" is not host:port`,
		strings.Replace(good, `(file "x")`, "", 1):                                `f:2:66: a roster comes from one of (watch ...) and (file ...)`,
		strings.Replace(good, `(file "x")`, `(file "x") (watch "h:1")`, 1):        `f:2:66: a roster comes from one of (watch ...) and (file ...)`,
		strings.Replace(good, "(kind a (role writer) (memory 20ktokens))", "", 1): `f:1:1: there is no kind that reads, or none that writes`,
	} {
		if _, err := Parse("f", text); err == nil || err.Error() != want {
			t.Errorf("%v; want %s", err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(Default)
	f.Fuzz(func(t *testing.T, in string) {
		file, err := Parse("f", in)
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("the error has no position: %v", err)
			}
			return
		}
		if _, err := gannethook.New(file.Module(), 1); err != nil {
			t.Fatalf("valid settings are rejected by the module: %v", err)
		}
	})
}
