package platform

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// wallClock matches code that reads the wall clock, or strips the monotonic reading from a time.
var wallClock = regexp.MustCompile(`\.Unix(Milli|Micro|Nano)?\(|\.Round\(0\)|WallClock\(|\.UTC\(|\.Local\(`)

// Guards against further readings of the wall clock, which may be stepped at any time. Durations must come from the
// monotonic clock; the driver reads the wall clock once, at its start, and advances it by the monotonic clock.
func TestTheWallClockIsReadOnce(t *testing.T) {
	var found []string
	for _, dir := range []string{".", "../driver", "../heldstate", "../holdmonitor", "../connpool", "../connreuse", "../streamdrain", "../attempt", "../guard",
		"../http1", "../profile"} {
		err := filepath.WalkDir(dir, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			for line := range strings.Lines(string(text)) {
				if wallClock.MatchString(line) {
					found = append(found, filepath.Base(path)+": "+strings.TrimSpace(line))
				}
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	want := []string{
		"server.go: var pastDeadline = time.Unix(1, 0)", // a deadline that has passed, whatever the clock
		"driver.go: wall := faults.WallClock()",
		"driver.go: start: now, startWallMS: float64(wall.UnixMicro()) / 1000,",
		`driver.go: incarnation: cfg.Name + "-" + strconv.FormatInt(wall.UnixNano(), 36), settings: &cfg.Settings, names: cfg.Names,`,
	}
	if !slices.Equal(found, want) {
		t.Errorf("the wall clock is read in\n%s", strings.Join(found, "\n"))
	}
}
