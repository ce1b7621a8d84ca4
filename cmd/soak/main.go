// Command soak runs fleets of real sender processes on loopback under random
// faults and checks the rules of the protocol from outside; see package soak.
//
// The exit code is 0 if no rule was violated, 1 if one was or a run failed, and 2
// for an invalid command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"rundeal/internal/faultinject"
	"rundeal/internal/soak"
)

// options defines the flags.
type options struct {
	From     uint64        `help:"First seed." default:"1"`
	To       uint64        `help:"Last seed. If it is below the first seed, only the first seed is run."`
	Senders  int           `help:"Number of sender processes in a run." default:"10"`
	Length   time.Duration `help:"Duration of the traffic and the faults." default:"12s"`
	Parallel int           `help:"Number of runs at the same time." default:"3"`
	Only     []string      `help:"Kinds of faults to inject; all if not given."`
	Program  string        `help:"Sender program built with fault injection; built by this command if not given." type:"path"`
	Keep     string        `help:"Directory for the logs of runs with violations." type:"path"`
	Race     bool          `help:"Build the sender with the race detector."`
	Troubles bool          `help:"Print the faults of each run."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errOut io.Writer) int {
	var opt options
	parser, err := kong.New(&opt, kong.Name("soak"), kong.Writers(out, errOut),
		kong.Description("Runs real senders under random faults."))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violated, err := opt.runSeeds(ctx, out)
	if err != nil {
		fmt.Fprintln(errOut, "soak:", err)
		return 1
	}
	if violated {
		return 1
	}
	return 0
}

// runSeeds runs all seeds and reports whether a rule was violated.
func (o *options) runSeeds(ctx context.Context, out io.Writer) (violated bool, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(dir)
	if o.Program == "" {
		o.Program = filepath.Join(dir, "sender")
		var flags []string
		if o.Race {
			flags = append(flags, "-race")
		}
		if err := faultinject.Build(ctx, ".", "./cmd/cometrack", o.Program, flags...); err != nil {
			return false, err
		}
	}
	var mu sync.Mutex
	var total soak.Counts
	violationsByRule, overlaps, runs, runsWithViolations := map[soak.Rule]int{}, map[string]int{}, 0, 0
	seeds := make(chan uint64)
	var workers sync.WaitGroup
	for range max(o.Parallel, 1) {
		workers.Go(func() {
			for seed := range seeds {
				result, runErr := o.runSeed(ctx, seed, filepath.Join(dir, fmt.Sprint(seed)))
				mu.Lock()
				if runErr != nil {
					err = errors.Join(err, fmt.Errorf("seed %d: %w", seed, runErr))
				}
				if result != nil {
					runs++
					o.printResult(out, result)
					addCounts(&total, result.Counts)
					for _, violation := range result.Violations {
						violationsByRule[violation.Rule]++
					}
					for pair, n := range result.Scenario.OverlapCounts() {
						overlaps[pair] += n
					}
					if len(result.Violations) > 0 {
						runsWithViolations++
						violated = true
					}
				}
				mu.Unlock()
			}
		})
	}
	for seed := o.From; seed <= max(o.From, o.To) && ctx.Err() == nil; seed++ {
		seeds <- seed
	}
	close(seeds)
	workers.Wait()
	fmt.Fprintf(out, "total: %d runs, %d with violations; %s; %d pairs of fault kinds overlapped\n",
		runs, runsWithViolations, formatCounts(total), len(overlaps))
	for _, rule := range slices.Sorted(maps.Keys(violationsByRule)) {
		fmt.Fprintf(out, "  %s: %d\n", rule, violationsByRule[rule])
	}
	return violated, err
}

// runSeed runs one seed. It keeps the logs of a run with violations if asked to.
func (o *options) runSeed(ctx context.Context, seed uint64, dir string) (*soak.Result, error) {
	var only []soak.FaultKind
	for _, kind := range o.Only {
		only = append(only, soak.FaultKind(kind))
	}
	sc := soak.Generate(seed, o.Senders, o.Length, only)
	result, err := soak.Run(ctx, sc, soak.Options{Program: o.Program, Dir: dir})
	if result != nil && len(result.Violations) > 0 && o.Keep != "" {
		keepDir := filepath.Join(o.Keep, fmt.Sprint(seed))
		err = errors.Join(err, copyLogs(dir, keepDir))
	}
	return result, errors.Join(err, os.RemoveAll(dir))
}

// copyLogs copies the logs of all senders to a directory per sender.
func copyLogs(from, to string) error {
	logs, err := filepath.Glob(filepath.Join(from, "*", "log"))
	if err != nil {
		return err
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			return err
		}
		dir := filepath.Join(to, filepath.Base(filepath.Dir(log)))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, "log"), text, 0o600); err != nil {
			return err
		}
	}
	return nil
}

func addCounts(total *soak.Counts, c soak.Counts) {
	total.Offered += c.Offered
	total.Accepted += c.Accepted
	total.Rejected += c.Rejected
	total.Failed += c.Failed
	total.Unanswered += c.Unanswered
	total.Delivered += c.Delivered
	total.Returned += c.Returned
	total.FailedAfterAccept += c.FailedAfterAccept
	total.Calls += c.Calls
	total.Retries += c.Retries
	total.Restarts += c.Restarts
}

func formatCounts(c soak.Counts) string {
	return fmt.Sprintf(
		"offered %d, accepted %d, rejected %d, failed %d, unanswered %d; delivered %d, returned %d, failed later %d; calls %d, retries %d, restarts %d",
		c.Offered, c.Accepted, c.Rejected, c.Failed, c.Unanswered, c.Delivered, c.Returned, c.FailedAfterAccept,
		c.Calls, c.Retries, c.Restarts)
}

// maxPrintedViolations is the maximum number of violations printed for a run.
const maxPrintedViolations = 12

func (o *options) printResult(out io.Writer, result *soak.Result) {
	sc := result.Scenario
	fmt.Fprintf(out, "seed %d: %d violations; %s; %d faults, timers up to %d ms late\n",
		sc.Seed, len(result.Violations), formatCounts(result.Counts), len(sc.Faults),
		result.MaxTimerDelay.Milliseconds())
	if o.Troubles || len(result.Violations) > 0 {
		for _, fault := range sc.Faults {
			fmt.Fprintf(out, "    %s\n", fault)
		}
	}
	for i, violation := range result.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "  and %d more\n", len(result.Violations)-i)
			break
		}
		fmt.Fprintf(out, "  %s\n", violation)
	}
	if len(result.Violations) > 0 {
		only := ""
		if len(o.Only) > 0 {
			only = " --only " + strings.Join(o.Only, ",")
		}
		fmt.Fprintf(out, "  rerun: soak --from %d --senders %d --length %v%s --keep DIR\n",
			sc.Seed, o.Senders, o.Length, only)
	}
}
