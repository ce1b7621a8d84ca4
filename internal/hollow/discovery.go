package hollow

import (
	"encoding/json"
	"fmt"
	"math"

	"rundeal/internal/node"
	"rundeal/logic"
)

// machineType is the machine type of all simulated endpoints.
const machineType = "hollow"

// instance is an entry of the endpoint list as discovery sends it.
type instance struct {
	node.Instance
	StartedAtMs int64 `json:"startedAtMs"`
}

// listResponse is the body of an answer of discovery (section "Discovery" of the protocol document).
type listResponse struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// encodedSize is the length of the JSON body in bytes.
func (l listResponse) encodedSize() int64 {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded as JSON
	}
	return int64(len(b))
}

// toNodeList converts the list to the form that the directory reads.
func (l listResponse) toNodeList() node.EndpointList {
	out := node.EndpointList{
		Generation: l.Generation,
		Reset:      l.Reset,
		Instances:  make([]node.Instance, len(l.Instances)),
	}
	for i, x := range l.Instances {
		out.Instances[i] = x.Instance
	}
	return out
}

// listEntry is an instance with the list generations in which it was added, began to drain and was removed; 0 for
// a step that has not happened.
type listEntry struct {
	instance
	endpoint                       *endpoint
	addedIn, drainingIn, removedIn int64
}

// instanceAt returns the instance with its lifecycle state in generation g, which must not precede its addition.
func (e *listEntry) instanceAt(g int64) instance {
	x := e.instance
	switch {
	case e.removedIn != 0 && e.removedIn <= g:
		x.Lifecycle = "removed"
	case e.drainingIn != 0 && e.drainingIn <= g:
		x.Lifecycle = "draining"
	default:
		x.Lifecycle = "up"
	}
	return x
}

// ListBytes counts the bytes of discovery's answers by kind.
type ListBytes struct {
	Full    int64 `json:"whole"`
	Changes int64 `json:"changes"`
	Empty   int64 `json:"empty"` // watches that ended without a change
}

func (b ListBytes) total() int64 { return b.Full + b.Changes + b.Empty }

// discovery holds the endpoint list and distributes it to the agents.
type discovery struct {
	fleet          *fleet
	zoneNames      []string
	entries        []*listEntry
	active         []*listEntry   // neither draining nor removed
	changedEntries [][]*listEntry // indexed by generation
	changedAt      []logic.Micros
	maxLag         []logic.Micros // by generation, the longest time until a sender applied it
	pendingSenders []int          // by generation, the number of senders that have not applied it

	lastFullList      node.EndpointList // cached: the full list built last
	lastFullListBytes int64
	delta             listResponse // cached: the changes built last, and the generation they start from
	deltaFrom         int64
	deltaBytes        int64
}

func newDiscovery(f *fleet) *discovery {
	d := &discovery{fleet: f, changedEntries: make([][]*listEntry, 2), changedAt: make([]logic.Micros, 2),
		maxLag: make([]logic.Micros, 2), pendingSenders: make([]int, 2)}
	for z := range f.scenario.Fleet.Zones {
		d.zoneNames = append(d.zoneNames, fmt.Sprint("z", z))
	}
	return d
}

func (d *discovery) generation() int64 { return int64(len(d.changedAt)) - 1 }

// add adds an endpoint to the list.
func (d *discovery) add(e *endpoint, generation int64) *listEntry {
	entry := &listEntry{
		endpoint: e,
		addedIn:  generation,
		instance: instance{Instance: node.Instance{
			ID:          fmt.Sprintf("s-%08x", e.number),
			HostPort:    e.addr,
			Zone:        d.zoneNames[e.machine.zone],
			MachineType: machineType,
			Dest:        int64(e.destination.id),
			Weight:      1,
		}},
	}
	if d.fleet.scenario.Destinations.NominalWeights {
		entry.Weight = d.fleet.scenario.Destinations.Rate
	}
	if generation > 1 {
		entry.StartedAtMs = int64(d.fleet.now / 1000)
	}
	d.entries = append(d.entries, entry)
	d.active = append(d.active, entry)
	return entry
}

// fullList returns the full list of a generation.
func (d *discovery) fullList(g int64) node.EndpointList {
	if d.lastFullList.Generation != g {
		l := listResponse{Generation: g, Reset: true}
		for _, entry := range d.entries {
			if entry.addedIn <= g && (entry.removedIn == 0 || entry.removedIn > g) {
				l.Instances = append(l.Instances, entry.instanceAt(g))
			}
		}
		d.lastFullList, d.lastFullListBytes = l.toNodeList(), l.encodedSize()
	}
	return d.lastFullList
}

// changesBetween returns the changes sent to a watch that has generation from when the list is at generation to,
// and the size of their JSON body.
func (d *discovery) changesBetween(from, to int64) (node.EndpointList, int64) {
	if d.delta.Generation != to || d.deltaFrom != from {
		seen := map[*listEntry]bool{}
		d.delta, d.deltaFrom = listResponse{Generation: to}, from
		for g := from + 1; g <= to; g++ {
			for _, entry := range d.changedEntries[g] {
				if !seen[entry] {
					seen[entry] = true
					d.delta.Instances = append(d.delta.Instances, entry.instanceAt(to))
				}
			}
		}
		d.deltaBytes = d.delta.encodedSize()
	}
	return d.delta.toNodeList(), d.deltaBytes
}

// emptyResponseSize is the body length of an answer without changes.
func (d *discovery) emptyResponseSize(g int64) int64 {
	return listResponse{Generation: g, Instances: []instance{}}.encodedSize()
}

// publish creates a generation with the changed entries and sends it to all agents.
func (d *discovery) publish(entries ...*listEntry) {
	f := d.fleet
	d.changedEntries, d.changedAt, d.maxLag =
		append(d.changedEntries, entries), append(d.changedAt, f.now), append(d.maxLag, 0)
	d.pendingSenders = append(d.pendingSenders, len(f.senders))
	f.traceEvent(traceListChange, int(d.generation()), len(entries), 0)
	for _, s := range f.senders {
		spread := logic.Micros(float64(f.scenario.Discovery.Spread.Micros) * s.spreadRand.Float64())
		f.scheduleAfter(spread, func() { d.notifyAgent(s) })
	}
}

// homeZone returns the first zone of the region that hosts discovery.
func (d *discovery) homeZone() int {
	z := 0
	for d.fleet.topology.region(z) != d.fleet.scenario.Discovery.Region {
		z++
	}
	return z
}

// notifyAgent sends a sender's agent all changes it lacks. It retries every second while the agent is unreachable.
func (d *discovery) notifyAgent(s *sender) {
	f, zone := d.fleet, s.machine.zone
	if !f.topology.reachable(d.homeZone(), zone, f.now) || s.machine.outage != nil {
		f.scheduleAfter(logic.Second, func() { d.notifyAgent(s) })
		return
	}
	f.scheduleAfter(f.topology.delay(d.homeZone(), zone, s.spreadRand), func() {
		to := d.generation()
		if s.agentGeneration >= to || s.machine.outage != nil {
			return // already up to date, or lost again: a replacement machine requests the full list
		}
		changes, size := d.changesBetween(s.agentGeneration, to)
		s.agentGeneration = to
		s.listBytes.Changes += size
		if s.up {
			s.watchDeadline = f.now + f.scenario.Discovery.WatchTimeout.Micros
			s.applyList(changes)
		}
	})
}

// sendFullList gives the full list to the agent of a new machine.
func (d *discovery) sendFullList(s *sender) {
	s.agentGeneration = d.generation()
	d.fullList(s.agentGeneration)
	s.listBytes.Full += d.lastFullListBytes
}

// markApplied records that a sender's process has applied the list that its agent has.
func (d *discovery) markApplied(s *sender) {
	for g := s.appliedGeneration + 1; g <= s.agentGeneration; g++ {
		d.maxLag[g] = max(d.maxLag[g], d.fleet.now-max(d.changedAt[g], s.startedAt))
		d.pendingSenders[g]--
	}
	s.appliedGeneration = s.agentGeneration
}

// replaceEndpoint adds a new endpoint and drains a random old one, which is removed after the drain time.
func (d *discovery) replaceEndpoint() {
	f := d.fleet
	i := f.changesRand.IntN(len(d.active))
	old := d.active[i]
	d.active = append(d.active[:i], d.active[i+1:]...)
	g := d.generation() + 1
	old.drainingIn = g
	replacement := d.add(f.newEndpoint(old.endpoint.destination, old.endpoint.machine.zone), g)
	d.publish(old, replacement)
	f.scheduleAfter(f.scenario.Discovery.DrainTime.Micros, func() {
		old.removedIn = d.generation() + 1
		d.publish(old)
		f.resetConnections(old.endpoint)
		old.endpoint.closed = true
	})
}

// propagation summarizes how long list changes took until all senders had applied them, and counts the changes
// that some sender has not applied yet.
func (d *discovery) propagation() (p Propagation) {
	sum := 0.0
	for g := 2; g < len(d.changedAt); g++ {
		p.Changes++
		if d.pendingSenders[g] > 0 {
			p.Pending++
			continue
		}
		lag := float64(d.maxLag[g]) / 1e6
		sum, p.Max = sum+lag, math.Max(p.Max, lag)
	}
	if n := p.Changes - p.Pending; n > 0 {
		p.Mean = sum / float64(n)
	}
	return p
}
