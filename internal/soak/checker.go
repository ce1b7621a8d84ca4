package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"
)

// Rule is a requirement that senders must meet.
type Rule string

// The rules checked in every run. Each comment says what breaks the rule.
const (
	RuleLost              Rule = "lost"           // accepted, but neither delivered nor reported in a notice
	RuleLate              Rule = "late"           // delivered or reported in a notice after its due time
	RuleDuplicate         Rule = "duplicate"      // sent again although it must not be
	RuleSecondCopy        Rule = "second-copy"    // sent again while an earlier call with it was in progress
	RuleOrder             Rule = "order"          // sent while a call with an earlier message of its key was in progress
	RuleSlots             Rule = "slots"          // more calls in progress than the sender has slots
	RuleRejectedExecuted  Rule = "refused-run"    // rejected or returned, but possibly executed by an endpoint
	RuleSentAfterEnd      Rule = "sent-after-end" // sent after the notice that reported its outcome
	RuleDrain             Rule = "drain"          // sent to an endpoint that is draining or was removed
	RuleRetryAfter        Rule = "wait"           // sent before the wait that the destination requested was over
	RuleColdRamp          Rule = "cold-ramp"      // a destination was overloaded as it recovered from an outage
	RuleMismatch          Rule = "foreign"        // unknown, altered, or sent to the wrong destination
	RuleUntried           Rule = "untried"        // most untried messages given up early without a call after a restart
	RuleClosedTwice       Rule = "closed"         // two connections in a row closed without an answer to the same request
	RuleCrash             Rule = "crash"          // the process exited unexpectedly
	RuleNotReady          Rule = "not-ready"      // not ready in time after a start or the end of system faults
	RuleIncompleteRequest Rule = "bad-client"     // an incomplete request got neither an error nor a close
	RuleUnsolicited       Rule = "unsolicited"    // a connection was used again on which unsolicited data had arrived
	RuleOwnCheck          Rule = "own-check"      // the sender's internal checks reported a violation
)

// Violation is one observed breach of a rule.
type Violation struct {
	Rule   Rule
	Sender int           // -1 if it is unknown
	At     time.Duration // since the start of the run
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: sender %d at %.2fs: %s", v.Rule, v.Sender, v.At.Seconds(), v.Detail)
}

// Tolerances and timeouts in addition to those in the settings.
const (
	// From a message's deadline to its outcome: 300 ms, and 50 ms for socket I/O.
	outcomeSlack = 350 * time.Millisecond

	// For scheduling delays, as senders and peers share one machine.
	schedulingSlack = 250 * time.Millisecond

	// From the readiness of a restarted process to the outcome of messages that are overdue by then.
	restartGrace = 1500*time.Millisecond + schedulingSlack

	retryAfterSlack = 100 * time.Millisecond // for a sender to act on a requested wait

	// For a change of the list to reach a sender if lists are not pushed or arrive slowly.
	maxDiscoveryDelay = 6 * time.Second

	// From a reload to the first list from the new discovery address.
	maxReloadDelay = 4 * time.Second

	readyTimeout    = 10 * time.Second
	clientTimeout   = 400 * time.Millisecond // for a client to connect, and for its answers
	secondCopySlack = 60 * time.Millisecond  // to notice that a connection was closed
	minUntried      = 8                      // fewer untried messages at a restart are not checked
)

// clientAnswer is the answer that a client received to a request.
type clientAnswer int

const (
	answerNone clientAnswer = iota
	answerAccepted
	answerRejected
	answerFailed
)

// attempt is one message in a call that an endpoint received completely.
type attempt struct {
	endpoint    *endpoint
	started     time.Duration // when its first byte arrived
	received    time.Duration // when it had arrived completely
	notExecuted bool          // the answer said that the call was not executed
	ended       time.Duration // when it was answered or its connection was closed; 0 while in progress
}

// message is what clients, endpoints and the platform know about a message.
type message struct {
	id          string
	class       *Class
	dest        int
	sender      int
	body        string
	orderKey    string
	sentAt      time.Duration
	deadline    time.Duration // time left until the message is first sent; from then on since the start of the run
	answer      clientAnswer
	answeredAt  time.Duration
	attempts    []*attempt
	deliveredAt time.Duration // 0 if it was not
	notice      string        // state in the first notice, or empty
	noticeAt    time.Duration
}

// downtime is the time from the stop of a process until its successor is ready.
type downtime struct {
	start, readyAt time.Duration // readyAt is 0 until then
	untried        []*message    // accepted by the old process, not sent, with over half of their time left
}

// Counts are the totals of a run.
type Counts struct {
	Offered, Accepted, Rejected, Failed, Unanswered int
	Delivered, Returned, FailedAfterAccept          int
	Calls, Retries, Restarts                        int
}

// Checker records all traffic between the senders and their peers and checks it against the rules.
// Times are relative to the start of the run.
type Checker struct {
	scenario *Scenario
	start    time.Time

	mu          sync.Mutex
	messages    map[string]*message
	downtimes   [][]*downtime                 // by sender
	drains      []map[*endpoint]time.Duration // by sender: since when it should know that an endpoint is retired
	retryAfters []map[int][2]time.Duration    // by sender and destination: when a wait was requested, and its end
	violations  []Violation
	calls       int
	order       trafficIndex
}

func newChecker(scenario *Scenario, start time.Time) *Checker {
	c := &Checker{
		scenario:  scenario,
		start:     start,
		messages:  map[string]*message{},
		downtimes: make([][]*downtime, scenario.Senders),
		order:     newTrafficIndex(scenario.Senders),
	}
	for range scenario.Senders {
		c.drains = append(c.drains, map[*endpoint]time.Duration{})
		c.retryAfters = append(c.retryAfters, map[int][2]time.Duration{})
	}
	return c
}

func (c *Checker) elapsed() time.Duration { return time.Since(c.start) }

// report records a violation.
func (c *Checker) report(rule Rule, sender int, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(rule, sender, format, args...)
}

// reportLocked records a violation; the caller holds the lock.
func (c *Checker) reportLocked(rule Rule, sender int, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, sender, c.elapsed(), fmt.Sprintf(format, args...)})
}

// recordOffer records a message that a client is about to send.
func (c *Checker) recordOffer(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.sentAt = c.elapsed()
	c.messages[m.id] = m
}

// recordAnswer records the answer that the client received.
func (c *Checker) recordAnswer(m *message, answer clientAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.answer, m.answeredAt = answer, c.elapsed()
	switch answer {
	case answerRejected:
		c.checkRejected(m)
	case answerAccepted:
		c.order.accepted(m)
	}
}

// possiblyExecuted returns the attempts that an endpoint may have executed.
func (m *message) possiblyExecuted() (attempts []*attempt) {
	for _, a := range m.attempts {
		if !a.notExecuted {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// checkRejected checks that a message that was rejected or returned has not been executed. Its client submits such
// a message again, so it would be executed twice, unless the class tolerates that.
func (c *Checker) checkRejected(m *message) {
	if m.answer != answerRejected && m.notice != "returned" || m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotentByKey && !m.class.DedupPerZone {
		return
	}
	for _, a := range m.possiblyExecuted() {
		if a.ended != 0 || m.answer == answerRejected { // otherwise an answer may still say that it was not executed
			c.reportLocked(RuleRejectedExecuted, m.sender,
				"%s of class %s was rejected or returned, but a call with it was received at %.2fs",
				m.id, m.class.Name, a.received.Seconds())
			return
		}
	}
}

// recordCall records a call that an endpoint has received completely, and checks the messages in it.
func (c *Checker) recordCall(e *endpoint, started time.Duration, ids []string, bodies []string) (
	attempts []*attempt, messages []*message,
) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	now := c.elapsed()
	for i, id := range ids {
		m := c.messages[id]
		if m == nil || m.dest != e.dest.number || m.body != bodies[i] {
			c.reportLocked(RuleMismatch, -1,
				"unknown, altered or misrouted message %q at destination %d", id, e.dest.number)
			continue
		}
		a := &attempt{endpoint: e, started: started, received: now}
		c.checkRetry(m, a)
		c.checkOrder(m, a)
		m.attempts = append(m.attempts, a)
		attempts, messages = append(attempts, a), append(messages, m)
		if m.noticeAt != 0 && m.noticeAt+c.noticeSlack(m) < started {
			c.reportLocked(RuleSentAfterEnd, m.sender,
				"%s was reported as %s at %.2fs but sent at %.2fs", id, m.notice, m.noticeAt.Seconds(), started.Seconds())
		}
		if m.answer == answerRejected && m.answeredAt+10*time.Millisecond < started {
			c.reportLocked(RuleRejectedExecuted, m.sender,
				"%s was rejected at %.2fs but sent at %.2fs", id, m.answeredAt.Seconds(), started.Seconds())
		}
	}
	if len(messages) == 0 {
		return attempts, messages
	}
	c.checkSlots(messages[0].sender, attempts[0])
	sender := messages[0].sender
	if since, ok := c.drains[sender][e]; ok &&
		started > since+c.scenario.DrainGrace+50*time.Millisecond+schedulingSlack {
		c.reportLocked(RuleDrain, sender,
			"%s sent to %s %.2f s after the sender should have known that the endpoint was retired",
			messages[0].id, e.name, (started - since).Seconds())
	}
	if retryAfter, ok := c.retryAfters[sender][e.dest.number]; ok &&
		started > retryAfter[0]+retryAfterSlack+50*time.Millisecond && started < retryAfter[1]-20*time.Millisecond {
		c.reportLocked(RuleRetryAfter, sender,
			"%s sent %.3f s before the end of a requested wait of %.3f s",
			messages[0].id, (retryAfter[1] - started).Seconds(), (retryAfter[1] - retryAfter[0]).Seconds())
	}
	return attempts, messages
}

// noticeSlack returns how long after its notice a message may still be seen arriving. A sender may be blocked in a
// write for 0.15 s, and a message that it gives up meanwhile is reported as failed. A message is only reported as
// returned if the sender was not about to write it.
func (c *Checker) noticeSlack(m *message) time.Duration {
	if m.notice == "failed" {
		return 160 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// checkRetry checks a new attempt against the earlier ones of the same message.
func (c *Checker) checkRetry(m *message, a *attempt) {
	if !c.scenario.SecondCopies {
		for _, previous := range m.attempts {
			if previous.ended == 0 {
				time.AfterFunc(2*secondCopySlack, func() { c.checkSecondCopy(m, previous, a) })
			}
		}
	}
	earlier := m.possiblyExecuted()
	if len(earlier) == 0 {
		return
	}
	first := earlier[0]
	switch m.class.Idempotency {
	case NonIdempotent:
		c.reportLocked(RuleDuplicate, m.sender,
			"%s of class %s sent again %.2f s after it may have been executed",
			m.id, m.class.Name, (a.received - first.received).Seconds())
	case IdempotentByKey:
		if m.class.DedupPerZone && a.endpoint.zone != first.endpoint.zone {
			c.reportLocked(RuleDuplicate, m.sender, "%s of class %s sent again to another zone", m.id, m.class.Name)
		}
		if overrun := a.started - first.started - m.class.DedupWindow; overrun > 50*time.Millisecond+schedulingSlack {
			c.reportLocked(RuleDuplicate, m.sender,
				"%s of class %s sent again %.2f s after the end of its deduplication window",
				m.id, m.class.Name, overrun.Seconds())
		}
	}
}

func (c *Checker) checkSecondCopy(m *message, earlier, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier.ended == 0 || earlier.ended > a.received+secondCopySlack {
		c.reportLocked(RuleSecondCopy, m.sender,
			"%s sent again while an earlier call with it was in progress", m.id)
	}
}

// recordEnd records how attempts ended. A message counts as delivered once the endpoint has written its answer.
func (c *Checker) recordEnd(attempts []*attempt, messages []*message, notExecuted, delivered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range attempts {
		m := messages[i]
		if delivered && m.deliveredAt == 0 { // even if the connection was seen to close before
			m.deliveredAt = c.elapsed()
		}
		if a.ended != 0 {
			continue
		}
		a.ended, a.notExecuted = c.elapsed(), notExecuted
		if !notExecuted {
			c.checkRejected(m)
		}
	}
}

// recordRetryAfter records that a destination has told a sender to wait before it calls again.
func (c *Checker) recordRetryAfter(sender int, dest int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.elapsed()
	if retryAfter := c.retryAfters[sender][dest]; now+wait > retryAfter[1] {
		if retryAfter[1] < now {
			retryAfter[0] = now
		}
		c.retryAfters[sender][dest] = [2]time.Duration{retryAfter[0], now + wait}
	}
}

// recordDrain records since when a sender knows, or should know, that an endpoint is retired.
func (c *Checker) recordDrain(sender int, e *endpoint, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.drains[sender][e]; !ok || at < known {
		c.drains[sender][e] = at
	}
}

// recordNotice records a notice that the platform has received.
func (c *Checker) recordNotice(sender int, id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.messages[id]
	if m == nil || m.sender != sender {
		c.reportLocked(RuleMismatch, sender,
			"notice of message %q, which is unknown or belongs to another sender", id)
		return
	}
	if m.notice == "" {
		m.notice, m.noticeAt = state, c.elapsed()
		c.checkRejected(m)
	}
}

// beginDowntime records that a process is about to be stopped.
func (c *Checker) beginDowntime(sender int) *downtime {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &downtime{start: c.elapsed()}
	c.downtimes[sender] = append(c.downtimes[sender], d)
	return d
}

// recordExit records that the process has exited, and which accepted messages its successor must still try.
func (c *Checker) recordExit(sender int, d *downtime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.retryAfters[sender])
	clear(c.drains[sender]) // the next process does not know them
	now := c.elapsed()
	for _, m := range c.messages {
		if m.sender == sender && m.answer == answerAccepted &&
			m.deliveredAt == 0 && m.notice == "" && len(m.attempts) == 0 &&
			m.deadline-now > (m.deadline-m.sentAt)/2 {
			d.untried = append(d.untried, m)
		}
	}
}

// endDowntime records that the next process is ready.
func (c *Checker) endDowntime(d *downtime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.readyAt = c.elapsed()
}

// dueTime returns the time by which the outcome of a message must be known. Downtime extends it.
func (c *Checker) dueTime(m *message) time.Duration {
	due := m.deadline + outcomeSlack
	for _, d := range c.downtimes[m.sender] {
		if d.start < due && (d.readyAt == 0 || d.readyAt+restartGrace > due) {
			due = d.readyAt + restartGrace
			if d.readyAt == 0 {
				due = time.Duration(math.MaxInt64 / 2)
			}
		}
	}
	return due + schedulingSlack
}

// finish checks the outcome of every message and returns the totals and all violations.
func (c *Checker) finish() (Counts, []Violation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := Counts{Calls: c.calls}
	ids := make([]string, 0, len(c.messages))
	for id := range c.messages {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := c.messages[id]
		counts.Offered++
		counts.Retries += max(len(m.attempts)-1, 0)
		switch m.answer {
		case answerRejected:
			counts.Rejected++
			continue
		case answerFailed:
			counts.Failed++
			continue
		case answerNone:
			counts.Unanswered++
			continue
		}
		counts.Accepted++
		end := m.deliveredAt
		switch {
		case m.deliveredAt != 0:
			counts.Delivered++
		case m.notice == "returned":
			counts.Returned++
			end = m.noticeAt
		case m.notice != "":
			counts.FailedAfterAccept++
			end = m.noticeAt
		}
		if m.deliveredAt != 0 && m.notice != "" {
			end = min(m.deliveredAt, m.noticeAt)
		}
		switch due := c.dueTime(m); {
		case end == 0:
			c.reportLocked(RuleLost, m.sender,
				"%s of class %s has no outcome: sent at %.2fs, due at %.2fs, %d attempts",
				id, m.class.Name, m.sentAt.Seconds(), due.Seconds(), len(m.attempts))
		case end > due:
			c.reportLocked(RuleLate, m.sender,
				"%s of class %s got its outcome %.2f s late, at %.2fs, %d attempts",
				id, m.class.Name, (end - due).Seconds(), end.Seconds(), len(m.attempts))
		}
	}
	for sender, downtimes := range c.downtimes {
		counts.Restarts += len(downtimes)
		for _, d := range downtimes {
			c.checkUntried(sender, d)
		}
	}
	return counts, slices.Clone(c.violations)
}

// checkUntried checks that a restart does not give up most of the untried messages early without a call, although
// they had more than half of their time left.
func (c *Checker) checkUntried(sender int, d *downtime) {
	givenUp := 0
	for _, m := range d.untried {
		earlyLimit := m.sentAt + (m.deadline-m.sentAt)*7/10
		if len(m.attempts) == 0 && m.deliveredAt == 0 && m.notice != "" && m.noticeAt < earlyLimit {
			givenUp++
		}
	}
	if len(d.untried) >= minUntried && 2*givenUp > len(d.untried) {
		c.reportLocked(RuleUntried, sender,
			"%d of %d untried messages given up early without a call after the restart at %.2fs",
			givenUp, len(d.untried), d.start.Seconds())
	}
}
