package gannethook

import (
	"errors"
	"fmt"
)

// validate tells what in the settings makes no sense.
func validate(set *Settings) error {
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
	if !(set.ColdFrom >= 0 && set.OverloadFactor >= 0) || set.MaxAttempts < 0 || set.Routers < 1 {
		return errors.New("settings: a figure is out of range")
	}
	return nil
}
