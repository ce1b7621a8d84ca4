package node

import "runtime/debug"

// The process's descriptors are shared out at the start, so that no side can take
// those that another needs.

const (
	reservedSockets    = 20 + adminPlaces + 2 // standard streams, listeners, poller, journal, discovery, notices; operators
	defaultSockets     = 1024
	closingCallSockets = 8 // calls that are given up and not closed yet, and probes
)

// memoryPart is the part of the memory that the garbage collector may let the heap fill.
const heapMemoryFraction = 0.7

// ApplyMemoryLimit tells the garbage collector of the limit on memory.
func (l Limits) ApplyMemoryLimit() {
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(l.MemoryMB * heapMemoryFraction * (1 << 20)))
	}
}

// among is what each of several processes of one sender may use.
func (l Limits) dividedBy(processes int) Limits {
	if l.Sockets <= 0 {
		l.Sockets = defaultSockets
	}
	l.Sockets /= processes
	l.MemoryMB /= float64(processes)
	return l
}

// shares says how many connections each side may hold.
type socketBudget struct {
	clients int
	calls   int // to endpoints, idle ones counted
	idle    int // to endpoints, without a call
}

// shareOut gives calls what the slots can use, and some to keep, and the rest to clients;
// clients need a third for requests, and as much again as room for those that say nothing.
func newSocketBudget(cfg *Config) socketBudget {
	sockets := cfg.Limits.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	available := max(sockets-reservedSockets, 16)
	clients := available / 2
	if callSockets := cfg.Deploy.Settings.Slots + closingCallSockets; available-clients < callSockets {
		clients = max(available-callSockets, available*2/5)
	}
	calls := available - clients
	return socketBudget{clients: clients, calls: calls, idle: max(calls*2/3, 1)}
}
