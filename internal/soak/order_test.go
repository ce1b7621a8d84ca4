package soak

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// newOrderedMessage returns a message with an order key that has been accepted.
func newOrderedMessage(c *Checker, id string) *message {
	m := &message{
		id:       id,
		class:    &Class{Name: "status", Idempotency: Idempotent, KeepOrder: true},
		body:     id,
		orderKey: "k",
		deadline: time.Hour,
	}
	c.recordOffer(m)
	c.recordAnswer(m, answerAccepted)
	return m
}

// hasViolation waits until late checks are done and reports whether a rule was broken.
func hasViolation(c *Checker, rule Rule) bool {
	time.Sleep(4 * secondCopySlack)
	_, violations := c.finish()
	return slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == rule })
}

func TestCheckerReportsOrder(t *testing.T) {
	for _, test := range []struct {
		name   string
		broken bool
		before func(c *Checker, attempts []*attempt, messages []*message) // between the two calls
	}{
		{"in progress", true, func(*Checker, []*attempt, []*message) {}},
		{"answered", false, func(c *Checker, attempts []*attempt, messages []*message) {
			c.recordEnd(attempts, messages, false, true)
		}},
		{"restarted", false, func(c *Checker, _ []*attempt, _ []*message) { c.endDowntime(c.beginDowntime(0)) }},
	} {
		c := newChecker(Generate(1, 1, 10*time.Second, nil), time.Now().Add(-time.Second))
		e := &endpoint{dest: &destination{}, checker: c, name: "e"}
		earlier, later := newOrderedMessage(c, "earlier"), newOrderedMessage(c, "later")
		attempts, messages := c.recordCall(e, c.elapsed(), []string{earlier.id}, []string{earlier.body})
		test.before(c, attempts, messages)
		c.recordCall(e, c.elapsed(), []string{later.id}, []string{later.body})
		if got := hasViolation(c, RuleOrder); got != test.broken {
			t.Errorf("%s: reported %v", test.name, got)
		}
	}
}

func TestCheckerReportsSlots(t *testing.T) {
	for _, extra := range []int{0, 1} {
		c := newChecker(Generate(1, 1, 10*time.Second, nil), time.Now().Add(-time.Second))
		e := &endpoint{dest: &destination{}, checker: c, name: "e"}
		for i := range c.scenario.CallSlots + extra {
			m := newOrderedMessage(c, fmt.Sprint("m", i))
			c.recordCall(e, c.elapsed(), []string{m.id}, []string{m.body})
		}
		if got := hasViolation(c, RuleSlots); got != (extra > 0) {
			t.Errorf("%d calls in progress with %d slots: reported %v", c.scenario.CallSlots+extra, c.scenario.CallSlots, got)
		}
	}
}

// The seeds of CI must have the traffic that they are run for.
func TestSeedsWithTrafficOfTheirOwn(t *testing.T) {
	for seed, kinds := range map[uint64][]FaultKind{74: {OrderedPairs, SilentEndpoint}, 12058: {LargeBursts}} {
		sc := Generate(seed, 6, 12*time.Second, nil)
		for _, kind := range kinds {
			if !slices.ContainsFunc(sc.Faults, func(f Fault) bool { return f.Kind == kind }) {
				t.Errorf("seed %d has no %s", seed, kind)
			}
		}
	}
}
