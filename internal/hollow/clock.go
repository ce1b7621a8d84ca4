package hollow

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"

	"rundeal/logic"
)

// event is a scheduled callback. Events with equal times run in the order in which they were scheduled.
type event struct {
	at  logic.Micros
	seq uint64
	run func()
}

// eventQueue is a min-heap of events, ordered by time and then by sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	n := len(old) - 1
	x := old[n]
	old[n] = event{}
	*q = old[:n]
	return x
}

// clock holds the virtual time and the scheduled events.
type clock struct {
	now     logic.Micros // since the start of the run
	lastSeq uint64
	events  eventQueue
}

// scheduleAt runs do at time t, or at the current time if t has passed.
func (c *clock) scheduleAt(t logic.Micros, do func()) {
	c.lastSeq++
	heap.Push(&c.events, event{max(t, c.now), c.lastSeq, do})
}

// maxDelay, in microseconds, is longer than any run.
const maxDelay = 1e15

// clampDelay converts microseconds to a delay that can be added to a time without overflow.
func clampDelay(micros float64) logic.Micros { return logic.Micros(min(micros, maxDelay)) }

func (c *clock) scheduleAfter(d logic.Micros, do func()) { c.scheduleAt(c.now+d, do) }

// runNext advances to the next event that is due by until and runs it. If there is none, it advances to until and
// returns false.
func (c *clock) runNext(until logic.Micros) bool {
	if len(c.events) == 0 || c.events[0].at > until {
		c.now = max(c.now, until)
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.run()
	return true
}

// deriveSeed derives the seed of the n-th component with the given name.
func deriveSeed(seed uint64, name string, n int) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	for _, x := range []uint64{seed, uint64(n)} {
		for i := range 8 {
			h.Write([]byte{byte(x >> (8 * i))})
		}
	}
	return h.Sum64()
}

// newRand returns the random source of the n-th component with the given name.
func newRand(seed uint64, name string, n int) *rand.Rand {
	s := deriveSeed(seed, name, n)
	return rand.New(rand.NewPCG(s, ^s))
}
