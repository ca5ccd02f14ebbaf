package fleet

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"golang.org/x/sys/unix"

	"gannethook/internal/rollout"
)

// Head is a journal's first line: what rollout it is of.
type Head struct {
	ID      string
	Fleet   string
	Release string
	Routers []string
	Order   []string
}

// line is a line of a journal: the head, an entry or the ending.
type line struct {
	Head  *Head          `json:",omitempty"`
	Entry *rollout.Entry `json:",omitempty"`
	End   string         `json:",omitempty"`
}

// Journal keeps a rollout's decisions on disk, so that another run of the tool
// goes on where a dead one was. Each line is synced before what it tells of is
// done. One tool holds it at a time.
type Journal struct {
	Head    Head
	Entries []rollout.Entry // of earlier runs
	Ended   string          // how the rollout ended; "" while it has not
	f       *os.File
}

// errBusy tells that another tool holds the journal.
var errBusy = errors.New("another run of the tool holds the journal")

// OpenJournal opens a journal, or starts one with a head. A torn last line, as
// a tool leaves that died in writing, is taken away.
func OpenJournal(path string) (*Journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{f: f}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %s: %w", path, errBusy)
	}
	good, err := j.read()
	if err == nil {
		err = f.Truncate(good)
	}
	if err == nil {
		_, err = f.Seek(good, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %s: %w", path, err)
	}
	return j, nil
}

// read takes in whole lines; it returns where they end.
func (j *Journal) read() (good int64, err error) {
	r := bufio.NewReader(j.f)
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if err != nil {
			return good, nil // the end, or a torn line
		}
		var l line
		if err := json.Unmarshal(text, &l); err != nil {
			return 0, fmt.Errorf("line %d: %w", n, err)
		}
		switch {
		case l.Head != nil:
			j.Head, j.Entries, j.Ended = *l.Head, nil, ""
		case l.Entry != nil:
			j.Entries = append(j.Entries, *l.Entry)
		case l.End != "":
			j.Ended = l.End
		}
		good += int64(len(text))
	}
}

func (j *Journal) write(l line) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	if _, err = j.f.Write(append(text, '\n')); err == nil {
		err = j.f.Sync()
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// Begin starts a rollout, after an earlier one that has ended or none.
func (j *Journal) Begin(h Head) error {
	j.Head, j.Entries, j.Ended = h, nil, ""
	return j.write(line{Head: &h})
}

// Add keeps an entry.
func (j *Journal) Add(e rollout.Entry) error { return j.write(line{Entry: &e}) }

// End keeps how the rollout ended.
func (j *Journal) End(how string) error {
	j.Ended = how
	return j.write(line{End: how})
}

// Open tells whether a rollout has begun and not ended.
func (j *Journal) Open() bool { return j.Head.ID != "" && j.Ended == "" }

// Same tells whether the open rollout is of these routers and this release.
func (j *Journal) Same(release string, routers []string) bool {
	return j.Head.Release == release && slices.Equal(j.Head.Routers, routers)
}

// Close lets go of the journal.
func (j *Journal) Close() error { return j.f.Close() }
