package node

import (
	"strings"
	"testing"
	"time"

	"rundeal/logic"
)

// Each rule is broken by hand, one at a time: the send is denied, and counted under its name.
func TestPermitsDeny(t *testing.T) {
	const id = "m"
	for _, x := range []struct {
		rule  violation
		class string
		spoil func(n *Node, h *held, e *Entry)
	}{
		{noViolation, "unsafe", func(*Node, *held, *Entry) {}},
		{alreadyOver, "safe", func(_ *Node, h *held, _ *Entry) { h.over = true }},
		{alreadyOver, "safe", func(_ *Node, _ *held, e *Entry) { e.End = &Notice{} }},
		{notTakenOn, "safe", func(n *Node, _ *held, _ *Entry) { delete(n.journal.entries, id) }},
		{alreadyOut, "safe", func(_ *Node, h *held, _ *Entry) { h.call = &call{} }},
		{otherPlace, "safe", func(_ *Node, h *held, _ *Entry) { h.msg.Dest = 2 }},
		{endpointShut, "safe", func(n *Node, _ *held, _ *Entry) { n.dir.unavailable[1] = true }},
		{waitTold, "safe", func(n *Node, _ *held, _ *Entry) { n.permits.told(1, time.Minute) }},
		{triesUsedUp, "safe", func(_ *Node, h *held, _ *Entry) { h.tries = 3 }},
		{timeUp, "safe", func(n *Node, h *held, _ *Entry) { h.msg.Deadline = n.clock.Now() - 1 }},
		{noViolation, "safe", func(_ *Node, _ *held, e *Entry) { e.MayHaveRun = true }},
		{repeatUnsafe, "unsafe", func(_ *Node, _ *held, e *Entry) { e.MayHaveRun = true }},
		{repeatLate, "keyed", func(n *Node, _ *held, e *Entry) {
			e.MayHaveRun, e.FirstMayRunAt = true, n.clock.Now()-time.Hour.Microseconds()
		}},
		{repeatElse, "keyed", func(n *Node, _ *held, e *Entry) {
			e.MayHaveRun, e.FirstMayRunAt, e.FirstMayRunZone = true, n.clock.Now(), 1
			n.cfg.Deployment.Settings.Classes[n.cfg.Classes["keyed"]].DedupPerZone = true
		}},
		{notOwner, "safe", func(n *Node, _ *held, _ *Entry) { n.lock = nil }},
	} {
		e := newEndpoint(t)
		n := quietNode(t, e)
		m := Message{ID: id, Class: x.class, Dest: 1, Deadline: n.clock.Now() + time.Minute.Microseconds(), Body: []byte("x")}
		mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: m}})
		entry := n.journal.Entry(id)
		h := &held{msg: &entry.Message}
		x.spoil(n, h, entry)
		n.decided = n.clock.Now()
		if got := n.permits.send(h, 1); got != (x.rule == noViolation) {
			t.Errorf("%q: permitted %v", x.rule, got)
		}
		if x.rule != noViolation && !strings.Contains(n.figures.text(), "violation."+string(x.rule)+"=1\n") {
			t.Errorf("%q is not counted:\n%s", x.rule, n.figures.text())
		}
	}
}

// What was decided in time and has become too late since is not sent, and breaks no rule.
func TestPermitsDenyWhatHasBecomeTooLate(t *testing.T) {
	n := quietNode(t, newEndpoint(t))
	h := addHeldMessage(t, n, Message{ID: "m", Class: "keyed", Dest: 1})
	e := n.journal.Entry("m")
	window := int64(n.cfg.classOf(h.msg).DedupWindow)
	e.MayHaveRun, e.FirstMayRunAt = true, n.clock.Now()-window-1
	n.decided = e.FirstMayRunAt + window - 1
	if n.permits.send(h, 1) {
		t.Error("permitted after the window")
	}
	if !strings.Contains(n.figures.text(), metricPrefix+"violations=0\n") {
		t.Errorf("counted:\n%s", n.figures.text())
	}
}

// What waits for a step is no younger for it: the module is told the time that is left at the step.
func TestTimesAreThoseOfTheStep(t *testing.T) {
	n := quietNode(t, newEndpoint(t))
	h := addHeldMessage(t, n, Message{ID: "m", Class: "keyed", Dest: 1})
	n.held["m"] = h
	n.journal.Entry("m").FirstMayRunAt = h.msg.Deadline - 7_000_000
	c := n.callOf(h.msg)
	c.History = logic.History{Accepted: true, Attempts: 1, MayHaveRun: true}
	events := []logic.Event{logic.TimerFired{}, c}
	n.decided = h.msg.Deadline - 2_000_000
	n.setTimes(events)
	if got := events[1].(logic.Message); got.TimeLeft != 2_000_000 || got.History.Age != 5_000_000 {
		t.Errorf("left %d us, age %d us; want 2 s, 5 s", got.TimeLeft, got.History.Age)
	}
}

// A promise that a message may be handed in again is checked, and so is its time.
func TestPermitsCheckEnds(t *testing.T) {
	n := quietNode(t, newEndpoint(t))
	for _, id := range []string{"ran", "late"} {
		m := Message{ID: id, Class: "unsafe", Dest: 1, Deadline: n.clock.Now() - time.Second.Microseconds()}
		mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: m}})
	}
	e := n.journal.Entry("ran")
	e.MayHaveRun = true
	n.permits.giveUp(&held{msg: &e.Message}, Notice{ID: "ran", State: noticeReturned})
	n.permits.refuse("ran")
	n.held["late"] = &held{msg: &n.journal.Entry("late").Message}
	n.permits.overdue()
	n.permits.overdue()
	for _, v := range []violation{returnedRun, refusedTakenOn, overdue} {
		if !strings.Contains(n.figures.text(), "violation."+string(v)+"=1\n") {
			t.Errorf("%q is not counted once:\n%s", v, n.figures.text())
		}
	}
	if !strings.Contains(n.figures.text(), metricPrefix+"violations=3\n") {
		t.Errorf("no sum:\n%s", n.figures.text())
	}
}

// quietNode is a sender that owns a journal and knows one endpoint, and does nothing.
func quietNode(t *testing.T, e *endpoint) *Node {
	t.Helper()
	n := newNode(t, configText(newPlatform(t), EndpointList{}))
	t.Cleanup(func() { n.journal.Close() })
	n.dir.Apply(EndpointList{Generation: 1, Reset: true, Instances: instances(e)}, time.Now())
	if !n.dir.available(logic.EndpointID(1)) {
		t.Fatal("the endpoint is not known")
	}
	return n
}
