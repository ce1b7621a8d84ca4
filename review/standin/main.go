// Command standin plays one case of the review: it starts the sender with the command of the deploy file, plays its
// clients, its endpoints and the platform on loopback addresses, writes what was sent, answered and run to the record,
// and checks one rule. It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// playTimeout is the longest time that a case may take.
const playTimeout = 110 * time.Second

// Exit codes.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// environment is what a case gets.
type environment struct {
	record  *recorder
	root    string // of the repository
	command string // run in the deploy file
	dir     string // temporary folder
	trouble bool   // with the disruption
}

// playCase plays a case and returns how the rule was broken; nil if it held.
type playCase func(*environment) (broken []string, err error)

var cases = map[string]playCase{"1": playLateConnection, "2": playReload, "3": playDrain}

func main() {
	name := flag.String("case", "", "number of the case")
	recordPath := flag.String("record", "record.txt", "record file")
	root := flag.String("root", ".", "root of the repository")
	command := flag.String("run", "exec bin/cometrack", "command that starts the sender")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(*name, *recordPath, *root, *command, *trouble))
}

func run(name, recordPath, root, command string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return notRun
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer os.RemoveAll(dir)
	go endEarly(record, dir)
	defer killStarted()
	broken, err := play(&environment{record, root, command, dir, trouble})
	switch {
	case err != nil:
		record.line("not run: %v", err)
		fmt.Println("not run:", err)
		return notRun
	case len(broken) > 0:
		for _, text := range broken {
			record.line("RULE BROKEN: %s", text)
			fmt.Println("rule broken:", text)
		}
		return ruleBroken
	}
	record.line("the rule held")
	fmt.Println("the rule held")
	return ruleHeld
}

// endEarly ends the case and all that it has started when it takes too long or is told to end.
func endEarly(record *recorder, dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
	case <-time.After(playTimeout):
	}
	killStarted()
	os.RemoveAll(dir)
	record.line("not run: ended early")
	os.Exit(notRun)
}
