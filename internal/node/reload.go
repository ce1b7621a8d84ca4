package node

import (
	"context"
	"os"
	"time"
)

// reloadEvent delivers a newly read configuration to the event loop.
type reloadEvent struct{ cfg *Config }

// ReloadOn makes Run reload the configuration with load at each signal. Of the new configuration only the address of
// discovery and notices takes effect; all other changes need a restart.
func (n *Node) ReloadOn(signals <-chan os.Signal, load func() (*Config, error)) {
	n.reloadSignals, n.loadConfig = signals, load
}

const (
	reloadRetryDelay = 100 * time.Millisecond // between tries to read the configuration
	reloadTimeout    = 30 * time.Second       // for an invalid file to be replaced by a valid one
)

// requestReload requests a reload without a signal.
func (n *Node) requestReload() {
	select {
	case n.reloadRequested <- struct{}{}:
	default: // already requested
	}
}

// watchReloads reloads the configuration at each signal or request and passes it to the event loop.
func (n *Node) watchReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.reloadSignals:
		case <-n.reloadRequested:
		}
		if cfg := n.loadWithRetry(ctx); cfg != nil {
			n.events <- reloadEvent{cfg}
		}
	}
}

// loadWithRetry tries to load the configuration until it succeeds: the old discovery address takes no more calls, and
// the signal is not repeated. It returns nil if the configuration stays invalid for reloadTimeout; the old one then
// remains in use.
func (n *Node) loadWithRetry(ctx context.Context) *Config {
	logged := false
	start := time.Now()
	for {
		cfg, err := n.loadConfig()
		if err == nil {
			return cfg
		}
		if !logged {
			n.log.Error("reload: the old configuration stands", "err", err)
			logged = true
		}
		if !isTransient(err) && time.Since(start) > reloadTimeout {
			return nil
		}
		select {
		case <-time.After(jitter(reloadRetryDelay)):
		case <-n.reloadSignals: // the file has been replaced again
			logged, start = false, time.Now()
		case <-ctx.Done():
			return nil
		}
	}
}

// switchDiscovery switches discovery and notices to the address in cfg.
func (n *Node) switchDiscovery(workCtx context.Context, cfg *Config) {
	if cfg.DiscoveryAddr == n.discovery.addr {
		n.log.Info("reload: same discovery", "addr", cfg.DiscoveryAddr)
		return
	}
	n.log.Info("reload: discovery moves", "from", n.discovery.addr, "to", cfg.DiscoveryAddr)
	n.notices.setAddr(cfg.DiscoveryAddr)
	n.discovery.setAddr(cfg.DiscoveryAddr)
	n.discovery.startWatch(workCtx) // at once: the sender must soon act on the list at the new address
}
