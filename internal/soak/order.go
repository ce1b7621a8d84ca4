package soak

import "time"

// trafficIndex holds what the checks of order keys and call slots need.
type trafficIndex struct {
	byKey     []map[string][]*message // by sender and order key: accepted messages, in order
	openCalls [][]*attempt            // by sender: the first attempt of each call that was in progress when last looked at
}

func newTrafficIndex(senders int) trafficIndex {
	t := trafficIndex{openCalls: make([][]*attempt, senders)}
	for range senders {
		t.byKey = append(t.byKey, map[string][]*message{})
	}
	return t
}

// accepted adds a message that a sender has accepted.
func (t *trafficIndex) accepted(m *message) {
	if m.class.KeepOrder {
		t.byKey[m.sender][m.orderKey] = append(t.byKey[m.sender][m.orderKey], m)
	}
}

// inProgress reports whether an attempt is in progress at a time, or ended so shortly before it that the endpoint may
// have noticed late.
func (a *attempt) inProgress(at time.Duration) bool {
	return a.received <= at && (a.ended == 0 || a.ended > at+secondCopySlack)
}

// checkOrder checks that no call with an earlier message of the same key is in progress. The order of two messages is
// known if one was accepted before the other was sent. It counts from the start of the process.
func (c *Checker) checkOrder(m *message, a *attempt) {
	if !m.class.KeepOrder {
		return
	}
	for _, earlier := range c.order.byKey[m.sender][m.orderKey] {
		if earlier == m || earlier.answeredAt >= m.sentAt || c.stoppedSince(m.sender, earlier.answeredAt) {
			continue
		}
		for _, previous := range earlier.attempts {
			if previous.ended == 0 {
				time.AfterFunc(2*secondCopySlack, func() { c.reportOrder(m, earlier, a, previous) })
			}
		}
	}
}

// reportOrder reports a message that arrived while an earlier one of its key was in progress.
func (c *Checker) reportOrder(m, earlier *message, a, previous *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous.inProgress(a.received) {
		c.reportLocked(RuleOrder, m.sender, "%s sent at %.2fs while a call with %s of the same key was in progress since %.2fs",
			m.id, a.received.Seconds(), earlier.id, previous.received.Seconds())
	}
}

// stoppedSince reports whether a process of a sender has been stopped since a time.
func (c *Checker) stoppedSince(sender int, at time.Duration) bool {
	for _, d := range c.downtimes[sender] {
		if d.start >= at || d.readyAt == 0 || d.readyAt >= at {
			return true
		}
	}
	return false
}

// checkSlots checks that a sender has no more calls in progress than slots. a is the first attempt of a new call.
func (c *Checker) checkSlots(sender int, a *attempt) {
	open := []*attempt{a}
	for _, other := range c.order.openCalls[sender] {
		if other.ended == 0 {
			open = append(open, other)
		}
	}
	c.order.openCalls[sender] = open
	if len(open) > c.scenario.CallSlots {
		time.AfterFunc(2*secondCopySlack, func() { c.reportSlots(sender, open, a.received) })
	}
}

// reportSlots reports a sender that had too many calls in progress at a time.
func (c *Checker) reportSlots(sender int, open []*attempt, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, a := range open {
		if a.inProgress(at) {
			count++
		}
	}
	if count > c.scenario.CallSlots {
		c.reportLocked(RuleSlots, sender, "%d calls in progress at %.2fs, with %d slots",
			count, at.Seconds(), c.scenario.CallSlots)
	}
}
