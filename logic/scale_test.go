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
func destList(n int) Endpoints {
	ev := Endpoints{Form: ListFull}
	for i := range 2 * n {
		ev.Entries = append(ev.Entries, Entry{Endpoint: EndpointID(i + 1), Dest: int64(i / 2)})
	}
	return ev
}

// listed makes a Sender that knows n destinations with two endpoints each.
func listed(tb testing.TB, n int) *Sender {
	tb.Helper()
	s, err := New(base(), 7)
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
		s.suspect(s.eps[1], "silent")
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

// heap is what the live objects take after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// A destination to which nothing was ever sent takes so much memory, with its two endpoints, in a list of any size.
func TestIdleDestinationScale(t *testing.T) {
	for _, n := range destSizes {
		list := destList(n)
		s, err := New(base(), 7)
		if err != nil {
			t.Fatal(err)
		}
		before := heap()
		s.Step(0, []Event{list})
		each := (heap() - before) / int64(n)
		runtime.KeepAlive(list)
		runtime.KeepAlive(s)
		t.Logf("%d destinations with two endpoints: %d bytes each", n, each)
		if each > 1000 {
			t.Errorf("%d destinations: %d bytes each", n, each)
		}
	}
}
