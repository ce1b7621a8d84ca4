package logic

import "testing"

// shortWindowSettings have a deduplication window of one second, and two zones that deduplicate separately.
func shortWindowSettings() Settings {
	cfg := baseSettings()
	cfg.Zones, cfg.Classes[1].DedupPerZone, cfg.Classes[1].DedupWindow = 2, true, Second
	return cfg
}

// listInTwoZones is a list with one endpoint in each of two zones.
func listInTwoZones() EndpointUpdate {
	list := fullList(2)
	list.Entries[1].Zone = 1
	return list
}

// The deduplication window limits the send, not the answer: a message is resent within it, however long an answer
// takes. Once the window is over the message fails at once.
func TestResendWithinShortWindow(t *testing.T) {
	for _, resendAfter := range []float64{0.3, 0.7, 0.95} { // after the first send
		h := newHarness(t, shortWindowSettings())
		h.step(0, fullList(1))
		addSamples(&h.s.destByID(9).latency, 20, 0.8) // median latency
		m := h.message(1)
		if n := len(actionsOf[Send](h.step(10, m))); n != 1 {
			t.Fatalf("%d sends", n)
		}
		acts := h.step(10+resendAfter-0.2, result(m.ID, 1, 0, Errored)) // followed by a pause of 0.2 s
		acts = append(acts, h.step(10+resendAfter+0.01)...)
		if n := len(actionsOf[Send](acts)); n != 1 || len(actionsOf[Fail](acts)) != 0 {
			t.Errorf("%.2f s after the first send: %d sends, %v", resendAfter, n, acts)
		}
	}
	h := newHarness(t, shortWindowSettings())
	h.step(0, fullList(1))
	m := h.message(1)
	h.step(10, m)
	if acts := h.step(11.01, result(m.ID, 1, 0, Errored)); len(actionsOf[Fail](acts)) != 1 || len(actionsOf[Send](acts)) != 0 {
		t.Errorf("after the window: %v", acts)
	}
}

// After a process restart the window still runs from the first send, in the zone of that send.
func TestHistoryWithShortWindow(t *testing.T) {
	for _, x := range []struct {
		name       string
		history    History
		send, fail int
	}{
		{"untried", History{Accepted: true}, 1, 0},
		{"never ran", History{Accepted: true, Attempts: 2}, 1, 0},
		{"may have run, window open", History{Accepted: true, Attempts: 1, MayHaveRun: true, Age: sec(0.9), Zone: 1}, 1, 0},
		{"may have run, window over", History{Accepted: true, Attempts: 1, MayHaveRun: true, Age: sec(1.001), Zone: 1}, 0, 1},
		{"may have run in a zone without endpoints", History{Accepted: true, Attempts: 1, MayHaveRun: true, Zone: 5}, 0, 0},
	} {
		h := newHarness(t, shortWindowSettings())
		m := h.message(1)
		m.History = x.history
		acts := h.step(100, listInTwoZones(), m)
		sends := actionsOf[Send](acts)
		if len(sends) != x.send || len(actionsOf[Fail](acts)) != x.fail {
			t.Errorf("%s: %v", x.name, acts)
		}
		if x.history.MayHaveRun && len(sends) == 1 && sends[0].Endpoint != 2 {
			t.Errorf("%s: sent to %v, in another zone", x.name, sends)
		}
	}
	// A message that waits for an endpoint of its zone ends with its window, not before.
	h := newHarness(t, shortWindowSettings())
	m := h.message(1)
	m.History = History{Accepted: true, Attempts: 1, MayHaveRun: true, Age: sec(0.5), Zone: 5}
	h.step(100, listInTwoZones(), m)
	if acts := h.step(100.4); len(actionsOf[Fail](acts)) != 0 {
		t.Errorf("ended within its window: %v", acts)
	}
	if acts := h.step(100.5); len(actionsOf[Fail](acts)) != 1 {
		t.Errorf("at the end of its window: %v", acts)
	}
}

// A call that is cancelled at τ needs time to be resent. That must not take up the whole of a short window.
func TestRestartTimeWithShortWindow(t *testing.T) {
	for window, cancelled := range map[Micros]bool{Second: true, sec(0.4): false} {
		cfg := shortWindowSettings()
		cfg.Classes[1].DedupWindow = window
		h := newHarness(t, cfg)
		h.step(0, fullList(1))
		d := h.s.destByID(9)
		addSamples(&d.latency, 20, 0.02)
		addSamples(&d.latency, 2, 5) // a few slow ones: restarting pays off
		if d.latency.tau == 0 {
			t.Fatal("no restart time")
		}
		m, beside := h.message(1), h.message(0)
		h.step(10, m, beside)
		h.step(10.1, result(beside.ID, 1, 0, Delivered)) // the endpoint answers: only the first call is slow
		d.latency.p95, d.latency.median = d.latency.tau, sec(0.02)
		acts := h.step(10.51, TimerFired{}) // past the earliest restart time
		if n := len(actionsOf[Cancel](acts)); (n == 1) != cancelled {
			t.Errorf("window %d: %d cancelled", window, n)
		}
	}
}

// A keyed call whose window is over cannot be resent. Cancelling it would fail the message, so it is left to be
// answered, like an unsafe one. A safe one is cancelled and sent to another endpoint.
func TestLastAttemptIsNotCancelled(t *testing.T) {
	for class, wantCancel := range []bool{true, false, false} {
		h := newHarness(t, shortWindowSettings())
		h.step(0, fullList(2))
		m := h.message(class)
		acts := h.step(10, m)
		at := 10.0
		for range 12 { // to 5.4 s, well past the stuck time while no latency is known
			at += 0.45
			acts = append(acts, h.step(at, TimerFired{})...)
		}
		if n := len(actionsOf[Cancel](acts)); (n == 1) != wantCancel {
			t.Errorf("class %d: %d cancelled", class, n)
		}
		if !wantCancel {
			if acts := h.step(at, result(m.ID, actionsOf[Send](acts)[0].Endpoint, 0, Delivered)); len(actionsOf[Fail](acts)) != 0 {
				t.Errorf("class %d: %v", class, acts)
			}
		}
	}
}

// Where calls cannot be cancelled, a call gets a short timeout if it can be resent, else all the time that is left.
func TestLastAttemptGetsFullTimeout(t *testing.T) {
	for _, x := range []struct {
		class  int
		window Micros
		short  bool
	}{{0, Second, true}, {1, 8 * Second, true}, {1, Second, false}, {2, Second, false}} {
		cfg := shortWindowSettings()
		cfg.MayCancel, cfg.Classes[1].DedupWindow = false, x.window
		h := newHarness(t, cfg)
		h.step(0, fullList(1))
		m := h.message(x.class)
		sends := actionsOf[Send](h.step(10, m))
		if len(sends) != 1 || (sends[0].Timeout < m.TimeLeft) != x.short {
			t.Errorf("class %d, window %d: %v, with %d to the deadline", x.class, x.window, sends, m.TimeLeft)
		}
	}
}
