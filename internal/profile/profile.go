// Package profile decodes the platform's settings object into the module's
// settings. The object has the same format in the simulator's protocol and in a
// router's configuration file.
package profile

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"gannethook"
)

// settingsObject is the settings object as encoded; unknown keys are ignored.
type settingsObject struct {
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
	Guarantees struct {
		ColdFrom  float64 `json:"coldFrom"`
		Overload  float64 `json:"overloadFactor"`
		WarmAfter float64 `json:"warmAfterMs"`
	} `json:"guarantees"`
	Kinds      []string `json:"kinds"`
	PeersTotal *int     `json:"peersTotal"`
	Quantum    float64  `json:"quantumMs"`
	Report     struct {
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

// Profile is a decoded settings object.
type Profile struct {
	Settings     gannethook.Settings
	Classes      []string          // names of classes, in the order of Settings.Classes
	Tenants      []string          // names of tenants, in the order of Settings.Tenants
	Kinds        []string          // names of worker kinds, in the order of Settings.Kinds
	Zones        []string          // names of zones, in the order of their numbers
	MemoryField  int               // index of the memory share in a load report; -1: not reported
	TokenTargets []float64         // target time per token in ms, by class
	Resume       bool              // clients request the rest of a broken stream
	MaxDeadline  gannethook.Millis // the longest client deadline of any class
	DialTimeout  gannethook.Millis // timeout for connecting to a worker; 0: not configured
}

// Parse decodes a settings object. Errors name the field.
func Parse(text []byte) (*Profile, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, err
	}
	if object.PeersTotal == nil {
		return nil, errors.New("peersTotal is missing")
	}
	s := gannethook.Settings{
		Routers:  *object.PeersTotal,
		ColdFrom: object.Guarantees.ColdFrom, WarmAfter: gannethook.Millis(object.Guarantees.WarmAfter),
		OverloadFactor: object.Guarantees.Overload,
		PinLimit:       gannethook.Millis(object.Domain.PinLimit), MaxAttempts: object.Ceilings.MaxAttempts,
		ConnIdle:     gannethook.Millis(object.Ceilings.ConnIdle),
		Quantum:      gannethook.Millis(object.Quantum),
		AskDiscovery: object.Discovery == "subscribe",
		Cancel:       object.Ceilings.Cancel, Holds: object.Domain.Holds, WritersRead: object.Domain.WritersRead,
		SparesWaited: true,
	}
	if object.Ceilings.RetryAfter {
		s.MaxRetryAfter = gannethook.Millis(object.Ceilings.MaxRetryAfter)
	}
	for _, t := range object.Tenants {
		s.Tenants = append(s.Tenants, gannethook.Tenant{QuotaPerS: t.Quota})
	}
	if err := addKinds(&s, &object); err != nil {
		return nil, err
	}
	if err := addClasses(&s, &object); err != nil {
		return nil, err
	}
	profile := &Profile{Settings: s, Kinds: object.Kinds, Zones: object.Zones, MemoryField: slices.Index(object.Report.Fields, "x0"),
		TokenTargets: object.Domain.TokenAim, DialTimeout: gannethook.Millis(object.Ceilings.Dial),
		Resume: object.Domain.Resume}
	for _, c := range object.Classes {
		profile.Classes = append(profile.Classes, c.Name)
		profile.MaxDeadline = max(profile.MaxDeadline, gannethook.Millis(c.Deadline))
	}
	for _, t := range object.Tenants {
		profile.Tenants = append(profile.Tenants, t.Name)
	}
	return profile, nil
}

func addKinds(s *gannethook.Settings, object *settingsObject) error {
	for i, name := range object.Domain.Roles {
		role, ok := roles[name]
		if !ok {
			return fmt.Errorf("kindRole %q is not a role", name)
		}
		kind := gannethook.Kind{Role: role}
		if i < len(object.Domain.Memory) {
			kind.Memory = object.Domain.Memory[i]
		}
		s.Kinds = append(s.Kinds, kind)
	}
	if len(s.Kinds) < len(object.Kinds) {
		return fmt.Errorf("%d kinds but %d roles", len(object.Kinds), len(s.Kinds))
	}
	return nil
}

func addClasses(s *gannethook.Settings, object *settingsObject) error {
	for i, c := range object.Classes {
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
		if i < len(object.Domain.AimPer1000) {
			class.AimPer1000 = gannethook.Millis(object.Domain.AimPer1000[i] / 1000)
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}
