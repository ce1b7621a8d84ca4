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
	traceOffer = iota
	traceCall
	traceReply
	traceEnd
	traceStart
	traceKill
	traceList
	traceDown
	traceUp
)

// fleet is a run under way.
type fleet struct {
	clock
	sc      *Scenario
	top     *topology
	dests   []*destination
	byAddr  map[string]*endpoint
	eps     []*endpoint
	disc    *discovery
	senders []*sender
	popular []float64 // of destinations, summed up; nil if even
	shares  []float64 // of classes, summed up
	changes *rand.Rand
	offers  uint64
	rec     *record
	digest  hash.Hash64
	err     error
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
	checkEvery    = 4096 // events between two looks at the time and the context
	progressAfter = 10 * time.Second
	progressEvery = 5 * time.Second
)

// Run plays a scenario. If ctx ends before it does, the report says so and holds what was measured.
func Run(ctx context.Context, sc *Scenario, opt Options) (*Report, error) {
	if err := sc.check("scenario", nil); err != nil { // what was set beside the file
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
			opt.Progress(Progress{Span{f.now}, Span{end}, f.rec.Offered})
		}
		cut = ctx.Err() != nil
		return !cut
	}
	before := heapBytes()
	f.start(look)
	f.rec.heap = heapBytes() - before
	for n := 1; !cut && f.err == nil && f.next(end); n++ {
		if n%checkEvery == 0 {
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
	f := &fleet{sc: sc, top: newTopology(sc), byAddr: map[string]*endpoint{}, changes: stream(sc.Seed, "changes", 0),
		rec: newRecord(), digest: fnv.New64a()}
	f.disc = newDiscovery(f)
	for i := range sc.Destinations.Count {
		d := newDestination(i, sc)
		f.dests = append(f.dests, d)
		for k := range sc.Destinations.Endpoints {
			zone := (i + k*max(sc.Fleet.Zones/sc.Destinations.Endpoints, 1)) % sc.Fleet.Zones
			f.disc.add(f.newEndpoint(d, zone), 1)
		}
	}
	sum := 0.0
	for _, c := range sc.Classes {
		sum += c.Share
		f.shares = append(f.shares, sum)
	}
	if sc.Traffic.Popularity == "zipf" {
		sum = 0
		for i := range f.dests {
			sum += math.Pow(float64(i+1), -sc.Traffic.Exponent)
			f.popular = append(f.popular, sum)
		}
	}
	for i := range sc.Fleet.Senders {
		f.senders = append(f.senders, newSender(f, i))
	}
	return f
}

// newEndpoint sets up an endpoint on a machine of its own.
func (f *fleet) newEndpoint(d *destination, zone int) *endpoint {
	n, racks := len(f.eps), f.sc.Fleet.Racks
	e := &endpoint{dest: d, number: n, addr: fmt.Sprintf("10.%d.%d.%d:6379", n>>16, n>>8&255, n&255),
		machine: &machine{zone: zone, rack: zone*racks + n/f.sc.Fleet.Zones%racks}}
	f.eps = append(f.eps, e)
	d.eps = append(d.eps, e)
	f.byAddr[e.addr] = e
	return e
}

// start starts all senders, unless it is not to go on, and sets what is to come.
func (f *fleet) start(look func() bool) {
	for _, s := range f.senders {
		if !look() {
			return
		}
		f.disc.ask(s)
		s.inForce = s.agent // it is the list of the start, no change
		s.start()
		f.arrivals(s)
	}
	for _, d := range f.dests {
		f.randomOutages(d)
	}
	f.daily(f.changes, f.sc.Discovery.Changes/2, f.disc.replace) // each makes two changes
	restarts, losses := stream(f.sc.Seed, "restarts", 0), stream(f.sc.Seed, "losses", 0)
	f.daily(restarts, f.sc.Fleet.Restarts, func() { f.restart(f.senders[restarts.IntN(len(f.senders))]) })
	f.daily(losses, f.sc.Fleet.Losses, func() {
		f.failMachines([]*machine{f.senders[losses.IntN(len(f.senders))].machine}, f.sc.Fleet.Start.Micros)
	})
	for _, x := range f.sc.Faults {
		f.at(x.At.Micros, func() { f.inject(x) })
	}
	for i := range samples {
		f.at(f.sc.Length().Micros*logic.Micros(i+1)/samples, f.sample)
	}
}

// daily has something happen at random, so many times a day on average, while clients send.
func (f *fleet) daily(r *rand.Rand, perDay float64, do func()) {
	if perDay <= 0 {
		return
	}
	gap := func() logic.Micros { return span(float64(f.sc.Day.Micros) / perDay * r.ExpFloat64()) }
	var again func()
	again = func() {
		if f.now < f.sc.Duration.Micros {
			do()
			f.after(gap(), again)
		}
	}
	f.after(gap(), again)
}

// arrivals has clients hand messages to a sender.
func (f *fleet) arrivals(s *sender) {
	r := s.clients
	mean := float64(len(f.senders)) / f.sc.Traffic.Rate * float64(logic.Second)
	var next func()
	next = func() {
		if f.now >= f.sc.Duration.Micros {
			return
		}
		f.offers++
		o := &offer{number: f.offers, born: f.now, class: pick(f.shares, r)}
		if f.popular == nil {
			o.dest = r.IntN(len(f.dests))
		} else {
			o.dest = pick(f.popular, r)
		}
		f.rec.Offered++
		f.traceEvent(traceOffer, s.number, o.class, o.dest)
		if n := f.rec.open(); n > f.rec.peak {
			f.rec.peak, f.rec.peakAt = n, f.now
		}
		zone := s.machine.zone
		f.rec.waiting++
		f.after(f.top.delay(zone, zone, r), func() {
			f.rec.waiting--
			f.handIn(s, o)
		})
		f.after(span(mean*r.ExpFloat64()), next)
	}
	f.after(span(mean*r.ExpFloat64()), next)
}

// pick draws a place by weights that are summed up.
func pick(sums []float64, r *rand.Rand) int {
	i, found := slices.BinarySearch(sums, r.Float64()*sums[len(sums)-1])
	if found { // on a bound: it belongs to the next
		i++
	}
	return min(i, len(sums)-1)
}

// handIn gives a message to a sender, or to another one if that is not up.
func (f *fleet) handIn(s *sender, o *offer) {
	switch {
	case s.up:
		s.put(o)
	case s.machine.gone != nil:
		f.redirect(s, o, frontNotices)
	default:
		f.redirect(s, o, 0)
	}
}

// redirect hands a message to any sender that is up, after a while.
func (f *fleet) redirect(s *sender, o *offer, wait logic.Micros) {
	f.rec.waiting++
	f.after(wait, func() {
		f.rec.waiting--
		if f.now >= o.born+f.sc.Classes[o.class].Deadline.Micros {
			f.end(o, failed)
			return
		}
		from := s.front.IntN(len(f.senders))
		for k := range f.senders {
			if x := f.senders[(from+k)%len(f.senders)]; x.up {
				x.put(o)
				return
			}
		}
		f.redirect(s, o, clientRest)
	})
}

// ending is how an offer ends.
type ending int

const (
	delivered ending = iota
	returned
	failed
)

// end ends an offer, once.
func (f *fleet) end(o *offer, e ending) {
	if o.ended {
		f.fail(fmt.Errorf("event %d ended twice", o.number))
		return
	}
	o.ended = true
	f.traceEvent(traceEnd, int(o.number), int(e), 0)
	f.rec.end(f.now-o.born, e, &f.sc.Classes[o.class])
}

// held counts the events that have not ended: at senders, and with clients.
func (f *fleet) held() (n int64) {
	for _, s := range f.senders {
		for _, m := range s.held {
			if !m.over {
				n++
			}
		}
	}
	return n + f.rec.waiting
}
