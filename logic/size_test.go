package logic

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

// destSizes are numbers of destinations with two endpoints each, up to those that are expected within two years.
var destSizes = []int{350, 3500, 17500, 35000}

// destList is a whole list of n destinations with two endpoints each.
func destList(n int) EndpointUpdate {
	ev := EndpointUpdate{Kind: UpdateFull}
	for i := range 2 * n {
		ev.Entries = append(ev.Entries, EndpointEntry{Endpoint: EndpointID(i + 1), Dest: int64(i / 2)})
	}
	return ev
}

// listed makes a Sender that knows n destinations with two endpoints each.
func listed(tb testing.TB, n int) *Sender {
	tb.Helper()
	s, err := New(baseSettings(), 7)
	if err != nil {
		tb.Fatal(err)
	}
	s.Step(0, []Event{destList(n)})
	return s
}

// least is the shortest time that f takes of some runs, each with a number of its own.
func least(runs int, f func(i int)) time.Duration {
	best := time.Duration(math.MaxInt64)
	for i := range runs {
		at := time.Now()
		f(i)
		best = min(best, time.Since(at))
	}
	return best
}

// The figures ask after every step how many endpoints are out of rotation: that costs the same with any list.
func TestOutOfRotationScale(t *testing.T) {
	var took []time.Duration
	for _, n := range destSizes {
		s := listed(t, n)
		s.eject(s.eps[1], "silent")
		took = append(took, least(20, func(int) {
			for range 1000 {
				if got := s.OutOfRotation(); got != 1 {
					t.Fatalf("%d destinations: %d out of rotation, want 1", n, got)
				}
			}
		}))
		t.Logf("%d destinations: %v for 1,000 calls", n, took[len(took)-1])
	}
	if first, last := took[0], took[len(took)-1]; last > 20*first {
		t.Errorf("%d destinations: %v, %d destinations: %v", destSizes[0], first, destSizes[len(destSizes)-1], last)
	}
}

// stranded are n messages for destinations that no endpoint serves, so that they stay.
func stranded(n int) (evs []Event) {
	for i := range n {
		evs = append(evs, Message{ID: fmt.Sprintf("%016x", i), TimeLeft: 14 * Second, Dest: -1, Tenant: -1, Class: 2})
	}
	return evs
}

// unbounded is a deployment that holds as many messages as come.
func unbounded() Settings {
	set := baseSettings()
	set.MaxOpen = 0
	return set
}

func BenchmarkOutOfRotation(b *testing.B) {
	for _, n := range destSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := listed(b, n)
			for b.Loop() {
				s.OutOfRotation()
			}
		})
	}
}

// liveHeap is what the live objects take after a collection.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A destination to which nothing was ever sent takes so much memory, with its two endpoints, in a list of any size.
func TestIdleDestinationScale(t *testing.T) {
	for _, n := range destSizes {
		list := destList(n)
		s, err := New(baseSettings(), 7)
		if err != nil {
			t.Fatal(err)
		}
		before := liveHeap()
		s.Step(0, []Event{list})
		each := (liveHeap() - before) / int64(n)
		runtime.KeepAlive(list)
		runtime.KeepAlive(s)
		t.Logf("%d destinations with two endpoints: %d bytes each", n, each)
		if each > 1000 {
			t.Errorf("%d destinations: %d bytes each", n, each)
		}
	}
}

// The first whole list, and one that says the same again.
func BenchmarkWholeList(b *testing.B) {
	for _, n := range destSizes {
		list := []Event{destList(n)}
		b.Run(fmt.Sprintf("first/%d", 2*n), func(b *testing.B) {
			for b.Loop() {
				s, err := New(baseSettings(), 7)
				if err != nil {
					b.Fatal(err)
				}
				s.Step(0, list)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*2*n), "ns/endpoint")
		})
		b.Run(fmt.Sprintf("again/%d", 2*n), func(b *testing.B) {
			s := listed(b, n)
			for b.Loop() {
				s.Step(0, list)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*2*n), "ns/endpoint")
		})
	}
}

// News of one endpoint that drains, with the step that it costs.
func BenchmarkListChange(b *testing.B) {
	for _, n := range destSizes {
		b.Run(fmt.Sprint(2*n), func(b *testing.B) {
			s := listed(b, n)
			change := []Event{EndpointUpdate{Kind: UpdateDelta, Entries: []EndpointEntry{{Endpoint: 3, Dest: 1, State: Draining}}}}
			for b.Loop() {
				s.Step(0, change)
			}
		})
	}
}

// A step with so many messages held, and what each takes of memory.
func BenchmarkHeld(b *testing.B) {
	for _, n := range []int{1000, 5000, 20000, 80000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, err := New(unbounded(), 7)
			if err != nil {
				b.Fatal(err)
			}
			evs := stranded(n)
			before := liveHeap()
			s.Step(0, evs)
			each := float64(liveHeap()-before) / float64(n)
			for b.Loop() {
				s.Step(1, nil)
			}
			b.ReportMetric(each, "heap-B/message")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*n), "ns/message")
			runtime.KeepAlive(evs)
		})
	}
}

// A snapshot by the size of the list, and by the messages held.
func BenchmarkSnapshot(b *testing.B) {
	for _, x := range []struct{ dests, held int }{{350, 0}, {3500, 0}, {17500, 0}, {35000, 0},
		{350, 1000}, {350, 5000}, {350, 20000}, {350, 80000}} {
		s, err := New(unbounded(), 7)
		if err != nil {
			b.Fatal(err)
		}
		s.Step(0, append([]Event{destList(x.dests)}, stranded(x.held)...))
		text, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size := fmt.Sprintf("%dendpoints/%dheld", 2*x.dests, x.held)
		b.Run("save/"+size, func(b *testing.B) {
			for b.Loop() {
				if _, err := s.Snapshot(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-B")
		})
		b.Run("restore/"+size, func(b *testing.B) {
			for b.Loop() {
				if _, err := Restore(unbounded(), text); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
