package hollow

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"rundeal/logic"
)

// Codes of the trace. Their values are part of the digest.
const (
	traceArrival = iota
	traceCall
	traceOutcome
	traceMessageEnd
	traceSenderStart
	traceSenderKill
	traceListChange
	traceOutageStart
	traceOutageEnd
)

// fleet is the state of a run.
type fleet struct {
	clock
	scenario        *Scenario
	topology        *topology
	destinations    []*destination
	endpointsByAddr map[string]*endpoint
	endpoints       []*endpoint
	discovery       *discovery
	senders         []*sender
	popularitySums  []float64 // cumulative weights of the destinations; nil if all are equally popular
	classShareSums  []float64 // cumulative shares of the classes
	changesRand     *rand.Rand
	messageCount    uint64
	stats           *stats
	digest          hash.Hash64
	err             error
}

// traceEvent adds an event code, the current time and three values to the digest of the trace.
func (f *fleet) traceEvent(code, a, b, c int) {
	var buf [40]byte
	for i, x := range []uint64{uint64(code), uint64(f.now), uint64(a), uint64(b), uint64(c)} {
		binary.LittleEndian.PutUint64(buf[8*i:], x)
	}
	f.digest.Write(buf[:])
}

func (f *fleet) fail(err error) { f.err = errors.Join(f.err, err) }

// Options are the options of a run that are not part of its scenario.
type Options struct {
	MemoryMB float64        // a run with a higher estimate is not started; 0 for no limit
	Progress func(Progress) // called every few seconds of a long run; may be nil
}

// Progress is the virtual time and the number of messages that a run has reached.
type Progress struct {
	Now, End Duration
	Offered  int64
}

const (
	eventsPerCheck = 4096 // events between two checks of the wall clock and the context
	progressAfter  = 10 * time.Second
	progressEvery  = 5 * time.Second
)

// Run simulates a scenario. If ctx ends first, the report is marked as interrupted and holds what was measured until
// then.
func Run(ctx context.Context, sc *Scenario, opts Options) (*Report, error) {
	if err := sc.validate("scenario", nil); err != nil { // the caller may have changed fields after loading
		return nil, err
	}
	if needMB := sc.MemoryMB(); opts.MemoryMB > 0 && needMB > opts.MemoryMB {
		return nil, fmt.Errorf(
			"%d senders with %d destinations of %d endpoints need about %.0f MB, but %.0f MB is the limit; use fewer senders or destinations",
			sc.Fleet.Senders, sc.Destinations.Count, sc.Destinations.Endpoints, needMB, opts.MemoryMB)
	}
	wallStart, cpuStart := time.Now(), cpuTime()
	end := sc.Length().Micros
	f := newFleet(sc)
	lastProgress, interrupted := wallStart, false
	checkpoint := func() bool { // reports progress and returns whether to continue
		now := time.Now()
		if opts.Progress != nil && now.Sub(wallStart) > progressAfter && now.Sub(lastProgress) > progressEvery {
			lastProgress = now
			opts.Progress(Progress{Duration{f.now}, Duration{end}, f.stats.Offered})
		}
		interrupted = ctx.Err() != nil
		return !interrupted
	}
	heapBefore := heapBytes()
	f.start(checkpoint)
	f.stats.heapBytes = heapBytes() - heapBefore
	for n := 1; !interrupted && f.err == nil && f.runNext(end); n++ {
		if n%eventsPerCheck == 0 {
			checkpoint()
		}
	}
	if f.err != nil {
		return nil, f.err
	}
	return f.report(interrupted, time.Since(wallStart), cpuTime()-cpuStart), nil
}

// heapBytes returns the bytes of live heap objects after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func newFleet(sc *Scenario) *fleet {
	f := &fleet{
		scenario:        sc,
		topology:        newTopology(sc),
		endpointsByAddr: map[string]*endpoint{},
		changesRand:     newRand(sc.Seed, "changes", 0),
		stats:           newStats(),
		digest:          fnv.New64a(),
	}
	f.discovery = newDiscovery(f)
	for i := range sc.Destinations.Count {
		d := newDestination(i, sc)
		f.destinations = append(f.destinations, d)
		for k := range sc.Destinations.Endpoints {
			zone := (i + k*max(sc.Fleet.Zones/sc.Destinations.Endpoints, 1)) % sc.Fleet.Zones
			f.discovery.add(f.newEndpoint(d, zone), 1)
		}
	}
	sum := 0.0
	for _, c := range sc.Classes {
		sum += c.Share
		f.classShareSums = append(f.classShareSums, sum)
	}
	if sc.Traffic.Popularity == "zipf" {
		sum = 0
		for i := range f.destinations {
			sum += math.Pow(float64(i+1), -sc.Traffic.ZipfExponent)
			f.popularitySums = append(f.popularitySums, sum)
		}
	}
	for i := range sc.Fleet.Senders {
		f.senders = append(f.senders, newSender(f, i))
	}
	return f
}

// newEndpoint creates an endpoint on its own machine.
func (f *fleet) newEndpoint(d *destination, zone int) *endpoint {
	number, racks := len(f.endpoints), f.scenario.Fleet.RacksPerZone
	e := &endpoint{
		destination: d,
		number:      number,
		addr:        fmt.Sprintf("10.%d.%d.%d:6379", number>>16, number>>8&255, number&255),
		machine:     &machine{zone: zone, rack: zone*racks + number/f.scenario.Fleet.Zones%racks},
	}
	f.endpoints = append(f.endpoints, e)
	d.endpoints = append(d.endpoints, e)
	f.endpointsByAddr[e.addr] = e
	return e
}

// start starts all senders, unless checkpoint returns false, and schedules faults, changes and samples.
func (f *fleet) start(checkpoint func() bool) {
	for _, s := range f.senders {
		if !checkpoint() {
			return
		}
		f.discovery.sendFullList(s)
		s.appliedGeneration = s.agentGeneration // the initial list does not count as a change
		s.start()
		f.generateArrivals(s)
	}
	for _, d := range f.destinations {
		f.randomOutages(d)
	}
	// Each replacement publishes two changes.
	f.scheduleDaily(f.changesRand, f.scenario.Discovery.ChangesPerDay/2, f.discovery.replaceEndpoint)
	restarts, losses := newRand(f.scenario.Seed, "restarts", 0), newRand(f.scenario.Seed, "losses", 0)
	f.scheduleDaily(restarts, f.scenario.Fleet.RestartsPerDay, func() {
		f.restartSender(f.senders[restarts.IntN(len(f.senders))])
	})
	f.scheduleDaily(losses, f.scenario.Fleet.LossesPerDay, func() {
		f.failMachines([]*machine{f.senders[losses.IntN(len(f.senders))].machine}, f.scenario.Fleet.RestartTime.Micros)
	})
	for _, fault := range f.scenario.Faults {
		f.scheduleAt(fault.At.Micros, func() { f.injectFault(fault) })
	}
	for i := range sampleCount {
		f.scheduleAt(f.scenario.Length().Micros*logic.Micros(i+1)/sampleCount, f.sample)
	}
}

// scheduleDaily runs do as a Poisson process with perDay events per day on average, for as long as clients submit
// messages.
func (f *fleet) scheduleDaily(rng *rand.Rand, perDay float64, do func()) {
	if perDay <= 0 {
		return
	}
	gap := func() logic.Micros { return clampDelay(float64(f.scenario.Day.Micros) / perDay * rng.ExpFloat64()) }
	var repeat func()
	repeat = func() {
		if f.now < f.scenario.Duration.Micros {
			do()
			f.scheduleAfter(gap(), repeat)
		}
	}
	f.scheduleAfter(gap(), repeat)
}

// generateArrivals schedules the messages that clients submit to a sender, as a Poisson process.
func (f *fleet) generateArrivals(s *sender) {
	rng := s.clientRand
	mean := float64(len(f.senders)) / f.scenario.Traffic.Rate * float64(logic.Second)
	var submitNext func()
	submitNext = func() {
		if f.now >= f.scenario.Duration.Micros {
			return
		}
		f.messageCount++
		m := &clientMessage{number: f.messageCount, createdAt: f.now, class: pickWeighted(f.classShareSums, rng)}
		if f.popularitySums == nil {
			m.dest = rng.IntN(len(f.destinations))
		} else {
			m.dest = pickWeighted(f.popularitySums, rng)
		}
		f.stats.Offered++
		f.traceEvent(traceArrival, s.number, m.class, m.dest)
		if n := f.stats.open(); n > f.stats.peakHeld {
			f.stats.peakHeld, f.stats.peakAt = n, f.now
		}
		zone := s.machine.zone
		f.stats.withClients++
		f.scheduleAfter(f.topology.delay(zone, zone, rng), func() {
			f.stats.withClients--
			f.submit(s, m)
		})
		f.scheduleAfter(clampDelay(mean*rng.ExpFloat64()), submitNext)
	}
	f.scheduleAfter(clampDelay(mean*rng.ExpFloat64()), submitNext)
}

// pickWeighted draws an index with the probabilities given by cumulative weights.
func pickWeighted(sums []float64, rng *rand.Rand) int {
	i, found := slices.BinarySearch(sums, rng.Float64()*sums[len(sums)-1])
	if found { // a value on a boundary belongs to the next interval
		i++
	}
	return min(i, len(sums)-1)
}

// submit gives a message to a sender, or to another sender if that one is down. A client notices at once that a
// process has ended, but that a machine has vanished only by a timeout.
func (f *fleet) submit(s *sender, m *clientMessage) {
	switch {
	case s.up:
		s.put(m)
	case s.machine.outage != nil:
		f.redirect(s, m, clientTimeout)
	default:
		f.redirect(s, m, 0)
	}
}

// redirect submits a message to any sender that is up, after a delay. A message whose deadline has passed by then
// fails.
func (f *fleet) redirect(s *sender, m *clientMessage, delay logic.Micros) {
	f.stats.withClients++
	f.scheduleAfter(delay, func() {
		f.stats.withClients--
		if f.now >= m.createdAt+f.scenario.Classes[m.class].Deadline.Micros {
			f.endMessage(m, failed)
			return
		}
		first := s.failoverRand.IntN(len(f.senders))
		for k := range f.senders {
			if other := f.senders[(first+k)%len(f.senders)]; other.up {
				other.put(m)
				return
			}
		}
		f.redirect(s, m, clientRetryDelay)
	})
}

// endState is the final state of a client's message.
type endState int

const (
	delivered endState = iota
	returned
	failed
)

// endMessage sets the final state of a message. A second end of one message is an error of the run.
func (f *fleet) endMessage(m *clientMessage, state endState) {
	if m.ended {
		f.fail(fmt.Errorf("message %d ended twice", m.number))
		return
	}
	m.ended = true
	f.traceEvent(traceMessageEnd, int(m.number), int(state), 0)
	f.stats.countEnd(f.now-m.createdAt, state, &f.scenario.Classes[m.class])
}

// heldCount counts the messages that have not ended, at senders and at clients.
func (f *fleet) heldCount() (n int64) {
	for _, s := range f.senders {
		for _, m := range s.messages {
			if !m.closed {
				n++
			}
		}
	}
	return n + f.stats.withClients
}
