package wire

import (
	"encoding/json"
	"strings"
	"testing"

	"gannethook"
	"gannethook/internal/profile"
)

// profileText returns a settings object with a reader and a writer kind, modified by change.
func profileText(t testing.TB, change ...func(map[string]any)) string {
	t.Helper()
	p := map[string]any{
		"ceilings": map[string]any{"cancel": true, "maxAttempts": 4, "maxRetryAfterMs": 500.0, "retryAfter": true},
		"classes": []any{map[string]any{"aimMs": 1000.0, "deadlineMs": 6000.0, "effect": "pure", "group": "all",
			"streamed": true, "importance": 1.0}},
		"domain": map[string]any{"holdsAllowed": true, "kindRole": []any{"read", "write"}, "pinLimitMs": 500.0,
			"tokenAimMs": []any{70.0}, "tokensByKind": []any{2e5, 1e5}, "aimUsPer1000PromptTokens": []any{40000.0}},
		"guarantees": map[string]any{"coldFrom": 0.25, "warmAfterMs": 10000.0, "overloadFactor": 2.5, "fallMs": 2000.0},
		"kinds":      []any{"a", "b"}, "peersTotal": 2, "myNumber": 0, "quantumMs": 4.0, "zones": []any{"x", "y"},
		"report": map[string]any{"fields": []any{"depth", "new_one", "x0"}}, "new": map[string]any{"a b": 1},
	}
	for _, c := range change {
		c(p)
	}
	text, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// opening returns a first batch that creates an instance and lists a reader and a writer.
func opening(t testing.TB, change ...func(map[string]any)) string {
	return "BATCH momentMs=1000 serial=1\nOPEN_INSTANCE routerId=3 randomSeed=5 profileData=" +
		profileText(t, change...) + "\nUPDATE routerId=3 kind=cached serial=1 nodesList=2\n" +
		"WORKER worker=10.0.0.1:1 model=0 readiness=Ready area=0 cell=0 scale=1\n" +
		"WORKER worker=10.0.0.2:1 model=1 readiness=Ready area=0 cell=0 scale=1 sinceMs=0.0\nEND\n"
}

// ordering is the event of a new request.
const ordering = "ORDER routerId=3 requestId=7 lane=0 dialogue=9 budgetMs=6000 promptLen=1000 prefixLen=0 maxOut=200\n"

// serve returns the output for an input.
func serve(in string) (string, error) {
	var out strings.Builder
	err := Serve(strings.NewReader(in), &out)
	return out.String(), err
}

func TestRoundTrip(t *testing.T) {
	out, err := serve(opening(t) + "BATCH momentMs=1004 serial=2\n" + ordering + "END\n" +
		"BATCH momentMs=1008 serial=3\nBOOKING routerId=3 requestId=7 leg=0 worker=10.0.0.1:1 amount=0 sort=1\nEND\n" +
		"BATCH momentMs=1100 serial=4\nCLOSED_ATTEMPT routerId=3 requestId=7 doneFlag=0 outcome=102 leg=0 " +
		"worker=10.0.0.1:1 rttMs=96 report=3,9,0.5\nEND\n")
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"ACK serial=1\n", "ATTEMPT routerId=3 requestId=7 worker=10.0.0.1:1",
		"PAIR_EARLY routerId=3 requestId=7 worker=10.0.0.2:1\n", "ACK serial=3\nATTEMPT routerId=3 requestId=7 worker=10.0.0.2:1",
		"ACK serial=4\n"} {
		if !strings.Contains(out, want) {
			t.Errorf("no %q in %q", want, out)
		}
	}
}

// TestKeptTokens checks that the number of cached prompt tokens that a reader reports reaches the module with the end of a
// read, and with no other outcome.
func TestKeptTokens(t *testing.T) {
	for _, c := range []struct {
		outcome, info string
		kept          float64
		bad           bool
	}{{"102", "4096", 4096, false}, {"102", "", 0, false}, {"102", "-3", 0, false}, {"302", "1", 0, false}, {"100", "512", 0, false},
		{"102", "many", 0, true}, {"102", "NaN", 0, true}} {
		r := &reader{message: message{fields: map[string]string{"requestId": "7", "leg": "0", "worker": "a", "outcome": c.outcome,
			"doneFlag": "0", "info": c.info}}}
		ev := closed(nil, &instance{Profile: &profile.Profile{MemoryField: -1}}, r).(gannethook.Ended)
		if (r.err != nil) != c.bad || !c.bad && ev.Kept != c.kept {
			t.Errorf("%+v: kept %v, %v", c, ev.Kept, r.err)
		}
	}
}

func TestUnknownMessagesAreSkipped(t *testing.T) {
	out, err := serve(opening(t) + "BATCH momentMs=1004 serial=2 shade=blue\nNEW_EVENT routerId=3 nodesList=1\n" +
		"WORKER whatever=1\nWHISPER routerId=3 sender=1 octets=aGk=\n" + strings.TrimSuffix(ordering, "\n") +
		" remark=two words\nEND\nBATCH momentMs=1100 serial=3\n" +
		"CLOSED_ATTEMPT routerId=3 requestId=7 doneFlag=0 outcome=999 leg=0 worker=10.0.0.1:1 rttMs=5\nEND\n")
	if err != nil || !strings.Contains(out, "ATTEMPT routerId=3 requestId=7") {
		t.Errorf("err %v, out %q", err, out)
	}
}

func TestMalformedInput(t *testing.T) {
	start := opening(t)
	for name, c := range map[string]struct{ in, want string }{
		"not a batch":        {"END\n", "line 1"},
		"no clock":           {"BATCH serial=1\nEND\n", "momentMs is missing"},
		"clock not a number": {"BATCH momentMs=x serial=1\nEND\n", "not a number"},
		"cut short":          {"BATCH momentMs=1 serial=1\n", "ended inside"},
		"unknown instance":   {"BATCH momentMs=1 serial=1\nEXPIRED routerId=9 requestId=1\nEND\n", "instance 9"},
		"bad profile":        {"BATCH momentMs=1 serial=1\nOPEN_INSTANCE routerId=1 randomSeed=1 profileData={\nEND\n", "profileData"},
		"no pair":            {start + "BATCH momentMs=2000 serial=2\nEXPIRED routerId=3 requestId\nEND\n", "line 8"},
		"given twice":        {start + "BATCH momentMs=2000 serial=2\nEXPIRED routerId=3 routerId=3 requestId=1\nEND\n", "twice"},
		"field missing":      {start + "BATCH momentMs=2000 serial=2\nEXPIRED routerId=3\nEND\n", "requestId is missing"},
		"class too high":     {start + "BATCH momentMs=2000 serial=2\n" + strings.Replace(ordering, "lane=0", "lane=5", 1) + "END\n", "lane=\"5\""},
		"entry missing":      {start + "BATCH momentMs=2000 serial=2\nUPDATE routerId=3 kind=full serial=2 nodesList=1\nEND\n", "entry 1 of 1"},
		"bad state":          {start + "BATCH momentMs=2000 serial=2\nUPDATE routerId=3 kind=full serial=2 nodesList=1\nWORKER worker=a model=0 readiness=Odd area=0\nEND\n", "readiness"},
		"bad flag":           {start + "BATCH momentMs=2000 serial=2\n" + "CLOSED_ATTEMPT routerId=3 requestId=7 outcome=102 leg=0 worker=a doneFlag=yes\nEND\n", "0 or 1"},
		"bad report":         {start + "BATCH momentMs=2000 serial=2\nCLOSED_ATTEMPT routerId=3 requestId=7 outcome=102 leg=0 worker=a report=x,1,2\nEND\n", "row of numbers"},
		"stray entry":        {start + "BATCH momentMs=2000 serial=2\nWORKER worker=a\nEND\n", "out of place"},
	} {
		_, err := serve(c.in)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%s: error %v, want one with %q and the line", name, err, c.want)
		}
	}
}

func TestSettingsRefused(t *testing.T) {
	for name, change := range map[string]func(map[string]any){
		"no classes":     func(p map[string]any) { p["classes"] = []any{} },
		"no routers":     func(p map[string]any) { delete(p, "peersTotal") },
		"unknown role":   func(p map[string]any) { p["domain"].(map[string]any)["kindRole"] = []any{"read", "sing"} },
		"too few roles":  func(p map[string]any) { p["domain"].(map[string]any)["kindRole"] = []any{"read"} },
		"unknown effect": func(p map[string]any) { p["classes"].([]any)[0].(map[string]any)["effect"] = "odd" },
		"wrong type":     func(p map[string]any) { p["quantumMs"] = "soon" },
	} {
		if _, err := serve(opening(t, change)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// TestInstancesAreIndependent checks that two instances in one host act as each does alone.
func TestInstancesAreIndependent(t *testing.T) {
	input := opening(t) + "BATCH momentMs=1004 serial=2\n" + ordering + "END\n"
	alone, err := serve(input)
	if err != nil {
		t.Fatal(err)
	}
	other := strings.NewReplacer("routerId=3", "routerId=4").Replace(input)
	both, err := serve(strings.Replace(other, "serial=2\n", "serial=9\n", 1) + input)
	if err != nil || !strings.HasSuffix(both, alone) {
		t.Errorf("err %v: %q does not end with %q", err, both, alone)
	}
}

func FuzzServe(f *testing.F) {
	f.Add(opening(f) + "BATCH momentMs=1004 serial=2\n" + ordering + "END\n")
	f.Add("BATCH momentMs=1 serial=1\nEND\n")
	f.Add("UPDATE kind=full\n")
	f.Fuzz(func(t *testing.T, in string) {
		if _, err := serve(in); err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("error without a line: %v", err)
		}
	})
}
