package gannethook

import (
	"errors"
	"fmt"
)

// Validate returns an error for the first value that is missing or out of range.
func (set *Settings) Validate() error {
	if len(set.Classes) == 0 {
		return errors.New("settings: no classes")
	}
	for i, class := range set.Classes {
		if !(class.Aim >= 0 && class.AimPer1000 >= 0 && class.Window >= 0) {
			return fmt.Errorf("settings: class %d has a negative time", i)
		}
		if class.Effect < Safe || class.Effect > Unsafe {
			return fmt.Errorf("settings: class %d has an unknown effect", i)
		}
		if class.Effect == Keyed && (class.Group < GroupAll || class.Group > GroupCell) {
			return fmt.Errorf("settings: class %d is keyed and has an unknown group", i)
		}
	}
	for i, kind := range set.Kinds {
		if kind.Role < Reader || kind.Role > Mixed {
			return fmt.Errorf("settings: kind %d has an unknown role", i)
		}
	}
	for _, duration := range []Millis{set.WarmAfter, set.PinLimit, set.MaxRetryAfter, set.Quantum, set.ConnIdle} {
		if !(duration >= 0) {
			return errors.New("settings: a time is negative")
		}
	}
	if !(set.ColdFrom >= 0 && set.OverloadFactor >= 0 && set.RepeatPart >= 0) || set.MaxAttempts < 0 || set.Routers < 1 {
		return errors.New("settings: a figure is out of range")
	}
	return nil
}

// Compatible returns an error if a running router can't replace its settings by next: requests under way refer to
// classes, kinds and tenants by number, and the guarantees of their class may not change.
func (set *Settings) Compatible(next *Settings) error {
	if len(set.Classes) != len(next.Classes) || len(set.Kinds) != len(next.Kinds) || len(set.Tenants) != len(next.Tenants) {
		return errors.New("settings: the number of classes, kinds or tenants changed")
	}
	for i, class := range next.Classes {
		if current := set.Classes[i]; current.Effect != class.Effect || current.Group != class.Group ||
			current.Window != class.Window || current.Streamed != class.Streamed || current.OneStage != class.OneStage {
			return fmt.Errorf("settings: class %d changes its guarantees (effect, group, window, streamed, one-stage)", i)
		}
	}
	for i, kind := range next.Kinds {
		if set.Kinds[i].Role != kind.Role {
			return fmt.Errorf("settings: kind %d changes its role", i)
		}
	}
	if set.AskDiscovery != next.AskDiscovery || set.Cancel != next.Cancel || set.Holds != next.Holds ||
		set.WritersRead != next.WritersRead {
		return errors.New("settings: the capabilities of engines changed (discovery, cancel, hold, reads by writers)")
	}
	return next.Validate()
}
