package fleet

import (
	"fmt"
	"strings"
)

// Outcome is what is known of a command at one router.
type Outcome int

// The outcomes.
const (
	Done        Outcome = iota + 1 // the router said so, and what can be seen agrees
	Refused                        // the router said no, or never got it; nothing changed
	Unknown                        // it may have been done, in part, or not
	Unreachable                    // the router could not be asked; nothing was sent
)

func (o Outcome) String() string {
	return [...]string{"", "done", "refused", "unknown", "unreachable"}[o]
}

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Report is how a command ended at one router.
type Report struct {
	Router  string  `json:"router"`
	Op      string  `json:"op"`
	Outcome Outcome `json:"outcome"`
	Cut     bool    `json:"cut,omitempty"` // done, but some answers were failed at the deadline
	Note    string  `json:"note,omitempty"`
	Boot    string  `json:"boot,omitempty"`  // life that was commanded
	After   string  `json:"after,omitempty"` // life that was seen afterwards, if another
	TookMs  int64   `json:"took_ms"`
}

func (r Report) String() string {
	s := fmt.Sprintf("%s: %s: %v", r.Router, r.Op, r.Outcome)
	if r.Cut {
		s += ", some answers failed at the deadline"
	}
	if r.Note != "" {
		s += ": " + r.Note
	}
	return s
}

// Exit codes of the fleet tool.
const (
	ExitDone        = 0 // all done
	ExitWrong       = 1 // the command line, a file or the tool itself
	ExitPartly      = 3 // some done, some not; each is known
	ExitUnknown     = 4 // at one router at the least it is not known
	ExitRefused     = 5 // all refused
	ExitUnreachable = 6 // all unreachable
	ExitRolledBack  = 7 // a rollout went back; the fleet runs what it ran
	ExitStuck       = 8 // a rollout ended half way
)

// ExitError carries an exit code.
type ExitError struct {
	Code int
	Text string
}

func (e *ExitError) Error() string { return e.Text }

// Judge turns reports into an exit code; nil is 0.
func Judge(reports []Report) error {
	count := map[Outcome]int{}
	for _, r := range reports {
		count[r.Outcome]++
	}
	var parts []string
	for _, o := range []Outcome{Done, Refused, Unknown, Unreachable} {
		if count[o] > 0 {
			parts = append(parts, fmt.Sprintf("%d %v", count[o], o))
		}
	}
	code := ExitPartly
	switch {
	case count[Done] == len(reports):
		return nil
	case count[Unknown] > 0:
		code = ExitUnknown
	case count[Refused] == len(reports):
		code = ExitRefused
	case count[Unreachable] == len(reports):
		code = ExitUnreachable
	}
	return &ExitError{code, strings.Join(parts, ", ")}
}
