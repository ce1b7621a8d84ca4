package hollow

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"rundeal/internal/node"
	"rundeal/internal/wire"
	"rundeal/logic"
)

const (
	frontNotices = 400_000          // a client has no answer for so long: it turns to another sender
	lossNotices  = 2 * logic.Second // what a lost machine held is handed to others
	clientRest   = logic.Second     // a client that finds no sender tries again
)

// offer is an event that a client wants delivered.
type offer struct {
	number uint64
	born   logic.Micros
	class  int
	dest   int
	handed int // times it was handed in
	runs   int // times an endpoint has run it
	ended  bool
}

// message is an offer as one sender has it, with what its journal keeps of it.
type message struct {
	*offer
	id       string
	seq      int // order in which they came
	deadline logic.Micros
	over     bool
	tries    int
	mayRun   bool
	firstMay logic.Micros
	zone     int
	call     *call // that is out
}

// noting is what a sender makes of an outage that it has sent into.
type noting struct {
	out  *outage
	from logic.Micros       // first send
	eps  []logic.EndpointID // sent to
}

// sender is one hollow sender: a machine with the agent of discovery, a journal, and a process while it is up.
type sender struct {
	f        *fleet
	number   int
	machine  *machine
	clients  *rand.Rand
	front    *rand.Rand // deals its clients out to others while it is down
	network  *rand.Rand
	spread   *rand.Rand // of what discovery tells
	seq      int
	held     map[string]*message // what the journal knows; ended ones while a call is out
	agent    int64               // generation of the list that the agent has
	inForce  int64               // and that the last process had
	bytes    ListBytes
	life     int // counts processes
	watchEnd logic.Micros

	// Of the process that is up.
	up      bool
	upAt    logic.Micros
	module  *logic.Sender
	dir     *node.Directory
	next    []logic.Event
	fresh   []*message // not taken on before the next step
	flying  []*call
	open    int // messages not over
	idle    map[logic.EndpointID][]*conn
	waking  bool // a step is set
	rested  logic.Micros
	timer   int // counts timers: the last one counts
	unseen  []*noting
	noticed map[*outage]*noting
}

func newSender(f *fleet, number int) *sender {
	zones, racks := f.sc.Fleet.Zones, f.sc.Fleet.Racks
	zone := number % zones
	return &sender{f: f, number: number, machine: &machine{zone: zone, rack: zone*racks + number/zones%racks},
		clients: stream(f.sc.Seed, "clients", number), front: stream(f.sc.Seed, "front", number),
		network: stream(f.sc.Seed, "network", number), spread: stream(f.sc.Seed, "spread", number), held: map[string]*message{}}
}

// start begins a process with what the journal holds and the list that the agent has.
func (s *sender) start() {
	f := s.f
	set := f.sc.settings(s.machine.zone)
	module, err := logic.New(set, derive(f.sc.Seed, "module", s.number<<16+s.life))
	if err != nil {
		f.fail(err)
		return
	}
	s.up, s.upAt, s.module, s.rested = true, f.now, module, f.now-set.Tick
	s.dir = node.NewDirectory(&node.Config{Deployment: wire.Deployment{Settings: set, Zones: f.disc.zones}})
	s.idle, s.noticed = map[logic.EndpointID][]*conn{}, map[*outage]*noting{}
	known := f.disc.whole(s.agent)
	began := time.Now()
	s.next = append(s.next, logic.EndpointUpdate{Kind: logic.UpdateCached, Entries: s.dir.Apply(known, s.wall())})
	for _, m := range s.owed() {
		s.open++
		c := s.event(m)
		c.History = logic.History{Accepted: true, Attempts: m.tries, MayHaveRun: m.mayRun}
		if m.mayRun {
			c.History.Age, c.History.Zone = f.now-m.firstMay, m.zone
		}
		s.next = append(s.next, c)
	}
	f.traceEvent(traceStart, s.number, s.life, len(s.next))
	s.step()
	f.rec.starts.add(began)
	s.watch()
}

// wall is the virtual time as the directory wants it.
func (s *sender) wall() time.Time { return time.UnixMicro(int64(s.f.now)) }

// owed lists the messages that the journal holds, in the order in which they came.
func (s *sender) owed() []*message {
	var list []*message
	for _, m := range s.held {
		if !m.over {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *message) int { return a.seq - b.seq })
	return list
}

func (s *sender) event(m *message) logic.Message {
	return logic.Message{ID: m.id, TimeLeft: m.deadline - s.f.now, Dest: int64(m.dest), Tenant: -1, Class: m.class}
}

// kill ends the process. If its machine has vanished, what is open at endpoints stays so until they close it, and
// what it held is handed to others.
func (s *sender) kill(vanished bool) {
	f := s.f
	f.traceEvent(traceKill, s.number, s.life, len(s.flying))
	s.life++
	s.up, s.module, s.dir, s.next, s.open, s.waking = false, nil, nil, nil, 0, false
	s.unseen, s.noticed = nil, nil
	var open []*conn
	for _, c := range s.flying {
		c.over, c.m.call = true, nil
		c.m.mayRun = true // the journal has the send and no outcome
		if c.m.over {
			delete(s.held, c.m.id)
		}
		if c.conn != nil {
			open = append(open, c.conn)
		}
	}
	for _, list := range s.idle {
		open = append(open, list...)
	}
	s.flying, s.idle = nil, nil
	shut := func() {
		for _, c := range open {
			c.close()
		}
	}
	lost := s.fresh
	s.fresh = nil
	for _, m := range lost {
		delete(s.held, m.id)
	}
	if !vanished {
		shut()
		for _, m := range lost {
			f.redirect(s, m.offer, 0)
		}
		return
	}
	f.after(f.sc.Destinations.ConnIdle.Micros, shut)
	for _, m := range lost {
		f.redirect(s, m.offer, frontNotices)
	}
	for _, m := range s.owed() {
		f.redirect(s, m.offer, lossNotices)
	}
	clear(s.held)
}

// put takes a message from a client.
func (s *sender) put(o *offer) {
	f := s.f
	if most := f.sc.Fleet.MaxOpen; most > 0 && s.open >= most {
		f.end(o, returned)
		return
	}
	s.seq++
	m := &message{offer: o, seq: s.seq, deadline: o.born + f.sc.Classes[o.class].Deadline.Micros,
		id: strconv.FormatUint(o.number, 16) + "-" + strconv.Itoa(o.handed)}
	o.handed++
	s.held[m.id] = m
	s.open++
	s.fresh = append(s.fresh, m)
	s.hear(s.event(m))
}

// hear keeps an event for the next step, which comes as soon as the last one is a tick ago.
func (s *sender) hear(ev logic.Event) {
	s.next = append(s.next, ev)
	s.wake()
}

func (s *sender) wake() {
	if s.waking {
		return
	}
	s.waking = true
	s.whileUp(max(s.f.now, s.rested+s.f.sc.Fleet.Tick.Micros), s.step)
}

// whileUp sets do for a time, unless the process ends before.
func (s *sender) whileUp(t logic.Micros, do func()) {
	life := s.life
	s.f.at(t, func() {
		if s.up && s.life == life {
			do()
		}
	})
}

// step lets the module decide and acts on it.
func (s *sender) step() {
	f := s.f
	events := s.next
	s.next, s.fresh, s.rested = nil, nil, f.now // what is fresh is taken on, or ends in this step
	began := time.Now()                         // for the report alone
	actions := s.module.Step(f.now, events)
	if s.upAt < f.now { // the first one counts with the start
		f.rec.steps.add(began)
	}
	f.rec.Steps++
	s.waking = true // what this step brings waits for the next
	for _, a := range actions {
		s.act(a)
	}
	s.waking = false
	if len(s.next) > 0 {
		s.wake()
	}
	s.unseen = slices.DeleteFunc(s.unseen, func(n *noting) bool {
		if !slices.ContainsFunc(n.eps, s.module.Ejected) {
			return false
		}
		f.rec.notice(f.now - n.from)
		return true
	})
	if s.inForce < s.agent {
		f.disc.inForce(s)
	}
}

func (s *sender) act(a logic.Action) {
	f := s.f
	switch a := a.(type) {
	case logic.Send:
		s.call(a)
	case logic.Cancel:
		if m := s.held[a.ID]; m != nil && m.call != nil && m.call.attempt == a.Attempt {
			m.call.giveUp(logic.Cancelled)
		}
	case logic.Reject:
		s.finish(a.ID, returned)
	case logic.Fail:
		s.finish(a.ID, failed)
	case logic.SetTimer:
		s.timer++
		n := s.timer
		s.whileUp(f.now+a.Wait, func() {
			if n == s.timer {
				s.hear(logic.TimerFired{Token: a.Token})
			}
		})
	case logic.ReleaseConns:
		for _, c := range s.idle[a.Endpoint] {
			c.close()
		}
		delete(s.idle, a.Endpoint)
	}
}

// finish ends a message by the module's word.
func (s *sender) finish(id string, e ending) {
	if m := s.held[id]; m != nil && !m.over {
		s.f.end(m.offer, e)
		s.drop(m)
	}
}

// drop takes a message that is over off the books, once nothing of it is out.
func (s *sender) drop(m *message) {
	if !m.over {
		m.over = true
		s.open--
	}
	if m.call == nil {
		delete(s.held, m.id)
	}
}

// list hands the process what its agent was told.
func (s *sender) list(l node.EndpointList) {
	began := time.Now()
	rows := s.dir.Apply(l, s.wall())
	s.f.rec.takes.add(began)
	form := logic.UpdateDelta
	if l.Reset {
		form = logic.UpdateFull
	}
	// What is still connecting to an endpoint that takes no more is not written.
	s.hold(func(c *call) bool {
		i := slices.IndexFunc(rows, func(row logic.EndpointEntry) bool { return row.Endpoint == c.id })
		return i >= 0 && rows[i].State != logic.Ready || i < 0 && l.Reset
	})
	for _, row := range rows {
		if row.State != logic.Ready {
			s.act(logic.ReleaseConns{Endpoint: row.Endpoint})
		}
	}
	s.hear(logic.EndpointUpdate{Kind: form, Entries: rows})
}

// hold ends calls that are still connecting as never sent.
func (s *sender) hold(match func(*call) bool) {
	for _, c := range slices.Clone(s.flying) {
		if !c.written && match(c) {
			c.end(logic.Skipped, 0, nil)
		}
	}
}

// watch ends the watch of the list, with nothing, once its time is up, and begins the next.
func (s *sender) watch() {
	s.watchEnd = s.f.now + s.f.sc.Discovery.Hold.Micros
	var look func()
	look = func() {
		if s.f.now >= s.watchEnd {
			s.bytes.Empty += s.f.disc.emptySize(s.agent)
			s.watchEnd = s.f.now + s.f.sc.Discovery.Hold.Micros
			s.hear(logic.EndpointUpdate{Kind: logic.UpdateDelta})
		}
		s.whileUp(s.watchEnd, look)
	}
	s.whileUp(s.watchEnd, look)
}
