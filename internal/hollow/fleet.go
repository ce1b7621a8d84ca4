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

// What the trace notes.
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

// fleet is a run under way.
type fleet struct {
	clock
	scenario        *Scenario
	topology        *topology
	destinations    []*destination
	endpointsByAddr map[string]*endpoint
	endpoints       []*endpoint
	discovery       *discovery
	senders         []*sender
	popularitySums  []float64 // of destinations, summed up; nil if even
	classShareSums  []float64 // of classes, summed up
	changesRand     *rand.Rand
	messageCount    uint64
	stats           *stats
	digest          hash.Hash64
	err             error
}

// traceEvent adds to the digest of the trace: what, when and three numbers.
func (f *fleet) traceEvent(what, a, b, c int) {
	var text [40]byte
	for i, x := range []uint64{uint64(what), uint64(f.now), uint64(a), uint64(b), uint64(c)} {
		binary.LittleEndian.PutUint64(text[8*i:], x)
	}
	f.digest.Write(text[:])
}

func (f *fleet) fail(err error) { f.err = errors.Join(f.err, err) }

// Options are what a run has beside its scenario.
type Options struct {
	MemoryMB float64        // a run that needs more is refused; 0 for no limit
	Progress func(Progress) // told each few seconds of a long run; nil for nobody
}

// Progress is how far a run has come.
type Progress struct {
	Now, End Span
	Offered  int64
}

const (
	eventsPerCheck = 4096 // events between two looks at the time and the context
	progressAfter  = 10 * time.Second
	progressEvery  = 5 * time.Second
)

// Run plays a scenario. If ctx ends before it does, the report says so and holds what was measured.
func Run(ctx context.Context, sc *Scenario, opt Options) (*Report, error) {
	if err := sc.validate("scenario", nil); err != nil { // what was set beside the file
		return nil, err
	}
	if need := sc.MemoryMB(); opt.MemoryMB > 0 && need > opt.MemoryMB {
		return nil, fmt.Errorf("%d senders with %d destinations of %d endpoints need about %.0f MB, and %.0f MB is the limit: fewer senders, or fewer destinations",
			sc.Fleet.Senders, sc.Destinations.Count, sc.Destinations.Endpoints, need, opt.MemoryMB)
	}
	began, used := time.Now(), cpuTime()
	end := sc.Length().Micros
	f := newFleet(sc)
	said, cut := began, false
	look := func() bool { // whether to go on
		now := time.Now()
		if opt.Progress != nil && now.Sub(began) > progressAfter && now.Sub(said) > progressEvery {
			said = now
			opt.Progress(Progress{Span{f.now}, Span{end}, f.stats.Offered})
		}
		cut = ctx.Err() != nil
		return !cut
	}
	before := heapBytes()
	f.start(look)
	f.stats.heapBytes = heapBytes() - before
	for n := 1; !cut && f.err == nil && f.runNext(end); n++ {
		if n%eventsPerCheck == 0 {
			look()
		}
	}
	if f.err != nil {
		return nil, f.err
	}
	return f.report(cut, time.Since(began), cpuTime()-used), nil
}

// heapBytes is the number of bytes in use.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func newFleet(sc *Scenario) *fleet {
	f := &fleet{scenario: sc, topology: newTopology(sc), endpointsByAddr: map[string]*endpoint{}, changesRand: newRand(sc.Seed, "changes", 0),
		stats: newStats(), digest: fnv.New64a()}
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

// newEndpoint sets up an endpoint on a machine of its own.
func (f *fleet) newEndpoint(d *destination, zone int) *endpoint {
	n, racks := len(f.endpoints), f.scenario.Fleet.RacksPerZone
	e := &endpoint{destination: d, number: n, addr: fmt.Sprintf("10.%d.%d.%d:6379", n>>16, n>>8&255, n&255),
		machine: &machine{zone: zone, rack: zone*racks + n/f.scenario.Fleet.Zones%racks}}
	f.endpoints = append(f.endpoints, e)
	d.endpoints = append(d.endpoints, e)
	f.endpointsByAddr[e.addr] = e
	return e
}

// start starts all senders, unless it is not to go on, and sets what is to come.
func (f *fleet) start(look func() bool) {
	for _, s := range f.senders {
		if !look() {
			return
		}
		f.discovery.sendFullList(s)
		s.appliedGeneration = s.agentGeneration // it is the list of the start, no change
		s.start()
		f.generateArrivals(s)
	}
	for _, d := range f.destinations {
		f.randomOutages(d)
	}
	f.scheduleDaily(f.changesRand, f.scenario.Discovery.ChangesPerDay/2, f.discovery.replaceEndpoint) // each makes two changes
	restarts, losses := newRand(f.scenario.Seed, "restarts", 0), newRand(f.scenario.Seed, "losses", 0)
	f.scheduleDaily(restarts, f.scenario.Fleet.RestartsPerDay, func() { f.restartSender(f.senders[restarts.IntN(len(f.senders))]) })
	f.scheduleDaily(losses, f.scenario.Fleet.LossesPerDay, func() {
		f.failMachines([]*machine{f.senders[losses.IntN(len(f.senders))].machine}, f.scenario.Fleet.RestartTime.Micros)
	})
	for _, x := range f.scenario.Faults {
		f.scheduleAt(x.At.Micros, func() { f.injectFault(x) })
	}
	for i := range sampleCount {
		f.scheduleAt(f.scenario.Length().Micros*logic.Micros(i+1)/sampleCount, f.sample)
	}
}

// daily has something happen at random, so many times a day on average, while clients send.
func (f *fleet) scheduleDaily(r *rand.Rand, perDay float64, do func()) {
	if perDay <= 0 {
		return
	}
	gap := func() logic.Micros { return clampDelay(float64(f.scenario.Day.Micros) / perDay * r.ExpFloat64()) }
	var again func()
	again = func() {
		if f.now < f.scenario.Duration.Micros {
			do()
			f.scheduleAfter(gap(), again)
		}
	}
	f.scheduleAfter(gap(), again)
}

// arrivals has clients hand messages to a sender.
func (f *fleet) generateArrivals(s *sender) {
	r := s.clientRand
	mean := float64(len(f.senders)) / f.scenario.Traffic.Rate * float64(logic.Second)
	var next func()
	next = func() {
		if f.now >= f.scenario.Duration.Micros {
			return
		}
		f.messageCount++
		o := &clientMessage{number: f.messageCount, createdAt: f.now, class: pickWeighted(f.classShareSums, r)}
		if f.popularitySums == nil {
			o.dest = r.IntN(len(f.destinations))
		} else {
			o.dest = pickWeighted(f.popularitySums, r)
		}
		f.stats.Offered++
		f.traceEvent(traceArrival, s.number, o.class, o.dest)
		if n := f.stats.open(); n > f.stats.peakHeld {
			f.stats.peakHeld, f.stats.peakAt = n, f.now
		}
		zone := s.machine.zone
		f.stats.withClients++
		f.scheduleAfter(f.topology.delay(zone, zone, r), func() {
			f.stats.withClients--
			f.submit(s, o)
		})
		f.scheduleAfter(clampDelay(mean*r.ExpFloat64()), next)
	}
	f.scheduleAfter(clampDelay(mean*r.ExpFloat64()), next)
}

// pick draws a place by weights that are summed up.
func pickWeighted(sums []float64, r *rand.Rand) int {
	i, found := slices.BinarySearch(sums, r.Float64()*sums[len(sums)-1])
	if found { // on a bound: it belongs to the next
		i++
	}
	return min(i, len(sums)-1)
}

// handIn gives a message to a sender, or to another one if that is not up.
func (f *fleet) submit(s *sender, o *clientMessage) {
	switch {
	case s.up:
		s.put(o)
	case s.machine.outage != nil:
		f.redirect(s, o, clientTimeout)
	default:
		f.redirect(s, o, 0)
	}
}

// redirect hands a message to any sender that is up, after a while.
func (f *fleet) redirect(s *sender, o *clientMessage, wait logic.Micros) {
	f.stats.withClients++
	f.scheduleAfter(wait, func() {
		f.stats.withClients--
		if f.now >= o.createdAt+f.scenario.Classes[o.class].Deadline.Micros {
			f.endMessage(o, failed)
			return
		}
		from := s.failoverRand.IntN(len(f.senders))
		for k := range f.senders {
			if x := f.senders[(from+k)%len(f.senders)]; x.up {
				x.put(o)
				return
			}
		}
		f.redirect(s, o, clientRetryDelay)
	})
}

// ending is how an offer ends.
type endState int

const (
	delivered endState = iota
	returned
	failed
)

// end ends an offer, once.
func (f *fleet) endMessage(o *clientMessage, e endState) {
	if o.ended {
		f.fail(fmt.Errorf("event %d ended twice", o.number))
		return
	}
	o.ended = true
	f.traceEvent(traceMessageEnd, int(o.number), int(e), 0)
	f.stats.countEnd(f.now-o.createdAt, e, &f.scenario.Classes[o.class])
}

// held counts the events that have not ended: at senders, and with clients.
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
