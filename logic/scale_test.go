package logic

import (
	"fmt"
	"slices"
	"testing"
)

// load is a Sender with a backlog that stays: a new message comes for each that is delivered.
type backlogDriver struct {
	sender   *Sender
	nextDest func() int64 // destination of the next message
	created  int
	now      Micros
	events   []Event
}

// up says whether the destination with this endpoint answers: those of the tens do.
func isUp(ep EndpointID) bool { return ep%10 == 0 }

// onePaced holds n messages at one destination that takes a hundred calls a second.
func onePacedDest(tb testing.TB, n int) *backlogDriver {
	l := newBacklogDriver(tb, 1, 1)
	l.nextDest = func() int64 { return 0 }
	l.addMessages(n)
	return l
}

// mostDown holds ten messages at each of many destinations that are out. The others get a message at a time.
func mostDestsDown(tb testing.TB, n int) *backlogDriver {
	dests := n / 10 * 10 / 9
	l := newBacklogDriver(tb, dests, 1)
	at := 0
	l.nextDest = func() int64 {
		if at++; at%10 == 0 {
			at++
		}
		return int64(at % dests)
	}
	l.addMessages(n)
	l.nextDest = func() int64 { at += 10; return int64(at % dests / 10 * 10) }
	l.addMessage()
	return l
}

// slotsTaken holds ten messages at each of many destinations that all answer, for a few slots.
func fewSlots(tb testing.TB, n int) *backlogDriver {
	l := newBacklogDriver(tb, n/10, 10)
	l.sender.cfg.Slots = 8
	at := 0
	l.nextDest = func() int64 { at++; return int64(at % (n / 10) * 10) }
	l.addMessages(n)
	return l
}

// trialsScarce is mostDown with fewer slots for trials than trials that are due.
func fewTrialSlots(tb testing.TB, n int) *backlogDriver {
	l := mostDestsDown(tb, n)
	l.sender.cfg.Senders, l.sender.cfg.Slots, l.sender.largeFleet = 2, 4, false
	return l
}

// newLoad makes a Sender for some destinations, numbered in steps.
func newBacklogDriver(tb testing.TB, dests, by int) *backlogDriver {
	set := base()
	set.Senders, set.Slots, set.MaxOpen, set.MaxTries, set.Weights = 580, 256, 0, 0, WeightsNominal
	for i := range set.Classes {
		set.Classes[i].Deadline, set.Classes[i].Window = 36000*Second, 36000*Second
	}
	s, err := New(set, 1)
	if err != nil {
		tb.Fatal(err)
	}
	ev := Endpoints{Form: ListFull}
	for i := range dests {
		ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i * by), Dest: int64(i * by), Nominal: 100})
	}
	return &backlogDriver{sender: s, events: []Event{ev}}
}

// fill hands in n messages and lets five seconds pass.
func (l *backlogDriver) addMessages(n int) {
	for range n {
		l.addMessage()
	}
	for range 1000 {
		l.step()
	}
}

func (l *backlogDriver) addMessage() {
	class := l.created % len(l.sender.cfg.Classes)
	l.events = append(l.events, Call{ID: fmt.Sprint(l.created), Left: l.sender.cfg.Classes[class].Deadline, Dest: l.nextDest(), Tenant: -1,
		Class: class})
	l.created++
}

func (l *backlogDriver) step() {
	l.now += l.sender.cfg.Tick
	acts := l.sender.Step(l.now, l.events)
	l.events = nil
	for _, c := range only[CallOut](acts) {
		r := Reply{ID: c.ID, Endpoint: c.Endpoint, Attempt: l.sender.msgs[c.ID].tries - 1, Outcome: RefusedConn}
		if isUp(c.Endpoint) {
			r.Outcome, r.NoMore, r.Took = Completed, true, l.sender.cfg.Tick
			l.addMessage()
		}
		l.events = append(l.events, r)
	}
}

var backlogScenarios = []struct {
	name string
	make func(testing.TB, int) *backlogDriver
}{{"one paced", onePacedDest}, {"most down", mostDestsDown}, {"slots taken", fewSlots}, {"trials scarce", fewTrialSlots}}

func BenchmarkStep(b *testing.B) {
	for _, x := range backlogScenarios {
		for _, n := range []int{100, 500, 1000, 5000, 20000} {
			b.Run(fmt.Sprintf("%s/held=%d", x.name, n), func(b *testing.B) {
				l := x.make(b, n)
				for b.Loop() {
					l.step()
				}
				b.ReportMetric(float64(len(l.sender.msgs)), "held")
			})
		}
	}
}

// run makes n steps and returns how much is looked at in one, and how many calls it makes.
func (l *backlogDriver) measure(n int) (visits, calls float64) {
	for range n {
		l.step()
		visits += float64(l.sender.visitCount)
		for _, ev := range l.events {
			if _, ok := ev.(Reply); ok {
				calls++
			}
		}
	}
	return visits / float64(n), calls / float64(n)
}

// A step costs what it does, not what is held, and does no less for it.
func TestStepCostIndependentOfBacklog(t *testing.T) {
	for _, x := range backlogScenarios {
		few, some := x.make(t, 1000).measure(600)
		for _, n := range []int{5000, 20000} {
			visits, calls := x.make(t, n).measure(600)
			t.Logf("%s: %.0f looked at in a step with 1000 held, %.0f with %d; calls %.2f, %.2f", x.name, few, visits, n, some, calls)
			if visits > 3*few {
				t.Errorf("%s: %.0f looked at in a step with %d held, %.0f with 1000", x.name, visits, n, few)
			}
			if calls < 0.95*some {
				t.Errorf("%s: %.2f calls in a step with %d held, %.2f with 1000", x.name, calls, n, some)
			}
		}
		l := x.make(t, 1000)
		l.sender.fullScanMax = 1000_000
		if _, all := l.measure(600); some < 0.95*all {
			t.Errorf("%s: %.2f calls in a step, %.2f where all are looked at", x.name, some, all)
		}
	}
}

// quiet makes a Sender that holds n messages at one paced destination, all of them long past their aim.
func pausedBacklog(t *testing.T, n int) *backlogDriver {
	l := newBacklogDriver(t, 1, 1)
	l.sender.cfg.Halves = true
	l.nextDest = func() int64 { return 0 }
	for range n {
		l.addMessage()
	}
	l.events = append(l.events, Call{ID: "riser", Left: 36000*Second + 20*Second, Dest: 0, Tenant: -1, Class: 1})
	l.sender.Step(0, l.events)
	l.sender.dests[0].limiter.waitUntil = 15 * Second
	l.events = nil
	for _, a := range l.sender.inFlight {
		l.events = append(l.events, Reply{ID: a.msg.id, Endpoint: a.endpoint.id, NoMore: true, Took: l.sender.cfg.Tick})
	}
	return l
}

// until steps on to the call for a message and returns how many calls come before it.
func (l *backlogDriver) stepUntilSent(t *testing.T, id string) (n int) {
	for range 2000 {
		l.now += l.sender.cfg.Tick
		acts := only[CallOut](l.sender.Step(l.now, l.events))
		l.events = nil
		for _, c := range acts {
			l.events = append(l.events, Reply{ID: c.ID, Endpoint: c.Endpoint, NoMore: true, Took: l.sender.cfg.Tick})
		}
		if i := slices.IndexFunc(acts, func(c CallOut) bool { return c.ID == id }); i >= 0 {
			return n + i
		}
		n += len(acts)
	}
	t.Fatalf("%s is not sent", id)
	return n
}

// Of many the new message that is worth most goes first, and one that becomes so while it waits goes once it is seen.
func TestMostUrgentSentFirst(t *testing.T) {
	for _, n := range []int{1000, 5000} {
		l := pausedBacklog(t, n)
		l.now = 14 * Second
		l.events = append(l.events, Call{ID: "new", Left: 36000*Second - 2*Second, Dest: 0, Tenant: -1, Class: 1})
		if k := l.stepUntilSent(t, "new"); k > 0 {
			t.Errorf("of %d: %d calls before that for the new message", n, k)
		}
		// One that rests meanwhile is not lost sight of.
		l.sender.dests[0].limiter.waitUntil = l.now + 2*Second
		l.now += l.sender.cfg.Tick
		l.events = append(l.events, Call{ID: "rests", Left: 36000*Second - 2*Second, Dest: 0, Tenant: -1, Class: 1})
		l.sender.Step(l.now, l.events)
		l.sender.msgs["rests"].retryAt = l.now + Second
		l.events = nil
		for range 3 {
			l.now += l.sender.cfg.Tick
			l.events = nil
			l.addMessage()
			l.sender.Step(l.now, l.events)
		}
		l.events = nil
		l.now += 2 * Second
		if k := l.stepUntilSent(t, "rests"); k > 3 { // those that came with it may be worth more
			t.Errorf("of %d: %d calls before that for the one that has rested", n, k)
		}
		m := l.sender.msgs["riser"]
		m.submitted = l.now + Second/2 - m.class.Aim // its time comes in half a second
		if k := l.stepUntilSent(t, "riser"); k > 50+n/part {
			t.Errorf("of %d: %d calls before that for the one that has become urgent", n, k)
		}
	}
}

// Messages of one key go one after the other without a pause, however many wait for their turn.
func TestLongQueueOfOneKey(t *testing.T) {
	l := newBacklogDriver(t, 1, 10)
	l.sender.cfg.Classes[0].KeepOrder, l.sender.cfg.Weights = true, WeightsOff
	for i := range 2000 {
		l.events = append(l.events, Call{ID: fmt.Sprint(i), Left: 36000 * Second, Key: "k", Dest: 0, Tenant: -1})
	}
	for i := range 400 {
		l.now += l.sender.cfg.Tick
		out := only[CallOut](l.sender.Step(l.now, l.events))
		if len(out) != 1 || out[0].ID != fmt.Sprint(i) {
			t.Fatalf("step %d: %v", i, out)
		}
		l.events = []Event{Reply{ID: out[0].ID, NoMore: true, Took: l.sender.cfg.Tick}}
		checkIndexes(t, l.sender)
	}
}

// What waits for something of its own does not keep the others of its destination waiting, nor the module busy.
func TestHeldMessagesDoNotBlockOthers(t *testing.T) {
	l := mostDestsDown(t, 2000)
	l.sender.cfg.Classes[1].KeepOrder = true
	for i := range 1900 {
		l.events = append(l.events, Call{ID: fmt.Sprint("k", i), Left: 36000 * Second, Key: "k", Dest: 0, Tenant: -1, Class: 1})
	}
	for i := range 20 {
		l.events = append(l.events, Call{ID: fmt.Sprint("p", i), Left: 36000 * Second, Dest: 0, Tenant: -1})
	}
	l.sender.endpoints[0].state = Draining
	l.now += l.sender.cfg.Tick
	l.sender.Step(l.now, l.events)
	l.sender.keyQueues["k"].messages[0].retryAt = 36000 * Second // so the others wait for it
	l.events = []Event{Endpoints{Entries: []Entry{{Endpoint: 0, Dest: 0, Nominal: 100}}}}
	l.nextDest = func() int64 { return 10 } // none comes here any more
	for range 150 {
		l.step()
	}
	for i := range 20 {
		if m := l.sender.msgs[fmt.Sprint("p", i)]; m != nil && m.inFlight == nil {
			t.Errorf("%s is not sent", m.id)
		}
	}
	looks := 0
	for range 200 {
		if l.step(); l.sender.dests[0].backlog.scannedStep == l.sender.step {
			looks++
		}
	}
	if looks > 40 {
		t.Errorf("looked at in %d of 200 steps though nothing changes", looks)
	}
	late := l.sender.keyQueues["k"].messages[0]
	late.retryAt = l.now + Second
	l.sender.scheduleScan(late.dest)
	for range 300 {
		l.step()
	}
	if late.tries == 0 {
		t.Error("the first of its key is not sent after its rest")
	}
}

// A change at a destination is looked at in the step that brings it.
func TestChangedDestinationIsScanned(t *testing.T) {
	for name, change := range map[string]func(i int) Event{
		"gone": func(i int) Event {
			return Endpoints{Entries: []Entry{{Endpoint: EndpointID(i), Dest: int64(i), State: Gone}}}
		},
		"listed": func(i int) Event { return Endpoints{Entries: []Entry{{Endpoint: EndpointID(i), Dest: int64(i)}}} },
		"new":    func(i int) Event { return Call{ID: fmt.Sprint("new", i), Left: Second, Dest: int64(i), Tenant: -1} },
	} {
		l := mostDestsDown(t, 2000)
		for i := 1; i < 10; i++ {
			l.now += l.sender.cfg.Tick
			l.sender.Step(l.now, []Event{change(i)})
			if l.sender.dests[int64(i)].backlog.scannedStep != l.sender.step {
				t.Errorf("%s: destination %d is not looked at", name, i)
			}
		}
	}
}

// A reply makes room at its destination: what waited for that goes in the same step.
func TestReplyFreesSlotInSameStep(t *testing.T) {
	l := mostDestsDown(t, 2000)
	l.sender.cfg.Weights = WeightsOff
	l.sender.dests[0].limiter.limit = 0
	for i := range 300 {
		l.events = append(l.events, Call{ID: fmt.Sprint("r", i), Left: 36000 * Second, Dest: 0, Tenant: -1})
	}
	var out []CallOut
	for range 20 { // those of the tens answer; the lane takes half of the slots
		l.now += l.sender.cfg.Tick
		out = append(out, only[CallOut](l.sender.Step(l.now, l.events))...)
		l.events = nil
	}
	out = slices.DeleteFunc(out, func(c CallOut) bool { return c.Endpoint != 0 })
	if len(out) < 100 || l.sender.dests[0].backlog == nil {
		t.Fatalf("%d calls, none waits: %v", len(out), l.sender.dests[0].backlog == nil)
	}
	for _, c := range out[:20] {
		l.now += l.sender.cfg.Tick
		acts := only[CallOut](l.sender.Step(l.now, []Event{Reply{ID: c.ID, NoMore: true, Took: l.sender.cfg.Tick}}))
		if !slices.ContainsFunc(acts, func(c CallOut) bool { return c.Endpoint == 0 }) {
			t.Fatalf("after the reply for %s nothing is sent", c.ID)
		}
	}
}

// What no event brings up is looked at in turn: a budget grows while it is waited for.
func TestAllDestinationsScannedInTurn(t *testing.T) {
	l := mostDestsDown(t, 2000)
	from := l.sender.step
	for range 4 * len(l.sender.dests) / turns {
		l.step()
	}
	for _, b := range l.sender.waiting.scanQueue.items {
		if b.scannedStep <= from {
			t.Errorf("destination %d is not looked at in %d steps", b.dest.id, l.sender.step-from)
		}
	}
}

// What lacks a slot is known, so that the next one that is free finds it.
func TestSlotWaitersAreTracked(t *testing.T) {
	l := fewTrialSlots(t, 5000)
	for range 200 {
		l.step()
	}
	lacking := 0
	for _, b := range l.sender.waiting.scanQueue.items {
		e := b.dest.endpoints[0]
		if b.nextScanAt < never || !e.ejected || e.inFlight > 0 {
			continue
		}
		if lacking++; b.slotWaitPos == [2]int{} {
			t.Fatalf("destination %d waits for nothing", b.dest.id)
		}
	}
	if lacking < 10 {
		t.Errorf("%d destinations lack a slot for a trial", lacking)
	}
	// Slots that those asked first can't use are offered to others in the next step.
	l = fewSlots(t, 2000)
	var replies []Event
	for _, ev := range l.events {
		if r, ok := ev.(Reply); ok {
			replies = append(replies, r)
		}
	}
	timer := only[SetTimer](l.sender.Step(l.now+1000, append(replies, Closing{Left: 1})))
	if len(l.sender.waiting.slotWaiters[anySlot].items) == 0 || l.sender.busy > 0 {
		t.Fatalf("%d wait for a slot, %d are busy", len(l.sender.waiting.slotWaiters[anySlot].items), l.sender.busy)
	}
	if len(timer) != 1 || timer[0].Wait > l.sender.cfg.Tick {
		t.Errorf("timers %v, want one at the next tick", timer)
	}
}

// No message is looked at twice in a step.
func TestSampleHasNoRepeats(t *testing.T) {
	for _, n := range []int{100, 130, 2000} {
		l := onePacedDest(t, n)
		for step := l.sender.step + 1; step < l.sender.step+50; step++ {
			seen := map[*msg]bool{}
			for _, m := range l.sender.dests[0].backlog.sample(step, nil) {
				if seen[m] {
					t.Fatalf("%s is in a sample of %d twice", m.id, n)
				}
				seen[m] = true
			}
		}
	}
}

// A timer that goes off late, or a clock that jumps, makes ends late, and no more: all of them come in that step.
func TestLateTimerEndsAllExpired(t *testing.T) {
	for _, few := range []int{0, fewWait} {
		l := mostDestsDown(t, 2000)
		l.sender.fullScanMax = few
		l.now += 40000 * Second
		acts := l.sender.Step(l.now, l.events)
		if n := len(only[Refuse](acts)) + len(only[Fail](acts)); n < 2000 {
			t.Errorf("%d ends", n)
		}
		if l.sender.waiting.count > 2 {
			t.Errorf("%d wait on", l.sender.waiting.count)
		}
		checkIndexes(t, l.sender)
	}
}

// Odd events where many wait: the books stay right, and nothing is done for what is not known.
func TestInvalidEventsWithManyWaiting(t *testing.T) {
	l := mostDestsDown(t, 2000)
	id := l.sender.held[1000].id
	for _, evs := range [][]Event{
		{Call{ID: id, Left: 36000 * Second, Dest: 1, Tenant: -1}},                      // again, for another destination
		{Call{ID: "none", Left: -Second, Dest: 77777, Tenant: 9, Class: 1}},            // over when it comes
		{Call{ID: "odd", Dest: 1, Class: 99}, Call{ID: "odd", Dest: 1, Class: -1}},     // of no class
		{Reply{ID: id, Attempt: 99}, Reply{ID: id, Attempt: -1}, ClientGone{"nobody"}}, // of nothing that is out
		{ClientGone{id}, ClientGone{id}, Reply{ID: id}},
		{Endpoints{Form: ListDelta, Entries: []Entry{{Endpoint: 1, Dest: 2}, {Endpoint: 2, Dest: 1}}}}, // moved
		{Endpoints{Form: ListFull}}, // nothing is left
		{Due{99}, Started{ID: id}, Closing{Left: Second}},
	} {
		l.sender.Step(l.now, evs)
		checkIndexes(t, l.sender)
	}
	l.sender.Step(0, nil) // a clock that goes back
	checkIndexes(t, l.sender)
	l.sender.Step(never, []Event{Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1}}}}) // and one that runs out
	checkIndexes(t, l.sender)
	if l.sender.waiting.count > 0 {
		t.Errorf("%d wait past the end of time", l.sender.waiting.count)
	}
}

// With more coming than a pace sends and a hold that is nearly full, the door turns away about what it does where all
// are looked at, and as much is delivered.
func TestNearlyFullWithManyWaiting(t *testing.T) {
	play := func(few int) (delivered, returned int) {
		set := base()
		set.MaxOpen, set.Senders, set.MaxTries, set.Slots = 1500, 1, 0, 64
		s, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		s.fullScanMax = few
		evs := []Event{Endpoints{Form: ListFull, Entries: []Entry{{Endpoint: 1, Dest: 1}}}}
		n := 0
		for now := Micros(0); now < 40*Second; now += set.Tick {
			for range 2 { // 400 a second
				if n++; s.openCount < set.MaxOpen {
					evs = append(evs, Call{ID: fmt.Sprint(n), Left: set.Classes[n%2].Deadline, Dest: 1, Tenant: -1, Class: n % 2})
				}
			}
			s.destByID(1).limiter.pace = 100
			acts := s.Step(now, evs)
			evs = nil
			for _, c := range only[CallOut](acts) {
				delivered++
				evs = append(evs, Reply{ID: c.ID, Endpoint: 1, Attempt: s.msgs[c.ID].tries - 1, NoMore: true, Took: set.Tick})
			}
			for _, r := range only[Refuse](acts) {
				if s.now < Second {
					t.Fatalf("%s is turned away by an empty hold", r.ID)
				}
				returned++
			}
			checkIndexes(t, s)
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
