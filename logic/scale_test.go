package logic

import (
	"fmt"
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
	l := newLoad(tb, 1)
	l.next = func() int64 { return 0 }
	l.fill(n)
	return l
}

// mostDown holds ten messages at each of many destinations that are out. The others get a message at a time.
func mostDown(tb testing.TB, n int) *load {
	dests := n / 10 * 10 / 9
	l := newLoad(tb, dests)
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

func newLoad(tb testing.TB, dests int) *load {
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
		ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i), Dest: int64(i), Nominal: 100})
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
	l.evs = append(l.evs, Call{ID: fmt.Sprint(l.n), Left: l.s.set.Classes[class].Deadline, Dest: l.next(), Tenant: -1,
		Class: class})
	l.n++
}

func (l *load) step() {
	l.now += l.s.set.Tick
	acts := l.s.Step(l.now, l.evs)
	l.evs = nil
	for _, c := range only[CallOut](acts) {
		r := Reply{ID: c.ID, Endpoint: c.Endpoint, Attempt: l.s.msgs[c.ID].tries - 1, Outcome: RefusedConn}
		if up(c.Endpoint) {
			r.Outcome, r.NoMore, r.Took = Completed, true, l.s.set.Tick
			l.call()
		}
		l.evs = append(l.evs, r)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, x := range []struct {
		name string
		make func(testing.TB, int) *load
	}{{"one paced", onePaced}, {"most down", mostDown}} {
		for _, n := range []int{100, 1000, 5000, 20000} {
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
