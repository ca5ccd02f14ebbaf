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

// instance is one hosted router with what is needed to translate for it.
type instance struct {
	router *gannethook.Router
	*profile.Profile
}

// host translates between the pipe and its instances.
type host struct {
	in        *bufio.Scanner
	out       *bufio.Writer
	line      int
	instances map[uint64]*instance
}

// maxLine bounds one line of input, in bytes.
const maxLine = 64 << 20

// Serve answers batches from in on out until in ends. Its error names the line
// at which the input was wrong.
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

// next reads the next line that is not empty.
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

// batch reads one batch and writes its reply.
func (h *host) batch(first message) error {
	r := &reader{message: first}
	now, serial := gannethook.Millis(r.number("momentMs")), r.whole("serial")
	if first.name != "BATCH" {
		return fmt.Errorf("%s where BATCH was due", first.name)
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
			continue // belongs to a message that this version skips
		}
		if unknown, err = h.event(m, now); err != nil {
			return err
		}
	}
}

// event handles one event; it reports whether the event is of an unknown kind.
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
		return false, fmt.Errorf("%s: instance %d is not known", m.name, id)
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

// open starts an instance.
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

// events translate each kind of event; a nil event has no meaning to the module.
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
			return nil // not a timer of this module's
		}
		return gannethook.Wakeup{Ref: ref}
	},
	"WHISPER": func(*host, *instance, *reader) gannethook.Event { return nil },
}

func request(r *reader) gannethook.RequestID { return gannethook.RequestID(r.whole("requestId")) }

func server(r *reader) gannethook.ServerID { return gannethook.ServerID(r.text("worker")) }

var states = map[string]gannethook.ServerState{
	"Ready": gannethook.Ready, "Terminating": gannethook.Draining, "Gone": gannethook.Gone,
}

// update reads a list event with the entries that follow it.
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
			r.err = fmt.Errorf("UPDATE: entry %d of %d is not there", i+1, count)
			return nil
		}
		e := &reader{message: m}
		ev.Servers = append(ev.Servers, entry(inst, e))
		r.err = e.err
	}
	return ev
}

// entry reads one line of a list.
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

func order(_ *host, inst *instance, r *reader) gannethook.Event {
	class := r.index("lane", len(inst.Settings.Classes))
	ev := gannethook.Request{
		ID: request(r), Class: class, Tenant: r.index("tenant", max(len(inst.Settings.Tenants), 1)),
		Session: gannethook.Key(r.wholeOr("dialogue", 0)), Prefix: gannethook.Key(r.wholeOr("prefix", 0)),
		Budget: gannethook.Millis(r.number("budgetMs")), Prompt: r.numberOr("promptLen", 0),
		PrefixLen: r.numberOr("prefixLen", 0), MaxOut: r.numberOr("maxOut", 0),
	}
	if class < len(inst.Pace) && inst.Pace[class] > 0 {
		ev.Hint = r.numberOr("weightHintMs", 0) / inst.Pace[class]
	}
	return ev
}

func flowing(_ *host, _ *instance, r *reader) gannethook.Event {
	return gannethook.Streaming{ID: request(r), Attempt: int(r.whole("leg")), Server: server(r)}
}

func booking(_ *host, _ *instance, r *reader) gannethook.Event {
	sort := r.whole("sort")
	if r.err == nil && sort != 1 && sort != 2 {
		return nil // an answer that this version does not know
	}
	return gannethook.Held{ID: request(r), Attempt: int(r.whole("leg")), OK: sort == 1}
}

var outcomes = map[uint64]gannethook.Outcome{
	100: gannethook.Served, 102: gannethook.ReadDone, 301: gannethook.Failed, 302: gannethook.Full,
	303: gannethook.TimedOut, 304: gannethook.ConnectFailed, 305: gannethook.Broken,
	306: gannethook.Cancelled, 307: gannethook.Moot,
}

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

// report reads the memory share of a load report, if there is one; other values are skipped.
func (inst *instance) report(r *reader) (share float64, ok bool) {
	row := r.fields["report"]
	if row == "" || row == "-" || inst.Memory < 0 {
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
		if i == inst.Memory {
			share, ok = v, true
		}
	}
	return share, ok
}

// write writes one action of instance id.
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
