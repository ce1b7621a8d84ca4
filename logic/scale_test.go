package logic

import (
	"fmt"
	"slices"
	"testing"
)

// load is a Sender with a backlog that stays: a new message comes for each that is delivered.
type load struct {
	s    *Sender
	next func() int64 // destination of the next message
	n    int
	now  Micros
	evs  []Event
}

// up says whether the destination with this endpoint answers: those of the tens do.
func up(ep EndpointID) bool { return ep%10 == 0 }

// onePaced holds n messages at one destination that takes a hundred calls a second.
func onePaced(tb testing.TB, n int) *load {
	l := newLoad(tb, 1, 1)
	l.next = func() int64 { return 0 }
	l.fill(n)
	return l
}

// mostDown holds ten messages at each of many destinations that are out. The others get a message at a time.
func mostDown(tb testing.TB, n int) *load {
	dests := n / 10 * 10 / 9
	l := newLoad(tb, dests, 1)
	at := 0
	l.next = func() int64 {
		if at++; at%10 == 0 {
			at++
		}
		return int64(at % dests)
	}
	l.fill(n)
	l.next = func() int64 { at += 10; return int64(at % dests / 10 * 10) }
	l.call()
	return l
}

// slotsTaken holds ten messages at each of many destinations that all answer, for a few slots.
func slotsTaken(tb testing.TB, n int) *load {
	l := newLoad(tb, n/10, 10)
	l.s.set.CallSlots = 8
	at := 0
	l.next = func() int64 { at++; return int64(at % (n / 10) * 10) }
	l.fill(n)
	return l
}

// trialsScarce is mostDown with fewer slots for trials than trials that are due.
func trialsScarce(tb testing.TB, n int) *load {
	l := mostDown(tb, n)
	l.s.set.Senders, l.s.set.CallSlots, l.s.many = 2, 4, false
	return l
}

// newLoad makes a Sender for some destinations, numbered in steps.
func newLoad(tb testing.TB, dests, by int) *load {
	set := baseSettings()
	set.Senders, set.CallSlots, set.MaxOpen, set.MaxAttempts, set.Weights = 580, 256, 0, 0, WeightsNominal
	for i := range set.Classes {
		set.Classes[i].Deadline, set.Classes[i].DedupWindow = 36000*Second, 36000*Second
	}
	s, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	ev := EndpointUpdate{Kind: UpdateFull}
	for i := range dests {
		ev.Entries = append(ev.Entries, EndpointEntry{Endpoint: EndpointID(i * by), Dest: int64(i * by), NominalRate: 100})
	}
	return &load{s: s, evs: []Event{ev}}
}

// fill hands in n messages and lets five seconds pass.
func (l *load) fill(n int) {
	for range n {
		l.call()
	}
	for range 1000 {
		l.step()
	}
}

func (l *load) call() {
	class := l.n % len(l.s.set.Classes)
	l.evs = append(l.evs, Message{ID: fmt.Sprint(l.n), TimeLeft: l.s.set.Classes[class].Deadline, Dest: l.next(), Tenant: -1,
		Class: class})
	l.n++
}

func (l *load) step() {
	l.now += l.s.set.Tick
	acts := l.s.Step(l.now, l.evs)
	l.evs = nil
	for _, c := range actionsOf[Send](acts) {
		r := AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Attempt: l.s.msgs[c.ID].tries - 1, Outcome: ConnRefused}
		if up(c.Endpoint) {
			r.Outcome, r.Final, r.Latency = Delivered, true, l.s.set.Tick
			l.call()
		}
		l.evs = append(l.evs, r)
	}
}

var loads = []struct {
	name string
	make func(testing.TB, int) *load
}{{"one paced", onePaced}, {"most down", mostDown}, {"slots taken", slotsTaken}, {"trials scarce", trialsScarce}}

func BenchmarkStep(b *testing.B) {
	for _, x := range loads {
		for _, n := range []int{100, 500, 1000, 5000, 20000} {
			b.Run(fmt.Sprintf("%s/held=%d", x.name, n), func(b *testing.B) {
				l := x.make(b, n)
				for b.Loop() {
					l.step()
				}
				b.ReportMetric(float64(len(l.s.msgs)), "held")
			})
		}
	}
}

// run makes n steps and returns how much is looked at in one, and how many calls it makes.
func (l *load) run(n int) (visits, calls float64) {
	for range n {
		l.step()
		visits += float64(l.s.visits)
		for _, ev := range l.evs {
			if _, ok := ev.(AttemptResult); ok {
				calls++
			}
		}
	}
	return visits / float64(n), calls / float64(n)
}

// A step costs what it does, not what is held, and does no less for it.
func TestStepCostsWhatItDoes(t *testing.T) {
	for _, x := range loads {
		few, some := x.make(t, 1000).run(600)
		for _, n := range []int{5000, 20000} {
			visits, calls := x.make(t, n).run(600)
			t.Logf("%s: %.0f looked at in a step with 1000 held, %.0f with %d; calls %.2f, %.2f", x.name, few, visits, n, some, calls)
			if visits > 3*few {
				t.Errorf("%s: %.0f looked at in a step with %d held, %.0f with 1000", x.name, visits, n, few)
			}
			if calls < 0.95*some {
				t.Errorf("%s: %.2f calls in a step with %d held, %.2f with 1000", x.name, calls, n, some)
			}
		}
		l := x.make(t, 1000)
		l.s.few = 1000_000
		if _, all := l.run(600); some < 0.95*all {
			t.Errorf("%s: %.2f calls in a step, %.2f where all are looked at", x.name, some, all)
		}
	}
}

// quiet makes a Sender that holds n messages at one paced destination, all of them long past their aim.
func quiet(t *testing.T, n int) *load {
	l := newLoad(t, 1, 1)
	l.s.set.ExponentialDecay = true
	l.next = func() int64 { return 0 }
	for range n {
		l.call()
	}
	l.evs = append(l.evs, Message{ID: "riser", TimeLeft: 36000*Second + 20*Second, Dest: 0, Tenant: -1, Class: 1})
	l.s.Step(0, l.evs)
	l.s.dests[0].lane.until = 15 * Second
	l.evs = nil
	for _, a := range l.s.flying {
		l.evs = append(l.evs, AttemptResult{ID: a.m.id, Endpoint: a.ep.id, Final: true, Latency: l.s.set.Tick})
	}
	return l
}

// until steps on to the call for a message and returns how many calls come before it.
func (l *load) until(t *testing.T, id string) (n int) {
	for range 2000 {
		l.now += l.s.set.Tick
		acts := actionsOf[Send](l.s.Step(l.now, l.evs))
		l.evs = nil
		for _, c := range acts {
			l.evs = append(l.evs, AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Final: true, Latency: l.s.set.Tick})
		}
		if i := slices.IndexFunc(acts, func(c Send) bool { return c.ID == id }); i >= 0 {
			return n + i
		}
		n += len(acts)
	}
	t.Fatalf("%s is not sent", id)
	return n
}

// Of many the new message that is worth most goes first, and one that becomes so while it waits goes once it is seen.
func TestMostUrgentOfManyGoesFirst(t *testing.T) {
	for _, n := range []int{1000, 5000} {
		l := quiet(t, n)
		l.now = 14 * Second
		l.evs = append(l.evs, Message{ID: "new", TimeLeft: 36000*Second - 2*Second, Dest: 0, Tenant: -1, Class: 1})
		if k := l.until(t, "new"); k > 0 {
			t.Errorf("of %d: %d calls before that for the new message", n, k)
		}
		// One that rests meanwhile is not lost sight of.
		l.s.dests[0].lane.until = l.now + 2*Second
		l.now += l.s.set.Tick
		l.evs = append(l.evs, Message{ID: "rests", TimeLeft: 36000*Second - 2*Second, Dest: 0, Tenant: -1, Class: 1})
		l.s.Step(l.now, l.evs)
		l.s.msgs["rests"].rest = l.now + Second
		l.evs = nil
		for range 3 {
			l.now += l.s.set.Tick
			l.evs = nil
			l.call()
			l.s.Step(l.now, l.evs)
		}
		l.evs = nil
		l.now += 2 * Second
		if k := l.until(t, "rests"); k > 3 { // those that came with it may be worth more
			t.Errorf("of %d: %d calls before that for the one that has rested", n, k)
		}
		m := l.s.msgs["riser"]
		m.first = l.now + Second/2 - m.class.TargetLatency // its time comes in half a second
		if k := l.until(t, "riser"); k > 50+n/sampleSize {
			t.Errorf("of %d: %d calls before that for the one that has become urgent", n, k)
		}
	}
}

// Messages of one key go one after the other without a pause, however many wait for their turn.
func TestLongLineOfOneKey(t *testing.T) {
	l := newLoad(t, 1, 10)
	l.s.set.Classes[0].KeepOrder, l.s.set.Weights = true, WeightsOff
	for i := range 2000 {
		l.evs = append(l.evs, Message{ID: fmt.Sprint(i), TimeLeft: 36000 * Second, OrderKey: "k", Dest: 0, Tenant: -1})
	}
	for i := range 400 {
		l.now += l.s.set.Tick
		out := actionsOf[Send](l.s.Step(l.now, l.evs))
		if len(out) != 1 || out[0].ID != fmt.Sprint(i) {
			t.Fatalf("step %d: %v", i, out)
		}
		l.evs = []Event{AttemptResult{ID: out[0].ID, Final: true, Latency: l.s.set.Tick}}
		checkBooks(t, l.s)
	}
}

// What waits for something of its own does not keep the others of its destination waiting, nor the module busy.
func TestHeldBackByThemselves(t *testing.T) {
	l := mostDown(t, 2000)
	l.s.set.Classes[1].KeepOrder = true
	for i := range 1900 {
		l.evs = append(l.evs, Message{ID: fmt.Sprint("k", i), TimeLeft: 36000 * Second, OrderKey: "k", Dest: 0, Tenant: -1, Class: 1})
	}
	for i := range 20 {
		l.evs = append(l.evs, Message{ID: fmt.Sprint("p", i), TimeLeft: 36000 * Second, Dest: 0, Tenant: -1})
	}
	l.s.eps[0].state = Draining
	l.now += l.s.set.Tick
	l.s.Step(l.now, l.evs)
	l.s.keys["k"].q[0].rest = 36000 * Second // so the others wait for it
	l.evs = []Event{EndpointUpdate{Entries: []EndpointEntry{{Endpoint: 0, Dest: 0, NominalRate: 100}}}}
	l.next = func() int64 { return 10 } // none comes here any more
	for range 150 {
		l.step()
	}
	for i := range 20 {
		if m := l.s.msgs[fmt.Sprint("p", i)]; m != nil && m.out == nil {
			t.Errorf("%s is not sent", m.id)
		}
	}
	looks := 0
	for range 200 {
		if l.step(); l.s.dests[0].backlog.looked == l.s.step {
			looks++
		}
	}
	if looks > 40 {
		t.Errorf("looked at in %d of 200 steps though nothing changes", looks)
	}
	late := l.s.keys["k"].q[0]
	late.rest = l.now + Second
	l.s.touch(late.dest)
	for range 300 {
		l.step()
	}
	if late.tries == 0 {
		t.Error("the first of its key is not sent after its rest")
	}
}

// A change at a destination is looked at in the step that brings it.
func TestChangeIsLookedAt(t *testing.T) {
	for name, change := range map[string]func(i int) Event{
		"gone": func(i int) Event {
			return EndpointUpdate{Entries: []EndpointEntry{{Endpoint: EndpointID(i), Dest: int64(i), State: Removed}}}
		},
		"listed": func(i int) Event {
			return EndpointUpdate{Entries: []EndpointEntry{{Endpoint: EndpointID(i), Dest: int64(i)}}}
		},
		"new": func(i int) Event {
			return Message{ID: fmt.Sprint("new", i), TimeLeft: Second, Dest: int64(i), Tenant: -1}
		},
	} {
		l := mostDown(t, 2000)
		for i := 1; i < 10; i++ {
			l.now += l.s.set.Tick
			l.s.Step(l.now, []Event{change(i)})
			if l.s.dests[int64(i)].backlog.looked != l.s.step {
				t.Errorf("%s: destination %d is not looked at", name, i)
			}
		}
	}
}

// A reply makes room at its destination: what waited for that goes in the same step.
func TestRoomIsTakenAtOnce(t *testing.T) {
	l := mostDown(t, 2000)
	l.s.set.Weights = WeightsOff
	l.s.dests[0].lane.limit = 0
	for i := range 300 {
		l.evs = append(l.evs, Message{ID: fmt.Sprint("r", i), TimeLeft: 36000 * Second, Dest: 0, Tenant: -1})
	}
	var out []Send
	for range 20 { // those of the tens answer; the lane takes half of the slots
		l.now += l.s.set.Tick
		out = append(out, actionsOf[Send](l.s.Step(l.now, l.evs))...)
		l.evs = nil
	}
	out = slices.DeleteFunc(out, func(c Send) bool { return c.Endpoint != 0 })
	if len(out) < 100 || l.s.dests[0].backlog == nil {
		t.Fatalf("%d calls, none waits: %v", len(out), l.s.dests[0].backlog == nil)
	}
	for _, c := range out[:20] {
		l.now += l.s.set.Tick
		acts := actionsOf[Send](l.s.Step(l.now, []Event{AttemptResult{ID: c.ID, Final: true, Latency: l.s.set.Tick}}))
		if !slices.ContainsFunc(acts, func(c Send) bool { return c.Endpoint == 0 }) {
			t.Fatalf("after the reply for %s nothing is sent", c.ID)
		}
	}
}

// What no event brings up is looked at in turn: a budget grows while it is waited for.
func TestEachIsLookedAtInTurn(t *testing.T) {
	l := mostDown(t, 2000)
	from := l.s.step
	for range 4 * len(l.s.dests) / backlogsPerRound {
		l.step()
	}
	for _, b := range l.s.wait.looks.items {
		if b.looked <= from {
			t.Errorf("destination %d is not looked at in %d steps", b.dest.id, l.s.step-from)
		}
	}
}

// What lacks a slot is known, so that the next one that is free finds it.
func TestWhatLacksASlotIsKnown(t *testing.T) {
	l := trialsScarce(t, 5000)
	for range 200 {
		l.step()
	}
	lacking := 0
	for _, b := range l.s.wait.looks.items {
		e := b.dest.eps[0]
		if b.again < never || !e.ejected || e.inflight > 0 {
			continue
		}
		if lacking++; b.scarce == [2]int{} {
			t.Fatalf("destination %d waits for nothing", b.dest.id)
		}
	}
	if lacking < 10 {
		t.Errorf("%d destinations lack a slot for a trial", lacking)
	}
	// Slots that those asked first can't use are offered to others in the next step.
	l = slotsTaken(t, 2000)
	var replies []Event
	for _, ev := range l.evs {
		if r, ok := ev.(AttemptResult); ok {
			replies = append(replies, r)
		}
	}
	timer := actionsOf[SetTimer](l.s.Step(l.now+1000, append(replies, Shutdown{TimeLeft: 1})))
	if len(l.s.wait.scarce[anySlot].items) == 0 || l.s.busy > 0 {
		t.Fatalf("%d wait for a slot, %d are busy", len(l.s.wait.scarce[anySlot].items), l.s.busy)
	}
	if len(timer) != 1 || timer[0].Wait > l.s.set.Tick {
		t.Errorf("timers %v, want one at the next tick", timer)
	}
}

// No message is looked at twice in a step.
func TestSampleHasEachOnce(t *testing.T) {
	for _, n := range []int{100, 130, 2000} {
		l := onePaced(t, n)
		for step := l.s.step + 1; step < l.s.step+50; step++ {
			seen := map[*msg]bool{}
			for _, m := range l.s.dests[0].backlog.sample(step, nil) {
				if seen[m] {
					t.Fatalf("%s is in a sample of %d twice", m.id, n)
				}
				seen[m] = true
			}
		}
	}
}

// A timer that goes off late, or a clock that jumps, makes ends late, and no more: all of them come in that step.
func TestLateTimerEndsAll(t *testing.T) {
	for _, few := range []int{0, scanAllLimit} {
		l := mostDown(t, 2000)
		l.s.few = few
		l.now += 40000 * Second
		acts := l.s.Step(l.now, l.evs)
		if n := len(actionsOf[Reject](acts)) + len(actionsOf[Fail](acts)); n < 2000 {
			t.Errorf("%d ends", n)
		}
		if l.s.wait.count > 2 {
			t.Errorf("%d wait on", l.s.wait.count)
		}
		checkBooks(t, l.s)
	}
}

// Odd events where many wait: the books stay right, and nothing is done for what is not known.
func TestOddEventsWhereManyWait(t *testing.T) {
	l := mostDown(t, 2000)
	id := l.s.held[1000].id
	for _, evs := range [][]Event{
		{Message{ID: id, TimeLeft: 36000 * Second, Dest: 1, Tenant: -1}},                               // again, for another destination
		{Message{ID: "none", TimeLeft: -Second, Dest: 77777, Tenant: 9, Class: 1}},                     // over when it comes
		{Message{ID: "odd", Dest: 1, Class: 99}, Message{ID: "odd", Dest: 1, Class: -1}},               // of no class
		{AttemptResult{ID: id, Attempt: 99}, AttemptResult{ID: id, Attempt: -1}, ClientGone{"nobody"}}, // of nothing that is out
		{ClientGone{id}, ClientGone{id}, AttemptResult{ID: id}},
		{EndpointUpdate{Kind: UpdateDelta, Entries: []EndpointEntry{{Endpoint: 1, Dest: 2}, {Endpoint: 2, Dest: 1}}}}, // moved
		{EndpointUpdate{Kind: UpdateFull}},                                                                            // nothing is left
		{TimerFired{99}, StreamStarted{ID: id}, Shutdown{TimeLeft: Second}},
	} {
		l.s.Step(l.now, evs)
		checkBooks(t, l.s)
	}
	l.s.Step(0, nil) // a clock that goes back
	checkBooks(t, l.s)
	l.s.Step(never, []Event{EndpointUpdate{Kind: UpdateFull, Entries: []EndpointEntry{{Endpoint: 1, Dest: 1}}}}) // and one that runs out
	checkBooks(t, l.s)
	if l.s.wait.count > 0 {
		t.Errorf("%d wait past the end of time", l.s.wait.count)
	}
}

// With more coming than a pace sends and a hold that is nearly full, the door turns away about what it does where all
// are looked at, and as much is delivered.
func TestFullHoldWhereManyWait(t *testing.T) {
	play := func(few int) (delivered, returned int) {
		set := baseSettings()
		set.MaxOpen, set.Senders, set.MaxAttempts, set.CallSlots = 1500, 1, 0, 64
		s, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		s.few = few
		evs := []Event{EndpointUpdate{Kind: UpdateFull, Entries: []EndpointEntry{{Endpoint: 1, Dest: 1}}}}
		n := 0
		for now := Micros(0); now < 40*Second; now += set.Tick {
			for range 2 { // 400 a second
				if n++; s.open < set.MaxOpen {
					evs = append(evs, Message{ID: fmt.Sprint(n), TimeLeft: set.Classes[n%2].Deadline, Dest: 1, Tenant: -1, Class: n % 2})
				}
			}
			s.dest(1).lane.pace = 100
			acts := s.Step(now, evs)
			evs = nil
			for _, c := range actionsOf[Send](acts) {
				delivered++
				evs = append(evs, AttemptResult{ID: c.ID, Endpoint: 1, Attempt: s.msgs[c.ID].tries - 1, Final: true, Latency: set.Tick})
			}
			for _, r := range actionsOf[Reject](acts) {
				if s.now < Second {
					t.Fatalf("%s is turned away by an empty hold", r.ID)
				}
				returned++
			}
			checkBooks(t, s)
		}
		return delivered, returned
	}
	sent, returned := play(0)
	wantSent, wantReturned := play(1000_000)
	t.Logf("%d delivered, %d returned; where all are looked at %d, %d", sent, returned, wantSent, wantReturned)
	if float64(sent) < 0.97*float64(wantSent) {
		t.Errorf("%d delivered, %d where all are looked at", sent, wantSent)
	}
	if x := float64(returned) / float64(wantReturned); x < 0.9 || x > 1.1 {
		t.Errorf("%d returned, %d where all are looked at", returned, wantReturned)
	}
}
