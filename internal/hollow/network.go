package hollow

import (
	"math/rand/v2"

	"rundeal/logic"
)

// machine is where a sender or an endpoint runs.
type machine struct {
	zone, rack int          // racks are numbered through over the zones
	outage     *outage      // since it has vanished; nil while it is there
	outageEnd  logic.Micros // when the last failure that holds it is over
}

// topology is where zones lie and which regions reach each other.
type topology struct {
	delays   NetworkConfig
	zones    int
	regions  int
	cutUntil map[[2]int]logic.Micros // links that are cut, lower region first, and until when
}

func newTopology(sc *Scenario) *topology {
	return &topology{delays: sc.Network, zones: sc.Fleet.Zones, regions: sc.Fleet.Regions, cutUntil: map[[2]int]logic.Micros{}}
}

// region is that of a zone: zones are dealt out in order.
func (t *topology) region(zone int) int { return zone * t.regions / t.zones }

// delay is the time that something takes from one zone to another, one way.
func (t *topology) delay(a, b int, r *rand.Rand) logic.Micros {
	d := t.delays.BetweenRegions
	switch {
	case a == b:
		d = t.delays.WithinZone
	case t.region(a) == t.region(b):
		d = t.delays.WithinRegion
	}
	return logic.Micros(float64(d.Micros) * (1 + t.delays.Jitter*r.Float64()))
}

func linkKey(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// reaches says whether two regions reach each other.
func (t *topology) linked(a, b int, now logic.Micros) bool { return now >= t.cutUntil[linkKey(a, b)] }

// open says whether what is sent in one zone comes to another.
func (t *topology) reachable(a, b int, now logic.Micros) bool {
	return len(t.cutUntil) == 0 || t.linked(t.region(a), t.region(b), now)
}

// conn is a connection from a sender to an endpoint.
type conn struct {
	endpoint  *endpoint
	epoch     int          // of the endpoint's process
	idleSince logic.Micros // when it became idle
}

// good says whether a kept connection is still open.
func (c *conn) usable(now, idle logic.Micros) bool {
	return c.epoch == c.endpoint.epoch && now < c.idleSince+idle
}

// close frees the connection's place at the endpoint.
func (c *conn) close() {
	if c.epoch == c.endpoint.epoch {
		c.endpoint.connCount--
	}
}
