package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"
)

// Rule names what a sender owes.
type Rule string

// The rules that a run checks.
const (
	RuleLost           Rule = "lost"           // taken on, and no end in its time or after it
	RuleLate           Rule = "late"           // ended after its time
	RuleDuplicate      Rule = "duplicate"      // run again where it must not be
	RuleConcurrentCopy Rule = "second-copy"    // sent while a call with it was out
	RuleRefusedRun     Rule = "refused-run"    // refused or returned, and run
	RuleSentAfterEnd   Rule = "sent-after-end" // sent after a notice of its end
	RuleDrain          Rule = "drain"          // sent to an endpoint that drains or is gone
	RuleRetryAfter     Rule = "wait"           // sent before a told wait was over
	RuleColdRamp       Rule = "cold-ramp"      // too much sent to a destination after an outage
	RuleMismatch       Rule = "foreign"        // not as a client handed it in, or to another destination
	RuleUntried        Rule = "untried"        // most of what a restart found untried was given up with no call
	RuleClosedTwice    Rule = "closed"         // closed twice over one request
	RuleCrash          Rule = "crash"          // ended by itself
	RuleNotReady       Rule = "not-ready"      // not ready in time after trouble had ended
	RuleBadClient      Rule = "bad-client"     // neither an error nor a close for a peer that sends no request
	RuleOwnCheck       Rule = "own-check"      // the sender's own check counted a violation
)

// Violation is a rule that was broken.
type Violation struct {
	Rule   Rule
	Sender int
	At     time.Duration // of the run
	Detail string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: sender %d at %.2fs: %s", v.Rule, v.Sender, v.At.Seconds(), v.Detail)
}

// Bounds beside those of the settings.
const (
	outcomeSlack      = 350 * time.Millisecond // after a message's time, for its end (300 ms, and 50 ms on sockets)
	schedulingSlack   = 250 * time.Millisecond // for this machine, which plays all sides
	restartGrace      = 1500*time.Millisecond + schedulingSlack
	retryAfterSlack   = 100 * time.Millisecond
	maxDiscoveryDelay = 6 * time.Second
	maxReloadDelay    = 4 * time.Second // after a reload
	readyTimeout      = 10 * time.Second
	clientTimeout     = 400 * time.Millisecond // a client waits so long
	copyOverlapSlack  = 60 * time.Millisecond  // for the end of a connection to be seen
	minUntried        = 8                      // messages untried at a restart before their fate counts
)

// answered is what a client heard.
type clientAnswer int

const (
	answerNone clientAnswer = iota
	answerAccepted
	answerRefused
	answerFailed
)

// attempt is a call that came whole to an endpoint.
type attempt struct {
	endpoint    *endpoint
	started     time.Duration // its first byte
	received    time.Duration // its last
	notExecuted bool          // it was answered so
	ended       time.Duration // answered, or its connection ended; 0 while it is out
}

// message is what is known of a message from outside.
type message struct {
	id          string
	class       *Class
	dest        int
	sender      int
	body        string
	sentAt      time.Duration
	deadline    time.Duration
	answer      clientAnswer
	answeredAt  time.Duration
	attempts    []*attempt
	deliveredAt time.Duration // delivered
	notice      string
	noticeAt    time.Duration
}

// outage is the time in which a process is gone, until it serves again.
type downtime struct {
	start, readyAt time.Duration
	untried        []*message
}

// Counts are the totals of a run.
type Counts struct {
	Offered, Accepted, Refused, Failed, Unanswered int
	Delivered, Returned, FailedAfterAccept         int
	Calls, Retries, Restarts                       int
}

// Ledger hears of all that passes between a fleet and its peers.
type Checker struct {
	scenario *Scenario
	start    time.Time

	mu          sync.Mutex
	messages    map[string]*message
	downtimes   [][]*downtime                 // by sender
	drains      []map[*endpoint]time.Duration // by sender: since when it knows that an endpoint wants no calls
	retryAfters []map[int][2]time.Duration    // by sender and destination: told at, until
	violations  []Violation
	calls       int
}

func newChecker(scenario *Scenario, start time.Time) *Checker {
	c := &Checker{scenario: scenario, start: start, messages: map[string]*message{}, downtimes: make([][]*downtime, scenario.Senders)}
	for range scenario.Senders {
		c.drains = append(c.drains, map[*endpoint]time.Duration{})
		c.retryAfters = append(c.retryAfters, map[int][2]time.Duration{})
	}
	return c
}

func (c *Checker) elapsed() time.Duration { return time.Since(c.start) }

// broken notes a violation.
func (c *Checker) report(rule Rule, sender int, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportLocked(rule, sender, format, args...)
}

// add is broken, under the lock.
func (c *Checker) reportLocked(rule Rule, sender int, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, sender, c.elapsed(), fmt.Sprintf(format, args...)})
}

// offer notes a message that a client has just sent whole.
func (c *Checker) recordOffer(m *message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.sentAt = c.elapsed()
	c.messages[m.id] = m
}

// answered notes what its client heard.
func (c *Checker) recordAnswer(m *message, answer clientAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m.answer, m.answeredAt = answer, c.elapsed()
	if answer == answerRefused {
		c.checkRefused(m)
	}
}

// mayRun are the attempts of a message that may have taken effect.
func (m *message) possiblyExecuted() (attempts []*attempt) {
	for _, a := range m.attempts {
		if !a.notExecuted {
			attempts = append(attempts, a)
		}
	}
	return attempts
}

// checkRefused: what was refused or returned is handed in again, so it must not have run where that would be twice.
func (c *Checker) checkRefused(m *message) {
	if m.answer != answerRefused && m.notice != "returned" || m.class.Effect == Retryable || m.class.Effect == Dedup && !m.class.DedupPerZone {
		return
	}
	for _, a := range m.possiblyExecuted() {
		if a.ended != 0 || m.answer == answerRefused { // an answer that proves that it never ran may yet come
			c.reportLocked(RuleRefusedRun, m.sender, "%s of class %s was refused or returned, and came whole at %.2fs", m.id, m.class.Name, a.received.Seconds())
			return
		}
	}
}

// arrive takes a call that has come whole, with the messages in it.
func (c *Checker) recordCall(e *endpoint, started time.Duration, ids []string, bodies []string) (attempts []*attempt, messages []*message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	now := c.elapsed()
	for i, id := range ids {
		m := c.messages[id]
		if m == nil || m.dest != e.dest.number || m.body != bodies[i] {
			c.reportLocked(RuleMismatch, -1, "message %q at destination %d", id, e.dest.number)
			continue
		}
		a := &attempt{endpoint: e, started: started, received: now}
		c.checkRetry(m, a)
		m.attempts = append(m.attempts, a)
		attempts, messages = append(attempts, a), append(messages, m)
		if m.noticeAt != 0 && m.noticeAt+c.noticeSlack(m) < started {
			c.reportLocked(RuleSentAfterEnd, m.sender, "%s was %s at %.2fs and sent at %.2fs", id, m.notice, m.noticeAt.Seconds(), started.Seconds())
		}
		if m.answer == answerRefused && m.answeredAt+10*time.Millisecond < started {
			c.reportLocked(RuleRefusedRun, m.sender, "%s was refused at %.2fs and sent at %.2fs", id, m.answeredAt.Seconds(), started.Seconds())
		}
	}
	if len(messages) == 0 {
		return attempts, messages
	}
	sender := messages[0].sender
	if since, ok := c.drains[sender][e]; ok && started > since+c.scenario.DrainGrace+50*time.Millisecond+schedulingSlack {
		c.reportLocked(RuleDrain, sender, "%s sent to %s %.2f s after that was told to drain", messages[0].id, e.name, (started - since).Seconds())
	}
	if retryAfter, ok := c.retryAfters[sender][e.dest.number]; ok && started > retryAfter[0]+retryAfterSlack+50*time.Millisecond && started < retryAfter[1]-20*time.Millisecond {
		c.reportLocked(RuleRetryAfter, sender, "%s sent %.3f s before a wait of %.3f s was over", messages[0].id, (retryAfter[1] - started).Seconds(), (retryAfter[1] - retryAfter[0]).Seconds())
	}
	return attempts, messages
}

// endSlack is how long after its notice a message may still be seen to be sent. A sender may be held up for 0.15 s while
// it writes, and what it wrote off then has failed; what it returned was not about to be written.
func (c *Checker) noticeSlack(m *message) time.Duration {
	if m.notice == "failed" {
		return 160 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// checkRepeat holds a call against the earlier ones with its message.
func (c *Checker) checkRetry(m *message, a *attempt) {
	if !c.scenario.ConcurrentCopies {
		for _, previous := range m.attempts {
			if previous.ended == 0 {
				time.AfterFunc(2*copyOverlapSlack, func() { c.checkConcurrentCopy(m, previous, a) })
			}
		}
	}
	earlier := m.possiblyExecuted()
	if len(earlier) == 0 {
		return
	}
	first := earlier[0]
	switch m.class.Effect {
	case Fragile:
		c.reportLocked(RuleDuplicate, m.sender, "%s of class %s sent again %.2f s after it may have run", m.id, m.class.Name, (a.received - first.received).Seconds())
	case Dedup:
		if m.class.DedupPerZone && a.endpoint.zone != first.endpoint.zone {
			c.reportLocked(RuleDuplicate, m.sender, "%s of class %s sent again to another zone", m.id, m.class.Name)
		}
		if late := a.started - first.started - m.class.DedupWindow; late > 50*time.Millisecond+schedulingSlack {
			c.reportLocked(RuleDuplicate, m.sender, "%s of class %s sent again %.2f s after its window", m.id, m.class.Name, late.Seconds())
		}
	}
}

func (c *Checker) checkConcurrentCopy(m *message, earlier, a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if earlier.ended == 0 || earlier.ended > a.received+copyOverlapSlack {
		c.reportLocked(RuleConcurrentCopy, m.sender, "%s sent again while a call with it was out", m.id)
	}
}

// end notes how calls ended. A delivery counts once its first line is written.
func (c *Checker) recordEnd(attempts []*attempt, messages []*message, notExecuted, delivered bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, a := range attempts {
		m := messages[i]
		if delivered && m.deliveredAt == 0 { // also if the end of the connection was seen first
			m.deliveredAt = c.elapsed()
		}
		if a.ended != 0 {
			continue
		}
		a.ended, a.notExecuted = c.elapsed(), notExecuted
		if !notExecuted {
			c.checkRefused(m)
		}
	}
}

// wait notes that a destination has told a sender to come back later.
func (c *Checker) recordRetryAfter(sender int, dest int, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.elapsed()
	if retryAfter := c.retryAfters[sender][dest]; now+delay > retryAfter[1] {
		if retryAfter[1] < now {
			retryAfter[0] = now
		}
		c.retryAfters[sender][dest] = [2]time.Duration{retryAfter[0], now + delay}
	}
}

// drains notes that a sender knows, or counts as told, that an endpoint wants no calls.
func (c *Checker) recordDrain(sender int, e *endpoint, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.drains[sender][e]; !ok || at < known {
		c.drains[sender][e] = at
	}
}

// noticed takes a notice that has come to the platform.
func (c *Checker) recordNotice(sender int, id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.messages[id]
	if m == nil || m.sender != sender {
		c.reportLocked(RuleMismatch, sender, "notice of %q", id)
		return
	}
	if m.notice == "" {
		m.notice, m.noticeAt = state, c.elapsed()
		c.checkRefused(m)
	}
}

// goes notes that a process is about to be stopped.
func (c *Checker) beginDowntime(sender int) *downtime {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &downtime{start: c.elapsed()}
	c.downtimes[sender] = append(c.downtimes[sender], d)
	return d
}

// gone notes that it has ended; what it had taken on and not tried is for the next one.
func (c *Checker) recordExit(sender int, d *downtime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.retryAfters[sender])
	clear(c.drains[sender]) // the next process is told anew
	now := c.elapsed()
	for _, m := range c.messages {
		if m.sender == sender && m.answer == answerAccepted && m.deliveredAt == 0 && m.notice == "" && len(m.attempts) == 0 &&
			m.deadline-now > (m.deadline-m.sentAt)/2 {
			d.untried = append(d.untried, m)
		}
	}
}

// serves notes that the next one is ready.
func (c *Checker) endDowntime(d *downtime) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d.readyAt = c.elapsed()
}

// due is when a message must have its end.
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

// close checks what every message came to, and counts.
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
		case answerRefused:
			counts.Refused++
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
			c.reportLocked(RuleLost, m.sender, "%s of class %s, sent at %.2fs, due at %.2fs, %d attempts", id, m.class.Name, m.sentAt.Seconds(), due.Seconds(), len(m.attempts))
		case end > due:
			c.reportLocked(RuleLate, m.sender, "%s of class %s ended %.2f s late, at %.2fs, %d attempts", id, m.class.Name, (end - due).Seconds(), end.Seconds(), len(m.attempts))
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

// checkUntried: a restart must not give up early, with no call, most of what it finds untried with half of its time left.
func (c *Checker) checkUntried(sender int, d *downtime) {
	givenUp := 0
	for _, m := range d.untried {
		earlyLimit := m.sentAt + (m.deadline-m.sentAt)*7/10
		if len(m.attempts) == 0 && m.deliveredAt == 0 && m.notice != "" && m.noticeAt < earlyLimit {
			givenUp++
		}
	}
	if len(d.untried) >= minUntried && 2*givenUp > len(d.untried) {
		c.reportLocked(RuleUntried, sender, "%d of %d untried messages given up early after the restart at %.2fs", givenUp, len(d.untried), d.start.Seconds())
	}
}
