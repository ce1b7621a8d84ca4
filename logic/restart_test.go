package logic

import "testing"

// stepRestored passes a message with a history to a new Sender, as after a process restart, and returns its actions.
func stepRestored(t *testing.T, class int, history History) []Action {
	t.Helper()
	h := newHarness(t, baseSettings())
	m := h.message(class)
	m.History = history
	return h.step(100, fullList(2), m)
}

// An attempt that may have run before a process restart limits resends like one after it.
func TestHistoryLimitsResends(t *testing.T) {
	recent := History{Attempts: 1, MayHaveRun: true, Age: Second}
	expired := History{Attempts: 1, MayHaveRun: true, Age: 8 * Second} // as old as the deduplication window
	for _, x := range []struct {
		name    string
		class   int
		history History
		sent    bool
	}{
		{"safe, may have run", 0, recent, true},
		{"keyed, may have run", 1, recent, true},
		{"keyed, after its window", 1, expired, false},
		{"unsafe, may have run", 2, recent, false},
		{"unsafe, never ran", 2, History{Attempts: 5}, true},
		{"safe, no attempt left", 0, History{Attempts: 6, MayHaveRun: true}, false},
	} {
		acts := stepRestored(t, x.class, x.history)
		if n := len(actionsOf[Send](acts)); (n == 1) != x.sent {
			t.Errorf("%s: %d sends", x.name, n)
		}
		if n := len(actionsOf[Fail](acts)); (n == 1) == x.sent {
			t.Errorf("%s: %d failures", x.name, n)
		}
	}
	// If no attempt may have run the message is rejected: the client may retry it.
	if acts := stepRestored(t, 2, History{Attempts: 6}); len(actionsOf[Reject](acts)) != 1 || len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("no attempt left, never ran: %v", acts)
	}
}

// With DedupPerZone only endpoints of the zone of the first attempt drop duplicates.
func TestHistoryKeepsZone(t *testing.T) {
	cfg := baseSettings()
	cfg.Zones, cfg.Classes[1].DedupPerZone = 2, true
	h := newHarness(t, cfg)
	list := fullList(2)
	list.Entries[0].Zone, list.Entries[1].Zone = 0, 1
	m := h.message(1)
	m.History = History{Attempts: 1, MayHaveRun: true, Zone: 1}
	sends := actionsOf[Send](h.step(100, list, m))
	if len(sends) != 1 || sends[0].Endpoint != 2 {
		t.Errorf("sent %v, want one send to endpoint 2", sends)
	}
}

// Attempt numbers continue from those of the previous process, since results name them.
func TestHistoryAttemptNumber(t *testing.T) {
	h := newHarness(t, baseSettings())
	m := h.message(0)
	m.History = History{Attempts: 5, MayHaveRun: true}
	h.step(100, fullList(1), m)
	acts := h.step(100.1, result(m.ID, 1, 5, Errored))
	if len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("after the sixth attempt: %v", acts)
	}
}

// No call may be started that the coming shutdown would interrupt: an unsafe message would be lost.
func TestShutdown(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	for i := range 8 { // a usual call takes 0.1 s
		m := h.message(2)
		h.step(float64(i), m)
		h.step(float64(i)+0.1, result(m.ID, 1, 0, Delivered))
	}
	h.step(10, Shutdown{TimeLeft: 3 * Second})
	early, late := h.message(2), h.message(2)
	if n := len(actionsOf[Send](h.step(10.1, early))); n != 1 {
		t.Errorf("%d sends with enough time left", n)
	}
	h.step(10.2, result(early.ID, 1, 0, Delivered))
	acts := h.step(12.7, late)
	if len(acts) > 0 && len(actionsOf[Send](acts))+len(actionsOf[Reject](acts))+len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("shortly before the shutdown: %v", acts)
	}
}

// A call that gets no answer is cancelled even if no other event comes.
func TestSingleCallIsTimed(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2))
	acts := h.step(1, h.message(0))
	at, cancelledAt := 1.0, 0.0
	for i := 0; i < 20 && len(actionsOf[Cancel](acts)) == 0; i++ {
		timers := actionsOf[SetTimer](acts)
		if len(timers) == 0 {
			t.Fatal("no timer was set")
		}
		at += seconds(timers[0].Wait)
		acts = h.step(at, TimerFired{Token: timers[0].Token})
		cancelledAt = at
	}
	if cancelledAt == 0 || cancelledAt > 6 {
		t.Errorf("cancelled at %v s", cancelledAt)
	}
}

// An accepted message that never ran is tried until most of its time has passed, however low the pace and however many
// messages are held: after a process restart nearly MaxOpen are held, and the first refusal sets the pace. New messages
// are rejected instead.
func TestAcceptedMessagesAreTried(t *testing.T) {
	for _, accepted := range []bool{true, false} { // accepted before a process restart, or just now
		cfg := baseSettings()
		cfg.Senders, cfg.MaxOpen, cfg.LoadRemainingIndex, cfg.LoadLimitIndex = 40, 20, 0, 1
		h := newHarness(t, cfg)
		evs := []Event{fullList(2)}
		for range 19 {
			m := h.message(0)
			m.History.Accepted = accepted
			evs = append(evs, m)
		}
		sends := actionsOf[Send](h.step(100, evs...))
		var results []Event
		for _, c := range sends {
			x := result(c.ID, c.Endpoint, 0, Refused)
			x.Load = []float64{0.5, 4}
			results = append(results, x)
		}
		if len(results) == 0 {
			t.Fatal("nothing was tried")
		}
		rejected := actionsOf[Reject](h.step(100.1, results...))
		for at := 100.2; at < 106.9; at += 0.1 {
			rejected = append(rejected, actionsOf[Reject](h.step(at))...)
		}
		if n := len(rejected); n != 0 {
			t.Errorf("accepted %v: %d rejected before seven tenths of their time", accepted, n)
		}
		newest := h.message(0)
		if x := actionsOf[Reject](h.step(106.9, newest)); len(x) != 1 || x[0].ID != newest.ID {
			t.Errorf("accepted %v: rejected %v, want the new message %s", accepted, x, newest.ID)
		}
		if n := len(actionsOf[Reject](h.step(107.1))); n < 4 {
			t.Errorf("accepted %v: %d rejected after most of their time, want 4 or more", accepted, n)
		}
	}
}

// A change of the list counts as known 6 s after discovery has it. However often requests have failed, the next one
// is made before that.
func TestSubscribeRetriedInTime(t *testing.T) {
	cfg := baseSettings()
	cfg.ListOnRequest = true
	h := newHarness(t, cfg)
	h.step(100, fullList(2))
	at := 100.0
	for i := range 20 {
		next := at
		for h.step(next, EndpointUpdate{Kind: UpdateFailed}); len(actionsOf[Subscribe](h.step(next))) == 0; next += 0.05 {
			if next > at+5 {
				t.Fatalf("failure %d: no new request within 5 s", i)
			}
		}
		at = next
	}
}

// The duration of a failed request counts as well: from its start to the next request it is 5.4 s at most, whatever
// the jitter, and the requests of many senders stay spread out.
func TestRequestTimeShortensSubscribeDelay(t *testing.T) {
	for _, requestTime := range []Micros{0, Second, 2 * Second, 2_500_000, 5 * Second, 7 * Second} {
		at := map[Micros]bool{}
		for seed := range uint64(200) {
			s, err := New(baseSettings(), seed)
			if err != nil {
				t.Fatal(err)
			}
			for range 8 {
				acts := s.Step(0, []Event{EndpointUpdate{Kind: UpdateFailed, RequestTime: requestTime}})
				if wait := s.subscribeAt; len(actionsOf[Subscribe](acts)) == 0 && wait > max(5_400_000-requestTime, 0) {
					t.Fatalf("a request of %v s: the next one %v s after its end", seconds(requestTime), seconds(wait))
				}
			}
			at[s.subscribeAt/50_000] = true
		}
		if want := max(5_400_000-requestTime, 0) / 300_000; Micros(len(at)) < want {
			t.Errorf("after requests of %v s, 200 senders request the list at %d different times, want %d",
				seconds(requestTime), len(at), want)
		}
	}
}
