package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestGenerateDependsOnSeed(t *testing.T) {
	a, b, c := Generate(7, 10, 12*time.Second, nil), Generate(7, 10, 12*time.Second, nil),
		Generate(8, 10, 12*time.Second, nil)
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed generated different scenarios")
	}
	if reflect.DeepEqual(a.Faults, c.Faults) {
		t.Error("different seeds generated the same faults")
	}
	if len(a.OverlapCounts()) == 0 {
		t.Error("no faults overlap")
	}
	for _, fault := range Generate(7, 10, 12*time.Second, []FaultKind{Kill, WallClockStep}).Faults {
		if fault.Kind != Kill && fault.Kind != WallClockStep {
			t.Errorf("generated %s, which is not in the list of allowed kinds", fault.Kind)
		}
	}
}

// Breaks one rule at a time and checks that the Checker reports it; the first case breaks none.
func TestCheckerReportsViolations(t *testing.T) {
	const runAge = 3 * time.Second // how long the run has lasted
	for _, test := range []struct {
		rule Rule
		do   func(c *Checker, e *endpoint, m *message)
	}{
		{"", func(c *Checker, e *endpoint, m *message) {
			attempts, messages := c.recordCall(e, c.elapsed(), []string{m.id}, []string{m.body})
			c.recordEnd(attempts, messages, false, true)
		}},
		{RuleLost, func(c *Checker, e *endpoint, m *message) { m.deadline = 0 }},
		{RuleLate, func(c *Checker, e *endpoint, m *message) { m.deadline = 0; c.recordNotice(0, m.id, "failed") }},
		{RuleMismatch, func(c *Checker, e *endpoint, m *message) {
			c.recordCall(e, 0, []string{m.id}, []string{"other"})
		}},
		{RuleDuplicate, func(c *Checker, e *endpoint, m *message) {
			for range 2 {
				attempts, messages := c.recordCall(e, c.elapsed(), []string{m.id}, []string{m.body})
				c.recordEnd(attempts, messages, false, true)
			}
		}},
		{RuleRejectedExecuted, func(c *Checker, e *endpoint, m *message) {
			attempts, messages := c.recordCall(e, c.elapsed(), []string{m.id}, []string{m.body})
			c.recordEnd(attempts, messages, false, false)
			c.recordAnswer(m, answerRejected)
		}},
		{RuleSentAfterEnd, func(c *Checker, e *endpoint, m *message) {
			c.recordNotice(0, m.id, "failed")
			c.recordCall(e, c.elapsed()+time.Second, []string{m.id}, []string{m.body})
		}},
		{RuleDrain, func(c *Checker, e *endpoint, m *message) {
			c.recordDrain(0, e, 0)
			attempts, messages := c.recordCall(e, c.elapsed(), []string{m.id}, []string{m.body})
			c.recordEnd(attempts, messages, false, true)
		}},
		{RuleRetryAfter, func(c *Checker, e *endpoint, m *message) {
			c.recordRetryAfter(0, e.dest.number, time.Minute)
			attempts, messages := c.recordCall(e, c.elapsed()+time.Second, []string{m.id}, []string{m.body})
			c.recordEnd(attempts, messages, false, true)
		}},
		{RuleUnsolicited, func(c *Checker, _ *endpoint, m *message) {
			m.deadline = runAge + time.Hour
			conn := &peerConn{checker: c, unsolicitedAt: c.elapsed() - time.Second}
			conn.beginRequest()
		}},
	} {
		sc := Generate(1, 2, 10*time.Second, nil)
		c := newChecker(sc, time.Now().Add(-runAge))
		e := &endpoint{dest: &destination{}, checker: c, name: "e"}
		m := &message{
			id:       "m",
			class:    &Class{Name: "charge", Idempotency: NonIdempotent},
			body:     "body",
			deadline: runAge + time.Minute,
		}
		c.recordOffer(m)
		c.recordAnswer(m, answerAccepted)
		if test.rule == "" || test.rule == RuleRetryAfter || test.rule == RuleDrain ||
			test.rule == RuleDuplicate || test.rule == RuleMismatch {
			m.deadline = runAge + time.Hour
		}
		test.do(c, e, m)
		_, violations := c.finish()
		found := slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == test.rule })
		if test.rule == "" && len(violations) > 0 || test.rule != "" && !found {
			t.Errorf("%q: %v", test.rule, violations)
		}
	}
}

// A message that is due during a restart is due later: restartGrace after the next process is ready.
func TestCheckerExtendsDueTimeForRestart(t *testing.T) {
	c := newChecker(Generate(1, 1, 10*time.Second, nil), time.Now().Add(-time.Minute))
	m := &message{sender: 0, deadline: 30 * time.Second}
	if due, want := c.dueTime(m), 30*time.Second+outcomeSlack+schedulingSlack; due != want {
		t.Errorf("due at %v, want %v", due, want)
	}
	c.downtimes[0] = []*downtime{{start: 29 * time.Second, readyAt: 35 * time.Second}}
	if due, want := c.dueTime(m), 35*time.Second+restartGrace+schedulingSlack; due != want {
		t.Errorf("with a restart: due at %v, want %v", due, want)
	}
}
