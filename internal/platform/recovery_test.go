package platform

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"gannethook/internal/platform/config"
	"gannethook/internal/platform/standin"
)

// A write that has not arrived must not extend how long the state is held at the reader: if the connection to the writer is
// silent, the state is released in time although the attempt is still in flight.
func TestStateReleasedWhileWriterIsSilent(t *testing.T) {
	var reader *standin.Worker
	s := startRouter(t, func(f *standin.Fleet) {
		reader = f.Add(standin.Prompt, nil)
		f.AddSilent(standin.Answer)
	})
	answered := make(chan response, 1)
	go func() { answered <- s.send(standin.Unsafe+"1", "adjustment", 3000) }()
	s.waitFor("the reader has the request", func() bool { n, _, _ := reader.Count(); return n == 1 })
	s.waitFor("its state is held", func() bool { return len(s.fleet.Held()) > 0 })
	start, lateness := time.Now(), s.fleet.Lateness()
	s.waitFor("its state is released", func() bool { return len(s.fleet.Held()) == 0 })
	if held := time.Since(start) - (s.fleet.Lateness() - lateness); held > 800*ms {
		t.Errorf("the state was held for %v", held)
	}
	if a := <-answered; a.status != 500 || a.elapsed > 3*time.Second {
		t.Errorf("%+v", a)
	}
}

// A configuration that can't be read at SIGHUP, because it is still being written or because of a transient fault, is
// applied as soon as it can be read. The error is logged once.
func TestReloadIsRetried(t *testing.T) {
	s := startRouter(t, addReaderAndWriter)
	agent := s.fleet.NewAgent()
	defer func() {
		agent.CloseClientConnections()
		agent.Close()
	}()
	complete := s.fleet.Config(s.addr, func(c map[string]any) { c["discovery"] = agent.Listener.Addr().String() })
	if err := os.WriteFile(s.configFile, complete[:len(complete)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	s.signals <- syscall.SIGHUP
	s.waitFor("the truncated file is logged", func() bool { return s.logs.FilterMessage("the new configuration is not taken up").Len() > 0 })
	if err := os.WriteFile(s.configFile, complete, 0o600); err != nil {
		t.Fatal(err)
	}
	s.waitFor("the complete file is applied", func() bool { return s.logs.FilterMessage("discovery has another address").Len() > 0 })
	if n := s.logs.FilterMessage("the new configuration is not taken up").Len(); n != 1 {
		t.Errorf("the error was logged %d times", n)
	}
}

// A router whose port is still in use at startup, as by its previous process, retries until the port is free.
func TestListenWaitsForPort(t *testing.T) {
	f := standin.New()
	defer f.Close()
	addReaderAndWriter(f)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	cfg, err := config.Parse(f.Config(taken.Addr().String(), nil), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(cfg, func(string) string { return "" }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 1), make(chan error, 1)
	go func() { ended <- r.Run(context.Background(), signals) }()
	time.Sleep(200 * ms)
	taken.Close()
	for from := time.Now(); !r.ready.Load() && time.Since(from) < 5*time.Second && len(ended) == 0; {
		time.Sleep(10 * ms)
	}
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
