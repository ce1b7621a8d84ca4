package hollow

import (
	"math"
	"math/rand/v2"

	"rundeal/logic"
)

// Outage modes of a destination.
const (
	outageRefused      = "refused" // connections are refused, calls in progress are reset
	outageUnresponsive = "silent"  // nothing is answered, so that connection attempts time out
	outageUnavailable  = "503"     // each call is answered 503 immediately
)

// outage is a period in which a destination, or the endpoints on a failed machine, process no calls.
type outage struct {
	mode      string
	startedAt logic.Micros
}

// tokenBucket is a token bucket. A changed rate also applies to the time since the last call of take.
type tokenBucket struct {
	capacity, tokens float64
	refilledAt       logic.Micros
}

// take refills the bucket at rate tokens per second and takes one token; it returns false if there is none.
func (b *tokenBucket) take(now logic.Micros, rate float64) bool {
	b.tokens = min(b.capacity, b.tokens+rate*float64(now-b.refilledAt)/float64(logic.Second))
	b.refilledAt = now
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// maxWindowCalls is the number of calls that a cold destination tolerates in a window whose settings allow n calls. The
// margin of 2√n + 2 covers random variation of the arrivals.
func maxWindowCalls(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// destination is one customer's system: a set of endpoints that share a rate limit, outages and the recovery from them.
type destination struct {
	id            int
	config        *DestinationsConfig
	recovery      *RecoveryConfig
	endpoints     []*endpoint // all ever created, replaced ones included
	rng           *rand.Rand
	bucket        tokenBucket
	limitFactor   float64 // product of the limit faults in effect
	recentCalls   float64 // admitted calls, decaying exponentially with a time constant of 1 s
	recentCallsAt logic.Micros

	outage         *outage // nil while it is up
	outageEnd      logic.Micros
	recoveredAt    logic.Micros // end of the last outage; -1 if there was none
	recentArrivals []arrival    // since recoveredAt, within the last window
	informed       map[int]bool // senders that had a failed call in the last outage
	worstWindow    ColdWindow
}

// ColdWindow is the window of a cold recovery with the highest ratio of calls to allowed calls.
type ColdWindow struct {
	Dest    int     `json:"dest"`
	Calls   int     `json:"calls"`
	Allowed float64 `json:"allowed"` // N + 2√N + 2, see maxWindowCalls
}

// ratio is the number of calls divided by the number allowed.
func (w ColdWindow) ratio() float64 {
	if w.Allowed == 0 {
		return 0
	}
	return float64(w.Calls) / w.Allowed
}

func newDestination(id int, sc *Scenario) *destination {
	return &destination{
		id:          id,
		config:      &sc.Destinations,
		recovery:    &sc.Recovery,
		rng:         newRand(sc.Seed, "destination", id),
		limitFactor: 1,
		recoveredAt: -1,
		bucket:      tokenBucket{capacity: sc.Destinations.Burst, tokens: sc.Destinations.Burst},
	}
}

// isCold reports whether the destination is still below its full limit after an outage.
func (d *destination) isCold(now logic.Micros) bool {
	return d.recoveredAt >= 0 && now < d.recoveredAt+d.recovery.WarmupTime.Micros
}

// rate is the current limit in calls per second. After an outage it rises linearly to the full limit.
func (d *destination) rate(now logic.Micros) float64 {
	r := d.config.Rate * d.limitFactor
	if d.isCold(now) {
		r *= d.recovery.ColdCapacity +
			(1-d.recovery.ColdCapacity)*float64(now-d.recoveredAt)/float64(d.recovery.WarmupTime.Micros)
	}
	return r
}

// arrival is a call received by a cold destination.
type arrival struct {
	at       logic.Micros
	informed bool // its sender had a failed call in the outage
}

// recordArrival counts a call received from a sender and reports whether it overloads a cold destination, so that the
// destination relapses into an outage.
func (d *destination) recordArrival(now logic.Micros, sender int) (relapses bool) {
	if !d.isCold(now) {
		return false
	}
	i := 0
	for i < len(d.recentArrivals) && d.recentArrivals[i].at <= now-d.recovery.OverloadWindow.Micros {
		i++
	}
	d.recentArrivals = append(d.recentArrivals[i:], arrival{now, d.informed[sender]})
	allowed := d.recovery.OverloadMultiple * d.rate(now) *
		float64(d.recovery.OverloadWindow.Micros) / float64(logic.Second)
	w := ColdWindow{d.id, len(d.recentArrivals), maxWindowCalls(allowed)}
	if w.ratio() > d.worstWindow.ratio() {
		d.worstWindow = w
	}
	return float64(w.Calls) > w.Allowed
}

// mostlyInformed reports whether over two thirds of the calls in the window came from senders that knew of the
// outage.
func (d *destination) mostlyInformed() bool {
	n := 0
	for _, a := range d.recentArrivals {
		if a.informed {
			n++
		}
	}
	return 3*n > 2*len(d.recentArrivals)
}

// admit reports whether the rate limit allows a call, and counts it if so.
func (d *destination) admit(now logic.Micros) bool {
	d.decayRecentCalls(now)
	if !d.bucket.take(now, d.rate(now)) {
		return false
	}
	d.recentCalls++
	return true
}

func (d *destination) decayRecentCalls(now logic.Micros) {
	d.recentCalls *= math.Exp(-float64(now-d.recentCallsAt) / float64(logic.Second))
	d.recentCallsAt = now
}

// loadReport returns the load figures sent with an answer: the unused fraction of the limit, and the limit when
// warm.
func (d *destination) loadReport(now logic.Micros) []float64 {
	if !d.config.ReportsLoad {
		return nil
	}
	d.decayRecentCalls(now)
	return []float64{max(0, 1-d.recentCalls/d.rate(now)), d.config.Rate * d.limitFactor}
}

// drawServiceTime draws the duration of a call from a lognormal distribution.
func (d *destination) drawServiceTime() logic.Micros {
	return logic.Micros(float64(d.config.ServiceTime.Micros) * math.Exp(d.config.Sigma*d.rng.NormFloat64()))
}

// endpoint is one process of a destination.
type endpoint struct {
	destination *destination
	number      int
	addr        string
	machine     *machine
	closed      bool // replaced and shut down: connections are refused
	epoch       int  // incremented by a reset: connections of an earlier epoch are broken
	connCount   int
	serving     []*call
}

// currentOutage returns the outage that affects the endpoint, or nil.
func (e *endpoint) currentOutage() *outage {
	if e.machine.outage != nil {
		return e.machine.outage
	}
	return e.destination.outage
}

// unresponsive reports whether the endpoint answers nothing at all.
func (e *endpoint) unresponsive() bool {
	o := e.currentOutage()
	return o != nil && o.mode == outageUnresponsive
}

// refusesConns reports whether the endpoint's machine is up but no process listens on it.
func (e *endpoint) refusesConns() bool {
	return e.machine.outage == nil &&
		(e.closed || e.destination.outage != nil && e.destination.outage.mode == outageRefused)
}
