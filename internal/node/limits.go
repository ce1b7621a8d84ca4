package node

import "runtime/debug"

// File descriptors are divided between clients and calls at startup, so that neither can use up those of the other.

const (
	// Standard streams, listeners, poller, journal, discovery and notices; operators.
	reservedSockets    = 20 + maxAdminConns + 2
	defaultSockets     = 1024
	closingCallSockets = 8 // for abandoned calls that are not closed yet, and for probes
)

// heapMemoryFraction is the fraction of the memory limit that is set as the runtime's soft limit.
const heapMemoryFraction = 0.7

// ApplyMemoryLimit sets the Go runtime's memory limit from the configured one.
func (l Limits) ApplyMemoryLimit() {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * heapMemoryFraction * (1 << 20)))
	}
}

// dividedBy returns the limits of each of several processes of one sender.
func (l Limits) dividedBy(processes int) Limits {
	if l.Sockets <= 0 {
		l.Sockets = defaultSockets
	}
	l.Sockets /= processes
	l.MemoryMB /= float64(processes)
	return l
}

// socketBudget limits the number of connections of each kind.
type socketBudget struct {
	clients int // from clients
	calls   int // to endpoints, including idle ones
	idle    int // to endpoints, kept without a call
}

// newSocketBudget gives calls, including their idle connections, half of the available sockets, or more if the call
// slots need them, and clients the rest. Clients keep at least two fifths: they need a third for requests and, if
// possible, as many again for connections that stay silent.
func newSocketBudget(cfg *Config) socketBudget {
	sockets := cfg.Limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	available := max(sockets-reservedSockets, 16)
	clients := available / 2
	if callSockets := cfg.Deployment.Settings.CallSlots + closingCallSockets; available-clients < callSockets {
		clients = max(available-callSockets, available*2/5)
	}
	calls := available - clients
	return socketBudget{clients: clients, calls: calls, idle: max(calls*2/3, 1)}
}
