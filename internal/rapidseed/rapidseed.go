// Package rapidseed gives property-based tests (pgregory.net/rapid) a fixed seed, so that each run checks the same
// cases; the flag -rapid.seed selects others.
package rapidseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags that Main sets
)

// Main sets the default flags and runs a package's tests; it is called from TestMain and does not return.
func Main(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
