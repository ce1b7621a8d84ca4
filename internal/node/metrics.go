package node

import (
	"fmt"
	"strings"
	"sync/atomic"

	"rundeal/logic"
)

const metricPrefix = "edge_balancer."

// metrics are the counters and gauges that operators read. Each message is counted once, when it ends. They are safe
// for concurrent use.
type metrics struct {
	classes         []string
	byClass         map[string]*classCounters // the map itself never changes
	messagesWritten atomic.Int64              // messages written completely to an endpoint; each attempt counts

	violations counterSet // violations of the protocol, by rule
	rejected   counterSet // messages that were not accepted, by reason
	closed     counterSet // closed connections of clients, by reason
	attempts   counterSet // ended attempts, by outcome

	// Set by the event loop after each step.
	openMessages    atomic.Int64 // accepted messages that have not ended
	listedEndpoints atomic.Int64 // endpoints on discovery's list
	outOfRotation   atomic.Int64 // listed endpoints that get no regular traffic
	knownOutages    atomic.Int64 // destinations of which an outage is on record, perhaps one that has just ended
}

// classCounters count the messages of a class by how they ended.
type classCounters struct{ fulfilled, throttled, faulted atomic.Int64 }

// counterSet is a fixed set of named counters.
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

// rejectReason is why a message was not accepted.
type rejectReason string

// Reasons for rejecting a message. All rejections that package logic decides share one of them.
const (
	rejectedUnknownDest   rejectReason = "unknown-destination"
	rejectedNoList        rejectReason = "no-list-yet"
	rejectedTooManyOpen   rejectReason = "hold-full"
	rejectedJournalFull   rejectReason = "journal-full"
	rejectedJournalFailed rejectReason = "journal-failed"
	rejectedStopping      rejectReason = "stopping"
	rejectedByLogic       rejectReason = "decided"
	rejectedClientGone    rejectReason = "client-gone"
)

var rejectReasons = []rejectReason{
	rejectedUnknownDest,
	rejectedNoList,
	rejectedTooManyOpen,
	rejectedJournalFull,
	rejectedJournalFailed,
	rejectedStopping,
	rejectedByLogic,
	rejectedClientGone,
}

// closeReason is why the connection of a client was closed.
type closeReason string

// Reasons for closing a connection.
const (
	closedIdle       closeReason = "idle"
	closedDraining   closeReason = "parting" // the sender is draining or stopping
	closedEvicted    closeReason = "evicted" // to make room for another connection
	closedErrors     closeReason = "errors"
	closedProtocol   closeReason = "protocol"
	closedTimeout    closeReason = "timeout"
	closedNoCapacity closeReason = "no-place"
	closedByClient   closeReason = "client-gone"
)

var closeReasons = []closeReason{
	closedIdle,
	closedDraining,
	closedEvicted,
	closedErrors,
	closedProtocol,
	closedTimeout,
	closedNoCapacity,
	closedByClient,
}

func newMetrics(cfg *Config) *metrics {
	var outcomes []string
	for outcome := logic.Delivered; int(outcome) < len(outcomeNames); outcome++ {
		outcomes = append(outcomes, outcomeNames[outcome])
	}
	m := &metrics{
		byClass:    map[string]*classCounters{},
		violations: newCounterSet(allViolations),
		rejected:   newCounterSet(rejectReasons),
		closed:     newCounterSet(closeReasons),
		attempts:   newCounterSet(outcomes),
	}
	for _, c := range cfg.Deployment.Settings.Classes {
		m.classes = append(m.classes, c.Name)
		m.byClass[c.Name] = new(classCounters)
	}
	return m
}

func (m *metrics) countFulfilled(class string) { m.byClass[class].fulfilled.Add(1) }
func (m *metrics) countThrottled(class string) { m.byClass[class].throttled.Add(1) }
func (m *metrics) countFaulted(class string)   { m.byClass[class].faulted.Add(1) }

// countResult counts a message that this sender ends itself. The result is the reply to the client or the state of the
// notice.
func (m *metrics) countResult(class, result string) {
	switch {
	case result == replyFailed, result == replyUnknownDestination, result == noticeFailed:
		m.countFaulted(class)
	case strings.HasPrefix(result, "-BUSY"), result == noticeReturned:
		m.countThrottled(class)
	}
}

// text formats the metrics, one on each line.
func (m *metrics) text() string {
	var b strings.Builder
	writeMetric := func(name string, n int64) { fmt.Fprintf(&b, "%s%s=%d\n", metricPrefix, name, n) }
	for _, class := range m.classes {
		counters := m.byClass[class]
		writeMetric("operations."+class+".fulfilled", counters.fulfilled.Load())
		writeMetric("operations."+class+".throttled", counters.throttled.Load())
		writeMetric("operations."+class+".faulted", counters.faulted.Load())
	}
	writeMetric("relayed", m.messagesWritten.Load())
	writeMetric("open_requests", m.openMessages.Load())
	writeMetric("registry_entries", m.listedEndpoints.Load())
	writeMetric("out_of_rotation", m.outOfRotation.Load())
	writeMetric("known_outages", m.knownOutages.Load())
	writeMetric("violations", m.violations.total())
	for _, group := range []struct {
		name     string
		counters *counterSet
	}{{"violation", &m.violations}, {"refused", &m.rejected}, {"closed", &m.closed}, {"attempts", &m.attempts}} {
		for _, name := range group.counters.names {
			writeMetric(group.name+"."+name, group.counters.counts[name].Load())
		}
	}
	return b.String()
}
