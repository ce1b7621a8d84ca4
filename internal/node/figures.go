package node

import (
	"fmt"
	"strings"
	"sync/atomic"

	"rundeal/logic"
)

const metricPrefix = "edge_balancer."

// figures are what operators are shown. Each message is counted once, where it ends.
// Anybody may read them at any time.
type metrics struct {
	classes []string
	byClass map[string]*classCounters // by class; the map itself never changes
	relayed atomic.Int64              // messages written whole to endpoints, each time

	violations counterSet // of the rules, by rule
	refused    counterSet // messages that were not taken on, by reason
	closed     counterSet // clients' connections, by reason
	attempts   counterSet // that have ended, by outcome

	// Set by the loop after each step.
	openMessages    atomic.Int64 // messages taken and not ended
	listedEndpoints atomic.Int64 // endpoints on the list
	outOfRotation   atomic.Int64 // of them, those that get no ordinary traffic
}

// tally counts the messages of a class by how they ended.
type classCounters struct{ fulfilled, throttled, faulted atomic.Int64 }

// counters count by a name of a fixed set.
type counterSet struct {
	names  []string
	counts map[string]*atomic.Int64 // the map itself never changes
}

func newCounterSet[T ~string](names []T) counterSet {
	c := counterSet{counts: map[string]*atomic.Int64{}}
	for _, name := range names {
		c.names = append(c.names, string(name))
		c.counts[string(name)] = new(atomic.Int64)
	}
	return c
}

func (c *counterSet) inc(name string) { c.counts[name].Add(1) }

func (c *counterSet) total() (n int64) {
	for _, count := range c.counts {
		n += count.Load()
	}
	return n
}

// refusal is why a message was not taken on.
type refusalReason string

// The reasons. What the module decides is one of them.
const (
	refusedUnknownDest   refusalReason = "unknown-destination"
	refusedNoList        refusalReason = "no-list-yet"
	refusedTooManyOpen   refusalReason = "hold-full"
	refusedJournalFull   refusalReason = "journal-full"
	refusedJournalFailed refusalReason = "journal-failed"
	refusedStopping      refusalReason = "stopping"
	refusedBySender      refusalReason = "decided"
)

var refusalReasons = []refusalReason{refusedUnknownDest, refusedNoList, refusedTooManyOpen, refusedJournalFull, refusedJournalFailed, refusedStopping, refusedBySender}

// closing is why a client's connection was closed.
type closeReason string

// The reasons.
const (
	closedIdle       closeReason = "idle"
	closedDraining   closeReason = "parting" // the sender drains or stops
	closedEvicted    closeReason = "evicted" // to make room
	closedErrors     closeReason = "errors"
	closedProtocol   closeReason = "protocol"
	closedTimeout    closeReason = "timeout"
	closedNoCapacity closeReason = "no-place"
	closedByClient   closeReason = "client-gone"
)

var closeReasons = []closeReason{closedIdle, closedDraining, closedEvicted, closedErrors, closedProtocol, closedTimeout, closedNoCapacity, closedByClient}

func newMetrics(cfg *Config) *metrics {
	var outcomes []string
	for o := logic.Completed; int(o) < len(outcomeNames); o++ {
		outcomes = append(outcomes, outcomeNames[o])
	}
	f := &metrics{byClass: map[string]*classCounters{}, violations: newCounterSet(violations), refused: newCounterSet(refusalReasons),
		closed: newCounterSet(closeReasons), attempts: newCounterSet(outcomes)}
	for _, c := range cfg.Deployment.Settings.Classes {
		f.classes = append(f.classes, c.Name)
		f.byClass[c.Name] = new(classCounters)
	}
	return f
}

func (f *metrics) countFulfilled(class string) { f.byClass[class].fulfilled.Add(1) }
func (f *metrics) countThrottled(class string) { f.byClass[class].throttled.Add(1) }
func (f *metrics) countFaulted(class string)   { f.byClass[class].faulted.Add(1) }

// told counts a message that ends with an answer or a notice of ours.
func (f *metrics) countResult(class, said string) {
	switch {
	case said == answerFailed, said == answerUnknown, said == noticeFailed:
		f.countFaulted(class)
	case strings.HasPrefix(said, "-BUSY"), said == noticeReturned:
		f.countThrottled(class)
	}
}

// text is a line a figure.
func (f *metrics) text() string {
	var b strings.Builder
	line := func(name string, n int64) { fmt.Fprintf(&b, "%s%s=%d\n", metricPrefix, name, n) }
	for _, class := range f.classes {
		e := f.byClass[class]
		line("operations."+class+".fulfilled", e.fulfilled.Load())
		line("operations."+class+".throttled", e.throttled.Load())
		line("operations."+class+".faulted", e.faulted.Load())
	}
	line("relayed", f.relayed.Load())
	line("open_requests", f.openMessages.Load())
	line("registry_entries", f.listedEndpoints.Load())
	line("out_of_rotation", f.outOfRotation.Load())
	line("violations", f.violations.total())
	for _, group := range []struct {
		name     string
		counters *counterSet
	}{{"violation", &f.violations}, {"refused", &f.refused}, {"closed", &f.closed}, {"attempts", &f.attempts}} {
		for _, name := range group.counters.names {
			line(group.name+"."+name, group.counters.counts[name].Load())
		}
	}
	return b.String()
}
