package node

import (
	"strings"
	"testing"
	"time"

	"rundeal/logic"
)

// Breaks each rule, one at a time. The send must be denied, and the violation counted under the name of the rule.
func TestGuardDeniesSend(t *testing.T) {
	const id = "m"
	for _, test := range []struct {
		rule      violation
		class     string
		breakRule func(n *Node, m *activeMessage, e *Entry)
	}{
		{noViolation, "unsafe", func(*Node, *activeMessage, *Entry) {}},
		{violationAlreadyEnded, "safe", func(_ *Node, m *activeMessage, _ *Entry) { m.ended = true }},
		{violationAlreadyEnded, "safe", func(_ *Node, _ *activeMessage, e *Entry) { e.End = &Notice{} }},
		{violationNotAccepted, "safe", func(n *Node, _ *activeMessage, _ *Entry) { delete(n.journal.entries, id) }},
		{violationAlreadyInFlight, "safe", func(_ *Node, m *activeMessage, _ *Entry) { m.call = &call{} }},
		{noViolation, "safe", func(n *Node, m *activeMessage, _ *Entry) {
			n.cfg.Deployment.Settings.SecondCopies, m.call = true, &call{} // cancelled or timed out
		}},
		{violationAlreadyInFlight, "safe", func(n *Node, m *activeMessage, _ *Entry) {
			n.cfg.Deployment.Settings.SecondCopies, m.call, m.abandoned = true, &call{}, &call{}
		}},
		{violationWrongDestination, "safe", func(_ *Node, m *activeMessage, _ *Entry) { m.msg.Dest = 2 }},
		{violationEndpointUnavailable, "safe", func(n *Node, _ *activeMessage, _ *Entry) {
			n.directory.unavailable[1] = true
		}},
		{violationWaitNotOver, "safe", func(n *Node, _ *activeMessage, _ *Entry) { n.guard.noteWait(1, time.Minute) }},
		{violationAttemptsUsedUp, "safe", func(_ *Node, m *activeMessage, _ *Entry) { m.attempts = 3 }},
		{violationDeadlinePassed, "safe", func(n *Node, m *activeMessage, _ *Entry) {
			late := *m.msg
			late.Deadline = n.clock.Now() - 1
			m.msg = &late
		}},
		{noViolation, "safe", func(_ *Node, _ *activeMessage, e *Entry) { e.MayHaveRun = true }},
		{violationRepeatUnsafe, "unsafe", func(_ *Node, _ *activeMessage, e *Entry) { e.MayHaveRun = true }},
		{violationRepeatLate, "keyed", func(n *Node, _ *activeMessage, e *Entry) {
			e.MayHaveRun, e.FirstMayRunAt = true, n.clock.Now()-time.Hour.Microseconds()
		}},
		{violationRepeatOtherZone, "keyed", func(n *Node, _ *activeMessage, e *Entry) {
			e.MayHaveRun, e.FirstMayRunAt, e.FirstMayRunZone = true, n.clock.Now(), 1
			n.cfg.Deployment.Settings.Classes[n.cfg.Classes["keyed"]].DedupPerZone = true
		}},
		{violationNotOwner, "safe", func(n *Node, _ *activeMessage, _ *Entry) { n.stateLock = nil }},
	} {
		e := newEndpoint(t)
		n := newIdleNode(t, e)
		msg := Message{
			ID:       id,
			Class:    test.class,
			Dest:     1,
			Deadline: n.clock.Now() + time.Minute.Microseconds(),
			Body:     []byte("x"),
		}
		mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: &msg}})
		entry := n.journal.Entry(id)
		m := &activeMessage{msg: entry.Message}
		test.breakRule(n, m, entry)
		n.stepTime = n.clock.Now()
		if got := n.guard.allowSend(m, 1); got != (test.rule == noViolation) {
			t.Errorf("%q: permitted %v", test.rule, got)
		}
		if test.rule != noViolation && !strings.Contains(n.metrics.text(), "violation."+string(test.rule)+"=1\n") {
			t.Errorf("%q is not counted:\n%s", test.rule, n.metrics.text())
		}
	}
}

// A send that was decided in time but has become too late since must be denied without counting as a violation.
func TestGuardDeniesLateSend(t *testing.T) {
	n := newIdleNode(t, newEndpoint(t))
	m := addJournaledMessage(t, n, Message{ID: "m", Class: "keyed", Dest: 1})
	e := n.journal.Entry("m")
	window := int64(n.cfg.classOf(m.msg).DedupWindow)
	e.MayHaveRun, e.FirstMayRunAt = true, n.clock.Now()-window-1
	n.stepTime = e.FirstMayRunAt + window - 1
	if n.guard.allowSend(m, 1) {
		t.Error("permitted after the window")
	}
	if !strings.Contains(n.metrics.text(), metricPrefix+"violations=0\n") {
		t.Errorf("counted as a violation:\n%s", n.metrics.text())
	}
}

// Package logic must get the times as of the step. A message that waits for a step would otherwise seem to have more
// time left, and an earlier attempt to be more recent.
func TestMessageTimesSetAtStep(t *testing.T) {
	n := newIdleNode(t, newEndpoint(t))
	m := addJournaledMessage(t, n, Message{ID: "m", Class: "keyed", Dest: 1})
	n.active["m"] = m
	n.journal.Entry("m").FirstMayRunAt = m.msg.Deadline - 7_000_000
	message := n.logicMessage(m.msg)
	message.History = logic.History{Accepted: true, Attempts: 1, MayHaveRun: true}
	events := []logic.Event{logic.TimerFired{}, message}
	n.stepTime = m.msg.Deadline - 2_000_000
	n.setMessageTimes(events)
	if got := events[1].(logic.Message); got.TimeLeft != 2_000_000 || got.History.Age != 5_000_000 {
		t.Errorf("left %d us, age %d us; want 2 s, 5 s", got.TimeLeft, got.History.Age)
	}
}

// Returned messages, rejections and messages past their deadline must be checked, and each violation counted once.
func TestGuardChecksEnds(t *testing.T) {
	n := newIdleNode(t, newEndpoint(t))
	for _, id := range []string{"ran", "late"} {
		m := Message{ID: id, Class: "unsafe", Dest: 1, Deadline: n.clock.Now() - time.Second.Microseconds()}
		mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: &m}})
	}
	e := n.journal.Entry("ran")
	e.MayHaveRun = true
	n.guard.checkEnd(&activeMessage{msg: e.Message}, Notice{ID: "ran", State: noticeReturned})
	n.guard.checkReject("ran")
	n.active["late"] = &activeMessage{msg: n.journal.Entry("late").Message}
	n.guard.checkOverdue()
	n.guard.checkOverdue()
	for _, v := range []violation{violationReturnedMayHaveRun, violationRejectedAccepted, violationOverdue} {
		if !strings.Contains(n.metrics.text(), "violation."+string(v)+"=1\n") {
			t.Errorf("%q is not counted once:\n%s", v, n.metrics.text())
		}
	}
	if !strings.Contains(n.metrics.text(), metricPrefix+"violations=3\n") {
		t.Errorf("wrong sum:\n%s", n.metrics.text())
	}
}

// newIdleNode returns a sender that owns a journal and knows one endpoint, and does not run.
func newIdleNode(t *testing.T, e *testEndpoint) *Node {
	t.Helper()
	n := newNode(t, configText(newPlatform(t), EndpointList{}))
	t.Cleanup(func() { n.journal.Close() })
	n.directory.Apply(EndpointList{Generation: 1, Reset: true, Instances: instances(e)}, time.Now())
	if !n.directory.available(logic.EndpointID(1)) {
		t.Fatal("the endpoint is not known")
	}
	return n
}
