package soak

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func TestDrawGoesByTheSeed(t *testing.T) {
	a, b, c := Draw(7, 10, 12*time.Second, nil), Draw(7, 10, 12*time.Second, nil), Draw(8, 10, 12*time.Second, nil)
	if !reflect.DeepEqual(a, b) {
		t.Error("one seed, two scenarios")
	}
	if reflect.DeepEqual(a.Troubles, c.Troubles) {
		t.Error("two seeds, one scenario")
	}
	if len(a.Overlaps()) == 0 {
		t.Error("no troubles overlap")
	}
	for _, x := range Draw(7, 10, 12*time.Second, []Kind{Kill, WallClock}).Troubles {
		if x.Kind != Kill && x.Kind != WallClock {
			t.Errorf("%s was not asked for", x.Kind)
		}
	}
}

// Each rule is broken by hand, one at a time.
func TestLedgerFindsBrokenRules(t *testing.T) {
	const ago = 3 * time.Second // the run's age
	for _, x := range []struct {
		rule Rule
		do   func(l *Ledger, e *endpoint, m *message)
	}{
		{"", func(l *Ledger, e *endpoint, m *message) {
			list, ms := l.arrive(e, l.now(), []string{m.id}, []string{m.body})
			l.end(list, ms, false, true)
		}},
		{RuleLost, func(l *Ledger, e *endpoint, m *message) { m.deadline = 0 }},
		{RuleLate, func(l *Ledger, e *endpoint, m *message) { m.deadline = 0; l.noticed(0, m.id, "failed") }},
		{RuleForeign, func(l *Ledger, e *endpoint, m *message) { l.arrive(e, 0, []string{m.id}, []string{"other"}) }},
		{RuleDuplicate, func(l *Ledger, e *endpoint, m *message) {
			for range 2 {
				list, ms := l.arrive(e, l.now(), []string{m.id}, []string{m.body})
				l.end(list, ms, false, true)
			}
		}},
		{RuleRefused, func(l *Ledger, e *endpoint, m *message) {
			list, ms := l.arrive(e, l.now(), []string{m.id}, []string{m.body})
			l.end(list, ms, false, false)
			l.answered(m, refused)
		}},
		{RuleEnded, func(l *Ledger, e *endpoint, m *message) {
			l.noticed(0, m.id, "failed")
			l.arrive(e, l.now()+time.Second, []string{m.id}, []string{m.body})
		}},
		{RuleDrain, func(l *Ledger, e *endpoint, m *message) {
			l.drains(0, e, 0)
			list, ms := l.arrive(e, l.now(), []string{m.id}, []string{m.body})
			l.end(list, ms, false, true)
		}},
		{RuleWait, func(l *Ledger, e *endpoint, m *message) {
			l.wait(0, e.dest.number, time.Minute)
			list, ms := l.arrive(e, l.now()+time.Second, []string{m.id}, []string{m.body})
			l.end(list, ms, false, true)
		}},
	} {
		sc := Draw(1, 2, 10*time.Second, nil)
		l := newLedger(sc, time.Now().Add(-ago))
		e := &endpoint{dest: &destination{}, ledger: l, name: "e"}
		m := &message{id: "m", class: &Class{Name: "charge", Effect: Fragile}, body: "body", deadline: ago + time.Minute}
		l.offer(m)
		l.answered(m, takenOn)
		if x.rule == "" || x.rule == RuleWait || x.rule == RuleDrain || x.rule == RuleDuplicate || x.rule == RuleForeign {
			m.deadline = ago + time.Hour
		}
		x.do(l, e, m)
		_, violations := l.close()
		found := slices.ContainsFunc(violations, func(v Violation) bool { return v.Rule == x.rule })
		if x.rule == "" && len(violations) > 0 || x.rule != "" && !found {
			t.Errorf("%q: %v", x.rule, violations)
		}
	}
}

// A restart gives what is owed more time, until a while after the next process is ready.
func TestLedgerWaitsForARestart(t *testing.T) {
	l := newLedger(Draw(1, 1, 10*time.Second, nil), time.Now().Add(-time.Minute))
	m := &message{sender: 0, deadline: 30 * time.Second}
	if due, want := l.due(m), 30*time.Second+answerSlack+machineSlack; due != want {
		t.Errorf("due at %v, want %v", due, want)
	}
	l.outages[0] = []*outage{{from: 29 * time.Second, ready: 35 * time.Second}}
	if due, want := l.due(m), 35*time.Second+readyGrace+machineSlack; due != want {
		t.Errorf("with a restart due at %v, want %v", due, want)
	}
}
