package discovery

import (
	"testing"

	"gannethook"
	"gannethook/internal/profile"
)

func TestMembership(t *testing.T) {
	l, err := Parse([]byte(`{"rev":7,"all":false,"targets":[
{"uid":"a","endpoint":"h:1","az":"s","model":"m","pod_group":3,"state":"DRAINING","capacity_hint":1.0,"boot_ms":1500,"odd":1},
{"uid":"b","endpoint":"h:2","az":"x","model":"x","pod_group":0,"state":"DELETED","boot_ms":0}]}`))
	if err != nil {
		t.Fatal(err)
	}
	m := l.Membership(&profile.Profile{Kinds: []string{"k", "m"}, Zones: []string{"n", "s"}})
	want := []gannethook.Server{{ID: "a", Kind: 1, Zone: 1, Cell: 3, Since: 1500, State: gannethook.Draining},
		{ID: "b", Kind: -1, Zone: -1, State: gannethook.Gone}}
	if m.Whole || l.Rev != 7 || len(m.Servers) != 2 || m.Servers[0] != want[0] || m.Servers[1] != want[1] {
		t.Errorf("%+v", m)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"rev":7,"all":true,"targets":[{"uid":"a","state":"SERVING"}]}`))
	f.Add([]byte(`{"rev":7}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := Parse(text)
		if err != nil {
			return
		}
		for _, s := range l.Membership(&profile.Profile{}).Servers {
			if s.ID == "" || s.State == 0 {
				t.Errorf("%+v", s)
			}
		}
	})
}
