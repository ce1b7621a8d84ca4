package logic

import "testing"

// Found on a recorded day: what went to an endpoint before it failed filled the budget of its trials, so that one
// that was back at once stayed out for a whole window.
func TestTrialIsNotHeldByWhatWentBefore(t *testing.T) {
	set := base()
	set.FallMultiple, set.FallWindow = 2.5, 3*Second
	r := newRig(t, set)
	r.step(0, list(1))
	at := 0.0
	for range 60 {
		at += 0.1
		c := only[CallOut](r.step(at, r.call(0)))[0]
		r.step(at+0.05, answer(c.ID, c.Endpoint, 0, Completed))
	}
	c := only[CallOut](r.step(at+0.1, r.call(0)))[0]
	c = only[CallOut](r.step(at+0.11, answer(c.ID, c.Endpoint, 0, RefusedConn)))[0]
	if acts := r.step(at+0.12, answer(c.ID, c.Endpoint, 1, RefusedConn)); len(only[CallOut](acts)) > 0 {
		t.Fatal("no pause before the first trial")
	}
	if !r.s.endpoints[1].cold {
		t.Fatal("two refused connections in a row are no outage")
	}
	back := at + 0.12 + seconds(trialGap) + 0.01
	trial := only[CallOut](r.step(back, Due{}))
	if len(trial) != 1 {
		t.Fatalf("%d calls at the time of the first trial, want 1", len(trial))
	}
	// After an outage that lasts, what goes there is counted: an own peak of 11 a second, shared by two, cold.
	r.step(back+0.01, answer(trial[0].ID, 1, 2, RefusedConn))
	back += 3
	trial = only[CallOut](r.step(back, Due{}))
	if len(trial) != 1 {
		t.Fatalf("%d calls at the time of a later trial, want 1", len(trial))
	}
	r.step(back+0.05, answer(trial[0].ID, 1, 3, Completed))
	sent := len(trial)
	for i := range 50 {
		for _, c := range only[CallOut](r.step(back+0.06+0.04*float64(i), r.call(0))) {
			sent++
			r.step(back+0.061+0.04*float64(i), answer(c.ID, c.Endpoint, 0, Completed))
		}
	}
	if most := 11 * set.FallMultiple * 3 * 0.4 / 2; float64(sent) > most {
		t.Errorf("%d calls within 2 s of the return, want %v at most", sent, most)
	}
}

// Found on a recorded day: one refused connection at an endpoint that answered the calls beside it left it cold, and
// held to a part of its traffic for as long as after an outage.
func TestShortFailureLeavesNoColdEndpoint(t *testing.T) {
	for _, x := range []struct {
		name     string
		failures int
		back     float64 // after the last answer
		cold     bool
	}{
		{"back at once", 2, 1.2, false},
		{"back after an outage", 2, 2.5, true},
		{"most calls fail", 4, 1.9, true},
	} {
		r := newRig(t, base())
		r.step(0, list(1))
		e := r.s.endpoints[1]
		r.s.now = sec(1)
		r.s.succeeded(e, r.s.now)
		for i := range x.failures {
			r.s.now = sec(1.1 + 0.1*float64(i))
			r.s.sign(e, RefusedConn)
		}
		if !e.ejected || !e.cold {
			t.Fatalf("%s: not out after %d failures", x.name, x.failures)
		}
		r.s.now = sec(1 + x.back)
		r.s.succeeded(e, r.s.now)
		if e.ejected || e.cold != x.cold {
			t.Errorf("%s: out %v, cold %v", x.name, e.ejected, e.cold)
		}
	}
}

// Found on a recorded day: one batch that failed counted as a failure for each message in it, and took an endpoint
// out that answered all else.
func TestFailedBatchIsOneSign(t *testing.T) {
	for _, o := range []Outcome{Spoilt, Errored, Severed, RefusedConn} {
		set := base()
		set.Kinds[0].Batch = 10
		r := newRig(t, set)
		r.step(0, list(1))
		c := only[CallOut](r.step(1, r.call(0)))[0]
		r.step(1.1, answer(c.ID, c.Endpoint, 0, Completed))
		batch := only[CallOut](r.step(1.2, r.call(0), r.call(0), r.call(0), r.call(0), r.call(0)))
		if len(batch) != 5 {
			t.Fatalf("%d sends", len(batch))
		}
		var ends []Event
		for _, c := range batch {
			ends = append(ends, answer(c.ID, c.Endpoint, 0, o))
		}
		r.step(1.3, ends...)
		if r.s.endpoints[1].ejected {
			t.Errorf("outcome %d of one batch took the endpoint out", o)
		}
	}
}

// The answer to a batch may take messages on and tell a wait all the same.
func TestWaitToldWithADelivery(t *testing.T) {
	r := newRig(t, base())
	r.step(0, list(2))
	c := only[CallOut](r.step(1, r.call(0)))[0]
	done := answer(c.ID, c.Endpoint, 0, Completed)
	done.Wait = sec(1.5)
	if n := len(only[CallOut](r.step(1.1, done, r.call(0)))); n != 0 {
		t.Errorf("%d calls during a wait", n)
	}
	if n := len(only[CallOut](r.step(2.7, Due{}))); n != 1 {
		t.Errorf("%d calls after the wait, want 1", n)
	}
}

// Found on the day of a large herd: after a restart half of the endpoints on the list kept from before were gone. Each
// that refused a connection was taken for an outage of its destination, and held up the siblings for seconds.
func TestOldListIsNoOutage(t *testing.T) {
	for _, news := range []bool{false, true} {
		r := newRig(t, base())
		first := list(2)
		first.Form = ListCached
		r.step(0, first)
		if news {
			r.step(0.05, Endpoints{Form: ListDelta})
		}
		c := only[CallOut](r.step(0.1, r.call(0)))[0]
		r.step(0.2, answer(c.ID, c.Endpoint, 0, RefusedConn))
		n := 0
		for _, x := range only[CallOut](r.step(0.3, r.call(0), r.call(0))) {
			if x.Endpoint == c.Endpoint {
				t.Error("sent to the endpoint that refused")
			}
			n++
		}
		if !news && n != 2 || news && n != 0 {
			t.Errorf("news %v: %d sent beside the first", news, n)
		}
	}
}
