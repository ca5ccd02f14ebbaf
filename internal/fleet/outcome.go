package fleet

import (
	"fmt"
	"strings"
)

// Outcome is what is known about a command at one router.
type Outcome int

// The outcomes.
const (
	Done        Outcome = iota + 1 // reported by the router, and confirmed by its status where possible
	Refused                        // rejected by the router, or never received; nothing changed
	Unknown                        // may have been carried out, in part, or not
	Unreachable                    // the router did not answer a status query; nothing was sent
)

func (o Outcome) String() string {
	return [...]string{"", "done", "refused", "unknown", "unreachable"}[o]
}

// MarshalText writes the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// Report is the result of a command at one router.
type Report struct {
	Router    string  `json:"router"`
	Op        string  `json:"op"`
	Outcome   Outcome `json:"outcome"`
	Cut       bool    `json:"cut,omitempty"` // some open requests were failed at the deadline
	Note      string  `json:"note,omitempty"`
	Boot      string  `json:"boot,omitempty"`  // incarnation that received the command
	BootAfter string  `json:"after,omitempty"` // incarnation seen afterwards, if another
	TookMs    int64   `json:"took_ms"`
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
	ExitDone        = 0 // every router: done
	ExitFailure     = 1 // error in the command line, in a file or of the tool itself
	ExitPartly      = 3 // different outcomes, none of them unknown
	ExitUnknown     = 4 // the outcome at one or more routers is unknown
	ExitRefused     = 5 // every router: refused
	ExitUnreachable = 6 // every router: unreachable
	ExitRolledBack  = 7 // a rollout was rolled back; the routers run their previous releases
	ExitStuck       = 8 // a rollout ended incomplete
)

// ExitError is an error with an exit code of the tool.
type ExitError struct {
	Code int
	Text string
}

func (e *ExitError) Error() string { return e.Text }

// ExitStatus returns an ExitError that sums up reports; nil if all are Done.
func ExitStatus(reports []Report) error {
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
