package node

import (
	"context"
	"os"
	"time"
)

// reloadEvent delivers a newly read configuration to the event loop.
type reloadEvent struct {
	cfg    *Config
	readAt time.Time // when reading it began
}

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
		if ev, ok := n.loadWithRetry(ctx); ok {
			n.events <- ev
		}
	}
}

// loadWithRetry tries to load the configuration until it succeeds: the old discovery address takes no more calls, and
// the signal is not repeated. It returns false if the configuration stays invalid for reloadTimeout; the old one then
// remains in use.
func (n *Node) loadWithRetry(ctx context.Context) (ev reloadEvent, ok bool) {
	logged := false
	start := time.Now()
	for {
		readAt := time.Now()
		cfg, err := n.loadConfig()
		if err == nil {
			return reloadEvent{cfg, readAt}, true
		}
		if !logged {
			n.log.Error("reload: the old configuration stands", "err", err)
			logged = true
		}
		if !isTransient(err) && time.Since(start) > reloadTimeout {
			return ev, false
		}
		select {
		case <-time.After(jitter(reloadRetryDelay)):
		case <-n.reloadSignals: // the file has been replaced again
			logged, start = false, time.Now()
		case <-ctx.Done():
			return ev, false
		}
	}
}

// applyReload switches discovery and notices to the address in a newly read configuration.
func (n *Node) applyReload(workCtx context.Context, ev reloadEvent) {
	if n.setDiscovery(ev) {
		n.discovery.startWatch(workCtx) // at once: the sender must soon act on the list at the new address
	}
}

// setDiscovery sets the address of discovery and notices and reports whether it has changed. A configuration that was read
// before the one in use is ignored: the process may have read its file itself when it took over.
func (n *Node) setDiscovery(ev reloadEvent) (changed bool) {
	addr := ev.cfg.DiscoveryAddr
	if ev.readAt.Before(n.configReadAt) {
		n.log.Info("reload: a later configuration is in use", "addr", addr)
		return false
	}
	n.configReadAt = ev.readAt
	if addr == n.discovery.addr {
		n.log.Info("reload: same discovery", "addr", addr)
		return false
	}
	n.log.Info("reload: discovery moves", "from", n.discovery.addr, "to", addr)
	n.notices.setAddr(addr)
	n.discovery.setAddr(addr)
	return true
}

// reloadAfterTakeover applies a configuration that may have been replaced while this process waited to take over.
func (n *Node) reloadAfterTakeover() {
	if n.loadConfig == nil {
		return
	}
	readAt := time.Now()
	cfg, err := n.loadConfig()
	if err != nil {
		n.log.Warn("cannot read the configuration; keeping the one loaded at startup until it can be read", "err", err)
		n.requestReload()
		return
	}
	n.setDiscovery(reloadEvent{cfg, readAt})
}
