// Package rapidseed has drawn tests draw the same cases in every run; -rapid.seed draws others.
package rapidseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // its flags
)

// Main runs a package's tests; it is called from TestMain and does not return.
func Main(m *testing.M) {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
