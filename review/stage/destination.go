package main

import (
	"math"
	"strings"
	"sync"
	"time"
)

const (
	serviceTime  = 150 * time.Millisecond // of a call at an endpoint
	queueSeconds = 0.5                    // work that a destination lets wait, in seconds of its present capacity
)

// destination stands in for a partner: its endpoints share its capacity and its outages. After an outage it is cold.
type destination struct {
	record   *recorder
	number   int
	capacity float64 // calls a second when it is warm
	report   string  // load report in each answer; empty for none
	failure  answer  // to all calls during an outage

	mu          sync.Mutex
	down        bool
	recoveredAt time.Duration // end of the last outage; 0 if there was none
	backlog     float64       // calls that wait
	backlogAt   time.Duration
	told        map[string]bool // senders that had a call fail during the outage
	arrivals    []arrival       // since the end of the outage
	worst       float64         // largest ratio of the calls in a window to those that it bears
	fallen      bool            // it fell over, and stays down
	delivered   map[string]int  // how often each message was delivered
}

// arrival is a call that reached a destination after its outage.
type arrival struct {
	at   time.Duration
	told bool // its sender had a call fail during the outage
}

func newDestination(record *recorder, number int, capacity float64) *destination {
	return &destination{
		record: record, number: number, capacity: capacity, failure: answerError,
		told: map[string]bool{}, delivered: map[string]int{},
	}
}

// senderOf returns the sender to which a message was handed in; its name starts the id.
func senderOf(id string) string {
	name, _, _ := strings.Cut(id, "-")
	return name
}

func (d *destination) beginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.recoveredAt = true, 0
	d.record.printf("destination %d: outage", d.number)
}

func (d *destination) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down, d.recoveredAt, d.backlog, d.backlogAt = false, d.record.elapsed(), 0, d.record.elapsed()
	d.record.printf("destination %d: comes back cold; told of its outage: %d senders", d.number, len(d.told))
}

// share returns the share of its capacity that the destination has at a time after its outage.
func (d *destination) share(at time.Duration) float64 {
	if d.recoveredAt == 0 {
		return 1
	}
	return coldFrom + (1-coldFrom)*min(1, (at-d.recoveredAt).Seconds()/warmSeconds)
}

// handle takes a call.
func (d *destination) handle(c *inboundCall) answer {
	a := d.decide(c)
	if a.status == answerDelivered.status {
		c.sleep(serviceTime)
	}
	a.report = d.report
	d.record.printf("%s: call with %d messages, first %s: %d", c.endpoint.name, len(c.ids), c.ids[0], a.status)
	return a
}

// decide decides on the answer to a call.
func (d *destination) decide(c *inboundCall) answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	sender := senderOf(c.ids[0])
	if d.down {
		d.told[sender] = true
		return d.failure
	}
	if d.recoveredAt != 0 {
		d.arrivals = append(d.arrivals, arrival{c.at, d.told[sender]})
		d.checkFall(c.at)
	}
	if d.fallen {
		return answerFull
	}
	capacity := d.capacity * d.share(c.at)
	d.backlog, d.backlogAt = max(0, d.backlog-capacity*(c.at-d.backlogAt).Seconds()), c.at
	if d.backlog > capacity*queueSeconds {
		return answerFull
	}
	d.backlog++
	for _, id := range c.ids {
		d.delivered[id]++
	}
	return answerDelivered
}

// bound returns how many calls a cold destination bears in a window in which the settings allow n.
func bound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkFall lets the destination fall over if more calls than it bears have arrived within a window of fallSeconds while
// it is cold, over two thirds of them from senders that had been told of the outage. The lock must be held.
func (d *destination) checkFall(now time.Duration) {
	if d.fallen || now > d.recoveredAt+time.Duration(warmSeconds*float64(time.Second)) {
		return
	}
	calls, told := 0, 0
	for _, a := range d.arrivals {
		if (now - a.at).Seconds() < fallSeconds {
			calls++
			if a.told {
				told++
			}
		}
	}
	const steps = 100 // for the mean share over the window
	mean := 0.0
	for step := range steps { // the time before the end of the outage counts with the share right after it
		at := now - time.Duration(fallSeconds*float64(step)/steps*float64(time.Second))
		mean += d.share(max(at, d.recoveredAt)) / steps
	}
	n := fallMultiple * mean * d.capacity * fallSeconds
	d.worst = max(d.worst, float64(calls)/bound(n))
	if float64(calls) > bound(n) && 3*told > 2*calls {
		d.fallen = true
		d.record.printf("destination %d falls over %.2f s after its return: %d calls in %.0f s, %d of them from senders "+
			"that were told of the outage; the settings allow %.1f, with chance %.1f",
			d.number, (now - d.recoveredAt).Seconds(), calls, fallSeconds, told, n, bound(n))
	}
}

// hasFallen reports whether the destination fell over, and records how near it came.
func (d *destination) hasFallen() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.record.printf("destination %d: at worst %.2f times the calls that it bears; %d messages delivered",
		d.number, d.worst, len(d.delivered))
	return d.fallen
}
