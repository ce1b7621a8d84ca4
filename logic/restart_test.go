package logic

import "testing"

// stepRestored passes a message with a history to a new Sender, as after a restart, and returns its actions.
func stepRestored(t *testing.T, class int, past History) []Action {
	t.Helper()
	h := newHarness(t, baseSettings())
	c := h.message(class)
	c.History = past
	return h.step(100, fullList(2), c)
}

// An attempt that may have run before a restart limits resends like one after it.
func TestHistoryLimitsResends(t *testing.T) {
	may := History{Attempts: 1, MayHaveRun: true, Age: Second}
	old := History{Attempts: 1, MayHaveRun: true, Age: 8 * Second} // as old as the deduplication window
	for _, x := range []struct {
		name  string
		class int
		past  History
		sent  bool
	}{
		{"safe, may have run", 0, may, true},
		{"keyed, may have run", 1, may, true},
		{"keyed, after its window", 1, old, false},
		{"unsafe, may have run", 2, may, false},
		{"unsafe, never ran", 2, History{Attempts: 5}, true},
		{"safe, no attempt left", 0, History{Attempts: 6, MayHaveRun: true}, false},
	} {
		acts := stepRestored(t, x.class, x.past)
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
	eps := fullList(2)
	eps.Entries[0].Zone, eps.Entries[1].Zone = 0, 1
	c := h.message(1)
	c.History = History{Attempts: 1, MayHaveRun: true, Zone: 1}
	out := actionsOf[Send](h.step(100, eps, c))
	if len(out) != 1 || out[0].Endpoint != 2 {
		t.Errorf("sent %v, want one send to endpoint 2", out)
	}
}

// Attempt numbers continue from those of the previous process, since results name them.
func TestHistoryAttemptNumber(t *testing.T) {
	h := newHarness(t, baseSettings())
	c := h.message(0)
	c.History = History{Attempts: 5, MayHaveRun: true}
	h.step(100, fullList(1), c)
	acts := h.step(100.1, result(c.ID, 1, 5, Errored))
	if len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("after the sixth attempt: %v", acts)
	}
}

// No call may be started that the coming shutdown would interrupt: an unsafe message would be lost.
func TestShutdown(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(1))
	for i := range 8 { // a usual call takes 0.1 s
		c := h.message(2)
		h.step(float64(i), c)
		h.step(float64(i)+0.1, result(c.ID, 1, 0, Delivered))
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
	at, end := 1.0, 0.0
	for i := 0; i < 20 && len(actionsOf[Cancel](acts)) == 0; i++ {
		timers := actionsOf[SetTimer](acts)
		if len(timers) == 0 {
			t.Fatal("no timer was set")
		}
		at += seconds(timers[0].Wait)
		acts = h.step(at, TimerFired{Token: timers[0].Token})
		end = at
	}
	if end == 0 || end > 6 {
		t.Errorf("cancelled at %v s", end)
	}
}

// An accepted message that never ran is tried until most of its time has passed, however low the pace and however full
// the buffer: after a restart the buffer is full, and the first refusal sets the pace. Room is made by rejecting new
// messages.
func TestAcceptedMessagesAreTried(t *testing.T) {
	for _, taken := range []bool{true, false} { // accepted before a restart, or just now
		cfg := baseSettings()
		cfg.Senders, cfg.MaxOpen, cfg.LoadRemainingIndex, cfg.LoadLimitIndex = 40, 20, 0, 1
		h := newHarness(t, cfg)
		evs := []Event{fullList(2)}
		for range 19 {
			c := h.message(0)
			c.History.Accepted = taken
			evs = append(evs, c)
		}
		acts := actionsOf[Send](h.step(100, evs...))
		var replies []Event
		for _, c := range acts {
			x := result(c.ID, c.Endpoint, 0, Refused)
			x.Load = []float64{0.5, 4}
			replies = append(replies, x)
		}
		if len(replies) == 0 {
			t.Fatal("nothing was tried")
		}
		given := actionsOf[Reject](h.step(100.1, replies...))
		for at := 100.2; at < 106.9; at += 0.1 {
			given = append(given, actionsOf[Reject](h.step(at))...)
		}
		if n := len(given); n != 0 {
			t.Errorf("accepted %v: %d rejected before seven tenths of their time", taken, n)
		}
		late := h.message(0)
		if x := actionsOf[Reject](h.step(106.9, late)); len(x) != 1 || x[0].ID != late.ID {
			t.Errorf("accepted %v: rejected %v, want the new message %s", taken, x, late.ID)
		}
		if n := len(actionsOf[Reject](h.step(107.1))); n < 4 {
			t.Errorf("accepted %v: %d rejected after most of their time, want 4 or more", taken, n)
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
	for _, took := range []Micros{0, Second, 2 * Second, 2_500_000, 5 * Second, 7 * Second} {
		at := map[Micros]bool{}
		for seed := range uint64(200) {
			s, err := New(baseSettings(), seed)
			if err != nil {
				t.Fatal(err)
			}
			for range 8 {
				acts := s.Step(0, []Event{EndpointUpdate{Kind: UpdateFailed, RequestTime: took}})
				if wait := s.subscribeAt; len(actionsOf[Subscribe](acts)) == 0 && wait > max(5_400_000-took, 0) {
					t.Fatalf("a request of %v s: the next one %v s after its end", seconds(took), seconds(wait))
				}
			}
			at[s.subscribeAt/50_000] = true
		}
		if want := max(5_400_000-took, 0) / 300_000; Micros(len(at)) < want {
			t.Errorf("after requests of %v s, 200 senders request the list at %d different times, want %d",
				seconds(took), len(at), want)
		}
	}
}
