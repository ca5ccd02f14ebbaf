// Package discovery follows the list of workers of the platform's discovery service
// and translates it into the module's membership. It makes no routing decisions.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"gannethook"
	"gannethook/internal/profile"
)

// List is a full list of workers (All), or the changes since an earlier revision.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`

	index       map[string]int        // position in Targets by UID; set by Merge only
	withdrawals map[string]withdrawal // by UID; set by Merge only
}

// Target is one worker.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Boot     float64 `json:"boot_ms"` // start time in Unix ms; 0: long ago
}

// maxTargets bounds the number of workers in a list.
const maxTargets = 1 << 16

// Parse decodes and validates a list. Errors name the entry.
func Parse(text []byte) (*List, error) {
	var decoded struct {
		List
		Rev *int64 `json:"rev"`
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, err
	}
	if decoded.Rev == nil {
		return nil, errors.New("rev is missing")
	}
	l := &decoded.List
	l.Rev = *decoded.Rev
	if len(l.Targets) > maxTargets {
		return nil, fmt.Errorf("%d targets are more than %d", len(l.Targets), maxTargets)
	}
	for i, t := range l.Targets {
		if t.UID == "" {
			return nil, fmt.Errorf("targets[%d]: uid is missing", i)
		}
		if states[t.State] == 0 {
			return nil, fmt.Errorf("targets[%d]: state %q is not known", i, t.State)
		}
	}
	return l, nil
}

// States of a target in a list.
const (
	stateServing  = "SERVING"
	stateDraining = "DRAINING"
	stateDeleted  = "DELETED"
)

var states = map[string]gannethook.ServerState{stateServing: gannethook.Ready, stateDraining: gannethook.Draining,
	stateDeleted: gannethook.Gone}

// Merge applies an update to a full list, which nothing but Merge may change, and returns
// what took effect. Deleted targets are removed. An update that is older than a recent
// withdrawal of a target does not undo it (see withdrawal).
func (l *List) Merge(update *List, now time.Time) *List {
	update = l.keepWithdrawals(update, now)
	l.recordWithdrawals(update, now)
	if update.All || l.index == nil {
		l.Targets, l.index = nil, make(map[string]int, len(update.Targets))
	}
	l.All, l.Rev = true, update.Rev
	for _, t := range update.Targets {
		i, known := l.index[t.UID]
		switch {
		case t.State == stateDeleted && known:
			l.remove(i)
		case t.State == stateDeleted:
		case known:
			l.Targets[i] = t
		default:
			l.index[t.UID] = len(l.Targets)
			l.Targets = append(l.Targets, t)
		}
	}
	return update
}

// remove deletes the target at a position; the last target moves there.
func (l *List) remove(i int) {
	last := len(l.Targets) - 1
	delete(l.index, l.Targets[i].UID)
	if i != last {
		l.Targets[i] = l.Targets[last]
		l.index[l.Targets[i].UID] = i
	}
	l.Targets = l.Targets[:last]
}

// Membership translates the list for the module. A kind or zone that the profile
// lacks becomes -1; the module ignores servers of kind -1.
func (l *List) Membership(p *profile.Profile) gannethook.Membership {
	m := gannethook.Membership{Whole: l.All, Servers: make([]gannethook.Server, 0, len(l.Targets))}
	for _, t := range l.Targets {
		m.Servers = append(m.Servers, gannethook.Server{ID: gannethook.ServerID(t.UID), Kind: slices.Index(p.Kinds, t.Model),
			Zone: slices.Index(p.Zones, t.Zone), Cell: t.Cell, Since: gannethook.Millis(t.Boot), State: states[t.State]})
	}
	return m
}
