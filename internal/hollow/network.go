package hollow

import (
	"math/rand/v2"

	"rundeal/logic"
)

// machine is the host of one sender or endpoint.
type machine struct {
	zone, rack int          // racks are numbered consecutively across all zones
	outage     *outage      // set while the machine has vanished, else nil
	outageEnd  logic.Micros // when the last failure of the machine is over
}

// topology maps zones to regions and tracks the links between regions.
type topology struct {
	delays   NetworkConfig
	zones    int
	regions  int
	cutUntil map[[2]int]logic.Micros // by link, lower region first: when its last cut ends
}

func newTopology(sc *Scenario) *topology {
	return &topology{
		delays:   sc.Network,
		zones:    sc.Fleet.Zones,
		regions:  sc.Fleet.Regions,
		cutUntil: map[[2]int]logic.Micros{},
	}
}

// region returns the region of a zone. Zones are assigned to regions in order.
func (t *topology) region(zone int) int { return zone * t.regions / t.zones }

// delay draws the one-way delay from one zone to another.
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

// linkKey returns the key of the link between two regions in topology.cutUntil.
func linkKey(a, b int) [2]int { return [2]int{min(a, b), max(a, b)} }

// linked reports whether the link between two regions is up.
func (t *topology) linked(a, b int, now logic.Micros) bool { return now >= t.cutUntil[linkKey(a, b)] }

// reachable reports whether data sent in one zone arrives in another.
func (t *topology) reachable(a, b int, now logic.Micros) bool {
	return len(t.cutUntil) == 0 || t.linked(t.region(a), t.region(b), now)
}

// conn is a connection from a sender to an endpoint.
type conn struct {
	endpoint  *endpoint
	epoch     int          // the endpoint's epoch when it was opened
	idleSince logic.Micros // when it became idle
}

// usable reports whether an idle connection is still open.
func (c *conn) usable(now, idleTimeout logic.Micros) bool {
	return c.epoch == c.endpoint.epoch && now < c.idleSince+idleTimeout
}

// close releases the connection at the endpoint, unless a reset has already done so.
func (c *conn) close() {
	if c.epoch == c.endpoint.epoch {
		c.endpoint.connCount--
	}
}
