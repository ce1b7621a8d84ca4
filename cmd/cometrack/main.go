// Command cometrack runs one sender: it accepts messages from clients over RESP2 and
// delivers them to the endpoints of their destinations over HTTP.
package main

import (
	"context"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"rundeal/internal/node"
)

func main() {
	hup := make(chan os.Signal, 1) // set up first, because SIGHUP must never terminate the process
	signal.Notify(hup, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the log reader may have exited
	logOutput := newLogWriter(os.Stderr)
	log := slog.New(slog.NewTextHandler(logOutput, nil))
	slog.SetDefault(log) // also for what the standard library logs
	err := run(log, hup)
	if err != nil {
		log.Error("cometrack", "err", err)
	}
	logOutput.close()
	if err != nil {
		os.Exit(1)
	}
}

func run(log *slog.Logger, hup <-chan os.Signal) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var cfg *node.Config
	err := node.RetryTransient(ctx, log, "configuration", func() (err error) {
		cfg, err = node.LoadConfig()
		return err
	})
	switch {
	case ctx.Err() != nil: // stopped before it owned any state
		return nil
	case err != nil:
		return err
	}
	if cores := cfg.Limits.Cores; cores > 0 {
		runtime.GOMAXPROCS(max(int(math.Ceil(cores)), 1))
	}
	cfg.Limits.ApplyMemoryLimit()
	n, err := node.New(cfg, log)
	if err != nil {
		return err
	}
	n.ReloadOn(hup, node.LoadConfig)
	return n.Run(ctx)
}
