package gannethook

import (
	"errors"
	"fmt"
)

// Validate tells what in the settings makes no sense.
func (set *Settings) Validate() error {
	if len(set.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	for i, c := range set.Classes {
		if !(c.Aim >= 0 && c.AimPer1000 >= 0 && c.Window >= 0) {
			return fmt.Errorf("settings: class %d has a negative time", i)
		}
		if c.Effect < Safe || c.Effect > Unsafe {
			return fmt.Errorf("settings: class %d has an unknown effect", i)
		}
		if c.Effect == Keyed && (c.Group < GroupAll || c.Group > GroupCell) {
			return fmt.Errorf("settings: class %d is keyed in an unknown group", i)
		}
	}
	for i, k := range set.Kinds {
		if k.Role < Reader || k.Role > Mixed {
			return fmt.Errorf("settings: kind %d has an unknown role", i)
		}
	}
	for _, t := range []Millis{set.WarmAfter, set.PinLimit, set.MaxRetryAfter, set.Quantum, set.ConnIdle} {
		if !(t >= 0) {
			return errors.New("settings: a time is negative")
		}
	}
	if !(set.ColdFrom >= 0 && set.OverloadFactor >= 0 && set.RepeatPart >= 0) || set.MaxAttempts < 0 || set.Routers < 1 {
		return errors.New("settings: a figure is out of range")
	}
	return nil
}

// Compatible tells why a running router can't take settings in place of its own: requests under way refer to
// classes, kinds and tenants by number, and what a class promised may not change under them.
func (set *Settings) Compatible(next *Settings) error {
	if len(set.Classes) != len(next.Classes) || len(set.Kinds) != len(next.Kinds) || len(set.Tenants) != len(next.Tenants) {
		return errors.New("settings: a class, kind or tenant came or went")
	}
	for i, c := range next.Classes {
		if o := set.Classes[i]; o.Effect != c.Effect || o.Group != c.Group || o.Window != c.Window || o.Streamed != c.Streamed ||
			o.OneStage != c.OneStage {
			return fmt.Errorf("settings: class %d promises something else", i)
		}
	}
	for i, k := range next.Kinds {
		if set.Kinds[i].Role != k.Role {
			return fmt.Errorf("settings: kind %d has another role", i)
		}
	}
	if set.AskDiscovery != next.AskDiscovery || set.Cancel != next.Cancel || set.Holds != next.Holds ||
		set.WritersRead != next.WritersRead {
		return errors.New("settings: what engines can do changed")
	}
	return next.Validate()
}
