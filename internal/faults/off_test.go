//go:build !faults

package faults

import (
	"net"
	"os"
	"strings"
	"testing"
)

// The shipped build injects nothing, whatever the environment says, and the deploy file builds no other.
func TestShippedBuildHasNoFaults(t *testing.T) {
	t.Setenv("GANNETHOOK_FAULTS", "accept=1,dial=1,file=1,clock=3600")
	t.Setenv("GANNETHOOK_BREAK", BreakRepeat)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if Enabled || Broken(BreakRepeat) || Listener(ln) != ln {
		t.Error("faults are built in")
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(deploy), "-tags") {
		t.Errorf("the deploy file builds with tags:\n%s", deploy)
	}
}
