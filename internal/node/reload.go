package node

import (
	"context"
	"os"
	"time"
)

// reloadEvent carries a configuration that was read anew.
type reloadEvent struct{ cfg *Config }

// ReloadOn makes Run read the configuration anew with load at each signal. Only the
// address of discovery and notices moves; the rest is for the next start.
func (n *Node) ReloadOn(signals <-chan os.Signal, load func() (*Config, error)) {
	n.reloadSignals, n.loadConfig = signals, load
}

const (
	reloadPause    = 100 * time.Millisecond // before a configuration that could not be read is read again
	reloadPatience = 30 * time.Second       // for a file that makes no sense to be replaced by one that does
)

// reloadNow has the configuration read without a signal.
func (n *Node) reloadNow() {
	select {
	case n.reloadRequested <- struct{}{}:
	default: // it is about to be
	}
}

// reloads passes new configurations on to the loop.
func (n *Node) reloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reloadSignals:
		case <-n.reloadRequested:
		}
		if cfg := n.loadPatiently(ctx); cfg != nil {
			n.events <- reloadEvent{cfg}
		}
	}
}

// loadPatiently reads the configuration until it can be read: the address that the old one names takes no calls any
// more, and the signal does not come again. One that makes no sense for long changes nothing.
func (n *Node) loadPatiently(ctx context.Context) *Config {
	said := false
	begun := time.Now()
	for {
		cfg, err := n.loadConfig()
		if err == nil {
			return cfg
		}
		if !said {
			n.log.Error("reload: the old configuration stands", "err", err)
			said = true
		}
		if !momentary(err) && time.Since(begun) > reloadPatience {
			return nil
		}
		select {
		case <-time.After(jitter(reloadPause)):
		case <-n.reloadSignals: // another file
			said, begun = false, time.Now()
		case <-ctx.Done():
			return nil
		}
	}
}

// moveTo follows discovery and notices to the address that cfg names.
func (n *Node) moveTo(work context.Context, cfg *Config) {
	if cfg.Discovery == n.discovery.addr {
		n.log.Info("reload: same discovery", "addr", cfg.Discovery)
		return
	}
	n.log.Info("reload: discovery moves", "from", n.discovery.addr, "to", cfg.Discovery)
	n.notices.move(cfg.Discovery)
	n.discovery.move(cfg.Discovery)
	n.discovery.watch(work) // at once: what it has to tell counts as told soon
}
