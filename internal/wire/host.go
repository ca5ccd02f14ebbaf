package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"gannethook"
	"gannethook/internal/profile"
)

// instance is one decision module and the profile that translates indexes and units of the protocol for it.
type instance struct {
	router *gannethook.Router
	*profile.Profile
}

// host serves the instances of one connection.
type host struct {
	in        *bufio.Scanner
	out       *bufio.Writer
	line      int                  // number of the last line read, for errors
	instances map[uint64]*instance // by routerId
}

// maxLine bounds the length of an input line, in bytes.
const maxLine = 64 << 20

// Serve reads batches from in and writes the replies to out until in ends. An error in the input is reported with its
// line number.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{in: bufio.NewScanner(in), out: bufio.NewWriterSize(out, 1<<16), instances: map[uint64]*instance{}}
	h.in.Buffer(make([]byte, 1<<16), maxLine)
	for {
		m, ok, err := h.next()
		if err == nil && ok {
			err = h.batch(m)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", h.line, err)
		}
		if !ok {
			return nil
		}
	}
}

// next reads the next line that is not empty. It returns false at the end of the input.
func (h *host) next() (message, bool, error) {
	for h.in.Scan() {
		h.line++
		if line := strings.TrimRight(h.in.Text(), "\r"); line != "" {
			m, err := parseLine(line)
			return m, true, err
		}
	}
	return message{}, false, h.in.Err()
}

// batch handles the events of one batch, whose first line is given, and writes the reply.
func (h *host) batch(first message) error {
	r := &reader{message: first}
	now, serial := gannethook.Millis(r.number("momentMs")), r.whole("serial")
	if first.name != "BATCH" {
		return fmt.Errorf("%s in place of BATCH", first.name)
	}
	if r.err != nil {
		return r.err
	}
	unknown := false
	for {
		m, ok, err := h.next()
		switch {
		case err != nil:
			return err
		case !ok:
			return errors.New("the input ended inside a batch")
		case m.name == "END":
			fmt.Fprintf(h.out, "ACK serial=%d\n", serial)
			return h.out.Flush()
		case m.name == "WORKER" && unknown:
			continue // belongs to an unknown message, which is skipped
		}
		if unknown, err = h.event(m, now); err != nil {
			return err
		}
	}
}

// event handles one event and writes the actions that follow from it. unknown reports that this version does not know the
// kind of event and skips it.
func (h *host) event(m message, now gannethook.Millis) (unknown bool, err error) {
	r := &reader{message: m}
	id := r.whole("routerId")
	translate, ok := events[m.name]
	switch {
	case m.name == "BATCH" || m.name == "WORKER":
		return false, fmt.Errorf("%s is out of place", m.name)
	case !ok && m.name != "OPEN_INSTANCE" && m.name != "RETIRE":
		return true, nil
	case r.err != nil:
		return false, r.err
	case m.name == "OPEN_INSTANCE":
		return false, h.open(id, r)
	}
	inst := h.instances[id]
	if inst == nil {
		return false, fmt.Errorf("%s: unknown instance %d", m.name, id)
	}
	if m.name == "RETIRE" {
		delete(h.instances, id)
		return false, nil
	}
	ev := translate(h, inst, r)
	if r.err != nil {
		return false, r.err
	}
	if ev != nil {
		for _, a := range inst.router.Handle(now, ev) {
			h.write(id, a)
		}
	}
	return false, nil
}

// open creates an instance with the seed and the profile of an OPEN_INSTANCE message.
func (h *host) open(id uint64, r *reader) error {
	seed := r.integer("randomSeed")
	text := r.text("profileData")
	if r.err != nil {
		return r.err
	}
	parsed, err := profile.Parse([]byte(text))
	if err != nil {
		return fmt.Errorf("OPEN_INSTANCE: profileData: %w", err)
	}
	router, err := gannethook.New(parsed.Settings, uint64(seed))
	if err != nil {
		return fmt.Errorf("OPEN_INSTANCE: %w", err)
	}
	h.instances[id] = &instance{router: router, Profile: parsed}
	return nil
}

// events decode the events of the module by the name of their message. A nil event is valid but has no meaning to the
// module and is skipped.
var events = map[string]func(*host, *instance, *reader) gannethook.Event{
	"UPDATE":         (*host).update,
	"ORDER":          order,
	"FLOWING":        flowing,
	"BOOKING":        booking,
	"CLOSED_ATTEMPT": closed,
	"EXPIRED": func(_ *host, _ *instance, r *reader) gannethook.Event {
		return gannethook.ClientGone{ID: request(r)}
	},
	"TICK_DUE": func(_ *host, _ *instance, r *reader) gannethook.Event {
		ref, err := strconv.ParseUint(r.text("ref"), 10, 64)
		if err != nil {
			return nil // not a timer of this module
		}
		return gannethook.Wakeup{Ref: ref}
	},
	"WHISPER": func(*host, *instance, *reader) gannethook.Event { return nil },
}

// request decodes the id of a request.
func request(r *reader) gannethook.RequestID { return gannethook.RequestID(r.whole("requestId")) }

// server decodes the id of a server.
func server(r *reader) gannethook.ServerID { return gannethook.ServerID(r.text("worker")) }

// states are the values of the field readiness.
var states = map[string]gannethook.ServerState{
	"Ready": gannethook.Ready, "Terminating": gannethook.Draining, "Gone": gannethook.Gone,
}

// update decodes a change of the server list with the WORKER lines that follow it.
func (h *host) update(inst *instance, r *reader) gannethook.Event {
	kind := r.text("kind")
	ev := gannethook.Membership{Whole: kind == "full" || kind == "cached", Failed: kind == "failed"}
	if !ev.Whole && !ev.Failed && kind != "delta" {
		r.fail("kind", "a kind of update")
	}
	count := r.wholeOr("nodesList", 0)
	for i := uint64(0); i < count && r.err == nil; i++ {
		m, ok, err := h.next()
		if err != nil || !ok || m.name != "WORKER" {
			r.err = fmt.Errorf("UPDATE: entry %d of %d is missing", i+1, count)
			return nil
		}
		e := &reader{message: m}
		ev.Servers = append(ev.Servers, entry(inst, e))
		r.err = e.err
	}
	return ev
}

// entry decodes one WORKER line of a server list.
func entry(inst *instance, e *reader) gannethook.Server {
	state, ok := states[e.text("readiness")]
	if !ok {
		e.fail("readiness", "a state")
	}
	return gannethook.Server{
		ID: server(e), Kind: e.index("model", len(inst.Settings.Kinds)), Zone: e.index("area", max(len(inst.Zones), 1)),
		Cell:  int(e.wholeOr("cell", 0)),
		Since: gannethook.Millis(e.numberOr("sinceMs", 0)), State: state,
	}
}

// order decodes a new request. weightHintMs is a duration; the pace of the class converts it to tokens.
func order(_ *host, inst *instance, r *reader) gannethook.Event {
	class := r.index("lane", len(inst.Settings.Classes))
	ev := gannethook.Request{
		ID: request(r), Class: class, Tenant: r.index("tenant", max(len(inst.Settings.Tenants), 1)),
		Session: gannethook.Key(r.wholeOr("dialogue", 0)), Prefix: gannethook.Key(r.wholeOr("prefix", 0)),
		Budget: gannethook.Millis(r.number("budgetMs")), Prompt: r.numberOr("promptLen", 0),
		PrefixLen: r.numberOr("prefixLen", 0), MaxOut: r.numberOr("maxOut", 0),
	}
	if class < len(inst.TokenTargets) && inst.TokenTargets[class] > 0 {
		ev.Hint = r.numberOr("weightHintMs", 0) / inst.TokenTargets[class]
	}
	return ev
}

// flowing decodes the first token of an attempt.
func flowing(_ *host, _ *instance, r *reader) gannethook.Event {
	return gannethook.Streaming{ID: request(r), Attempt: int(r.whole("leg")), Server: server(r)}
}

// booking decodes the answer to a hold: sort 1 accepts it, 2 rejects it.
func booking(_ *host, _ *instance, r *reader) gannethook.Event {
	sort := r.whole("sort")
	if r.err == nil && sort != 1 && sort != 2 {
		return nil // a kind of answer that this version does not know
	}
	return gannethook.Held{ID: request(r), Attempt: int(r.whole("leg")), OK: sort == 1}
}

// outcomes are the known values of the field outcome; others are decoded as UnknownEnd.
var outcomes = map[uint64]gannethook.Outcome{
	100: gannethook.Served, 102: gannethook.ReadDone, 301: gannethook.Failed, 302: gannethook.Full,
	303: gannethook.TimedOut, 304: gannethook.ConnectFailed, 305: gannethook.Broken,
	306: gannethook.Cancelled, 307: gannethook.Moot,
}

// closed decodes the end of an attempt. The field info holds the number of kept tokens after a read, and 1 after a rejection
// for lack of the state to decode from.
func closed(_ *host, inst *instance, r *reader) gannethook.Event {
	code := r.whole("outcome")
	outcome, ok := outcomes[code]
	if !ok {
		outcome = gannethook.UnknownEnd
	}
	ev := gannethook.Ended{
		ID: request(r), Attempt: int(r.whole("leg")), Server: server(r), Outcome: outcome,
		Done: r.flag("doneFlag"), NoState: r.numberOr("info", 0) == 1 && outcome == gannethook.Full,
	}
	if outcome == gannethook.ReadDone {
		ev.Kept = max(r.numberOr("info", 0), 0)
	}
	ev.Memory, ev.Reported = inst.report(r)
	return ev
}

// report decodes the memory share of a load report, if the message has one. Other columns are only checked to be numbers.
func (inst *instance) report(r *reader) (share float64, ok bool) {
	row := r.fields["report"]
	if row == "" || row == "-" || inst.MemoryField < 0 {
		return 0, false
	}
	for i, part := range strings.Split(row, ",") {
		if part == "" || part == "-" {
			continue
		}
		v, err := strconv.ParseFloat(part, 64)
		if err != nil {
			r.fail("report", "a row of numbers")
			return 0, false
		}
		if i == inst.MemoryField {
			share, ok = v, true
		}
	}
	return share, ok
}

// write encodes one action of instance id.
func (h *host) write(id uint64, action gannethook.Action) {
	w := h.out
	switch a := action.(type) {
	case gannethook.Send:
		fmt.Fprintf(w, "ATTEMPT routerId=%d requestId=%d worker=%s", id, a.ID, a.Server)
		if a.Timeout > 0 {
			fmt.Fprintf(w, " allowForMs=%.3f", a.Timeout)
		}
		fmt.Fprintln(w)
	case gannethook.Cancel:
		fmt.Fprintf(w, "ABORT_ATTEMPT routerId=%d requestId=%d leg=%d\n", id, a.ID, a.Attempt)
	case gannethook.Hold:
		fmt.Fprintf(w, "PAIR_EARLY routerId=%d requestId=%d worker=%s\n", id, a.ID, a.Server)
	case gannethook.Release:
		fmt.Fprintf(w, "CLEAR_STATE routerId=%d requestId=%d\n", id, a.ID)
	case gannethook.Refuse:
		fmt.Fprintf(w, "DECLINE routerId=%d requestId=%d", id, a.ID)
		if a.RetryAfter > 0 {
			fmt.Fprintf(w, " comeBackMs=%.3f", a.RetryAfter)
		}
		fmt.Fprintln(w)
	case gannethook.Fail:
		fmt.Fprintf(w, "FINISH_ERROR routerId=%d requestId=%d\n", id, a.ID)
	case gannethook.Wake:
		fmt.Fprintf(w, "AFTER routerId=%d inMs=%.3f ref=%d\n", id, a.In, a.Ref)
	case gannethook.Subscribe:
		fmt.Fprintf(w, "KEEP_INFORMED routerId=%d enable=1\n", id)
	}
}
