// Package wire serves the simulator's text protocol: it decodes batches of events, passes them to decision modules and
// encodes the actions that they return. It makes no routing decisions.
package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// textFields are the fields whose value extends to the end of the line.
var textFields = map[string]bool{"profileData": true, "line": true}

// message is one decoded line: the name of the message and its fields.
type message struct {
	name   string
	fields map[string]string
}

// parseLine splits a line into its name and fields. Words without "=" after a key that this version does not know belong
// to the value of that key and are skipped; after a known key they are an error.
func parseLine(line string) (message, error) {
	name, rest, _ := strings.Cut(line, " ")
	if name == "" || strings.Contains(name, "=") {
		return message{}, fmt.Errorf("no message name in %.40q", line)
	}
	m := message{name: name, fields: make(map[string]string, 12)}
	last := ""
	for rest != "" {
		part, after, _ := strings.Cut(rest, " ")
		key, value, ok := strings.Cut(part, "=")
		switch {
		case ok && key != "" && textFields[key]:
			m.fields[key] = strings.TrimPrefix(rest, key+"=")
			return m, nil
		case ok && key != "":
			if _, twice := m.fields[key]; twice {
				return message{}, fmt.Errorf("%s: %s is given twice", name, key)
			}
			m.fields[key] = value
			last = key
		case last != "" && !knownKeys[last]:
		default:
			return message{}, fmt.Errorf("%s: %.40q is not a name=value pair", name, part)
		}
		rest = after
	}
	return m, nil
}

// fieldError describes a field that is missing or not what want says.
func (m message) fieldError(key, want string) error {
	if value, ok := m.fields[key]; ok {
		return fmt.Errorf("%s: %s=%.40q is not %s", m.name, key, value, want)
	}
	return fmt.Errorf("%s: %s is missing", m.name, key)
}

// reader decodes the fields of one message and keeps the first error.
type reader struct {
	message
	err error
}

// fail records an error about a field unless there is one already.
func (r *reader) fail(key, want string) {
	if r.err == nil {
		r.err = r.fieldError(key, want)
	}
}

// number decodes a required finite number.
func (r *reader) number(key string) float64 {
	v, err := strconv.ParseFloat(r.fields[key], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		r.fail(key, "a number")
		return 0
	}
	return v
}

// numberOr decodes an optional finite number; absent is its default.
func (r *reader) numberOr(key string, absent float64) float64 {
	if v, ok := r.fields[key]; !ok || v == "" {
		return absent
	}
	return r.number(key)
}

// whole decodes a required integer that is not negative.
func (r *reader) whole(key string) uint64 {
	v, err := strconv.ParseUint(r.fields[key], 10, 63)
	if err != nil {
		r.fail(key, "a whole number")
	}
	return v
}

// wholeOr decodes an optional integer that is not negative; absent is its default.
func (r *reader) wholeOr(key string, absent uint64) uint64 {
	if v, ok := r.fields[key]; !ok || v == "" {
		return absent
	}
	return r.whole(key)
}

// integer decodes a required integer of either sign.
func (r *reader) integer(key string) int64 {
	v, err := strconv.ParseInt(r.fields[key], 10, 64)
	if err != nil {
		r.fail(key, "an integer")
	}
	return v
}

// flag decodes an optional bool, 0 or 1; the default is false.
func (r *reader) flag(key string) bool {
	switch r.fields[key] {
	case "1":
		return true
	case "0", "":
		return false
	}
	r.fail(key, "0 or 1")
	return false
}

// text decodes a required text that is not empty.
func (r *reader) text(key string) string {
	v := r.fields[key]
	if v == "" {
		r.fail(key, "text")
	}
	return v
}

// index decodes an optional integer from 0 up to but not including limit; the default is 0.
func (r *reader) index(key string, limit int) int {
	v := r.wholeOr(key, 0)
	if v >= uint64(limit) {
		r.fail(key, fmt.Sprintf("below %d", limit))
		return 0
	}
	return int(v)
}

// knownKeys are the keys of the fields that this version knows.
var knownKeys = func() map[string]bool {
	known := make(map[string]bool)
	for _, key := range strings.Fields(`momentMs serial routerId randomSeed profileData kind nodesList scale cell
		worker model readiness area sinceMs requestId lane tenant dialogue budgetMs weightHintMs prefix promptLen
		prefixLen maxOut repeat cameBack leg rttMs amount sort doneFlag info outcome report ref line`) {
		known[key] = true
	}
	return known
}()
