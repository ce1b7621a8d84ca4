package hollow

import (
	"math"
	"math/rand/v2"

	"rundeal/logic"
)

// How a destination is down.
const (
	outageRefused     = "refused" // connections are refused, calls under way are reset
	outageSilent      = "silent"  // nothing is answered, and connections never come up
	outageUnavailable = "503"     // each call is answered 503 at once
)

// outage is a span in which a destination, or the endpoints of a failed machine, serve nothing.
type outage struct {
	mode      string
	startedAt logic.Micros
}

// bucket is a token bucket. A rate that changes counts from the next call on.
type tokenBucket struct {
	capacity, tokens float64
	refilledAt       logic.Micros
}

// take takes a token, if there is one, at a rate in tokens a second.
func (b *tokenBucket) take(now logic.Micros, rate float64) bool {
	b.tokens = min(b.capacity, b.tokens+rate*float64(now-b.refilledAt)/float64(logic.Second))
	b.refilledAt = now
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// fallBound is what a cold destination bears in a window in which its settings allow n calls: chance has room.
func maxWindowCalls(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// destination is one customer's system: endpoints that share a limit, outages and the return from them.
type destination struct {
	id            int
	config        *DestinationsConfig
	recovery      *RecoveryConfig
	endpoints     []*endpoint // those that may be called, replaced ones too until they are gone
	rng           *rand.Rand
	bucket        tokenBucket
	limitFactor   float64 // of the limit
	recentCalls   float64 // calls let in, discounted with a time constant of a second
	recentCallsAt logic.Micros

	outage         *outage
	outageEnd      logic.Micros // when it ends
	recoveredAt    logic.Micros // end of the last one; -1 if there was none
	recentArrivals []arrival    // calls since then, of one window
	informed       map[int]bool // senders that had an outcome of the last outage
	worstWindow    ColdWindow
}

// ColdWindow is the window of a cold return with most calls for what it allows.
type ColdWindow struct {
	Dest    int     `json:"dest"`
	Calls   int     `json:"calls"`
	Allowed float64 `json:"allowed"` // N + 2√N + 2
}

// part is the share of the allowed calls that came.
func (w ColdWindow) ratio() float64 {
	if w.Allowed == 0 {
		return 0
	}
	return float64(w.Calls) / w.Allowed
}

func newDestination(id int, sc *Scenario) *destination {
	return &destination{id: id, config: &sc.Destinations, recovery: &sc.Recovery, rng: newRand(sc.Seed, "destination", id), limitFactor: 1, recoveredAt: -1,
		bucket: tokenBucket{capacity: sc.Destinations.Burst, tokens: sc.Destinations.Burst}}
}

// isCold says whether the destination has not yet all of its limit after an outage.
func (d *destination) isCold(now logic.Micros) bool {
	return d.recoveredAt >= 0 && now < d.recoveredAt+d.recovery.WarmUpTime.Micros
}

// rate is the limit in calls a second: after an outage it rises linearly.
func (d *destination) rate(now logic.Micros) float64 {
	r := d.config.Rate * d.limitFactor
	if d.isCold(now) {
		r *= d.recovery.InitialShare + (1-d.recovery.InitialShare)*float64(now-d.recoveredAt)/float64(d.recovery.WarmUpTime.Micros)
	}
	return r
}

// arrival is a call that has come in at a cold destination.
type arrival struct {
	at       logic.Micros
	informed bool // its sender had been told of the outage
}

// arrives counts a call of a sender that has come in and says whether a cold destination falls of it.
func (d *destination) recordArrival(now logic.Micros, sender int) (falls bool) {
	if !d.isCold(now) {
		return false
	}
	i := 0
	for i < len(d.recentArrivals) && d.recentArrivals[i].at <= now-d.recovery.RelapseWindow.Micros {
		i++
	}
	d.recentArrivals = append(d.recentArrivals[i:], arrival{now, d.informed[sender]})
	n := d.recovery.RelapseMultiple * d.rate(now) * float64(d.recovery.RelapseWindow.Micros) / float64(logic.Second)
	w := ColdWindow{d.id, len(d.recentArrivals), maxWindowCalls(n)}
	if w.ratio() > d.worstWindow.ratio() {
		d.worstWindow = w
	}
	return float64(w.Calls) > w.Allowed
}

// blamed says whether over two thirds of the calls in the window came from senders that had been told.
func (d *destination) mostlyInformed() bool {
	n := 0
	for _, a := range d.recentArrivals {
		if a.informed {
			n++
		}
	}
	return 3*n > 2*len(d.recentArrivals)
}

// admits says whether the limit lets a call in.
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

// report is what answers tell: the share of the limit that is left, and the limit.
func (d *destination) loadReport(now logic.Micros) []float64 {
	if !d.config.ReportsLoad {
		return nil
	}
	d.decayRecentCalls(now)
	return []float64{max(0, 1-d.recentCalls/d.rate(now)), d.config.Rate * d.limitFactor}
}

// takes draws the time of a call.
func (d *destination) drawServiceTime() logic.Micros {
	return logic.Micros(float64(d.config.ServiceTime.Micros) * math.Exp(d.config.Sigma*d.rng.NormFloat64()))
}

// endpoint is one process of a destination.
type endpoint struct {
	destination *destination
	number      int
	addr        string
	machine     *machine
	closed      bool // replaced and ended: connections are refused
	epoch       int  // counts its processes: connections to an earlier one are gone
	connCount   int
	serving     []*call
}

// out is the outage that the endpoint is in; nil if it serves.
func (e *endpoint) currentOutage() *outage {
	if e.machine.outage != nil {
		return e.machine.outage
	}
	return e.destination.outage
}

// silent says whether nothing comes back from the endpoint.
func (e *endpoint) silent() bool {
	o := e.currentOutage()
	return o != nil && o.mode == outageSilent
}

// refuses says whether the endpoint's machine is there and its process is not.
func (e *endpoint) refusesConns() bool {
	return e.machine.outage == nil && (e.closed || e.destination.outage != nil && e.destination.outage.mode == outageRefused)
}
