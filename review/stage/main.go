// Command stage plays the cases of the second review: it starts the project's own sender with the command of the deploy
// file and takes the place of its clients, endpoints, discovery and platform, on loopback addresses and the real clock.
//
// It exits with 0 if the rule of the case held, with 1 if it was broken, and with 2 if the case could not run. With
// TROUBLE=0 in the environment it leaves out the disruption.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2

	caseTimeout = 115 * time.Second // for a whole case; the review allows 120 s
)

// cases are the functions that play a case. Each returns whether the rule was broken.
var cases = map[string]func(*stage) (broken bool, err error){}

// stage is what a case has to work with.
type stage struct {
	trouble bool   // whether the disruption takes place
	variant string // the value of TROUBLE; some cases have a control besides 0
	dir     string // temporary folder
	record  *recorder
	agent   *agent

	mu      sync.Mutex
	senders []*sender
	over    bool // the case has ended
}

// addSender registers a sender, so that its processes are ended with the case.
func (s *stage) addSender(x *sender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.senders = append(s.senders, x)
	x.over = s.over
}

// endSenders ends all processes of the case. None is started after that.
func (s *stage) endSenders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for _, x := range s.senders {
		x.endAll()
	}
}

func main() {
	name := flag.String("case", "", "the case to play")
	recordPath := flag.String("record", "", "the file that records what was sent, answered and run")
	flag.Parse()
	os.Exit(play(*name, *recordPath))
}

// play runs a case and returns the exit code.
func play(name, recordPath string) int {
	run := cases[name]
	if run == nil || recordPath == "" {
		fmt.Fprintln(os.Stderr, "stage: -case and -record have to name a case and a file")
		return exitCouldNot
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stage:", err)
		return exitCouldNot
	}
	defer record.close()
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		record.printf("could not run: %v", err)
		return exitCouldNot
	}
	defer os.RemoveAll(dir)
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", variant: os.Getenv("TROUBLE"), dir: dir, record: record}
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(s)
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errors.New("interrupted")
	case <-time.After(caseTimeout):
		r.err = errors.New("the case did not end in time")
	}
	s.endSenders()
	record.copyLogs(filepath.Join(dir, "*.log"))
	switch {
	case r.err != nil:
		record.printf("could not run: %v", r.err)
		return exitCouldNot
	case r.broken:
		record.printf("the rule was broken")
		return exitBroken
	}
	record.printf("the rule held")
	return exitHeld
}
