package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"gannethook"
)

// profile is the start-up settings object as it comes; unknown keys are skipped.
type profile struct {
	Ceilings struct {
		Cancel        bool    `json:"cancel"`
		ConnIdle      float64 `json:"connIdleMs"`
		MaxAttempts   int     `json:"maxAttempts"`
		MaxRetryAfter float64 `json:"maxRetryAfterMs"`
		RetryAfter    bool    `json:"retryAfter"`
		SecondCopies  bool    `json:"secondCopies"`
	} `json:"ceilings"`
	Classes []struct {
		Aim       *float64 `json:"aimMs"`
		Deadline  *float64 `json:"deadlineMs"`
		Effect    string   `json:"effect"`
		Group     string   `json:"group"`
		Worth     float64  `json:"importance"`
		LateWorth float64  `json:"lateWorth"`
		Streamed  bool     `json:"streamed"`
		Window    float64  `json:"windowMs"`
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
		Slack      float64 `json:"answerSlackMs"`
		ColdFrom   float64 `json:"coldFrom"`
		Fall       float64 `json:"fallMs"`
		MustAsk    float64 `json:"mustAskInMs"`
		Overload   float64 `json:"overloadFactor"`
		DrainGrace float64 `json:"stopSendingWithinMs"`
		WarmAfter  float64 `json:"warmAfterMs"`
	} `json:"guarantees"`
	Kinds   []string `json:"kinds"`
	Zone    int      `json:"locality"`
	Number  int      `json:"myNumber"`
	Peers   *int     `json:"peersTotal"`
	Quantum float64  `json:"quantumMs"`
	Report  struct {
		Fields []string `json:"fields"`
	} `json:"report"`
	Tenants []struct {
		Quota float64 `json:"quotaPerS"`
	} `json:"tenants"`
	Zones []string `json:"zones"`
}

var (
	roles   = map[string]gannethook.Role{"read": gannethook.Reader, "write": gannethook.Writer, "both": gannethook.Mixed}
	effects = map[string]gannethook.Effect{"pure": gannethook.Safe, "token": gannethook.Keyed,
		"side_effect": gannethook.Unsafe}
	groups  = map[string]gannethook.Group{"": 0, "all": gannethook.GroupAll, "zone": gannethook.GroupZone, "cell": gannethook.GroupCell}
	metrics = map[string]gannethook.Metric{"concurrent": gannethook.InFlight, "depth": gannethook.Queue,
		"load_share": gannethook.SlotShare, "mean_ms": gannethook.LatencyMS, "tps": gannethook.PerSecond,
		"err_ps": gannethook.ErrorsPerS, "x0": gannethook.MemoryShare, "x1": gannethook.PromptTokens}
)

// parseSettings translates the start-up settings. It also returns the metric of
// each place in a load report; 0 stands for one that this version does not know.
func parseSettings(text string) (gannethook.Settings, []gannethook.Metric, int, error) {
	var p profile
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return gannethook.Settings{}, nil, 0, fmt.Errorf("profileData: %w", err)
	}
	if p.Peers == nil {
		return gannethook.Settings{}, nil, 0, errors.New("profileData: peersTotal is missing")
	}
	s := gannethook.Settings{
		Router: p.Number, Routers: *p.Peers, Zone: p.Zone,
		AnswerSlack: gannethook.Millis(p.Rules.Slack), DrainGrace: gannethook.Millis(p.Rules.DrainGrace),
		ColdFrom: p.Rules.ColdFrom, WarmAfter: gannethook.Millis(p.Rules.WarmAfter),
		OverloadFactor: p.Rules.Overload, FallWindow: gannethook.Millis(p.Rules.Fall),
		PinLimit: gannethook.Millis(p.Domain.PinLimit), MaxAttempts: p.Ceilings.MaxAttempts,
		ConnIdle: gannethook.Millis(p.Ceilings.ConnIdle),
		Quantum:  gannethook.Millis(p.Quantum), MustAsk: gannethook.Millis(p.Rules.MustAsk),
		AskDiscovery: p.Discovery == "subscribe", SecondCopies: p.Ceilings.SecondCopies,
		Cancel: p.Ceilings.Cancel, Holds: p.Domain.Holds, WritersRead: p.Domain.WritersRead,
		Resume: p.Domain.Resume,
	}
	if p.Ceilings.RetryAfter {
		s.MaxRetryAfter = gannethook.Millis(p.Ceilings.MaxRetryAfter)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, gannethook.Tenant{QuotaPerS: t.Quota})
	}
	if err := addKinds(&s, &p); err != nil {
		return s, nil, 0, err
	}
	if err := addClasses(&s, &p); err != nil {
		return s, nil, 0, err
	}
	fields := make([]gannethook.Metric, len(p.Report.Fields))
	for i, name := range p.Report.Fields {
		fields[i] = metrics[name]
	}
	return s, fields, max(len(p.Zones), 1), nil
}

func addKinds(s *gannethook.Settings, p *profile) error {
	for i, name := range p.Domain.Roles {
		role, ok := roles[name]
		if !ok {
			return fmt.Errorf("profileData: kindRole %q is not a role", name)
		}
		kind := gannethook.Kind{Role: role}
		if i < len(p.Domain.Memory) {
			kind.Memory = p.Domain.Memory[i]
		}
		s.Kinds = append(s.Kinds, kind)
	}
	if len(s.Kinds) < len(p.Kinds) {
		return fmt.Errorf("profileData: %d kinds but %d roles", len(p.Kinds), len(s.Kinds))
	}
	return nil
}

func addClasses(s *gannethook.Settings, p *profile) error {
	for i, c := range p.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return fmt.Errorf("profileData: effect %q of class %d is not known", c.Effect, i)
		}
		group, ok := groups[c.Group]
		if !ok {
			return fmt.Errorf("profileData: group %q of class %d is not known", c.Group, i)
		}
		if c.Aim == nil || c.Deadline == nil {
			return fmt.Errorf("profileData: aimMs or deadlineMs of class %d is missing", i)
		}
		class := gannethook.Class{
			Aim: gannethook.Millis(*c.Aim), Deadline: gannethook.Millis(*c.Deadline), Worth: c.Worth,
			LateWorth: c.LateWorth, Effect: effect, Group: group, Window: gannethook.Millis(c.Window),
			Streamed: c.Streamed,
		}
		if i < len(p.Domain.AimPer1000) {
			class.AimPer1000 = gannethook.Millis(p.Domain.AimPer1000[i] / 1000)
		}
		if i < len(p.Domain.TokenAim) {
			class.TokenAim = gannethook.Millis(p.Domain.TokenAim[i])
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}
