package logic

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
)

// referenceStep does what Step does, but goes over all held messages instead of using the indexes of those that wait.
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

// checkIndexes compares the indexes and counts of s with all messages that it holds.
func checkIndexes(t *testing.T, s *Sender) {
	t.Helper()
	waiting, openCount, byDest, reported := map[*dest]int{}, 0, map[*dest]int{}, 0
	firstEnd := never
	for _, m := range s.held {
		if m.ended {
			continue
		}
		openCount++
		if (m.waitPos > 0) != (m.inFlight == nil) {
			t.Fatalf("%s: in flight %v, position %d among the waiting messages", m.id, m.inFlight != nil, m.waitPos)
		}
		if m.inFlight == nil {
			waiting[m.dest]++
			if b := m.dest.backlog; b.waiting[m.waitPos-1] != m || s.waiting.scanQueue.items[b.scanPos-1] != b {
				t.Fatalf("%s is not in the backlog, or the backlog not in the scan queue, at the recorded position", m.id)
			}
			last := 2 * max(s.cfg.Tick, 1000)
			firstEnd = min(firstEnd, m.deadline-max(last, s.usual(m)))
			if m.mayRun && m.class.Effect == Keyed {
				firstEnd = min(firstEnd, m.mayRunAt+m.class.Window-last)
			}
		}
	}
	for _, m := range s.msgs {
		byDest[m.dest]++
	}
	waitingCount, firstDue := 0, never
	for _, d := range s.destOrder {
		waitingCount += waiting[d]
		if d.waiting() != waiting[d] || d.messageCount != byDest[d] {
			t.Fatalf("destination %d: %d of %d messages wait, want %d of %d",
				d.id, d.waiting(), d.messageCount, waiting[d], byDest[d])
		}
		if d.limiter.reported {
			reported++
		}
		if d.backlog == nil {
			continue
		}
		for bound, groups := range d.backlog.expiryGroups {
			for class, g := range groups {
				if g == nil || len(g.messages.items) == 0 {
					continue
				}
				queueIndex, sortKey := 1+class, g.messages.items[0].expiresAt[bound]
				if bound == byWindow || d.latency.total >= minWeight {
					queueIndex, sortKey = 0, sortKey-s.need(g)
				}
				if g.queueIndex != queueIndex || g.sortKey != sortKey || s.waiting.expiryQueues[queueIndex].items[g.pos-1] != g {
					t.Fatalf("destination %d, class %d: in queue %d with key %d, want queue %d and key %d",
						d.id, class, g.queueIndex, g.sortKey, queueIndex, sortKey)
				}
			}
		}
	}
	for _, queue := range s.waiting.expiryQueues {
		if len(queue.items) > 0 {
			g := queue.items[0]
			firstDue = min(firstDue, g.messages.items[0].expiresAt[g.bound]-s.need(g))
		}
	}
	if len(s.held) > 2*openCount+part {
		t.Fatalf("%d messages listed as held, %d of them have not ended", len(s.held), openCount)
	}
	if openCount != s.openCount || waitingCount != s.waiting.count || reported != s.reportedLimits {
		t.Fatalf("%d held, %d waiting, %d reported limits; want %d, %d, %d",
			s.openCount, s.waiting.count, s.reportedLimits, openCount, waitingCount, reported)
	}
	if firstDue != firstEnd {
		t.Fatalf("the first message ends at %d, want %d", firstDue, firstEnd)
	}
}

// The indexes and counts match the held messages at each step, also in a Sender restored from a snapshot.
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

// With few messages waiting, each step takes the same actions as the reference that goes over all of them, timers
// included.
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
				reference, err := New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				maxHeld := 0
				w.after = func(evs []Event, acts []Action) {
					if want := referenceStep(reference, w.now, evs); !reflect.DeepEqual(acts, want) {
						w.bad("the Sender does %v, want %v", acts, want)
					}
					checkIndexes(t, w.s)
					maxHeld = max(maxHeld, w.s.openCount)
				}
				w.play()
				if len(w.trace) < 100 || set.MaxOpen == 400 && maxHeld < 280 {
					t.Errorf("%d actions, at most %d held", len(w.trace), maxHeld)
				}
			}
		})
	}
}

// With many messages waiting, each step considers a sample of them. The rules still hold, and about as much is
// delivered as with a full scan. The two runs of a world soon differ, so deliveries are summed over all worlds.
func TestRulesWithManyWaiting(t *testing.T) {
	delivered := map[int]int{}
	for name, set := range variants() {
		for seed := uint64(1); seed <= 8; seed++ {
			for _, fullScanMax := range []int{fewWait, 0} {
				w := newWorld(t, set, seed)
				w.s.fullScanMax = fullScanMax
				count := 0
				w.after = func(evs []Event, _ []Action) {
					checkIndexes(t, w.s)
					for _, ev := range evs {
						if r, ok := ev.(Reply); ok && r.Outcome == Completed {
							count++
						}
					}
				}
				w.play()
				if t.Failed() {
					t.Fatalf("%s, seed %d", name, seed)
				}
				delivered[fullScanMax] += count
			}
		}
	}
	t.Logf("delivered: %d, with full scans %d", delivered[0], delivered[fewWait])
	if delivered[0]*20 < delivered[fewWait]*19 {
		t.Errorf("%d delivered, %d with full scans", delivered[0], delivered[fewWait])
	}
}

// The indexes are rebuilt when a Sender is restored from a snapshot while many messages wait.
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

// The indexes stay right when the latencies of an idle destination are dropped, and when the destination is.
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
		t.Fatal("no latencies or no limit recorded")
	}
	feed(&r.s.dests[9].latency, 1, 0.5)
	r.step(6, list(0), r.call(0))
	checkIndexes(t, r.s)
	r.step(7+seconds(idleAge), r.call(1))
	if r.s.dests[9].latency.total > 0 {
		t.Fatal("latencies are not dropped")
	}
	checkIndexes(t, r.s)
	r.step(3000)
	r.step(4000)
	if r.s.dests[9] != nil || r.s.reports() {
		t.Error("the destination or its reported limit is not dropped")
	}
	checkIndexes(t, r.s)
}

// An unsafe call without an answer is cancelled to free its slot for other destinations, but not for its own.
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
			t.Errorf("a message waits for destination %d: %d calls cancelled for it", dest, n)
		}
	}
}
