package logic

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
)

// walk is Step by going over all that is held, with no use of the books of what waits.
func referenceStep(s *Sender, now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.actions, s.wakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	s.subscribe()
	s.dropUnused()
	s.referenceEndHopeless()
	s.cutLong()
	s.referenceDispatch()
	s.giveBack()
	s.arm()
	return s.actions
}

func (s *Sender) referenceEndHopeless() {
	last := 2 * max(s.cfg.Tick, 1000)
	for _, m := range slices.Clone(s.held) {
		if m.streaming || m.ended {
			continue
		}
		left := m.deadline - s.now
		need := last
		if m.inFlight == nil {
			need = max(need, s.usual(m))
			if m.mayRun && m.class.Effect == Keyed {
				left = min(left, m.mayRunAt+m.class.Window-s.now+need-last)
			}
		}
		if left <= need {
			s.end(m)
			continue
		}
		s.wakeBy(s.now + left - need)
	}
}

func (s *Sender) referenceDispatch() {
	var q []*msg
	for _, m := range s.held {
		if m.inFlight == nil && !m.ended {
			m.priority = s.rate(m)
			m.dest.queuedAhead = 0
			q = append(q, m)
		}
	}
	slices.SortStableFunc(q, func(a, b *msg) int { return cmp.Compare(b.priority, a.priority) })
	for i, m := range q {
		s.trialsInFlight = s.countTrials()
		if s.send(m) {
			continue
		}
		m.dest.queuedAhead++
		if !s.mayEnd(m) {
			continue
		}
		p := s.destPace(m.dest)
		if p > 0 && m.dest.queuedAhead/p > seconds(m.deadline-s.now-s.usual(m)) && s.heldFraction() > holdHalf {
			s.end(m)
			continue
		}
		if s.heldFraction() > holdFull && i >= len(q)-1 && !m.mayRun {
			s.end(m)
		}
	}
}

// checkBooks goes over all that s holds and compares the books with it.
func checkIndexes(t *testing.T, s *Sender) {
	t.Helper()
	waiting, open, msgs, told := map[*dest]int{}, 0, map[*dest]int{}, 0
	first := never
	for _, m := range s.held {
		if m.ended {
			continue
		}
		open++
		if (m.waitPos > 0) != (m.inFlight == nil) {
			t.Fatalf("%s: out %v, place %d among those that wait", m.id, m.inFlight != nil, m.waitPos)
		}
		if m.inFlight == nil {
			waiting[m.dest]++
			if b := m.dest.backlog; b.waiting[m.waitPos-1] != m || s.waiting.scanQueue.items[b.scanPos-1] != b {
				t.Fatalf("%s is not where it should be", m.id)
			}
			last := 2 * max(s.cfg.Tick, 1000)
			first = min(first, m.deadline-max(last, s.usual(m)))
			if m.mayRun && m.class.Effect == Keyed {
				first = min(first, m.mayRunAt+m.class.Window-last)
			}
		}
	}
	for _, m := range s.msgs {
		msgs[m.dest]++
	}
	n, due := 0, never
	for _, d := range s.destOrder {
		n += waiting[d]
		if d.waiting() != waiting[d] || d.messageCount != msgs[d] {
			t.Fatalf("destination %d: %d of %d messages wait, want %d of %d", d.id, d.waiting(), d.messageCount, waiting[d], msgs[d])
		}
		if d.limiter.reported {
			told++
		}
		if d.backlog == nil {
			continue
		}
		for kind, groups := range d.backlog.expiryGroups {
			for class, g := range groups {
				if g == nil || len(g.messages.items) == 0 {
					continue
				}
				in, key := 1+class, g.messages.items[0].expiresAt[kind]
				if kind == byWindow || d.latency.total >= minWeight {
					in, key = 0, key-s.need(g)
				}
				if g.queueIndex != in || g.sortKey != key || s.waiting.expiryQueues[in].items[g.pos-1] != g {
					t.Fatalf("destination %d, class %d: in queue %d at %d, want %d at %d", d.id, class, g.queueIndex, g.sortKey, in, key)
				}
			}
		}
	}
	for _, x := range s.waiting.expiryQueues {
		if len(x.items) > 0 {
			g := x.items[0]
			due = min(due, g.messages.items[0].expiresAt[g.bound]-s.need(g))
		}
	}
	if len(s.held) > 2*open+part {
		t.Fatalf("%d listed as held, %d are", len(s.held), open)
	}
	if open != s.openCount || n != s.waiting.count || told != s.reportedLimits {
		t.Fatalf("%d held, %d waiting, %d told; want %d, %d, %d", s.openCount, s.waiting.count, s.reportedLimits, open, n, told)
	}
	if due != first {
		t.Fatalf("the first message is due at %d, want %d", due, first)
	}
}

// What is counted is what a walk over all finds, also in a module that was taken up from a snapshot.
func TestIndexesMatchHeldMessages(t *testing.T) {
	for name, set := range variants() {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, set, 31)
			w.each = func() {
				checkIndexes(t, w.s)
				if w.rnd.IntN(100) == 0 {
					w.replaceTwin()
				}
				if w.twin != nil {
					checkIndexes(t, w.twin)
				}
			}
			w.play()
		})
	}
}

// Where few messages wait, the books change nothing: each step does what going over all does, timers and all.
func TestStepMatchesReferenceStep(t *testing.T) {
	all := variants()
	wide := base()
	wide.MaxOpen, wide.Slots, wide.MaxTries = 400, 12, 0
	all["hundreds held"] = wide
	wide.ReportLeft, wide.ReportLimit, wide.Senders = 0, 1, 80
	wide.Classes = slices.Clone(wide.Classes)
	wide.Classes[0].KeepOrder, wide.KeyQuiet = true, Second
	all["hundreds held among many"] = wide
	for name, set := range all {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(21); seed <= 22; seed++ {
				w := newWorld(t, set, seed)
				if set.MaxOpen == 400 {
					w.each = func() { w.clump = min(200, max(set.MaxOpen-w.s.openCount, 0)) }
				}
				other, err := New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				most := 0
				w.after = func(evs []Event, acts []Action) {
					if want := referenceStep(other, w.now, evs); !reflect.DeepEqual(acts, want) {
						w.bad("the module does %v, want %v", acts, want)
					}
					checkIndexes(t, w.s)
					most = max(most, w.s.openCount)
				}
				w.play()
				if len(w.trace) < 100 || set.MaxOpen == 400 && most < 280 {
					t.Errorf("%d actions, at most %d held", len(w.trace), most)
				}
			}
		})
	}
}

// Where many wait, each step looks at some of them. The rules hold all the same, and as much is delivered: the
// same worlds run apart soon, so it is counted over all of them.
func TestRulesWithManyWaiting(t *testing.T) {
	served := map[int]int{}
	for name, set := range variants() {
		for seed := uint64(1); seed <= 8; seed++ {
			for _, few := range []int{fewWait, 0} {
				w := newWorld(t, set, seed)
				w.s.fullScanMax = few
				n := 0
				w.after = func(evs []Event, _ []Action) {
					checkIndexes(t, w.s)
					for _, ev := range evs {
						if r, ok := ev.(Reply); ok && r.Outcome == Completed {
							n++
						}
					}
				}
				w.play()
				if t.Failed() {
					t.Fatalf("%s, seed %d", name, seed)
				}
				served[few] += n
			}
		}
	}
	t.Logf("delivered: %d, where all are looked at %d", served[0], served[fewWait])
	if served[0]*20 < served[fewWait]*19 {
		t.Errorf("%d delivered, %d where all are looked at", served[0], served[fewWait])
	}
}

// A restart in the middle of it takes the books up again.
func TestRestartWithManyWaiting(t *testing.T) {
	for name, set := range variants() {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, set, 13)
			w.s.fullScanMax = 0
			steps := 0
			w.each = func() {
				checkIndexes(t, w.s)
				if steps++; steps%150 > 0 {
					return
				}
				text, err := w.s.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				if w.s, err = Restore(set, text); err != nil {
					t.Fatal(err)
				}
				w.s.fullScanMax = 0
			}
			w.play()
			if steps < 300 {
				t.Errorf("%d steps", steps)
			}
		})
	}
}

// The books follow a destination whose latencies are forgotten, and one that is forgotten itself.
func TestIndexesAfterStateIsDropped(t *testing.T) {
	set := base()
	set.Classes[0].Deadline, set.ReportLeft, set.ReportLimit = 1000*Second, 0, 1
	r := newRig(t, set)
	r.step(0, list(1))
	for at := 1.0; at < 5; at++ {
		c := only[CallOut](r.step(at, r.call(0)))[0]
		ok := answer(c.ID, 1, 0, Completed)
		ok.Load = []float64{0.5, 100}
		r.step(at+0.5, ok)
	}
	if d := r.s.dests[9]; d.latency.total < 3 || !r.s.reports() {
		t.Fatal("nothing is learnt")
	}
	feed(&r.s.dests[9].latency, 1, 0.5)
	r.step(6, list(0), r.call(0))
	checkIndexes(t, r.s)
	r.step(7+seconds(idleAge), r.call(1))
	if r.s.dests[9].latency.total > 0 {
		t.Fatal("latencies are not forgotten")
	}
	checkIndexes(t, r.s)
	r.step(3000)
	r.step(4000)
	if r.s.dests[9] != nil || r.s.reports() {
		t.Error("the destination or its report is not forgotten")
	}
	checkIndexes(t, r.s)
}

// A silent unsafe call gives its slot up for other destinations only.
func TestSilentUnsafeCallKeepsSlotFromItsDestination(t *testing.T) {
	for _, dest := range []int64{8, 9} {
		set := base()
		set.Slots = 1
		r := newRig(t, set)
		r.step(0, list(1), Endpoints{Entries: []Entry{{Endpoint: 7, Dest: 8}}})
		r.step(1, r.call(2))
		next := r.call(2)
		next.Dest = dest
		r.step(5, next)
		if n := len(only[Cancel](r.step(10, Due{}))); n != int(9-dest) {
			t.Errorf("a message waits for destination %d: %d calls given up for it", dest, n)
		}
	}
}
