package hollow

import (
	"math"
	"math/rand/v2"

	"rundeal/logic"
)

// How a destination is down.
const (
	downRefused = "refused" // connections are refused, calls under way are reset
	downSilent  = "silent"  // nothing is answered, and connections never come up
	downShut    = "503"     // each call is answered 503 at once
)

// outage is a span in which a destination, or the endpoints of a failed machine, serve nothing.
type outage struct {
	how  string
	from logic.Micros
}

// bucket is a token bucket. A rate that changes counts from the next call on.
type bucket struct {
	depth, tokens float64
	filled        logic.Micros
}

// take takes a token, if there is one, at a rate in tokens a second.
func (b *bucket) take(now logic.Micros, rate float64) bool {
	b.tokens = min(b.depth, b.tokens+rate*float64(now-b.filled)/float64(logic.Second))
	b.filled = now
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// fallBound is what a cold destination bears in a window in which its settings allow n calls: chance has room.
func fallBound(n float64) float64 { return n + 2*math.Sqrt(n) + 2 }

// destination is one customer's system: endpoints that share a limit, outages and the return from them.
type destination struct {
	id     int
	set    *DestinationsPart
	cold   *ColdPart
	eps    []*endpoint // those that may be called, replaced ones too until they are gone
	rng    *rand.Rand
	limit  bucket
	factor float64 // of the limit
	used   float64 // calls let in, discounted with a time constant of a second
	usedAt logic.Micros

	down   *outage
	until  logic.Micros // when it ends
	backAt logic.Micros // end of the last one; -1 if there was none
	lately []arrival    // calls since then, of one window
	told   map[int]bool // senders that had an outcome of the last outage
	worst  ColdWindow
}

// ColdWindow is the window of a cold return with most calls for what it allows.
type ColdWindow struct {
	Dest    int     `json:"dest"`
	Calls   int     `json:"calls"`
	Allowed float64 `json:"allowed"` // N + 2√N + 2
}

// part is the share of the allowed calls that came.
func (w ColdWindow) part() float64 {
	if w.Allowed == 0 {
		return 0
	}
	return float64(w.Calls) / w.Allowed
}

func newDestination(id int, sc *Scenario) *destination {
	return &destination{id: id, set: &sc.Destinations, cold: &sc.Cold, rng: stream(sc.Seed, "destination", id), factor: 1, backAt: -1,
		limit: bucket{depth: sc.Destinations.Burst, tokens: sc.Destinations.Burst}}
}

// isCold says whether the destination has not yet all of its limit after an outage.
func (d *destination) isCold(now logic.Micros) bool {
	return d.backAt >= 0 && now < d.backAt+d.cold.WarmAfter.Micros
}

// rate is the limit in calls a second: after an outage it rises linearly.
func (d *destination) rate(now logic.Micros) float64 {
	r := d.set.Rate * d.factor
	if d.isCold(now) {
		r *= d.cold.From + (1-d.cold.From)*float64(now-d.backAt)/float64(d.cold.WarmAfter.Micros)
	}
	return r
}

// arrival is a call that has come in at a cold destination.
type arrival struct {
	at   logic.Micros
	told bool // its sender had been told of the outage
}

// arrives counts a call of a sender that has come in and says whether a cold destination falls of it.
func (d *destination) arrives(now logic.Micros, sender int) (falls bool) {
	if !d.isCold(now) {
		return false
	}
	i := 0
	for i < len(d.lately) && d.lately[i].at <= now-d.cold.FallWindow.Micros {
		i++
	}
	d.lately = append(d.lately[i:], arrival{now, d.told[sender]})
	n := d.cold.FallMultiple * d.rate(now) * float64(d.cold.FallWindow.Micros) / float64(logic.Second)
	w := ColdWindow{d.id, len(d.lately), fallBound(n)}
	if w.part() > d.worst.part() {
		d.worst = w
	}
	return float64(w.Calls) > w.Allowed
}

// blamed says whether over two thirds of the calls in the window came from senders that had been told.
func (d *destination) blamed() bool {
	n := 0
	for _, a := range d.lately {
		if a.told {
			n++
		}
	}
	return 3*n > 2*len(d.lately)
}

// admits says whether the limit lets a call in.
func (d *destination) admits(now logic.Micros) bool {
	d.fade(now)
	if !d.limit.take(now, d.rate(now)) {
		return false
	}
	d.used++
	return true
}

func (d *destination) fade(now logic.Micros) {
	d.used *= math.Exp(-float64(now-d.usedAt) / float64(logic.Second))
	d.usedAt = now
}

// report is what answers tell: the share of the limit that is left, and the limit.
func (d *destination) report(now logic.Micros) []float64 {
	if !d.set.Reports {
		return nil
	}
	d.fade(now)
	return []float64{max(0, 1-d.used/d.rate(now)), d.set.Rate * d.factor}
}

// takes draws the time of a call.
func (d *destination) takes() logic.Micros {
	return logic.Micros(float64(d.set.Service.Micros) * math.Exp(d.set.Sigma*d.rng.NormFloat64()))
}

// endpoint is one process of a destination.
type endpoint struct {
	dest    *destination
	number  int
	addr    string
	machine *machine
	closed  bool // replaced and ended: connections are refused
	epoch   int  // counts its processes: connections to an earlier one are gone
	conns   int
	serving []*call
}

// out is the outage that the endpoint is in; nil if it serves.
func (e *endpoint) out() *outage {
	if e.machine.gone != nil {
		return e.machine.gone
	}
	return e.dest.down
}

// silent says whether nothing comes back from the endpoint.
func (e *endpoint) silent() bool {
	o := e.out()
	return o != nil && o.how == downSilent
}

// refuses says whether the endpoint's machine is there and its process is not.
func (e *endpoint) refuses() bool {
	return e.machine.gone == nil && (e.closed || e.dest.down != nil && e.dest.down.how == downRefused)
}
