// Package discovery follows the list of workers that the platform's discovery
// tells, and translates it into the module's terms. It decides nothing.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"gannethook"
	"gannethook/internal/profile"
)

// List is a list of workers, or what changed in one.
type List struct {
	Rev     int64    `json:"rev"`
	All     bool     `json:"all"`
	Targets []Target `json:"targets"`

	at map[string]int // places of the targets of a merged list
}

// Target is one worker.
type Target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Cell     int     `json:"pod_group"`
	State    string  `json:"state"`
	Boot     float64 `json:"boot_ms"` // Unix ms; 0: long ago
}

// mostTargets bounds a list.
const mostTargets = 1 << 16

// Parse reads a list. Errors name the entry.
func Parse(text []byte) (*List, error) {
	var told struct {
		List
		Rev *int64 `json:"rev"`
	}
	if err := json.Unmarshal(text, &told); err != nil {
		return nil, err
	}
	if told.Rev == nil {
		return nil, errors.New("rev is missing")
	}
	l := &told.List
	l.Rev = *told.Rev
	if len(l.Targets) > mostTargets {
		return nil, fmt.Errorf("%d targets are more than %d", len(l.Targets), mostTargets)
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

var states = map[string]gannethook.ServerState{"SERVING": gannethook.Ready, "DRAINING": gannethook.Draining,
	"DELETED": gannethook.Gone}

// Merge takes news into a whole list that is changed by Merge alone; targets that
// are gone leave it.
func (l *List) Merge(news *List) {
	if news.All || l.at == nil {
		l.Targets, l.at = nil, make(map[string]int, len(news.Targets))
	}
	l.All, l.Rev = true, news.Rev
	for _, t := range news.Targets {
		at, known := l.at[t.UID]
		switch {
		case t.State == "DELETED" && known:
			l.remove(at)
		case t.State == "DELETED":
		case known:
			l.Targets[at] = t
		default:
			l.at[t.UID] = len(l.Targets)
			l.Targets = append(l.Targets, t)
		}
	}
}

// remove takes a target out; the last one takes its place.
func (l *List) remove(at int) {
	last := len(l.Targets) - 1
	delete(l.at, l.Targets[at].UID)
	if at != last {
		l.Targets[at] = l.Targets[last]
		l.at[l.Targets[at].UID] = at
	}
	l.Targets = l.Targets[:last]
}

// Membership is the list in the module's terms. A kind or zone that the profile
// does not have becomes -1, which the module takes no server of.
func (l *List) Membership(p *profile.Profile) gannethook.Membership {
	m := gannethook.Membership{Whole: l.All, Servers: make([]gannethook.Server, 0, len(l.Targets))}
	for _, t := range l.Targets {
		m.Servers = append(m.Servers, gannethook.Server{ID: gannethook.ServerID(t.UID), Kind: slices.Index(p.Kinds, t.Model),
			Zone: slices.Index(p.Zones, t.Zone), Cell: t.Cell, Since: gannethook.Millis(t.Boot), State: states[t.State]})
	}
	return m
}
