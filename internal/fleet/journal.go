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

// Head is the first record of a rollout in a journal: what is rolled out, and where.
type Head struct {
	ID      string
	Fleet   string
	Release string
	Routers []string
	Order   []string // of priority, as planned when the rollout began
}

// record is a line of a journal; exactly one field is set.
type record struct {
	Head  *Head          `json:",omitempty"`
	Entry *rollout.Entry `json:",omitempty"`
	End   string         `json:",omitempty"`
}

// Journal is the write-ahead log of a rollout, from which another run of the tool
// continues after a crash. Each record is synced to disk before its action is
// taken. A lock on the file keeps a second run of the tool out.
type Journal struct {
	Head    Head
	Entries []rollout.Entry // of earlier runs of the tool
	Ended   string          // how the rollout ended; "": it has not
	f       *os.File
}

// errLocked reports that another run of the tool has the journal open.
var errLocked = errors.New("locked by another run of the tool")

// OpenJournal opens and locks a journal, and creates the file if necessary. It
// truncates a partial last line, left by a crash during a write.
func OpenJournal(path string) (*Journal, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	j := &Journal{f: f}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %s: %w", path, errLocked)
	}
	end, err := j.read()
	if err == nil {
		err = f.Truncate(end)
	}
	if err == nil {
		_, err = f.Seek(end, io.SeekStart)
	}
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %s: %w", path, err)
	}
	return j, nil
}

// read reads the complete lines and returns the offset of their end.
func (j *Journal) read() (end int64, err error) {
	r := bufio.NewReader(j.f)
	for n := 1; ; n++ {
		text, err := r.ReadBytes('\n')
		if err != nil {
			return end, nil // end of file, maybe after a partial line
		}
		var l record
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
		end += int64(len(text))
	}
}

// write appends a record and syncs it to disk.
func (j *Journal) write(l record) error {
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

// Begin starts a rollout. An earlier one in the journal must have ended.
func (j *Journal) Begin(h Head) error {
	j.Head, j.Entries, j.Ended = h, nil, ""
	return j.write(record{Head: &h})
}

// Append writes an entry.
func (j *Journal) Append(e rollout.Entry) error { return j.write(record{Entry: &e}) }

// End records how the rollout ended.
func (j *Journal) End(how string) error {
	j.Ended = how
	return j.write(record{End: how})
}

// Open reports whether a rollout has begun and not ended.
func (j *Journal) Open() bool { return j.Head.ID != "" && j.Ended == "" }

// Matches reports whether the rollout has this release and these routers.
func (j *Journal) Matches(release string, routers []string) bool {
	return j.Head.Release == release && slices.Equal(j.Head.Routers, routers)
}

// Close closes the journal and releases its lock.
func (j *Journal) Close() error { return j.f.Close() }
