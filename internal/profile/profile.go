// Package profile decodes the settings object that the users' platform gives a
// router, on the simulator's wire and in a router's configuration file alike.
package profile

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"gannethook"
)

// object is the settings object as it comes; unknown keys are skipped.
type object struct {
	Ceilings struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"connIdleMs"`
		Dial          float64 `json:"dialTimeoutMs"`
		MaxAttempts   int     `json:"maxAttempts"`
		MaxRetryAfter float64 `json:"maxRetryAfterMs"`
		RetryAfter    bool    `json:"retryAfter"`
	} `json:"ceilings"`
	Classes []struct {
		Aim      *float64 `json:"aimMs"`
		Deadline float64  `json:"deadlineMs"`
		Effect   string   `json:"effect"`
		Name     string   `json:"name"`
		Group    string   `json:"group"`
		Worth    float64  `json:"importance"`
		Streamed bool     `json:"streamed"`
		Window   float64  `json:"windowMs"`
	} `json:"classes"`
	Discovery string `json:"discovery"`
	Domain    struct {
		AimPer1000  []float64 `json:"aimUsPer1000PromptTokens"`
		Holds       bool      `json:"holdsAllowed"`
		Roles       []string  `json:"kindRole"`
		WritersRead bool      `json:"localRead"`
		PinLimit    float64   `json:"pinLimitMs"`
		Resume      bool      `json:"resume"`
		TokenAim    []float64 `json:"tokenAimMs"`
		Memory      []float64 `json:"tokensByKind"`
	} `json:"domain"`
	Rules struct {
		ColdFrom  float64 `json:"coldFrom"`
		Overload  float64 `json:"overloadFactor"`
		WarmAfter float64 `json:"warmAfterMs"`
	} `json:"guarantees"`
	Kinds   []string `json:"kinds"`
	Peers   *int     `json:"peersTotal"`
	Quantum float64  `json:"quantumMs"`
	Report  struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Tenants []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quotaPerS"`
	} `json:"tenants"`
	Zones []string `json:"zones"`
}

var (
	roles   = map[string]gannethook.Role{"read": gannethook.Reader, "write": gannethook.Writer, "both": gannethook.Mixed}
	effects = map[string]gannethook.Effect{"pure": gannethook.Safe, "token": gannethook.Keyed,
		"side_effect": gannethook.Unsafe}
	groups = map[string]gannethook.Group{"": 0, "all": gannethook.GroupAll, "zone": gannethook.GroupZone, "cell": gannethook.GroupCell}
)

// Profile is what a router is told at its start.
type Profile struct {
	Settings gannethook.Settings
	Classes  []string          // their names
	Tenants  []string          // the same
	Kinds    []string          // the same
	Zones    []string          // the same
	Memory   int               // place of the memory share in a load report; -1: none
	Pace     []float64         // wanted ms a token, by class
	Resume   bool              // clients ask for the rest of a stream that broke
	GiveUp   gannethook.Millis // the longest that clients of any class wait
	Dial     gannethook.Millis // a connection not made by then has failed; 0: not told
}

// Parse decodes the object. Errors name the field.
func Parse(text []byte) (*Profile, error) {
	var p object
	if err := json.Unmarshal(text, &p); err != nil {
		return nil, err
	}
	if p.Peers == nil {
		return nil, errors.New("peersTotal is missing")
	}
	s := gannethook.Settings{
		Routers:  *p.Peers,
		ColdFrom: p.Rules.ColdFrom, WarmAfter: gannethook.Millis(p.Rules.WarmAfter),
		OverloadFactor: p.Rules.Overload,
		PinLimit:       gannethook.Millis(p.Domain.PinLimit), MaxAttempts: p.Ceilings.MaxAttempts,
		ConnIdle:     gannethook.Millis(p.Ceilings.ConnIdle),
		Quantum:      gannethook.Millis(p.Quantum),
		AskDiscovery: p.Discovery == "subscribe",
		Cancel:       p.Ceilings.Cancel, Holds: p.Domain.Holds, WritersRead: p.Domain.WritersRead,
		SparesWaited: true,
	}
	if p.Ceilings.RetryAfter {
		s.MaxRetryAfter = gannethook.Millis(p.Ceilings.MaxRetryAfter)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, gannethook.Tenant{QuotaPerS: t.Quota})
	}
	if err := addKinds(&s, &p); err != nil {
		return nil, err
	}
	if err := addClasses(&s, &p); err != nil {
		return nil, err
	}
	out := &Profile{Settings: s, Kinds: p.Kinds, Zones: p.Zones, Memory: slices.Index(p.Report.Fields, "x0"),
		Pace: p.Domain.TokenAim, Dial: gannethook.Millis(p.Ceilings.Dial),
		Resume: p.Domain.Resume}
	for _, c := range p.Classes {
		out.Classes = append(out.Classes, c.Name)
		out.GiveUp = max(out.GiveUp, gannethook.Millis(c.Deadline))
	}
	for _, t := range p.Tenants {
		out.Tenants = append(out.Tenants, t.Name)
	}
	return out, nil
}

func addKinds(s *gannethook.Settings, p *object) error {
	for i, name := range p.Domain.Roles {
		role, ok := roles[name]
		if !ok {
			return fmt.Errorf("kindRole %q is not a role", name)
		}
		kind := gannethook.Kind{Role: role}
		if i < len(p.Domain.Memory) {
			kind.Memory = p.Domain.Memory[i]
		}
		s.Kinds = append(s.Kinds, kind)
	}
	if len(s.Kinds) < len(p.Kinds) {
		return fmt.Errorf("%d kinds but %d roles", len(p.Kinds), len(s.Kinds))
	}
	return nil
}

func addClasses(s *gannethook.Settings, p *object) error {
	for i, c := range p.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return fmt.Errorf("effect %q of class %d is not known", c.Effect, i)
		}
		group, ok := groups[c.Group]
		if !ok {
			return fmt.Errorf("group %q of class %d is not known", c.Group, i)
		}
		if c.Aim == nil {
			return fmt.Errorf("aimMs of class %d is missing", i)
		}
		class := gannethook.Class{
			Aim: gannethook.Millis(*c.Aim), Worth: c.Worth, Effect: effect, Group: group,
			Window: gannethook.Millis(c.Window), Streamed: c.Streamed,
		}
		if i < len(p.Domain.AimPer1000) {
			class.AimPer1000 = gannethook.Millis(p.Domain.AimPer1000[i] / 1000)
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}
