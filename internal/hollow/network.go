package hollow

import (
	"math/rand/v2"

	"rundeal/logic"
)

// machine is where a sender or an endpoint runs.
type machine struct {
	zone, rack int          // racks are numbered through over the zones
	gone       *outage      // since it has vanished; nil while it is there
	until      logic.Micros // when the last failure that holds it is over
}

// topology is where zones lie and which regions reach each other.
type topology struct {
	net     NetworkPart
	zones   int
	regions int
	cut     map[[2]int]logic.Micros // links that are cut, lower region first, and until when
}

func newTopology(sc *Scenario) *topology {
	return &topology{net: sc.Network, zones: sc.Fleet.Zones, regions: sc.Fleet.Regions, cut: map[[2]int]logic.Micros{}}
}

// region is that of a zone: zones are dealt out in order.
func (t *topology) region(zone int) int { return zone * t.regions / t.zones }

// delay is the time that something takes from one zone to another, one way.
func (t *topology) delay(a, b int, r *rand.Rand) logic.Micros {
	d := t.net.Between
	switch {
	case a == b:
		d = t.net.Zone
	case t.region(a) == t.region(b):
		d = t.net.Region
	}
	return logic.Micros(float64(d.Micros) * (1 + t.net.Jitter*r.Float64()))
}

func link(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// reaches says whether two regions reach each other.
func (t *topology) reaches(a, b int, now logic.Micros) bool { return now >= t.cut[link(a, b)] }

// open says whether what is sent in one zone comes to another.
func (t *topology) open(a, b int, now logic.Micros) bool {
	return len(t.cut) == 0 || t.reaches(t.region(a), t.region(b), now)
}

// conn is a connection from a sender to an endpoint.
type conn struct {
	ep    *endpoint
	epoch int          // of the endpoint's process
	since logic.Micros // when it became idle
}

// good says whether a kept connection is still open.
func (c *conn) good(now, idle logic.Micros) bool { return c.epoch == c.ep.epoch && now < c.since+idle }

// close frees the connection's place at the endpoint.
func (c *conn) close() {
	if c.epoch == c.ep.epoch {
		c.ep.conns--
	}
}
