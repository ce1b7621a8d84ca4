// Command hollow runs scenarios of a fleet of senders on one machine and reports
// what it measured. Package hollow documents which parts are real and which are
// simulated.
//
// The exit code is 0 after a run, even if it was interrupted, 2 for an invalid
// scenario or command line, and 1 for any other error.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kong"

	"rundeal/internal/hollow"
)

// commandLine defines the commands and flags.
type commandLine struct {
	Dir    string  `help:"Directory of the scenarios." default:"scenarios" type:"path"`
	Memory float64 `help:"Limit for the estimated memory of a run, in MB." default:"12000"`

	Run   runCommand   `cmd:"" help:"Run a scenario and report the measurements."`
	Sweep sweepCommand `cmd:"" help:"Run a scenario at several fleet sizes."`
	Live  liveCommand  `cmd:"" help:"Run a scenario with real processes on loopback, simulate it, and compare the results."`
	Check checkCommand `cmd:"" help:"Validate a scenario without running it."`
	List  listCommand  `cmd:"" help:"List the scenarios."`
}

// environment holds what the commands share.
type environment struct {
	ctx         context.Context
	out, errOut io.Writer
	scenarioDir string
	maxMemoryMB float64
}

type runCommand struct {
	Scenario     string `arg:"" help:"Name or path of a scenario."`
	Senders      int    `help:"Number of senders, overriding the scenario."`
	Destinations int    `help:"Number of destinations, overriding the scenario."`
	Seed         uint64 `help:"Random seed, overriding the scenario."`
	JSON         string `name:"json" help:"Also write the report to this file, as JSON." type:"path"`
}

func (c *runCommand) Run(env *environment) error {
	sc, err := env.loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Senders != 0 {
		sc.Fleet.Senders = c.Senders
	}
	if c.Destinations != 0 {
		sc.Destinations.Count = c.Destinations
	}
	if c.Seed != 0 {
		sc.Seed = c.Seed
	}
	report, err := env.simulate(sc)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return report.WriteText(env.out)
}

type sweepCommand struct {
	Scenario     string `arg:"" help:"Name or path of a scenario."`
	Senders      []int  `help:"Numbers of senders to run with, separated by commas." xor:"axis" required:""`
	Destinations []int  `help:"Numbers of destinations to run with, separated by commas." xor:"axis" required:""`
}

func (c *sweepCommand) Run(env *environment) error {
	sc, err := env.loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	axis, sizes, field := "senders", c.Senders, &sc.Fleet.Senders
	if len(c.Destinations) > 0 {
		axis, sizes, field = "destinations", c.Destinations, &sc.Destinations.Count
	}
	var reports []*hollow.Report
	for _, n := range sizes {
		*field = n
		report, err := env.simulate(sc)
		if err != nil {
			return fmt.Errorf("%d %s: %w", n, axis, err)
		}
		if report.Interrupted {
			fmt.Fprintf(env.out, "CUT SHORT at %d %s: the sizes before it are complete\n", n, axis)
			break
		}
		reports = append(reports, report)
	}
	return hollow.WriteSweep(env.out, axis, sizes, reports)
}

type liveCommand struct {
	Scenario string  `arg:"" help:"Name or path of a scenario."`
	Senders  int     `help:"Number of senders, overriding the scenario."`
	Rate     float64 `help:"Events per second of the whole fleet, overriding the scenario."`
	Program  string  `help:"Path of the sender program." default:"bin/cometrack" type:"path"`
}

func (c *liveCommand) Run(env *environment) error {
	sc, err := env.loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	if c.Senders != 0 {
		sc.Fleet.Senders = c.Senders
	}
	if c.Rate != 0 {
		sc.Traffic.Rate = c.Rate
	}
	fmt.Fprintf(env.errOut, "runs in real time, for about %s\n", sc.Length())
	measured, err := hollow.Live(env.ctx, sc, c.Program)
	if err != nil {
		return err
	}
	simulated, err := env.simulate(sc)
	if err != nil {
		return err
	}
	return hollow.Compare(env.out, measured, simulated)
}

type checkCommand struct {
	Scenario string `arg:"" help:"Name or path of a scenario."`
}

func (c *checkCommand) Run(env *environment) error {
	sc, err := env.loadScenario(c.Scenario)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(env.out, "%s: %d senders, %d destinations, %s, about %.0f MB\n", sc.Title, sc.Fleet.Senders,
		sc.Destinations.Count, sc.Length(), sc.MemoryMB())
	return err
}

type listCommand struct{}

func (c *listCommand) Run(env *environment) error {
	files, err := filepath.Glob(filepath.Join(env.scenarioDir, "*.toml"))
	if err != nil {
		return err
	}
	for _, file := range files {
		sc, err := hollow.Load(file)
		if err != nil {
			return err
		}
		fmt.Fprintf(env.out, "%-16s %s\n", strings.TrimSuffix(filepath.Base(file), ".toml"), sc.Title)
	}
	return nil
}

// loadScenario reads a scenario by its name in the scenario directory or by its path.
func (env *environment) loadScenario(name string) (*hollow.Scenario, error) {
	if filepath.Ext(name) != ".toml" {
		name = filepath.Join(env.scenarioDir, name+".toml")
	}
	return hollow.Load(name)
}

func (env *environment) simulate(sc *hollow.Scenario) (*hollow.Report, error) {
	log := slog.New(slog.NewTextHandler(env.errOut, nil))
	return hollow.Run(env.ctx, sc, hollow.Options{MemoryMB: env.maxMemoryMB, Progress: func(p hollow.Progress) {
		log.Info("simulation progress", "now", p.Now, "end", p.End, "senders", sc.Fleet.Senders, "offered", p.Offered)
	}})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes a command line and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var cli commandLine
	helpPrinted := false
	parser, err := kong.New(&cli, kong.Name("hollow"),
		kong.Description("Runs scenarios of a fleet of senders on one machine."),
		kong.Writers(out, errOut), kong.Exit(func(int) { helpPrinted = true }))
	if err != nil {
		fmt.Fprintln(errOut, "hollow:", err)
		return 1
	}
	command, err := parser.Parse(args)
	if helpPrinted {
		return 0
	}
	if err != nil {
		fmt.Fprintln(errOut, "hollow:", err)
		return 2
	}
	debug.SetMemoryLimit(int64(cli.Memory * 1e6))
	err = command.Run(&environment{
		ctx:         ctx,
		out:         out,
		errOut:      errOut,
		scenarioDir: cli.Dir,
		maxMemoryMB: cli.Memory,
	})
	var fieldErr *hollow.FieldError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &fieldErr):
		fmt.Fprintln(errOut, err)
		return 2
	}
	fmt.Fprintln(errOut, "hollow:", err)
	return 1
}
