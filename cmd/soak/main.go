// Command soak plays fleets of real senders on loopback under random faults,
// and checks the rules of the protocol from outside; see package soak.
//
// Its exit code is 0 if no rule was broken, 1 if one was or a run failed, and 2
// for a command line that makes no sense.
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

// options is the command line.
type options struct {
	From     uint64        `help:"First seed." default:"1"`
	To       uint64        `help:"Last seed; the first one if less."`
	Senders  int           `help:"Processes of a run." default:"10"`
	Length   time.Duration `help:"Time of traffic and troubles." default:"12s"`
	Parallel int           `help:"Runs at a time." default:"3"`
	Only     []string      `help:"Kinds of trouble, instead of all."`
	Program  string        `help:"A sender that was built with fault injection, instead of one built now." type:"path"`
	Keep     string        `help:"Folder for the logs of failing runs." type:"path"`
	Race     bool          `help:"Build the sender with the race detector."`
	Troubles bool          `help:"Print the troubles of each run."`
}

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, errs io.Writer) int {
	var opt options
	parser, err := kong.New(&opt, kong.Name("soak"), kong.Writers(out, errs), kong.Description("Plays real senders under random faults."))
	if err != nil {
		fmt.Fprintln(errs, err)
		return 2
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(errs, "soak:", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := opt.runSeeds(ctx, out)
	if err != nil {
		fmt.Fprintln(errs, "soak:", err)
		return 1
	}
	if broken {
		return 1
	}
	return 0
}

// runSeeds plays all seeds and says whether a rule was broken.
func (o *options) runSeeds(ctx context.Context, out io.Writer) (broken bool, err error) {
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
	rules, pairs, runs, failed := map[soak.Rule]int{}, map[string]int{}, 0, 0
	seeds := make(chan uint64)
	var all sync.WaitGroup
	for range max(o.Parallel, 1) {
		all.Go(func() {
			for seed := range seeds {
				res, playErr := o.runSeed(ctx, seed, filepath.Join(dir, fmt.Sprint(seed)))
				mu.Lock()
				if playErr != nil {
					err = errors.Join(err, fmt.Errorf("seed %d: %w", seed, playErr))
				}
				if res != nil {
					runs++
					o.printResult(out, res)
					addCounts(&total, res.Counts)
					for _, v := range res.Violations {
						rules[v.Rule]++
					}
					for pair, n := range res.Scenario.Overlaps() {
						pairs[pair] += n
					}
					if len(res.Violations) > 0 {
						failed++
						broken = true
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
	all.Wait()
	fmt.Fprintf(out, "total: %d runs, %d with violations; %s; %d pairs of kinds overlapped\n", runs, failed, formatCounts(total), len(pairs))
	for _, rule := range slices.Sorted(maps.Keys(rules)) {
		fmt.Fprintf(out, "  %s: %d\n", rule, rules[rule])
	}
	return broken, err
}

// runSeed plays a seed.
func (o *options) runSeed(ctx context.Context, seed uint64, dir string) (*soak.Result, error) {
	var only []soak.Kind
	for _, k := range o.Only {
		only = append(only, soak.Kind(k))
	}
	sc := soak.Draw(seed, o.Senders, o.Length, only)
	res, err := soak.Play(ctx, sc, soak.Options{Program: o.Program, Dir: dir})
	if res != nil && len(res.Violations) > 0 && o.Keep != "" {
		kept := filepath.Join(o.Keep, fmt.Sprint(seed))
		err = errors.Join(err, copyLogs(dir, kept))
	}
	return res, errors.Join(err, os.RemoveAll(dir))
}

// copyLogs copies the logs of all senders.
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
	total.TakenOn += c.TakenOn
	total.Refused += c.Refused
	total.Failed += c.Failed
	total.NotHeard += c.NotHeard
	total.Delivered += c.Delivered
	total.Returned += c.Returned
	total.FailedLater += c.FailedLater
	total.Calls += c.Calls
	total.Repeats += c.Repeats
	total.Restarts += c.Restarts
}

func formatCounts(c soak.Counts) string {
	return fmt.Sprintf("offered %d, taken on %d, refused %d, failed %d, not heard %d; delivered %d, returned %d, failed later %d; calls %d, repeats %d, restarts %d",
		c.Offered, c.TakenOn, c.Refused, c.Failed, c.NotHeard, c.Delivered, c.Returned, c.FailedLater, c.Calls, c.Repeats, c.Restarts)
}

// maxPrintedViolations bounds the violations that are printed of a run.
const maxPrintedViolations = 12

func (o *options) printResult(out io.Writer, res *soak.Result) {
	sc := res.Scenario
	fmt.Fprintf(out, "seed %d: %d violations; %s; %d troubles, late timers %d ms\n", sc.Seed, len(res.Violations), formatCounts(res.Counts),
		len(sc.Troubles), res.Lateness.Milliseconds())
	if o.Troubles || len(res.Violations) > 0 {
		for _, t := range sc.Troubles {
			fmt.Fprintf(out, "    %s\n", t)
		}
	}
	for i, v := range res.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(out, "  and %d more\n", len(res.Violations)-i)
			break
		}
		fmt.Fprintf(out, "  %s\n", v)
	}
	if len(res.Violations) > 0 {
		only := ""
		if len(o.Only) > 0 {
			only = " --only " + strings.Join(o.Only, ",")
		}
		fmt.Fprintf(out, "  again: soak --from %d --senders %d --length %v%s --keep DIR\n", sc.Seed, o.Senders, o.Length, only)
	}
}
