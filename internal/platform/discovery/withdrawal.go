package discovery

import (
	"maps"
	"time"
)

// withdrawal records that a target was told to drain or to be gone. After a change of the
// agent, the list of one that is behind may not have that yet, and must not undo it. Nor
// can older revisions be refused for good, since an agent that restarts counts from below:
// its list is taken once every agent must have the withdrawal.
type withdrawal struct {
	state  string  // stateDraining or stateDeleted
	rev    int64   // of the list that told it
	boot   float64 // of the target: one that has started since is another
	toldAt time.Time
}

// withdrawalHold is how long a withdrawal stands against older lists. The platform counts a
// change as received everywhere 6 s after discovery had it.
const withdrawalHold = 6 * time.Second

// outdates reports whether an entry of a list at a revision is older than the withdrawal.
func (w withdrawal) outdates(t Target, rev int64, now time.Time) bool {
	return rev < w.rev && t.Boot <= w.boot && now.Sub(w.toldAt) < withdrawalHold && states[t.State] < states[w.state]
}

// keepWithdrawals returns an update without what would undo a recent withdrawal.
func (l *List) keepWithdrawals(update *List, now time.Time) *List {
	if len(l.withdrawals) == 0 {
		return update
	}
	kept := &List{Rev: update.Rev, All: update.All, Targets: make([]Target, 0, len(update.Targets))}
	changed := false
	for _, t := range update.Targets {
		if w, ok := l.withdrawals[t.UID]; ok && w.outdates(t, update.Rev, now) {
			changed = true
			if w.state == stateDeleted {
				continue
			}
			t.State = w.state
		}
		kept.Targets = append(kept.Targets, t)
	}
	if !changed {
		return update
	}
	return kept
}

// recordWithdrawals records the targets that an update drains or removes, and forgets what
// is over.
func (l *List) recordWithdrawals(update *List, now time.Time) {
	maps.DeleteFunc(l.withdrawals, func(_ string, w withdrawal) bool { return now.Sub(w.toldAt) >= withdrawalHold })
	if l.withdrawals == nil {
		l.withdrawals = map[string]withdrawal{}
	}
	for _, t := range update.Targets {
		l.recordTarget(t, update.Rev, now)
	}
	if update.All {
		l.recordMissing(update, now)
	}
}

// recordMissing records the targets that a full list leaves out.
func (l *List) recordMissing(update *List, now time.Time) {
	listed := make(map[string]bool, len(update.Targets))
	for _, t := range update.Targets {
		listed[t.UID] = true
	}
	for _, t := range l.Targets {
		if !listed[t.UID] {
			t.State = stateDeleted
			l.recordTarget(t, update.Rev, now)
		}
	}
}

// recordTarget records one target of an update.
func (l *List) recordTarget(t Target, rev int64, now time.Time) {
	w, withdrawn := l.withdrawals[t.UID]
	i, known := l.index[t.UID]
	if withdrawn && rev < w.rev { // the withdrawal stands
		return
	}
	if t.State == stateServing {
		delete(l.withdrawals, t.UID)
		return
	}
	isNew := t.State == stateDraining && !known || known && l.Targets[i].State != t.State
	if !isNew {
		return
	}
	boot := t.Boot
	if known {
		boot = l.Targets[i].Boot
	}
	l.withdrawals[t.UID] = withdrawal{state: t.State, rev: rev, boot: boot, toldAt: now}
}
