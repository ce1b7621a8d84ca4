package node

import (
	"fmt"
	"strings"
	"sync/atomic"

	"rundeal/logic"
)

const figurePrefix = "edge_balancer."

// figures are what operators are shown. Each message is counted once, where it ends.
// Anybody may read them at any time.
type figures struct {
	classes []string
	ends    map[string]*tally // by class; the map itself never changes
	relayed atomic.Int64      // messages written whole to endpoints, each time

	violations counters // of the rules, by rule
	refused    counters // messages that were not taken on, by reason
	closed     counters // clients' connections, by reason
	attempts   counters // that have ended, by outcome

	// Set by the loop after each step.
	open    atomic.Int64 // messages taken and not ended
	entries atomic.Int64 // endpoints on the list
	avoided atomic.Int64 // of them, those that get no ordinary traffic
}

// tally counts the messages of a class by how they ended.
type tally struct{ fulfilled, throttled, faulted atomic.Int64 }

// counters count by a name of a fixed set.
type counters struct {
	names  []string
	counts map[string]*atomic.Int64 // the map itself never changes
}

func newCounters[T ~string](names []T) counters {
	c := counters{counts: map[string]*atomic.Int64{}}
	for _, name := range names {
		c.names = append(c.names, string(name))
		c.counts[string(name)] = new(atomic.Int64)
	}
	return c
}

func (c *counters) add(name string) { c.counts[name].Add(1) }

func (c *counters) sum() (n int64) {
	for _, count := range c.counts {
		n += count.Load()
	}
	return n
}

// refusal is why a message was not taken on.
type refusal string

// The reasons. What the module decides is one of them.
const (
	refusedUnknown  refusal = "unknown-destination"
	refusedNoList   refusal = "no-list-yet"
	refusedHold     refusal = "hold-full"
	refusedRoom     refusal = "journal-full"
	refusedWrite    refusal = "journal-failed"
	refusedLate     refusal = "stopping"
	refusedDecision refusal = "decided"
)

var refusals = []refusal{refusedUnknown, refusedNoList, refusedHold, refusedRoom, refusedWrite, refusedLate, refusedDecision}

// closing is why a client's connection was closed.
type closing string

// The reasons.
const (
	closedIdle     closing = "idle"
	closedParting  closing = "parting" // the sender drains or stops
	closedEvicted  closing = "evicted" // to make room
	closedErrors   closing = "errors"
	closedProtocol closing = "protocol"
	closedTimeout  closing = "timeout"
	closedNoPlace  closing = "no-place"
	closedGone     closing = "client-gone"
)

var closings = []closing{closedIdle, closedParting, closedEvicted, closedErrors, closedProtocol, closedTimeout, closedNoPlace, closedGone}

func newFigures(cfg *Config) *figures {
	var outcomes []string
	for o := logic.Completed; int(o) < len(outcomeNames); o++ {
		outcomes = append(outcomes, outcomeNames[o])
	}
	f := &figures{ends: map[string]*tally{}, violations: newCounters(allViolations), refused: newCounters(refusals),
		closed: newCounters(closings), attempts: newCounters(outcomes)}
	for _, c := range cfg.Deploy.Settings.Classes {
		f.classes = append(f.classes, c.Name)
		f.ends[c.Name] = new(tally)
	}
	return f
}

func (f *figures) fulfilled(class string) { f.ends[class].fulfilled.Add(1) }
func (f *figures) throttled(class string) { f.ends[class].throttled.Add(1) }
func (f *figures) faulted(class string)   { f.ends[class].faulted.Add(1) }

// told counts a message that ends with an answer or a notice of ours.
func (f *figures) told(class, said string) {
	switch {
	case said == replyFailed, said == replyUnknownDestination, said == noticeFailed:
		f.faulted(class)
	case strings.HasPrefix(said, "-BUSY"), said == noticeReturned:
		f.throttled(class)
	}
}

// text is a line a figure.
func (f *figures) text() string {
	var b strings.Builder
	line := func(name string, n int64) { fmt.Fprintf(&b, "%s%s=%d\n", figurePrefix, name, n) }
	for _, class := range f.classes {
		e := f.ends[class]
		line("operations."+class+".fulfilled", e.fulfilled.Load())
		line("operations."+class+".throttled", e.throttled.Load())
		line("operations."+class+".faulted", e.faulted.Load())
	}
	line("relayed", f.relayed.Load())
	line("open_requests", f.open.Load())
	line("registry_entries", f.entries.Load())
	line("out_of_rotation", f.avoided.Load())
	line("violations", f.violations.sum())
	for _, group := range []struct {
		name     string
		counters *counters
	}{{"violation", &f.violations}, {"refused", &f.refused}, {"closed", &f.closed}, {"attempts", &f.attempts}} {
		for _, name := range group.counters.names {
			line(group.name+"."+name, group.counters.counts[name].Load())
		}
	}
	return b.String()
}
