// Command hollow plays scenarios of a fleet of senders on one machine and says
// what it measured; see package hollow for what is real in it.
//
// Its exit code is 0 after a run, also after one that was cut short, 2 for a
// scenario or a command line that makes no sense, and 1 for anything else.
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

// commandLine is the command line.
type commandLine struct {
	Dir    string  `help:"Folder of the scenarios." default:"scenarios" type:"path"`
	Memory float64 `help:"Most memory that a run may need, in MB." default:"12000"`

	Run   runCommand   `cmd:"" help:"Play a scenario and say what was measured."`
	Sweep sweepCommand `cmd:"" help:"Play a scenario at several sizes."`
	Live  liveCommand  `cmd:"" help:"Play a scenario with real processes on loopback and hollow, and compare."`
	Check checkCommand `cmd:"" help:"Check a scenario without playing it."`
	List  listCommand  `cmd:"" help:"List the scenarios."`
}

// environment is what the commands run in.
type environment struct {
	ctx         context.Context
	out, errOut io.Writer
	scenarioDir string
	maxMemoryMB float64
}

type runCommand struct {
	Scenario     string `arg:"" help:"Name of a scenario, or its file."`
	Senders      int    `help:"Senders, instead of those of the scenario."`
	Destinations int    `help:"Destinations, instead of those of the scenario."`
	Seed         uint64 `help:"Seed, instead of that of the scenario."`
	JSON         string `name:"json" help:"Write the report to this file too." type:"path"`
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
	r, err := env.simulate(sc)
	if err != nil {
		return err
	}
	if c.JSON != "" {
		text, err := json.MarshalIndent(r, "", "  ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	return r.WriteText(env.out)
}

type sweepCommand struct {
	Scenario     string `arg:"" help:"Name of a scenario, or its file."`
	Senders      []int  `help:"Numbers of senders." xor:"axis" required:""`
	Destinations []int  `help:"Numbers of destinations." xor:"axis" required:""`
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
		r, err := env.simulate(sc)
		if err != nil {
			return fmt.Errorf("%d %s: %w", n, axis, err)
		}
		if r.Cut {
			fmt.Fprintf(env.out, "CUT SHORT at %d %s: the sizes before are whole\n", n, axis)
			break
		}
		reports = append(reports, r)
	}
	return hollow.WriteSweep(env.out, axis, sizes, reports)
}

type liveCommand struct {
	Scenario string  `arg:"" help:"Name of a scenario, or its file."`
	Senders  int     `help:"Senders, instead of those of the scenario."`
	Rate     float64 `help:"Events a second over the fleet, instead of that of the scenario."`
	Program  string  `help:"The sender." default:"bin/cometrack" type:"path"`
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
	fmt.Fprintf(env.errOut, "real time: about %s\n", sc.Length())
	real, err := hollow.Live(env.ctx, sc, c.Program)
	if err != nil {
		return err
	}
	model, err := env.simulate(sc)
	if err != nil {
		return err
	}
	return hollow.Compare(env.out, real, model)
}

type checkCommand struct {
	Scenario string `arg:"" help:"Name of a scenario, or its file."`
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

// loadScenario reads a scenario by its name in the folder or by its path.
func (env *environment) loadScenario(name string) (*hollow.Scenario, error) {
	if filepath.Ext(name) != ".toml" {
		name = filepath.Join(env.scenarioDir, name+".toml")
	}
	return hollow.Load(name)
}

func (env *environment) simulate(sc *hollow.Scenario) (*hollow.Report, error) {
	log := slog.New(slog.NewTextHandler(env.errOut, nil))
	return hollow.Run(env.ctx, sc, hollow.Options{MemoryMB: env.maxMemoryMB, Progress: func(p hollow.Progress) {
		log.Info("played", "now", p.Now, "end", p.End, "senders", sc.Fleet.Senders, "offered", p.Offered)
	}})
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run carries out a command line and returns the exit code.
func run(ctx context.Context, args []string, out, errs io.Writer) int {
	var c commandLine
	helped := false
	parser, err := kong.New(&c, kong.Name("hollow"), kong.Description("Plays scenarios of a fleet of senders on one machine."),
		kong.Writers(out, errs), kong.Exit(func(int) { helped = true }))
	if err != nil {
		fmt.Fprintln(errs, "hollow:", err)
		return 1
	}
	line, err := parser.Parse(args)
	if helped {
		return 0
	}
	if err != nil {
		fmt.Fprintln(errs, "hollow:", err)
		return 2
	}
	debug.SetMemoryLimit(int64(c.Memory * 1e6))
	err = line.Run(&environment{ctx: ctx, out: out, errOut: errs, scenarioDir: c.Dir, maxMemoryMB: c.Memory})
	var bad *hollow.FieldError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &bad):
		fmt.Fprintln(errs, err)
		return 2
	}
	fmt.Fprintln(errs, "hollow:", err)
	return 1
}
