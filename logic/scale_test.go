package logic

import (
	"fmt"
	"slices"
	"testing"
)

// backlogDriver drives a Sender whose backlog keeps its size: a new message is added for each one delivered.
type backlogDriver struct {
	sender   *Sender
	nextDest func() int64 // destination of the next message
	created  int          // messages so far
	now      Micros
	events   []Event // for the next step
}

// isUp reports whether an endpoint answers: those with a multiple of ten as id do.
func isUp(ep EndpointID) bool { return ep%10 == 0 }

// onePacedDest holds n messages for one destination that takes a hundred calls per second.
func onePacedDest(tb testing.TB, n int) *backlogDriver {
	d := newBacklogDriver(tb, 1, 1)
	d.nextDest = func() int64 { return 0 }
	d.addMessages(n)
	return d
}

// mostDestsDown holds ten messages for each of many destinations that are down. The others have one message at a
// time.
func mostDestsDown(tb testing.TB, n int) *backlogDriver {
	dests := n / 10 * 10 / 9
	d := newBacklogDriver(tb, dests, 1)
	at := 0
	d.nextDest = func() int64 {
		if at++; at%10 == 0 {
			at++
		}
		return int64(at % dests)
	}
	d.addMessages(n)
	d.nextDest = func() int64 { at += 10; return int64(at % dests / 10 * 10) }
	d.addMessage()
	return d
}

// fewSlots holds ten messages for each of many destinations that all answer, but has few slots.
func fewSlots(tb testing.TB, n int) *backlogDriver {
	d := newBacklogDriver(tb, n/10, 10)
	d.sender.cfg.CallSlots = 8
	at := 0
	d.nextDest = func() int64 { at++; return int64(at % (n / 10) * 10) }
	d.addMessages(n)
	return d
}

// fewTrialSlots is mostDestsDown with fewer slots for trials than trials that are due.
func fewTrialSlots(tb testing.TB, n int) *backlogDriver {
	d := mostDestsDown(tb, n)
	d.sender.cfg.Senders, d.sender.cfg.CallSlots, d.sender.manySenders = 2, 4, false
	return d
}

// newBacklogDriver makes a Sender with dests destinations of one endpoint each. Their ids are multiples of idStep.
func newBacklogDriver(tb testing.TB, dests, idStep int) *backlogDriver {
	cfg := baseSettings()
	cfg.Senders, cfg.CallSlots, cfg.MaxOpen, cfg.MaxAttempts, cfg.Weights = 580, 256, 0, 0, WeightsNominal
	for i := range cfg.Classes {
		cfg.Classes[i].Deadline, cfg.Classes[i].DedupWindow = 36000*Second, 36000*Second
	}
	s, err := New(cfg, 1)
	if err != nil {
		tb.Fatal(err)
	}
	ev := EndpointUpdate{Kind: UpdateFull}
	for i := range dests {
		ev.Entries = append(ev.Entries, EndpointEntry{Endpoint: EndpointID(i * idStep), Dest: int64(i * idStep), NominalRate: 100})
	}
	return &backlogDriver{sender: s, events: []Event{ev}}
}

// addMessages adds n messages and lets five seconds pass.
func (d *backlogDriver) addMessages(n int) {
	for range n {
		d.addMessage()
	}
	for range 1000 {
		d.step()
	}
}

func (d *backlogDriver) addMessage() {
	class := d.created % len(d.sender.cfg.Classes)
	d.events = append(d.events, Message{
		ID:       fmt.Sprint(d.created),
		TimeLeft: d.sender.cfg.Classes[class].Deadline,
		Dest:     d.nextDest(),
		Tenant:   -1,
		Class:    class,
	})
	d.created++
}

func (d *backlogDriver) step() {
	d.now += d.sender.cfg.Tick
	acts := d.sender.Step(d.now, d.events)
	d.events = nil
	for _, c := range actionsOf[Send](acts) {
		r := AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Attempt: d.sender.msgs[c.ID].attempts - 1, Outcome: ConnRefused}
		if isUp(c.Endpoint) {
			r.Outcome, r.Final, r.Latency = Delivered, true, d.sender.cfg.Tick
			d.addMessage()
		}
		d.events = append(d.events, r)
	}
}

var backlogScenarios = []struct {
	name string
	make func(testing.TB, int) *backlogDriver
}{
	{"one paced", onePacedDest},
	{"most down", mostDestsDown},
	{"few slots", fewSlots},
	{"few trial slots", fewTrialSlots},
}

func BenchmarkStep(b *testing.B) {
	for _, scenario := range backlogScenarios {
		for _, n := range []int{100, 500, 1000, 5000, 20000} {
			b.Run(fmt.Sprintf("%s/held=%d", scenario.name, n), func(b *testing.B) {
				d := scenario.make(b, n)
				for b.Loop() {
					d.step()
				}
				b.ReportMetric(float64(len(d.sender.msgs)), "held")
			})
		}
	}
}

// measure makes n steps and returns the mean number of items examined and of calls made in a step.
func (d *backlogDriver) measure(n int) (visits, calls float64) {
	for range n {
		d.step()
		visits += float64(d.sender.visitCount)
		for _, ev := range d.events {
			if _, ok := ev.(AttemptResult); ok {
				calls++
			}
		}
	}
	return visits / float64(n), calls / float64(n)
}

// The cost of a step does not grow with the number of held messages, and steps make as many calls as with full scans.
func TestStepCostIndependentOfBacklog(t *testing.T) {
	for _, scenario := range backlogScenarios {
		baseVisits, baseCalls := scenario.make(t, 1000).measure(600)
		for _, n := range []int{5000, 20000} {
			visits, calls := scenario.make(t, n).measure(600)
			t.Logf("%s: %.0f examined in a step with 1000 held, %.0f with %d; calls %.2f, %.2f",
				scenario.name, baseVisits, visits, n, baseCalls, calls)
			if visits > 3*baseVisits {
				t.Errorf("%s: %.0f examined in a step with %d held, %.0f with 1000", scenario.name, visits, n, baseVisits)
			}
			if calls < 0.95*baseCalls {
				t.Errorf("%s: %.2f calls in a step with %d held, %.2f with 1000", scenario.name, calls, n, baseCalls)
			}
		}
		d := scenario.make(t, 1000)
		d.sender.fullScanMax = 1000_000
		if _, fullScanCalls := d.measure(600); baseCalls < 0.95*fullScanCalls {
			t.Errorf("%s: %.2f calls in a step, %.2f with full scans", scenario.name, baseCalls, fullScanCalls)
		}
	}
}

// pausedBacklog makes a Sender that holds n messages for one paced destination, which requests a wait until second 15.
// By then all of them are long past their target latency.
func pausedBacklog(t *testing.T, n int) *backlogDriver {
	d := newBacklogDriver(t, 1, 1)
	d.sender.cfg.ExponentialDecay = true
	d.nextDest = func() int64 { return 0 }
	for range n {
		d.addMessage()
	}
	d.events = append(d.events, Message{ID: "rising", TimeLeft: 36000*Second + 20*Second, Dest: 0, Tenant: -1, Class: 1})
	d.sender.Step(0, d.events)
	d.sender.dests[0].limiter.waitUntil = 15 * Second
	d.events = nil
	for _, a := range d.sender.inFlight {
		d.events = append(d.events, AttemptResult{ID: a.msg.id, Endpoint: a.endpoint.id, Final: true, Latency: d.sender.cfg.Tick})
	}
	return d
}

// stepUntilSent steps until a message is sent and returns how many calls were made before.
func (d *backlogDriver) stepUntilSent(t *testing.T, id string) (n int) {
	for range 2000 {
		d.now += d.sender.cfg.Tick
		acts := actionsOf[Send](d.sender.Step(d.now, d.events))
		d.events = nil
		for _, c := range acts {
			d.events = append(d.events, AttemptResult{ID: c.ID, Endpoint: c.Endpoint, Final: true, Latency: d.sender.cfg.Tick})
		}
		if i := slices.IndexFunc(acts, func(c Send) bool { return c.ID == id }); i >= 0 {
			return n + i
		}
		n += len(acts)
	}
	t.Fatalf("%s is not sent", id)
	return n
}

// Of many waiting messages a new one with the highest priority is sent first. One whose priority rises while it waits
// is sent once a scan finds it.
func TestMostUrgentSentFirst(t *testing.T) {
	for _, n := range []int{1000, 5000} {
		d := pausedBacklog(t, n)
		d.now = 14 * Second
		d.events = append(d.events, Message{ID: "new", TimeLeft: 36000*Second - 2*Second, Dest: 0, Tenant: -1, Class: 1})
		if before := d.stepUntilSent(t, "new"); before > 0 {
			t.Errorf("%d messages: %d calls before the one for the new message", n, before)
		}
		// A message that pauses before its next attempt stays at the front.
		d.sender.dests[0].limiter.waitUntil = d.now + 2*Second
		d.now += d.sender.cfg.Tick
		d.events = append(d.events, Message{ID: "pausing", TimeLeft: 36000*Second - 2*Second, Dest: 0, Tenant: -1, Class: 1})
		d.sender.Step(d.now, d.events)
		d.sender.msgs["pausing"].retryAt = d.now + Second
		d.events = nil
		for range 3 {
			d.now += d.sender.cfg.Tick
			d.events = nil
			d.addMessage()
			d.sender.Step(d.now, d.events)
		}
		d.events = nil
		d.now += 2 * Second
		if before := d.stepUntilSent(t, "pausing"); before > 3 { // messages that came with it may have a higher priority
			t.Errorf("%d messages: %d calls before the one for the message that paused", n, before)
		}
		m := d.sender.msgs["rising"]
		m.submitted = d.now + Second/2 - m.class.TargetLatency // its target latency is over in half a second
		if before := d.stepUntilSent(t, "rising"); before > 50+n/sampleSize {
			t.Errorf("%d messages: %d calls before the one for the message that has become urgent", n, before)
		}
	}
}

// Messages of one key are sent one after the other, one in each step, however many wait.
func TestLongQueueOfOneKey(t *testing.T) {
	d := newBacklogDriver(t, 1, 10)
	d.sender.cfg.Classes[0].KeepOrder, d.sender.cfg.Weights = true, WeightsOff
	for i := range 2000 {
		d.events = append(d.events, Message{ID: fmt.Sprint(i), TimeLeft: 36000 * Second, OrderKey: "k", Dest: 0, Tenant: -1})
	}
	for i := range 400 {
		d.now += d.sender.cfg.Tick
		sends := actionsOf[Send](d.sender.Step(d.now, d.events))
		if len(sends) != 1 || sends[0].ID != fmt.Sprint(i) {
			t.Fatalf("step %d: %v", i, sends)
		}
		d.events = []Event{AttemptResult{ID: sends[0].ID, Final: true, Latency: d.sender.cfg.Tick}}
		checkIndexes(t, d.sender)
	}
}

// Messages that are blocked for reasons of their own, such as the order of their key, neither delay the others for
// their destination nor cause a scan in each step.
func TestHeldMessagesDoNotBlockOthers(t *testing.T) {
	d := mostDestsDown(t, 2000)
	d.sender.cfg.Classes[1].KeepOrder = true
	for i := range 1900 {
		d.events = append(d.events, Message{ID: fmt.Sprint("k", i), TimeLeft: 36000 * Second, OrderKey: "k", Dest: 0, Tenant: -1, Class: 1})
	}
	for i := range 20 {
		d.events = append(d.events, Message{ID: fmt.Sprint("p", i), TimeLeft: 36000 * Second, Dest: 0, Tenant: -1})
	}
	d.sender.endpoints[0].state = Draining
	d.now += d.sender.cfg.Tick
	d.sender.Step(d.now, d.events)
	d.sender.keyQueues["k"].messages[0].retryAt = 36000 * Second // so that the others of its key wait for it
	d.events = []Event{EndpointUpdate{Entries: []EndpointEntry{{Endpoint: 0, Dest: 0, NominalRate: 100}}}}
	d.nextDest = func() int64 { return 10 } // no more messages for destination 0
	for range 150 {
		d.step()
	}
	for i := range 20 {
		if m := d.sender.msgs[fmt.Sprint("p", i)]; m != nil && m.inFlight == nil {
			t.Errorf("%s is not sent", m.id)
		}
	}
	scans := 0
	for range 200 {
		if d.step(); d.sender.dests[0].backlog.scannedStep == d.sender.step {
			scans++
		}
	}
	if scans > 40 {
		t.Errorf("scanned in %d of 200 steps although nothing changes", scans)
	}
	first := d.sender.keyQueues["k"].messages[0]
	first.retryAt = d.now + Second
	d.sender.scheduleScan(first.dest)
	for range 300 {
		d.step()
	}
	if first.attempts == 0 {
		t.Error("the first message of its key is not sent after its pause")
	}
}

// A destination with a change is scanned in the step that reports it.
func TestChangedDestinationIsScanned(t *testing.T) {
	for name, change := range map[string]func(i int) Event{
		"removed": func(i int) Event {
			return EndpointUpdate{Entries: []EndpointEntry{{Endpoint: EndpointID(i), Dest: int64(i), State: Removed}}}
		},
		"listed": func(i int) Event {
			return EndpointUpdate{Entries: []EndpointEntry{{Endpoint: EndpointID(i), Dest: int64(i)}}}
		},
		"new": func(i int) Event {
			return Message{ID: fmt.Sprint("new", i), TimeLeft: Second, Dest: int64(i), Tenant: -1}
		},
	} {
		d := mostDestsDown(t, 2000)
		for i := 1; i < 10; i++ {
			d.now += d.sender.cfg.Tick
			d.sender.Step(d.now, []Event{change(i)})
			if d.sender.dests[int64(i)].backlog.scannedStep != d.sender.step {
				t.Errorf("%s: destination %d is not scanned", name, i)
			}
		}
	}
}

// A result frees a slot at its destination, which a waiting message takes in the same step.
func TestResultFreesSlotInSameStep(t *testing.T) {
	d := mostDestsDown(t, 2000)
	d.sender.cfg.Weights = WeightsOff
	d.sender.dests[0].limiter.limit = 0
	for i := range 300 {
		d.events = append(d.events, Message{ID: fmt.Sprint("r", i), TimeLeft: 36000 * Second, Dest: 0, Tenant: -1})
	}
	var sends []Send
	for range 20 { // only destinations that are up answer; one limiter takes half of the slots at most
		d.now += d.sender.cfg.Tick
		sends = append(sends, actionsOf[Send](d.sender.Step(d.now, d.events))...)
		d.events = nil
	}
	sends = slices.DeleteFunc(sends, func(c Send) bool { return c.Endpoint != 0 })
	if len(sends) < 100 || d.sender.dests[0].backlog == nil {
		t.Fatalf("%d calls, no backlog: %v", len(sends), d.sender.dests[0].backlog == nil)
	}
	for _, c := range sends[:20] {
		d.now += d.sender.cfg.Tick
		acts := actionsOf[Send](d.sender.Step(d.now, []Event{AttemptResult{ID: c.ID, Final: true, Latency: d.sender.cfg.Tick}}))
		if !slices.ContainsFunc(acts, func(c Send) bool { return c.Endpoint == 0 }) {
			t.Fatalf("nothing is sent in the step with the result of %s", c.ID)
		}
	}
}

// Destinations without events are scanned in turn, since a budget can grow without an event.
func TestAllDestinationsScannedInTurn(t *testing.T) {
	d := mostDestsDown(t, 2000)
	start := d.sender.step
	for range 4 * len(d.sender.dests) / backlogsPerRound {
		d.step()
	}
	for _, b := range d.sender.waiting.scanQueue.items {
		if b.scannedStep <= start {
			t.Errorf("destination %d is not scanned in %d steps", b.dest.id, d.sender.step-start)
		}
	}
}

// Backlogs that lack a slot are recorded, so that the next free slot goes to one of them.
func TestSlotWaitersAreTracked(t *testing.T) {
	d := fewTrialSlots(t, 5000)
	for range 200 {
		d.step()
	}
	lacking := 0
	for _, b := range d.sender.waiting.scanQueue.items {
		e := b.dest.endpoints[0]
		if b.nextScanAt < never || !e.ejected || e.inFlight > 0 {
			continue
		}
		if lacking++; b.slotWaitPos == [2]int{} {
			t.Fatalf("destination %d is not recorded as waiting for a slot", b.dest.id)
		}
	}
	if lacking < 10 {
		t.Errorf("%d destinations lack a slot for a trial", lacking)
	}
	// Slots that the first backlogs cannot use are offered to others in the next step.
	d = fewSlots(t, 2000)
	var results []Event
	for _, ev := range d.events {
		if r, ok := ev.(AttemptResult); ok {
			results = append(results, r)
		}
	}
	timers := actionsOf[SetTimer](d.sender.Step(d.now+1000, append(results, Shutdown{TimeLeft: 1})))
	if len(d.sender.waiting.slotWaiters[anySlot].items) == 0 || d.sender.slotsUsed > 0 {
		t.Fatalf("%d backlogs wait for a slot, %d slots are in use",
			len(d.sender.waiting.slotWaiters[anySlot].items), d.sender.slotsUsed)
	}
	if len(timers) != 1 || timers[0].Wait > d.sender.cfg.Tick {
		t.Errorf("timers %v, want one at the next tick", timers)
	}
}

// No message is in a sample twice.
func TestSampleHasNoRepeats(t *testing.T) {
	for _, n := range []int{100, 130, 2000} {
		d := onePacedDest(t, n)
		for step := d.sender.step + 1; step < d.sender.step+50; step++ {
			seen := map[*msg]bool{}
			for _, m := range d.sender.dests[0].backlog.sample(step, nil) {
				if seen[m] {
					t.Fatalf("%s is in a sample of %d twice", m.id, n)
				}
				seen[m] = true
			}
		}
	}
}

// After a late timer or a jump of the clock, all messages whose time is up end in that step.
func TestLateTimerEndsAllExpired(t *testing.T) {
	for _, fullScanMax := range []int{0, defaultFullScanMax} {
		d := mostDestsDown(t, 2000)
		d.sender.fullScanMax = fullScanMax
		d.now += 40000 * Second
		acts := d.sender.Step(d.now, d.events)
		if n := len(actionsOf[Reject](acts)) + len(actionsOf[Fail](acts)); n < 2000 {
			t.Errorf("%d messages end, want at least 2000", n)
		}
		if d.sender.waiting.count > 2 {
			t.Errorf("%d messages still wait", d.sender.waiting.count)
		}
		checkIndexes(t, d.sender)
	}
}

// Events that are repeated, out of date or about unknown messages leave the indexes correct while many messages wait.
func TestInvalidEventsWithManyWaiting(t *testing.T) {
	d := mostDestsDown(t, 2000)
	id := d.sender.held[1000].id
	for _, evs := range [][]Event{
		{Message{ID: id, TimeLeft: 36000 * Second, Dest: 1, Tenant: -1}},                               // again, for another destination
		{Message{ID: "none", TimeLeft: -Second, Dest: 77777, Tenant: 9, Class: 1}},                     // its time is up on arrival
		{Message{ID: "odd", Dest: 1, Class: 99}, Message{ID: "odd", Dest: 1, Class: -1}},               // unknown classes
		{AttemptResult{ID: id, Attempt: 99}, AttemptResult{ID: id, Attempt: -1}, ClientGone{"nobody"}}, // attempts that are not in flight
		{ClientGone{id}, ClientGone{id}, AttemptResult{ID: id}},
		{EndpointUpdate{Kind: UpdateDelta, Entries: []EndpointEntry{{Endpoint: 1, Dest: 2}, {Endpoint: 2, Dest: 1}}}}, // moved
		{EndpointUpdate{Kind: UpdateFull}},                                                                            // an empty list
		{TimerFired{99}, StreamStarted{ID: id}, Shutdown{TimeLeft: Second}},
	} {
		d.sender.Step(d.now, evs)
		checkIndexes(t, d.sender)
	}
	d.sender.Step(0, nil) // a clock that goes back
	checkIndexes(t, d.sender)
	// The latest time that Micros can represent.
	d.sender.Step(never, []Event{EndpointUpdate{Kind: UpdateFull, Entries: []EndpointEntry{{Endpoint: 1, Dest: 1}}}})
	checkIndexes(t, d.sender)
	if d.sender.waiting.count > 0 {
		t.Errorf("%d messages still wait at the latest time", d.sender.waiting.count)
	}
}

// With more arrivals than the pace allows and nearly MaxOpen messages held, about as many messages are rejected and
// delivered as with full scans.
func TestNearlyFullWithManyWaiting(t *testing.T) {
	run := func(fullScanMax int) (delivered, rejected int) {
		cfg := baseSettings()
		cfg.MaxOpen, cfg.Senders, cfg.MaxAttempts, cfg.CallSlots = 1500, 1, 0, 64
		s, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		s.fullScanMax = fullScanMax
		evs := []Event{EndpointUpdate{Kind: UpdateFull, Entries: []EndpointEntry{{Endpoint: 1, Dest: 1}}}}
		n := 0
		for now := Micros(0); now < 40*Second; now += cfg.Tick {
			for range 2 { // 400 per second
				if n++; s.heldCount < cfg.MaxOpen {
					evs = append(evs, Message{ID: fmt.Sprint(n), TimeLeft: cfg.Classes[n%2].Deadline, Dest: 1, Tenant: -1, Class: n % 2})
				}
			}
			s.destByID(1).limiter.pace = 100
			acts := s.Step(now, evs)
			evs = nil
			for _, c := range actionsOf[Send](acts) {
				delivered++
				evs = append(evs, AttemptResult{ID: c.ID, Endpoint: 1, Attempt: s.msgs[c.ID].attempts - 1, Final: true, Latency: cfg.Tick})
			}
			for _, r := range actionsOf[Reject](acts) {
				if s.now < Second {
					t.Fatalf("%s is rejected while few messages are held", r.ID)
				}
				rejected++
			}
			checkIndexes(t, s)
		}
		return delivered, rejected
	}
	delivered, rejected := run(0)
	wantDelivered, wantRejected := run(1000_000)
	t.Logf("%d delivered, %d rejected; with full scans %d, %d", delivered, rejected, wantDelivered, wantRejected)
	if float64(delivered) < 0.97*float64(wantDelivered) {
		t.Errorf("%d delivered, %d with full scans", delivered, wantDelivered)
	}
	if ratio := float64(rejected) / float64(wantRejected); ratio < 0.9 || ratio > 1.1 {
		t.Errorf("%d rejected, %d with full scans", rejected, wantRejected)
	}
}
