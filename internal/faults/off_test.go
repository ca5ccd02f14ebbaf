//go:build !faults

package faults

import (
	"net"
	"os"
	"strings"
	"testing"
)

// The shipped build injects no faults, regardless of the environment, and the deploy file builds it without tags.
func TestShippedBuildHasNoFaults(t *testing.T) {
	t.Setenv("GANNETHOOK_FAULTS", "accept=1,dial=1,file=1,clock=3600")
	t.Setenv("GANNETHOOK_BREAK", BreakRepeat)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if Enabled || GuardDisabled(BreakRepeat) || Listener(ln) != ln {
		t.Error("the shipped build injects faults")
	}
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(deploy), "-tags") {
		t.Errorf("the deploy file builds the router with tags:\n%s", deploy)
	}
}
