package logic

import "testing"

// Calls sent to an endpoint before it failed used to count against the budget of its trials, so that an endpoint that
// recovered at once stayed ejected for a whole window.
func TestCallsBeforeOutageDoNotDelayTrials(t *testing.T) {
	cfg := baseSettings()
	cfg.OverloadMultiple, cfg.OverloadWindow = 2.5, 3*Second
	h := newHarness(t, cfg)
	h.step(0, fullList(1))
	at := 0.0
	for range 60 {
		at += 0.1
		c := actionsOf[Send](h.step(at, h.message(0)))[0]
		h.step(at+0.05, result(c.ID, c.Endpoint, 0, Delivered))
	}
	c := actionsOf[Send](h.step(at+0.1, h.message(0)))[0]
	c = actionsOf[Send](h.step(at+0.11, result(c.ID, c.Endpoint, 0, ConnRefused)))[0]
	if acts := h.step(at+0.12, result(c.ID, c.Endpoint, 1, ConnRefused)); len(actionsOf[Send](acts)) > 0 {
		t.Fatal("no pause before the first trial")
	}
	if !h.s.endpoints[1].cold {
		t.Fatal("not cold after two refused connections in a row")
	}
	trialTime := at + 0.12 + seconds(minTrialInterval) + 0.01
	trial := actionsOf[Send](h.step(trialTime, TimerFired{}))
	if len(trial) != 1 {
		t.Fatalf("%d calls when the first trial is due, want 1", len(trial))
	}
	// After a longer outage the calls are limited: a peak of 11 per second, shared by two senders, at cold capacity.
	h.step(trialTime+0.01, result(trial[0].ID, 1, 2, ConnRefused))
	trialTime += 3
	trial = actionsOf[Send](h.step(trialTime, TimerFired{}))
	if len(trial) != 1 {
		t.Fatalf("%d calls when a later trial is due, want 1", len(trial))
	}
	h.step(trialTime+0.05, result(trial[0].ID, 1, 3, Delivered))
	sent := len(trial)
	for i := range 50 {
		for _, c := range actionsOf[Send](h.step(trialTime+0.06+0.04*float64(i), h.message(0))) {
			sent++
			h.step(trialTime+0.061+0.04*float64(i), result(c.ID, c.Endpoint, 0, Delivered))
		}
	}
	if limit := 11 * cfg.OverloadMultiple * 3 * 0.4 / 2; float64(sent) > limit {
		t.Errorf("%d calls within 2 s of the recovery, want at most %v", sent, limit)
	}
}

// One refused connection at an endpoint that answered its other calls used to make it cold: its traffic was limited
// for as long as after an outage.
func TestShortFailureDoesNotMakeEndpointCold(t *testing.T) {
	for _, x := range []struct {
		name     string
		failures int
		recovery float64 // after the last answer
		cold     bool
	}{
		{"answers again at once", 2, 1.2, false},
		{"answers again after an outage", 2, 2.5, true},
		{"most calls fail", 4, 1.9, true},
	} {
		h := newHarness(t, baseSettings())
		h.step(0, fullList(1))
		e := h.s.endpoints[1]
		h.s.now = sec(1)
		h.s.recordSuccess(e, h.s.now)
		for i := range x.failures {
			h.s.now = sec(1.1 + 0.1*float64(i))
			h.s.recordOutcome(e, ConnRefused)
		}
		if !e.ejected || !e.cold {
			t.Fatalf("%s: want ejected and cold after %d failures", x.name, x.failures)
		}
		h.s.now = sec(1 + x.recovery)
		h.s.recordSuccess(e, h.s.now)
		if e.ejected || e.cold != x.cold {
			t.Errorf("%s: ejected %v, cold %v", x.name, e.ejected, e.cold)
		}
	}
}

// A failed batch used to count as one failure per message, which ejected an endpoint that answered everything else.
func TestFailedBatchCountsOnce(t *testing.T) {
	for _, o := range []Outcome{Unreadable, Errored, ConnLost, ConnRefused} {
		cfg := baseSettings()
		cfg.Kinds[0].MaxBatch = 10
		h := newHarness(t, cfg)
		h.step(0, fullList(1))
		c := actionsOf[Send](h.step(1, h.message(0)))[0]
		h.step(1.1, result(c.ID, c.Endpoint, 0, Delivered))
		batch := actionsOf[Send](h.step(1.2, h.message(0), h.message(0), h.message(0), h.message(0), h.message(0)))
		if len(batch) != 5 {
			t.Fatalf("%d sends, want 5", len(batch))
		}
		var results []Event
		for _, c := range batch {
			results = append(results, result(c.ID, c.Endpoint, 0, o))
		}
		h.step(1.3, results...)
		if h.s.endpoints[1].ejected {
			t.Errorf("outcome %d of one batch ejected the endpoint", o)
		}
	}
}

// An answer may accept messages and request a wait at the same time.
func TestRetryAfterOnDelivery(t *testing.T) {
	h := newHarness(t, baseSettings())
	h.step(0, fullList(2))
	c := actionsOf[Send](h.step(1, h.message(0)))[0]
	delivered := result(c.ID, c.Endpoint, 0, Delivered)
	delivered.RetryAfter = sec(1.5)
	if n := len(actionsOf[Send](h.step(1.1, delivered, h.message(0)))); n != 0 {
		t.Errorf("%d calls during a wait", n)
	}
	if n := len(actionsOf[Send](h.step(2.7, TimerFired{}))); n != 1 {
		t.Errorf("%d calls after the wait, want 1", n)
	}
}

// The cached list that a sender starts with may contain endpoints that no longer exist; after one restart these were
// half of the list. A refused connection at one of them used to count as an outage of its destination, and delayed calls
// to its siblings for seconds.
func TestCachedListAndOutage(t *testing.T) {
	for _, updated := range []bool{false, true} {
		h := newHarness(t, baseSettings())
		first := fullList(2)
		first.Kind = UpdateCached
		h.step(0, first)
		if updated {
			h.step(0.05, EndpointUpdate{Kind: UpdateDelta})
		}
		c := actionsOf[Send](h.step(0.1, h.message(0)))[0]
		h.step(0.2, result(c.ID, c.Endpoint, 0, ConnRefused))
		n := 0
		for _, x := range actionsOf[Send](h.step(0.3, h.message(0), h.message(0))) {
			if x.Endpoint == c.Endpoint {
				t.Error("sent to the endpoint that refused the connection")
			}
			n++
		}
		if !updated && n != 2 || updated && n != 0 {
			t.Errorf("list updated %v: %d further sends", updated, n)
		}
	}
}

// Guards against a destination that is overloaded on its return: the state of its outage was lost when all of its
// endpoints were replaced in one change of the list.
func TestReplacedEndpointsOfColdDestination(t *testing.T) {
	for _, count := range []int{1, 3} {
		cfg := baseSettings()
		cfg.CallSlots = 60
		h := newHarness(t, cfg)
		h.step(0, fullList(count))
		at := h.deliverMany(1, 20)
		for limit := at + 8; at < limit; at += 0.2 { // the destination fails all calls
			for _, c := range actionsOf[Send](h.step(at, h.message(0))) {
				h.step(at+0.05, result(c.ID, c.Endpoint, h.s.msgs[c.ID].inFlight.number, Errored))
			}
		}
		change := EndpointUpdate{Kind: UpdateDelta}
		for i := 1; i <= count; i++ {
			change.Entries = append(change.Entries, EndpointEntry{Endpoint: EndpointID(i), Dest: 9, State: Removed},
				EndpointEntry{Endpoint: EndpointID(10 + i), Dest: 9})
		}
		sends := actionsOf[Send](h.step(at, change))
		calls := len(sends)
		for limit := at + 4; at < limit; at += 0.05 {
			var answers []Event
			for _, c := range sends {
				answers = append(answers, result(c.ID, c.Endpoint, h.s.msgs[c.ID].inFlight.number, Delivered))
			}
			sends = actionsOf[Send](h.step(at+0.05, append(answers, h.message(0), h.message(0))...))
			calls += len(sends)
		}
		// The capacity is known as three calls per second, of which a cold destination bears twice a fifth. Without an
		// outage, all of the 160 messages are sent.
		if calls == 0 || calls > 12 {
			t.Errorf("%d endpoints: %d calls within 4 s of the replacement", count, calls)
		}
	}
}

// Guards against an outage that is taken for a lack of connections: refusals without a load report say nothing at a
// destination that delivers without reports, even if another destination sends them.
func TestRefusalsOfDestinationWithoutReports(t *testing.T) {
	for _, reports := range []bool{false, true} {
		cfg := baseSettings()
		cfg.LoadRemainingIndex, cfg.LoadLimitIndex = 0, 1
		h := newHarness(t, cfg)
		list := fullList(1)
		list.Entries = append(list.Entries, EndpointEntry{Endpoint: 2, Dest: 8})
		h.step(0, list)
		m := h.message(0)
		m.Dest = 8
		h.step(0.1, m)
		r := result(m.ID, 2, 0, Delivered)
		r.Load = []float64{0.5, 100}
		h.step(0.2, r) // the other destination has a limit
		m = h.message(0)
		h.step(0.3, m)
		r = result(m.ID, 1, 0, Delivered)
		if reports {
			r.Load = []float64{0, 0}
		}
		h.step(0.4, r)
		m = h.message(0)
		h.step(0.5, m)
		h.step(0.6, result(m.ID, 1, 0, Refused))
		if slowed := h.s.endpoints[1].limiter.refusals > 0; slowed == reports {
			t.Errorf("reports %v: the refusal counts as one: %v", reports, slowed)
		}
	}
}
