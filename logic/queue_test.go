package logic

import (
	"cmp"
	"reflect"
	"slices"
	"testing"
)

// walk is Step by going over all that is held, with no use of the books of what waits.
func walk(s *Sender, now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.out, s.wake = nil, never
	for _, ev := range events {
		s.take(ev)
	}
	s.subscribe()
	s.forget()
	s.walkHopeless()
	s.cancelSlow()
	s.walkDispatch()
	s.releaseIdleConns()
	s.setTimer()
	return s.out
}

func (s *Sender) walkHopeless() {
	last := 2 * max(s.set.Tick, 1000)
	for _, m := range slices.Clone(s.held) {
		if m.flows || m.over {
			continue
		}
		left := m.deadline - s.now
		need := last
		if m.out == nil {
			need = max(need, s.medianLatency(m))
			if m.mayRun && m.class.Idempotency == IdempotentByKey {
				left = min(left, m.firstMay+m.class.DedupWindow-s.now+need-last)
			}
		}
		if left <= need {
			s.endMessage(m)
			continue
		}
		s.at(s.now + left - need)
	}
}

func (s *Sender) walkDispatch() {
	var q []*msg
	for _, m := range s.held {
		if m.out == nil && !m.over {
			m.prio = s.priority(m)
			m.dest.rank = 0
			q = append(q, m)
		}
	}
	slices.SortStableFunc(q, func(a, b *msg) int { return cmp.Compare(b.prio, a.prio) })
	for i, m := range q {
		s.trials = s.onTrial()
		if s.trySend(m) {
			continue
		}
		m.dest.rank++
		if !s.mayDrop(m) {
			continue
		}
		p := s.destPace(m.dest)
		if p > 0 && m.dest.rank/p > seconds(m.deadline-s.now-s.medianLatency(m)) && s.crowd() > bufferHighWatermark {
			s.endMessage(m)
			continue
		}
		if s.crowd() > bufferFullWatermark && i >= len(q)-1 && !m.mayRun {
			s.endMessage(m)
		}
	}
}

// checkBooks goes over all that s holds and compares the books with it.
func checkBooks(t *testing.T, s *Sender) {
	t.Helper()
	waiting, open, msgs, told := map[*dest]int{}, 0, map[*dest]int{}, 0
	first := never
	for _, m := range s.held {
		if m.over {
			continue
		}
		open++
		if (m.place > 0) != (m.out == nil) {
			t.Fatalf("%s: out %v, place %d among those that wait", m.id, m.out != nil, m.place)
		}
		if m.out == nil {
			waiting[m.dest]++
			if b := m.dest.backlog; b.waiting[m.place-1] != m || s.wait.looks.items[b.place-1] != b {
				t.Fatalf("%s is not where it should be", m.id)
			}
			last := 2 * max(s.set.Tick, 1000)
			first = min(first, m.deadline-max(last, s.medianLatency(m)))
			if m.mayRun && m.class.Idempotency == IdempotentByKey {
				first = min(first, m.firstMay+m.class.DedupWindow-last)
			}
		}
	}
	for _, m := range s.msgs {
		msgs[m.dest]++
	}
	n, due := 0, never
	for _, d := range s.order {
		n += waiting[d]
		if d.waiting() != waiting[d] || d.msgs != msgs[d] {
			t.Fatalf("destination %d: %d of %d messages wait, want %d of %d", d.id, d.waiting(), d.msgs, waiting[d], msgs[d])
		}
		if d.lane.told {
			told++
		}
		if d.backlog == nil {
			continue
		}
		for kind, groups := range d.backlog.expiry {
			for class, g := range groups {
				if g == nil || len(g.queue.items) == 0 {
					continue
				}
				in, key := 1+class, g.queue.items[0].ends[kind]
				if kind == byWindow || d.hist.total >= minSamples {
					in, key = 0, key-s.minTimeLeft(g)
				}
				if g.in != in || g.key != key || s.wait.expiries[in].items[g.place-1] != g {
					t.Fatalf("destination %d, class %d: in queue %d at %d, want %d at %d", d.id, class, g.in, g.key, in, key)
				}
			}
		}
	}
	for _, x := range s.wait.expiries {
		if len(x.items) > 0 {
			g := x.items[0]
			due = min(due, g.queue.items[0].ends[g.kind]-s.minTimeLeft(g))
		}
	}
	if len(s.held) > 2*open+sampleSize {
		t.Fatalf("%d listed as held, %d are", len(s.held), open)
	}
	if open != s.open || n != s.wait.count || told != s.told {
		t.Fatalf("%d held, %d waiting, %d told; want %d, %d, %d", s.open, s.wait.count, s.told, open, n, told)
	}
	if due != first {
		t.Fatalf("the first message is due at %d, want %d", due, first)
	}
}

// What is counted is what a walk over all finds, also in a module that was taken up from a snapshot.
func TestBooksMatchWhatIsHeld(t *testing.T) {
	for name, set := range deploymentVariants() {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, set, 31)
			w.beforeStep = func() {
				checkBooks(t, w.s)
				if w.rng.IntN(100) == 0 {
					w.renew()
				}
				if w.twin != nil {
					checkBooks(t, w.twin)
				}
			}
			w.play()
		})
	}
}

// Where few messages wait, the books change nothing: each step does what going over all does, timers and all.
func TestBooksChangeNothing(t *testing.T) {
	all := deploymentVariants()
	wide := baseSettings()
	wide.MaxOpen, wide.CallSlots, wide.MaxAttempts = 400, 12, 0
	all["hundreds held"] = wide
	wide.LoadRemainingIndex, wide.LoadLimitIndex, wide.Senders = 0, 1, 80
	wide.Classes = slices.Clone(wide.Classes)
	wide.Classes[0].KeepOrder, wide.KeyCooldown = true, Second
	all["hundreds held among many"] = wide
	for name, set := range all {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(21); seed <= 22; seed++ {
				w := newSimulation(t, set, seed)
				if set.MaxOpen == 400 {
					w.beforeStep = func() { w.burst = min(200, max(set.MaxOpen-w.s.open, 0)) }
				}
				other, err := New(set, seed)
				if err != nil {
					t.Fatal(err)
				}
				most := 0
				w.afterStep = func(evs []Event, acts []Action) {
					if want := walk(other, w.now, evs); !reflect.DeepEqual(acts, want) {
						w.fatalf("the module does %v, want %v", acts, want)
					}
					checkBooks(t, w.s)
					most = max(most, w.s.open)
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
func TestRulesWhereManyWait(t *testing.T) {
	served := map[int]int{}
	for name, set := range deploymentVariants() {
		for seed := uint64(1); seed <= 8; seed++ {
			for _, few := range []int{scanAllLimit, 0} {
				w := newSimulation(t, set, seed)
				w.s.few = few
				n := 0
				w.afterStep = func(evs []Event, _ []Action) {
					checkBooks(t, w.s)
					for _, ev := range evs {
						if r, ok := ev.(AttemptResult); ok && r.Outcome == Delivered {
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
	t.Logf("delivered: %d, where all are looked at %d", served[0], served[scanAllLimit])
	if served[0]*20 < served[scanAllLimit]*19 {
		t.Errorf("%d delivered, %d where all are looked at", served[0], served[scanAllLimit])
	}
}

// A restart in the middle of it takes the books up again.
func TestRestartWhereManyWait(t *testing.T) {
	for name, set := range deploymentVariants() {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, set, 13)
			w.s.few = 0
			steps := 0
			w.beforeStep = func() {
				checkBooks(t, w.s)
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
				w.s.few = 0
			}
			w.play()
			if steps < 300 {
				t.Errorf("%d steps", steps)
			}
		})
	}
}

// The books follow a destination whose latencies are forgotten, and one that is forgotten itself.
func TestBooksFollowWhatIsForgotten(t *testing.T) {
	set := baseSettings()
	set.Classes[0].Deadline, set.LoadRemainingIndex, set.LoadLimitIndex = 1000*Second, 0, 1
	r := newHarness(t, set)
	r.step(0, fullList(1))
	for at := 1.0; at < 5; at++ {
		c := actionsOf[Send](r.step(at, r.message(0)))[0]
		ok := result(c.ID, 1, 0, Delivered)
		ok.Load = []float64{0.5, 100}
		r.step(at+0.5, ok)
	}
	if d := r.s.dests[9]; d.hist.total < 3 || !r.s.hasLoadReports() {
		t.Fatal("nothing is learnt")
	}
	addSamples(&r.s.dests[9].hist, 1, 0.5)
	r.step(6, fullList(0), r.message(0))
	checkBooks(t, r.s)
	r.step(7+seconds(idleDestinationTTL), r.message(1))
	if r.s.dests[9].hist.total > 0 {
		t.Fatal("latencies are not forgotten")
	}
	checkBooks(t, r.s)
	r.step(3000)
	r.step(4000)
	if r.s.dests[9] != nil || r.s.hasLoadReports() {
		t.Error("the destination or its report is not forgotten")
	}
	checkBooks(t, r.s)
}

// A silent unsafe call gives its slot up for other destinations only.
func TestUnsafeCallKeepsTheSlotFromItsOwn(t *testing.T) {
	for _, dest := range []int64{8, 9} {
		set := baseSettings()
		set.CallSlots = 1
		r := newHarness(t, set)
		r.step(0, fullList(1), EndpointUpdate{Entries: []EndpointEntry{{Endpoint: 7, Dest: 8}}})
		r.step(1, r.message(2))
		next := r.message(2)
		next.Dest = dest
		r.step(5, next)
		if n := len(actionsOf[Cancel](r.step(10, TimerFired{}))); n != int(9-dest) {
			t.Errorf("a message waits for destination %d: %d calls given up for it", dest, n)
		}
	}
}
