package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// cases are the cases by the number of their folder. Each returns whether the rule held.
var cases = map[string]func(*env) (held bool, err error){}

// env is what a case runs in.
type env struct {
	dir     string // temporary folder
	rec     *record
	trouble bool // false: the same without the disruption
}

// main runs one case: stand2 NUMBER FOLDER. It exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER")
		return 2
	}
	dir, err := os.MkdirTemp("", "gannethook-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	go endEarly(dir)
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	held, err := cases[os.Args[1]](&env{dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0"})
	verdict, code := "the rule held", 0
	switch {
	case err != nil:
		verdict, code = "the case could not run: "+err.Error(), 2
	case !held:
		verdict, code = "the rule was BROKEN", 1
	}
	rec.note("%s", verdict)
	fmt.Println(verdict)
	if log, err := os.ReadFile(dir + "/router.log"); err == nil {
		rec.note("the router's log:\n%s", log)
	}
	return code
}

const longestRun = 110 * time.Second // a run may take 120 s

// routers are the processes that were started.
var routers struct {
	sync.Mutex
	list []*os.Process
}

// endEarly ends the run if it is told to end or takes too long: the routers, the temporary folder, and this process with 2.
// A router ends by itself if this process is killed outright.
func endEarly(dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	routers.Lock() // for good: no router may start any more
	for _, p := range routers.list {
		p.Kill()
	}
	os.RemoveAll(dir)
	fmt.Println("the case was ended early")
	os.Exit(2)
}
