package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["failback-replaced"] = playReplaced
	cases["failback-large"] = playLarge
	cases["failback-peaks"] = playPeaks
	cases["failback-shut"] = playShut
}

const (
	learnTime    = 6 * time.Second // traffic before the outage
	outageTime   = 8 * time.Second
	recoveryTime = 11 * time.Second // traffic after the outage
)

// traffic hands in messages at an even rate to all senders in turn.
type traffic struct {
	pools    []*clientPool
	dest     int
	rate     float64 // messages a second
	bodySize int
	number   int
}

// run hands in messages for a time and waits for the answers.
func (t *traffic) run(duration time.Duration) {
	var answers sync.WaitGroup
	defer answers.Wait()
	interval := time.Duration(float64(time.Second) / t.rate)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		t.number++
		pool := t.pools[t.number%len(t.pools)]
		c := statusClass
		if t.number%5 < 2 {
			c = chargeClass
		}
		m := &message{
			id:       fmt.Sprintf("%s-%d-%04d", pool.sender.name, t.dest, t.number),
			class:    c.name,
			dest:     t.dest,
			body:     strings.Repeat("x", t.bodySize),
			lifetime: time.Duration(c.deadline * float64(time.Second)),
		}
		answers.Go(func() { pool.put(m) })
	}
}

// startSenders starts all senders of a deployment and returns their clients.
func (s *stage) startSenders(d deployment, machine limits) ([]*clientPool, error) {
	var pools []*clientPool
	for number := range d.senders {
		x, err := s.newSender(number, d.settings(number), machine)
		if err != nil {
			return nil, err
		}
		if _, err := x.startReady(); err != nil {
			return nil, err
		}
		pools = append(pools, &clientPool{sender: x})
	}
	return pools, nil
}

const (
	replacedCapacity = 4.0 // calls a second
	replacedRate     = 3.2 // messages a second
	ordinaryBody     = 200 // bytes
)

// playReplaced lets a destination fail all calls until its endpoint is replaced by another machine.
func playReplaced(s *stage) (bool, error) {
	d := newDestination(s.record, 1, replacedCapacity)
	old, err := newEndpoint(s.record, "s-old", d.number, kindGeneral, d.handle)
	if err != nil {
		return false, err
	}
	replacement, err := newEndpoint(s.record, "s-new", d.number, kindGeneral, d.handle)
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, []instance{old.entry("up")}); err != nil {
		return false, err
	}
	pools, err := s.startSenders(newDeployment(), smallLimits)
	if err != nil {
		return false, err
	}
	t := &traffic{pools: pools, dest: d.number, rate: replacedRate, bodySize: ordinaryBody}
	t.run(learnTime)
	if s.trouble {
		d.beginOutage()
	}
	t.run(outageTime)
	if s.trouble {
		d.endOutage()
		if s.variant != "outage" {
			s.agent.change(old.entry("removed"), replacement.entry("up"))
		}
	}
	t.run(recoveryTime)
	return d.hasFallen(), nil
}

const (
	largeCapacity = 4.0      // calls a second
	largeRate     = 4.0      // messages a second
	largeBody     = 40 << 10 // bytes
	largeOthers   = 7        // destinations besides, so that one of eight endpoints fails, with under 30% of the traffic
)

const (
	firstOther    = 200
	otherRate     = 1.5  // messages a second for each of the other destinations
	otherCapacity = 10.0 // calls a second
)

// otherDestinations starts sound destinations with an endpoint each, and returns their numbers and list entries.
func (s *stage) otherDestinations(count int) (numbers []int, list []instance, err error) {
	for i := range count {
		d := newDestination(s.record, firstOther+i, otherCapacity)
		e, err := newEndpoint(s.record, fmt.Sprint("s-", d.number), d.number, kindGeneral, d.handle)
		if err != nil {
			return nil, nil, err
		}
		numbers, list = append(numbers, d.number), append(list, e.entry("up"))
	}
	return numbers, list, nil
}

// runOthers hands in messages for the other destinations in turn. The returned function waits for the end of that.
func runOthers(pools []*clientPool, dests []int, duration time.Duration) (wait func()) {
	var others sync.WaitGroup
	for i, dest := range dests {
		others.Go(func() {
			time.Sleep(time.Duration(float64(i) / otherRate / float64(len(dests)) * float64(time.Second)))
			t := &traffic{pools: pools, dest: dest, rate: otherRate, bodySize: ordinaryBody}
			t.run(duration)
		})
	}
	return others.Wait
}

// playLarge lets a destination that takes bulk calls fail all calls for a time, with messages that do not fit into one
// bulk call together.
func playLarge(s *stage) (bool, error) {
	d := newDestination(s.record, 1, largeCapacity)
	d.report = fmt.Sprintf("x0=0.5,x1=%g", largeCapacity)
	e, err := newEndpoint(s.record, "s-1", d.number, kindBulk, d.handle)
	if err != nil {
		return false, err
	}
	otherDests, list, err := s.otherDestinations(largeOthers)
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, append(list, e.entry("up"))); err != nil {
		return false, err
	}
	config := newDeployment()
	config.reports = true
	pools, err := s.startSenders(config, smallLimits)
	if err != nil {
		return false, err
	}
	body := largeBody
	if s.variant == "small" {
		body = ordinaryBody
	}
	defer runOthers(pools, otherDests, learnTime+outageTime+recoveryTime)()
	t := &traffic{pools: pools, dest: d.number, rate: largeRate, bodySize: body}
	t.run(learnTime)
	if s.trouble {
		d.beginOutage()
	}
	t.run(outageTime)
	if s.trouble {
		d.endOutage()
	}
	t.run(recoveryTime)
	return d.hasFallen(), nil
}

const (
	peaksOutage   = 12 * time.Second
	peaksSenders  = 12
	peaksCapacity = 12.0 // calls a second
	peaksRate     = 10.0 // messages a second, all senders together
	clumpTime     = 1500 * time.Millisecond
)

// playPeaks lets each sender get a clump of messages for one destination, one sender after the other, and then lets that
// destination fail all calls for a time.
func playPeaks(s *stage) (bool, error) {
	d := newDestination(s.record, 1, peaksCapacity)
	e, err := newEndpoint(s.record, "s-1", d.number, kindGeneral, d.handle)
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, []instance{e.entry("up")}); err != nil {
		return false, err
	}
	config := newDeployment()
	config.senders = peaksSenders
	pools, err := s.startSenders(config, smallLimits)
	if err != nil {
		return false, err
	}
	t := &traffic{dest: d.number, bodySize: ordinaryBody}
	if s.variant != "noclumps" {
		for _, pool := range pools {
			t.pools, t.rate = []*clientPool{pool}, peaksCapacity
			t.run(clumpTime)
		}
	}
	t.pools, t.rate = pools, peaksRate
	t.run(learnTime)
	if s.trouble {
		d.beginOutage()
	}
	t.run(peaksOutage)
	if s.trouble {
		d.endOutage()
	}
	t.run(recoveryTime)
	return d.hasFallen(), nil
}

const (
	shutSenders   = 3
	shutDests     = 5
	shutEndpoints = 3   // of each destination
	shutCapacity  = 3.0 // calls a second
	shutRate      = 2.6 // messages a second for each destination
	limitedDests  = 4
	limitedDest   = 100  // number of the first of them
	limitedRate   = 8.0  // messages a second for each, so that the others get under 30% of the traffic
	limitedCalls  = 15.0 // calls a second that each takes
	shutSettle    = 12 * time.Second
	shutSlots     = 26
)

// playShut lets destinations without a limit be shut for a time, while others have a limit and report it.
func playShut(s *stage) (bool, error) {
	var list []instance
	for i := range limitedDests {
		limited := newDestination(s.record, limitedDest+i, limitedCalls)
		if s.variant != "unreported" {
			limited.report = fmt.Sprintf("x0=0.5,x1=%g", limitedCalls)
		}
		e, err := newEndpoint(s.record, fmt.Sprint("s-", limited.number), limited.number, kindBulk, limited.handle)
		if err != nil {
			return false, err
		}
		list = append(list, e.entry("up"))
	}
	var dests []*destination
	for i := range shutDests {
		d := newDestination(s.record, 1+i, shutCapacity)
		d.failure = answerFull
		dests = append(dests, d)
		for j := range shutEndpoints {
			e, err := newEndpoint(s.record, fmt.Sprintf("s-%d-%d", d.number, j), d.number, kindGeneral, d.handle)
			if err != nil {
				return false, err
			}
			list = append(list, e.entry("up"))
		}
	}
	agent, err := newAgent(s.record, list)
	if err != nil {
		return false, err
	}
	s.agent = agent
	config := newDeployment()
	config.senders, config.reports, config.callSlots = shutSenders, true, shutSlots
	pools, err := s.startSenders(config, smallLimits)
	if err != nil {
		return false, err
	}
	var work sync.WaitGroup
	for i := range limitedDests {
		work.Go(func() {
			t := &traffic{pools: pools, dest: limitedDest + i, rate: limitedRate, bodySize: ordinaryBody}
			t.run(learnTime + outageTime + shutSettle)
		})
	}
	for _, d := range dests {
		work.Go(func() {
			t := &traffic{pools: pools, dest: d.number, rate: shutRate, bodySize: ordinaryBody}
			t.run(learnTime)
			if s.trouble {
				d.beginOutage()
			}
			t.run(outageTime)
			if s.trouble {
				d.endOutage()
			}
			t.run(shutSettle)
		})
	}
	work.Wait()
	fallen := false
	for _, d := range dests {
		fallen = d.hasFallen() || fallen
	}
	return fallen, nil
}
