package hollow

import (
	"encoding/json"
	"fmt"
	"math"

	"rundeal/internal/node"
	"rundeal/logic"
)

// kindName is the machine type of all endpoints.
const kindName = "hollow"

// instance is an entry of the list as discovery sends it.
type instance struct {
	node.Instance
	StartedAtMs int64 `json:"startedAtMs"`
}

// list is discovery's answer; see "Discovery" of the protocol page.
type list struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

// size is the length of the answer's body in bytes.
func (l list) size() int64 {
	b, err := json.Marshal(l)
	if err != nil {
		panic(err) // there is nothing in it that JSON cannot hold
	}
	return int64(len(b))
}

// known is the list as the directory reads it.
func (l list) known() node.EndpointList {
	out := node.EndpointList{Generation: l.Generation, Reset: l.Reset, Instances: make([]node.Instance, len(l.Instances))}
	for i, x := range l.Instances {
		out.Instances[i] = x.Instance
	}
	return out
}

// row is an instance with the generations in which it came, began to drain and went; 0 if it has not.
type row struct {
	instance
	ep                      *endpoint
	added, draining, closed int64
}

// at is the row as it stands in a generation in which it is on the list.
func (r *row) at(g int64) instance {
	x := r.instance
	switch {
	case r.closed != 0 && r.closed <= g:
		x.Lifecycle = "removed"
	case r.draining != 0 && r.draining <= g:
		x.Lifecycle = "draining"
	default:
		x.Lifecycle = "up"
	}
	return x
}

// ListBytes counts the bytes of discovery's answers.
type ListBytes struct {
	Whole   int64 `json:"whole"`
	Changes int64 `json:"changes"`
	Empty   int64 `json:"empty"` // of watches that ended with nothing
}

func (b ListBytes) total() int64 { return b.Whole + b.Changes + b.Empty }

// discovery holds the list and tells it to the agents.
type discovery struct {
	f       *fleet
	zones   []string
	rows    []*row
	up      []*row   // neither draining nor gone
	changed [][]*row // by generation
	at      []logic.Micros
	lag     []logic.Micros // of a generation, the longest time to its being in force at a sender
	behind  []int          // of a generation, senders where it is not in force

	last      node.EndpointList // the whole list that was built last
	lastBytes int64
	delta     list // the changes that were built last, and from where
	deltaFrom int64
	deltaSize int64
}

func newDiscovery(f *fleet) *discovery {
	d := &discovery{f: f, changed: make([][]*row, 2), at: make([]logic.Micros, 2), lag: make([]logic.Micros, 2), behind: make([]int, 2)}
	for z := range f.sc.Fleet.Zones {
		d.zones = append(d.zones, fmt.Sprint("z", z))
	}
	return d
}

func (d *discovery) generation() int64 { return int64(len(d.at)) - 1 }

// add puts an endpoint on the list.
func (d *discovery) add(e *endpoint, g int64) *row {
	r := &row{ep: e, added: g, instance: instance{Instance: node.Instance{ID: fmt.Sprintf("s-%08x", e.number), HostPort: e.addr,
		Zone: d.zones[e.machine.zone], MachineType: kindName, Dest: int64(e.dest.id), Weight: 1}}}
	if d.f.sc.Destinations.Nominal {
		r.Weight = d.f.sc.Destinations.Rate
	}
	if g > 1 {
		r.StartedAtMs = int64(d.f.now / 1000)
	}
	d.rows = append(d.rows, r)
	d.up = append(d.up, r)
	return r
}

// whole is the list of a generation.
func (d *discovery) whole(g int64) node.EndpointList {
	if d.last.Generation != g {
		l := list{Generation: g, Reset: true}
		for _, r := range d.rows {
			if r.added <= g && (r.closed == 0 || r.closed > g) {
				l.Instances = append(l.Instances, r.at(g))
			}
		}
		d.last, d.lastBytes = l.known(), l.size()
	}
	return d.last
}

// between is what a watch from one generation is told in another.
func (d *discovery) between(from, to int64) (node.EndpointList, int64) {
	if d.delta.Generation != to || d.deltaFrom != from {
		seen := map[*row]bool{}
		d.delta, d.deltaFrom = list{Generation: to}, from
		for g := from + 1; g <= to; g++ {
			for _, r := range d.changed[g] {
				if !seen[r] {
					seen[r] = true
					d.delta.Instances = append(d.delta.Instances, r.at(to))
				}
			}
		}
		d.deltaSize = d.delta.size()
	}
	return d.delta.known(), d.deltaSize
}

// emptySize is the length of an answer with nothing.
func (d *discovery) emptySize(g int64) int64 {
	return list{Generation: g, Instances: []instance{}}.size()
}

// change makes a generation of some rows and tells it to all agents.
func (d *discovery) change(rows ...*row) {
	f := d.f
	d.changed, d.at, d.lag = append(d.changed, rows), append(d.at, f.now), append(d.lag, 0)
	d.behind = append(d.behind, len(f.senders))
	f.traceEvent(traceList, int(d.generation()), len(rows), 0)
	for _, s := range f.senders {
		spread := logic.Micros(float64(f.sc.Discovery.Spread.Micros) * s.spread.Float64())
		f.after(spread, func() { d.tell(s) })
	}
}

// home is a zone of the region where discovery is.
func (d *discovery) home() int {
	z := 0
	for d.f.top.region(z) != d.f.sc.Discovery.Region {
		z++
	}
	return z
}

// tell brings a sender's agent up to date, if it can be reached.
func (d *discovery) tell(s *sender) {
	f, zone := d.f, s.machine.zone
	if !f.top.open(d.home(), zone, f.now) || s.machine.gone != nil {
		f.after(logic.Second, func() { d.tell(s) })
		return
	}
	f.after(f.top.delay(d.home(), zone, s.spread), func() {
		to := d.generation()
		if s.agent >= to || s.machine.gone != nil {
			return // told already; a new machine asks for the whole list
		}
		news, size := d.between(s.agent, to)
		s.agent = to
		s.bytes.Changes += size
		if s.up {
			s.watchEnd = f.now + f.sc.Discovery.Hold.Micros
			s.list(news)
		}
	})
}

// ask gives a machine with nothing the whole list.
func (d *discovery) ask(s *sender) {
	s.agent = d.generation()
	d.whole(s.agent)
	s.bytes.Whole += d.lastBytes
}

// inForce notes that a sender's process acts on the list that its agent has.
func (d *discovery) inForce(s *sender) {
	for g := s.inForce + 1; g <= s.agent; g++ {
		d.lag[g] = max(d.lag[g], d.f.now-max(d.at[g], s.upAt))
		d.behind[g]--
	}
	s.inForce = s.agent
}

// replace lists a new endpoint in place of one that drains and then goes.
func (d *discovery) replace() {
	f := d.f
	i := f.changes.IntN(len(d.up))
	old := d.up[i]
	d.up = append(d.up[:i], d.up[i+1:]...)
	g := d.generation() + 1
	old.draining = g
	fresh := d.add(f.newEndpoint(old.ep.dest, old.ep.machine.zone), g)
	d.change(old, fresh)
	f.after(f.sc.Discovery.Drain.Micros, func() {
		old.closed = d.generation() + 1
		d.change(old)
		f.reset(old.ep)
		old.ep.closed = true
	})
}

// inForceFigures are the longest time from a change to its being in force, and how many changes are not yet in force
// everywhere.
func (d *discovery) inForceFigures() (x InForce) {
	sum := 0.0
	for g := 2; g < len(d.at); g++ {
		x.Changes++
		if d.behind[g] > 0 {
			x.Open++
			continue
		}
		lag := float64(d.lag[g]) / 1e6
		sum, x.Worst = sum+lag, math.Max(x.Worst, lag)
	}
	if n := x.Changes - x.Open; n > 0 {
		x.Mean = sum / float64(n)
	}
	return x
}
