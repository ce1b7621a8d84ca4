package node

import (
	"strings"
	"testing"
	"time"

	"rundeal/logic"
)

// Each rule is broken by hand, one at a time: the send is denied, and counted under its name.
func TestGuardDeniesSend(t *testing.T) {
	const id = "m"
	for _, x := range []struct {
		rule  violation
		class string
		spoil func(n *Node, h *activeMessage, e *Entry)
	}{
		{noViolation, "unsafe", func(*Node, *activeMessage, *Entry) {}},
		{violationAlreadyEnded, "safe", func(_ *Node, h *activeMessage, _ *Entry) { h.ended = true }},
		{violationAlreadyEnded, "safe", func(_ *Node, _ *activeMessage, e *Entry) { e.End = &Notice{} }},
		{violationNotAccepted, "safe", func(n *Node, _ *activeMessage, _ *Entry) { delete(n.journal.entries, id) }},
		{violationAlreadyInFlight, "safe", func(_ *Node, h *activeMessage, _ *Entry) { h.call = &call{} }},
		{violationWrongDestination, "safe", func(_ *Node, h *activeMessage, _ *Entry) { h.msg.Dest = 2 }},
		{violationEndpointUnavailable, "safe", func(n *Node, _ *activeMessage, _ *Entry) { n.directory.shut[1] = true }},
		{violationWaitNotOver, "safe", func(n *Node, _ *activeMessage, _ *Entry) { n.guard.noteWait(1, time.Minute) }},
		{violationAttemptsUsedUp, "safe", func(_ *Node, h *activeMessage, _ *Entry) { h.attempts = 3 }},
		{violationDeadlinePassed, "safe", func(n *Node, h *activeMessage, _ *Entry) { h.msg.Deadline = n.clock.Now() - 1 }},
		{noViolation, "safe", func(_ *Node, _ *activeMessage, e *Entry) { e.MayRun = true }},
		{violationRepeatUnsafe, "unsafe", func(_ *Node, _ *activeMessage, e *Entry) { e.MayRun = true }},
		{violationRepeatLate, "keyed", func(n *Node, _ *activeMessage, e *Entry) {
			e.MayRun, e.FirstMay = true, n.clock.Now()-time.Hour.Microseconds()
		}},
		{violationRepeatOtherZone, "keyed", func(n *Node, _ *activeMessage, e *Entry) {
			e.MayRun, e.FirstMay, e.FirstZone = true, n.clock.Now(), 1
			n.cfg.Deploy.Settings.Classes[n.cfg.Classes["keyed"]].ByZone = true
		}},
		{violationNotOwner, "safe", func(n *Node, _ *activeMessage, _ *Entry) { n.stateLock = nil }},
	} {
		e := newEndpoint(t)
		n := newIdleNode(t, e)
		m := Message{ID: id, Class: x.class, Dest: 1, Deadline: n.clock.Now() + time.Minute.Microseconds(), Body: []byte("x")}
		mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: m}})
		entry := n.journal.Entry(id)
		h := &activeMessage{msg: &entry.Message}
		x.spoil(n, h, entry)
		n.stepTime = n.clock.Now()
		if got := n.guard.allowSend(h, 1); got != (x.rule == noViolation) {
			t.Errorf("%q: permitted %v", x.rule, got)
		}
		if x.rule != noViolation && !strings.Contains(n.metrics.text(), "violation."+string(x.rule)+"=1\n") {
			t.Errorf("%q is not counted:\n%s", x.rule, n.metrics.text())
		}
	}
}

// What was decided in time and has become too late since is not sent, and breaks no rule.
func TestGuardDeniesLateSend(t *testing.T) {
	n := newIdleNode(t, newEndpoint(t))
	h := takenOn(t, n, Message{ID: "m", Class: "keyed", Dest: 1})
	e := n.journal.Entry("m")
	window := int64(n.cfg.classOf(h.msg).Window)
	e.MayRun, e.FirstMay = true, n.clock.Now()-window-1
	n.stepTime = e.FirstMay + window - 1
	if n.guard.allowSend(h, 1) {
		t.Error("permitted after the window")
	}
	if !strings.Contains(n.metrics.text(), figurePrefix+"violations=0\n") {
		t.Errorf("counted:\n%s", n.metrics.text())
	}
}

// What waits for a step is no younger for it: the module is told the time that is left at the step.
func TestCallTimesSetAtStep(t *testing.T) {
	n := newIdleNode(t, newEndpoint(t))
	h := takenOn(t, n, Message{ID: "m", Class: "keyed", Dest: 1})
	n.active["m"] = h
	n.journal.Entry("m").FirstMay = h.msg.Deadline - 7_000_000
	c := n.moduleCall(h.msg)
	c.Past = logic.Past{Taken: true, Tries: 1, MayRun: true}
	events := []logic.Event{logic.Due{}, c}
	n.stepTime = h.msg.Deadline - 2_000_000
	n.setCallTimes(events)
	if got := events[1].(logic.Call); got.Left != 2_000_000 || got.Past.Age != 5_000_000 {
		t.Errorf("left %d us, age %d us; want 2 s, 5 s", got.Left, got.Past.Age)
	}
}

// A promise that a message may be handed in again is checked, and so is its time.
func TestGuardChecksEnds(t *testing.T) {
	n := newIdleNode(t, newEndpoint(t))
	for _, id := range []string{"ran", "late"} {
		m := Message{ID: id, Class: "unsafe", Dest: 1, Deadline: n.clock.Now() - time.Second.Microseconds()}
		mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: m}})
	}
	e := n.journal.Entry("ran")
	e.MayRun = true
	n.guard.checkEnd(&activeMessage{msg: &e.Message}, Notice{ID: "ran", State: noticeReturned})
	n.guard.checkRefusal("ran")
	n.active["late"] = &activeMessage{msg: &n.journal.Entry("late").Message}
	n.guard.checkOverdue()
	n.guard.checkOverdue()
	for _, v := range []violation{violationReturnedMayHaveRun, violationRefusedAccepted, violationOverdue} {
		if !strings.Contains(n.metrics.text(), "violation."+string(v)+"=1\n") {
			t.Errorf("%q is not counted once:\n%s", v, n.metrics.text())
		}
	}
	if !strings.Contains(n.metrics.text(), figurePrefix+"violations=3\n") {
		t.Errorf("no sum:\n%s", n.metrics.text())
	}
}

// quietNode is a sender that owns a journal and knows one endpoint, and does nothing.
func newIdleNode(t *testing.T, e *testEndpoint) *Node {
	t.Helper()
	n := newNode(t, configText(newPlatform(t), List{}))
	t.Cleanup(func() { n.journal.Close() })
	n.directory.Take(List{Generation: 1, Reset: true, Instances: instances(e)}, time.Now())
	if !n.directory.ready(logic.EndpointID(1)) {
		t.Fatal("the endpoint is not known")
	}
	return n
}
