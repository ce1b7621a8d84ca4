package logic

import "testing"

// shortWindow has a window for repeats of one second, and of zones that do not know each other's repeats.
func shortWindow() Settings {
	set := base()
	set.Zones, set.Classes[1].ByZone, set.Classes[1].Window = 2, true, Second
	return set
}

// zoned is a list of an endpoint in each of two zones.
func zoned() Endpoints {
	eps := list(2)
	eps.Entries[1].Zone = 1
	return eps
}

// The window is one for the send: a message whose window is open goes again in it, however long an answer takes. Once
// it is over the message has failed, at once.
func TestRepeatWithinAShortWindow(t *testing.T) {
	for _, again := range []float64{0.3, 0.7, 0.95} { // after the first send
		r := newRig(t, shortWindow())
		r.step(0, list(1))
		feed(&r.s.destByID(9).latency, 20, 0.8) // usual
		m := r.call(1)
		if n := len(only[CallOut](r.step(10, m))); n != 1 {
			t.Fatalf("%d sends", n)
		}
		acts := r.step(10+again-0.2, answer(m.ID, 1, 0, Errored)) // and rests for 0.2 s
		acts = append(acts, r.step(10+again+0.01)...)
		if n := len(only[CallOut](acts)); n != 1 || len(only[Fail](acts)) != 0 {
			t.Errorf("%.2f s after the first send: %d sends, %v", again, n, acts)
		}
	}
	r := newRig(t, shortWindow())
	r.step(0, list(1))
	m := r.call(1)
	r.step(10, m)
	if acts := r.step(11.01, answer(m.ID, 1, 0, Errored)); len(only[Fail](acts)) != 1 || len(only[CallOut](acts)) != 0 {
		t.Errorf("out of its window: %v", acts)
	}
}

// What a restart finds in a short window: the time since the first send counts, and the zone that it went to.
func TestRestartInAShortWindow(t *testing.T) {
	for _, x := range []struct {
		name       string
		past       Past
		send, fail int
	}{
		{"untried", Past{Taken: true}, 1, 0},
		{"never ran", Past{Taken: true, Tries: 2}, 1, 0},
		{"may have run, window open", Past{Taken: true, Tries: 1, MayRun: true, Age: sec(0.9), Zone: 1}, 1, 0},
		{"may have run, window over", Past{Taken: true, Tries: 1, MayRun: true, Age: sec(1.001), Zone: 1}, 0, 1},
		{"may have run in a zone without endpoints", Past{Taken: true, Tries: 1, MayRun: true, Zone: 5}, 0, 0},
	} {
		r := newRig(t, shortWindow())
		c := r.call(1)
		c.Past = x.past
		acts := r.step(100, zoned(), c)
		out := only[CallOut](acts)
		if len(out) != x.send || len(only[Fail](acts)) != x.fail {
			t.Errorf("%s: %v", x.name, acts)
		}
		if x.past.MayRun && len(out) == 1 && out[0].Endpoint != 2 {
			t.Errorf("%s: sent to %v, of another group", x.name, out)
		}
	}
	// A message that waits for its zone ends with its window, and not before.
	r := newRig(t, shortWindow())
	c := r.call(1)
	c.Past = Past{Taken: true, Tries: 1, MayRun: true, Age: sec(0.5), Zone: 5}
	r.step(100, zoned(), c)
	if acts := r.step(100.4); len(only[Fail](acts)) != 0 {
		t.Errorf("given up in its window: %v", acts)
	}
	if acts := r.step(100.5); len(only[Fail](acts)) != 1 {
		t.Errorf("at the end of its window: %v", acts)
	}
}

// A call that is cut off at τ needs time to be sent again. Of a short window that must not be all.
func TestCutWithinAShortWindow(t *testing.T) {
	for window, cut := range map[Micros]bool{Second: true, sec(0.4): false} {
		set := shortWindow()
		set.Classes[1].Window = window
		r := newRig(t, set)
		r.step(0, list(1))
		d := r.s.destByID(9)
		feed(&d.latency, 20, 0.02)
		feed(&d.latency, 2, 5) // a slow few: restarting pays
		if d.latency.tau == 0 {
			t.Fatal("no tau")
		}
		m, beside := r.call(1), r.call(0)
		r.step(10, m, beside)
		r.step(10.1, answer(beside.ID, 1, 0, Completed)) // the endpoint answers: the call alone is slow
		d.latency.p95, d.latency.median = d.latency.tau, sec(0.02)
		acts := r.step(10.51, Due{}) // past the least time for a cut
		if n := len(only[Cancel](acts)); (n == 1) != cut {
			t.Errorf("window %d: %d called off", window, n)
		}
	}
}

// A keyed call whose window is over can't be sent again: called off it would fail, so it is left to be answered, as an
// unsafe one is. A safe one is called off and goes elsewhere.
func TestLastTryIsNotCalledOff(t *testing.T) {
	for class, off := range []bool{true, false, false} {
		r := newRig(t, shortWindow())
		r.step(0, list(2))
		m := r.call(class)
		acts := r.step(10, m)
		at := 10.0
		for range 12 { // to 5.4 s, well past what makes a call stuck where no latency is known
			at += 0.45
			acts = append(acts, r.step(at, Due{})...)
		}
		if n := len(only[Cancel](acts)); (n == 1) != off {
			t.Errorf("class %d: %d called off", class, n)
		}
		if !off {
			if acts := r.step(at, answer(m.ID, only[CallOut](acts)[0].Endpoint, 0, Completed)); len(only[Fail](acts)) != 0 {
				t.Errorf("class %d: %v", class, acts)
			}
		}
	}
}

// Where nothing can be called off a call times out early, to be sent again; one that could not be has all its time.
func TestLastTryHasAllItsTime(t *testing.T) {
	for _, x := range []struct {
		class  int
		window Micros
		early  bool
	}{{0, Second, true}, {1, 8 * Second, true}, {1, Second, false}, {2, Second, false}} {
		set := shortWindow()
		set.MayCancel, set.Classes[1].Window = false, x.window
		r := newRig(t, set)
		r.step(0, list(1))
		m := r.call(x.class)
		out := only[CallOut](r.step(10, m))
		if len(out) != 1 || (out[0].GiveUp < m.Left) != x.early {
			t.Errorf("class %d, window %d: %v, with %d left", x.class, x.window, out, m.Left)
		}
	}
}
