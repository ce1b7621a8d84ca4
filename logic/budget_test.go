package logic

import "testing"

// Found at two senders before a cold destination: each call that it turned away and that was sent again raised the
// rate taken for its capacity, and with it the budget, up to twice in a second.
func TestRefusedCallsWidenNoBudget(t *testing.T) {
	r := newRig(t, base())
	r.step(0, list(1))
	for i := range 12 { // six served, then six turned away, all within a second
		at := 1 + 0.06*float64(i)
		c := only[CallOut](r.step(at, r.call(0)))[0]
		if i < 6 {
			r.step(at+0.03, answer(c.ID, 1, 0, Completed))
			continue
		}
		r.step(at+0.03, answer(c.ID, 1, 0, Full), ClientGone{c.ID})
		r.s.dests[9].limiter.pace = 0 // the pace is not what is tested
	}
	if c := r.s.capacity(r.s.endpoints[1]); c != 6 {
		t.Errorf("capacity %v after a second in which 6 calls of 12 were served", c)
	}
}

// Found at twenty senders before a destination that fell silent: a sender all of whose calls there were cut at τ knew
// of no failure, and sent all that it held once the first trial was answered.
func TestLongSilenceLeavesAColdEndpoint(t *testing.T) {
	for _, x := range []struct {
		silent float64
		cold   bool
	}{{1.5, false}, {2.5, true}} {
		r := newRig(t, base())
		r.step(0, list(1))
		e := r.s.endpoints[1]
		r.s.now = sec(1)
		r.s.succeeded(e, sec(0.9))
		r.s.now = sec(20)
		r.s.eject(e, "silent")
		r.s.now += sec(x.silent)
		r.s.succeeded(e, r.s.now)
		if e.ejected || e.cold != x.cold {
			t.Errorf("silent for %v s: out %v, cold %v", x.silent, e.ejected, e.cold)
		}
	}
}

// A lane that runs free owes a second's calls at most once a refusal sets its pace.
func TestFreeLaneOwesLittle(t *testing.T) {
	r := newRig(t, base())
	r.step(0, list(1))
	at := 0.0
	for range 300 {
		at += 0.1
		c := only[CallOut](r.step(at, r.call(0)))[0]
		r.step(at+0.05, answer(c.ID, 1, 0, Completed))
	}
	at += 1 // a quiet second: the pace starts low
	c := only[CallOut](r.step(at, r.call(0)))[0]
	r.step(at+0.01, answer(c.ID, 1, 0, Full))
	l := r.s.dests[9].limiter
	if l.pace == 0 {
		t.Fatal("a refusal set no pace")
	}
	for wait := 0.02; wait < 9; wait += 0.02 {
		if len(only[CallOut](r.step(at+wait, Due{}))) > 0 {
			if most := 1 + 1/l.pace + 0.05; wait > most {
				t.Errorf("sent again after %.2f s at a pace of %v, want %.2f at most", wait, l.pace, most)
			}
			return
		}
	}
	t.Errorf("not sent again within 9 s at a pace of %v", l.pace)
}

// What a window may hold is what the destination could do in it, which is less than what it can do at its end.
func TestBudgetIsThatOfTheWholeWindow(t *testing.T) {
	const rate = 40.0
	set := base()
	set.Senders, set.Slots, set.MaxOpen, set.Weights = 1, 4000, 0, WeightsNominal
	set.FallMultiple, set.FallWindow, set.ColdFrom, set.WarmAfter = 2.5, 3*Second, 0.15, sec(9.5)
	r := newRig(t, set)
	news := list(1)
	news.Entries[0].Nominal = rate
	evs := []Event{news}
	r.step(0, evs...)
	e := r.s.endpoints[1]
	e.cold, e.upAt = true, Second
	for range 600 {
		evs = append(evs, r.call(2))
	}
	var sent []Micros
	for at := 1.0; at < 10.5; at += 0.02 {
		acts := r.step(at, evs...)
		evs = []Event{Due{}}
		for _, c := range only[CallOut](acts) {
			sent = append(sent, r.s.now)
			evs = append(evs, answer(c.ID, 1, 0, Completed))
		}
		most := 0.0
		for x := at - 3; x < at; x += 0.01 {
			most += 0.01 * set.FallMultiple * rate * (0.15 + 0.85*max(x-1, 0)/9.5)
		}
		if n := countAfter(sent, sec(at-3)); float64(n) > most+1 {
			t.Fatalf("%.2f s after the return: %d calls in a window, want %.0f at most", at-1, n, most)
		}
	}
	if len(sent) < 200 {
		t.Errorf("only %d calls in all", len(sent))
	}
}
