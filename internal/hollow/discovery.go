package hollow

import (
	"encoding/json"
	"fmt"
	"math"

	"rundeal/internal/node"
	"rundeal/logic"
)

// kindName is the machine type of all endpoints.
const machineType = "hollow"

// instance is an entry of the list as discovery sends it.
type instance struct {
	node.Instance
	StartedAtMs int64 `json:"startedAtMs"`
}

// list is discovery's answer; see "Discovery" of the protocol page.
type listResponse struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// size is the length of the answer's body in bytes.
func (l listResponse) encodedSize() int64 {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // there is nothing in it that JSON cannot hold
	}
	return int64(len(b))
}

// known is the list as the directory reads it.
func (l listResponse) toNodeList() node.List {
	out := node.List{Generation: l.Generation, Reset: l.Reset, Instances: make([]node.Instance, len(l.Instances))}
	for i, x := range l.Instances {
		out.Instances[i] = x.Instance
	}
	return out
}

// row is an instance with the generations in which it came, began to drain and went; 0 if it has not.
type listEntry struct {
	instance
	endpoint                       *endpoint
	addedIn, drainingIn, removedIn int64
}

// at is the row as it stands in a generation in which it is on the list.
func (r *listEntry) instanceAt(g int64) instance {
	x := r.instance
	switch {
	case r.removedIn != 0 && r.removedIn <= g:
		x.Lifecycle = "removed"
	case r.drainingIn != 0 && r.drainingIn <= g:
		x.Lifecycle = "draining"
	default:
		x.Lifecycle = "up"
	}
	return x
}

// ListBytes counts the bytes of discovery's answers.
type ListBytes struct {
	Full    int64 `json:"whole"`
	Changes int64 `json:"changes"`
	Empty   int64 `json:"empty"` // of watches that ended with nothing
}

func (b ListBytes) total() int64 { return b.Full + b.Changes + b.Empty }

// discovery holds the list and tells it to the agents.
type discovery struct {
	fleet          *fleet
	zoneNames      []string
	entries        []*listEntry
	active         []*listEntry   // neither draining nor gone
	changedEntries [][]*listEntry // by generation
	changedAt      []logic.Micros
	maxLag         []logic.Micros // of a generation, the longest time to its being in force at a sender
	pendingSenders []int          // of a generation, senders where it is not in force

	lastFullList      node.List // the whole list that was built last
	lastFullListBytes int64
	delta             listResponse // the changes that were built last, and from where
	deltaFrom         int64
	deltaBytes        int64
}

func newDiscovery(f *fleet) *discovery {
	d := &discovery{fleet: f, changedEntries: make([][]*listEntry, 2), changedAt: make([]logic.Micros, 2), maxLag: make([]logic.Micros, 2), pendingSenders: make([]int, 2)}
	for z := range f.scenario.Fleet.Zones {
		d.zoneNames = append(d.zoneNames, fmt.Sprint("z", z))
	}
	return d
}

func (d *discovery) generation() int64 { return int64(len(d.changedAt)) - 1 }

// add puts an endpoint on the list.
func (d *discovery) add(e *endpoint, g int64) *listEntry {
	r := &listEntry{endpoint: e, addedIn: g, instance: instance{Instance: node.Instance{ID: fmt.Sprintf("s-%08x", e.number), HostPort: e.addr,
		Zone: d.zoneNames[e.machine.zone], Kind: machineType, Dest: int64(e.destination.id), Weight: 1}}}
	if d.fleet.scenario.Destinations.NominalWeights {
		r.Weight = d.fleet.scenario.Destinations.Rate
	}
	if g > 1 {
		r.StartedAtMs = int64(d.fleet.now / 1000)
	}
	d.entries = append(d.entries, r)
	d.active = append(d.active, r)
	return r
}

// whole is the list of a generation.
func (d *discovery) fullList(g int64) node.List {
	if d.lastFullList.Generation != g {
		l := listResponse{Generation: g, Reset: true}
		for _, r := range d.entries {
			if r.addedIn <= g && (r.removedIn == 0 || r.removedIn > g) {
				l.Instances = append(l.Instances, r.instanceAt(g))
			}
		}
		d.lastFullList, d.lastFullListBytes = l.toNodeList(), l.encodedSize()
	}
	return d.lastFullList
}

// between is what a watch from one generation is told in another.
func (d *discovery) changesBetween(from, to int64) (node.List, int64) {
	if d.delta.Generation != to || d.deltaFrom != from {
		seen := map[*listEntry]bool{}
		d.delta, d.deltaFrom = listResponse{Generation: to}, from
		for g := from + 1; g <= to; g++ {
			for _, r := range d.changedEntries[g] {
				if !seen[r] {
					seen[r] = true
					d.delta.Instances = append(d.delta.Instances, r.instanceAt(to))
				}
			}
		}
		d.deltaBytes = d.delta.encodedSize()
	}
	return d.delta.toNodeList(), d.deltaBytes
}

// emptySize is the length of an answer with nothing.
func (d *discovery) emptyResponseSize(g int64) int64 {
	return listResponse{Generation: g, Instances: []instance{}}.encodedSize()
}

// change makes a generation of some rows and tells it to all agents.
func (d *discovery) publish(rows ...*listEntry) {
	f := d.fleet
	d.changedEntries, d.changedAt, d.maxLag = append(d.changedEntries, rows), append(d.changedAt, f.now), append(d.maxLag, 0)
	d.pendingSenders = append(d.pendingSenders, len(f.senders))
	f.traceEvent(traceListChange, int(d.generation()), len(rows), 0)
	for _, s := range f.senders {
		spread := logic.Micros(float64(f.scenario.Discovery.Spread.Micros) * s.spreadRand.Float64())
		f.scheduleAfter(spread, func() { d.notifyAgent(s) })
	}
}

// home is a zone of the region where discovery is.
func (d *discovery) homeZone() int {
	z := 0
	for d.fleet.topology.region(z) != d.fleet.scenario.Discovery.Region {
		z++
	}
	return z
}

// tell brings a sender's agent up to date, if it can be reached.
func (d *discovery) notifyAgent(s *sender) {
	f, zone := d.fleet, s.machine.zone
	if !f.topology.reachable(d.homeZone(), zone, f.now) || s.machine.outage != nil {
		f.scheduleAfter(logic.Second, func() { d.notifyAgent(s) })
		return
	}
	f.scheduleAfter(f.topology.delay(d.homeZone(), zone, s.spreadRand), func() {
		to := d.generation()
		if s.agentGeneration >= to || s.machine.outage != nil {
			return // told already; a new machine asks for the whole list
		}
		news, size := d.changesBetween(s.agentGeneration, to)
		s.agentGeneration = to
		s.listBytes.Changes += size
		if s.up {
			s.watchDeadline = f.now + f.scenario.Discovery.WatchTimeout.Micros
			s.applyList(news)
		}
	})
}

// ask gives a machine with nothing the whole list.
func (d *discovery) sendFullList(s *sender) {
	s.agentGeneration = d.generation()
	d.fullList(s.agentGeneration)
	s.listBytes.Full += d.lastFullListBytes
}

// inForce notes that a sender's process acts on the list that its agent has.
func (d *discovery) markApplied(s *sender) {
	for g := s.appliedGeneration + 1; g <= s.agentGeneration; g++ {
		d.maxLag[g] = max(d.maxLag[g], d.fleet.now-max(d.changedAt[g], s.startedAt))
		d.pendingSenders[g]--
	}
	s.appliedGeneration = s.agentGeneration
}

// replace lists a new endpoint in place of one that drains and then goes.
func (d *discovery) replaceEndpoint() {
	f := d.fleet
	i := f.changesRand.IntN(len(d.active))
	old := d.active[i]
	d.active = append(d.active[:i], d.active[i+1:]...)
	g := d.generation() + 1
	old.drainingIn = g
	fresh := d.add(f.newEndpoint(old.endpoint.destination, old.endpoint.machine.zone), g)
	d.publish(old, fresh)
	f.scheduleAfter(f.scenario.Discovery.DrainTime.Micros, func() {
		old.removedIn = d.generation() + 1
		d.publish(old)
		f.resetConnections(old.endpoint)
		old.endpoint.closed = true
	})
}

// inForceFigures are the longest time from a change to its being in force, and how many changes are not yet in force
// everywhere.
func (d *discovery) propagation() (x Propagation) {
	sum := 0.0
	for g := 2; g < len(d.changedAt); g++ {
		x.Changes++
		if d.pendingSenders[g] > 0 {
			x.Pending++
			continue
		}
		lag := float64(d.maxLag[g]) / 1e6
		sum, x.Max = sum+lag, math.Max(x.Max, lag)
	}
	if n := x.Changes - x.Pending; n > 0 {
		x.Mean = sum / float64(n)
	}
	return x
}
