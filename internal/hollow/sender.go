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
	clientTimeout     = 400_000          // a client has no answer for so long: it turns to another sender
	lossRedirectDelay = 2 * logic.Second // what a lost machine held is handed to others
	clientRetryDelay  = logic.Second     // a client that finds no sender tries again
)

// offer is an event that a client wants delivered.
type clientMessage struct {
	number      uint64
	createdAt   logic.Micros
	class       int
	dest        int
	submissions int // times it was handed in
	executions  int // times an endpoint has run it
	ended       bool
}

// message is an offer as one sender has it, with what its journal keeps of it.
type message struct {
	*clientMessage
	id                  string
	seq                 int // order in which they came
	deadline            logic.Micros
	closed              bool
	attempts            int
	mayHaveRun          bool
	firstMayHaveRunAt   logic.Micros
	firstMayHaveRunZone int
	call                *call // that is out
}

// noting is what a sender makes of an outage that it has sent into.
type detection struct {
	outage      *outage
	firstSentAt logic.Micros       // first send
	endpoints   []logic.EndpointID // sent to
}

// sender is one hollow sender: a machine with the agent of discovery, a journal, and a process while it is up.
type sender struct {
	fleet             *fleet
	number            int
	machine           *machine
	clientRand        *rand.Rand
	failoverRand      *rand.Rand // deals its clients out to others while it is down
	networkRand       *rand.Rand
	spreadRand        *rand.Rand // of what discovery tells
	lastSeq           int
	messages          map[string]*message // what the journal knows; ended ones while a call is out
	agentGeneration   int64               // generation of the list that the agent has
	appliedGeneration int64               // and that the last process had
	listBytes         ListBytes
	incarnation       int // counts processes
	watchDeadline     logic.Micros

	// Of the process that is up.
	up            bool
	startedAt     logic.Micros
	module        *logic.Sender
	directory     *node.Directory
	pendingEvents []logic.Event
	unaccepted    []*message // not taken on before the next step
	inFlight      []*call
	openCount     int // messages not over
	idleConns     map[logic.EndpointID][]*conn
	stepScheduled bool // a step is set
	lastStepAt    logic.Micros
	timerID       int // counts timers: the last one counts
	undetected    []*detection
	detections    map[*outage]*detection
}

func newSender(f *fleet, number int) *sender {
	zones, racks := f.scenario.Fleet.Zones, f.scenario.Fleet.RacksPerZone
	zone := number % zones
	return &sender{fleet: f, number: number, machine: &machine{zone: zone, rack: zone*racks + number/zones%racks},
		clientRand: newRand(f.scenario.Seed, "clients", number), failoverRand: newRand(f.scenario.Seed, "front", number),
		networkRand: newRand(f.scenario.Seed, "network", number), spreadRand: newRand(f.scenario.Seed, "spread", number), messages: map[string]*message{}}
}

// start begins a process with what the journal holds and the list that the agent has.
func (s *sender) start() {
	f := s.fleet
	set := f.scenario.moduleSettings(s.machine.zone)
	module, err := logic.New(set, deriveSeed(f.scenario.Seed, "module", s.number<<16+s.incarnation))
	if err != nil {
		f.fail(err)
		return
	}
	s.up, s.startedAt, s.module, s.lastStepAt = true, f.now, module, f.now-set.Tick
	s.directory = node.NewDirectory(&node.Config{Deploy: wire.Deployment{Settings: set, Zones: f.discovery.zoneNames}})
	s.idleConns, s.detections = map[logic.EndpointID][]*conn{}, map[*outage]*detection{}
	known := f.discovery.fullList(s.agentGeneration)
	began := time.Now()
	s.pendingEvents = append(s.pendingEvents, logic.Endpoints{Form: logic.ListCached, Entries: s.directory.Take(known, s.wallTime())})
	for _, m := range s.openMessages() {
		s.openCount++
		c := s.callEvent(m)
		c.Past = logic.Past{Taken: true, Tries: m.attempts, MayRun: m.mayHaveRun}
		if m.mayHaveRun {
			c.Past.Age, c.Past.Zone = f.now-m.firstMayHaveRunAt, m.firstMayHaveRunZone
		}
		s.pendingEvents = append(s.pendingEvents, c)
	}
	f.traceEvent(traceSenderStart, s.number, s.incarnation, len(s.pendingEvents))
	s.step()
	f.stats.startTimes.add(began)
	s.watchList()
}

// wall is the virtual time as the directory wants it.
func (s *sender) wallTime() time.Time { return time.UnixMicro(int64(s.fleet.now)) }

// owed lists the messages that the journal holds, in the order in which they came.
func (s *sender) openMessages() []*message {
	var list []*message
	for _, m := range s.messages {
		if !m.closed {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *message) int { return a.seq - b.seq })
	return list
}

func (s *sender) callEvent(m *message) logic.Call {
	return logic.Call{ID: m.id, Left: m.deadline - s.fleet.now, Dest: int64(m.dest), Tenant: -1, Class: m.class}
}

// kill ends the process. If its machine has vanished, what is open at endpoints stays so until they close it, and
// what it held is handed to others.
func (s *sender) kill(vanished bool) {
	f := s.fleet
	f.traceEvent(traceSenderKill, s.number, s.incarnation, len(s.inFlight))
	s.incarnation++
	s.up, s.module, s.directory, s.pendingEvents, s.openCount, s.stepScheduled = false, nil, nil, nil, 0, false
	s.undetected, s.detections = nil, nil
	var open []*conn
	for _, c := range s.inFlight {
		c.ended, c.message.call = true, nil
		c.message.mayHaveRun = true // the journal has the send and no outcome
		if c.message.closed {
			delete(s.messages, c.message.id)
		}
		if c.conn != nil {
			open = append(open, c.conn)
		}
	}
	for _, list := range s.idleConns {
		open = append(open, list...)
	}
	s.inFlight, s.idleConns = nil, nil
	shut := func() {
		for _, c := range open {
			c.close()
		}
	}
	lost := s.unaccepted
	s.unaccepted = nil
	for _, m := range lost {
		delete(s.messages, m.id)
	}
	if !vanished {
		shut()
		for _, m := range lost {
			f.redirect(s, m.clientMessage, 0)
		}
		return
	}
	f.scheduleAfter(f.scenario.Destinations.ConnIdleTimeout.Micros, shut)
	for _, m := range lost {
		f.redirect(s, m.clientMessage, clientTimeout)
	}
	for _, m := range s.openMessages() {
		f.redirect(s, m.clientMessage, lossRedirectDelay)
	}
	clear(s.messages)
}

// put takes a message from a client.
func (s *sender) put(o *clientMessage) {
	f := s.fleet
	if most := f.scenario.Fleet.MaxOpen; most > 0 && s.openCount >= most {
		f.endMessage(o, returned)
		return
	}
	s.lastSeq++
	m := &message{clientMessage: o, seq: s.lastSeq, deadline: o.createdAt + f.scenario.Classes[o.class].Deadline.Micros,
		id: strconv.FormatUint(o.number, 16) + "-" + strconv.Itoa(o.submissions)}
	o.submissions++
	s.messages[m.id] = m
	s.openCount++
	s.unaccepted = append(s.unaccepted, m)
	s.enqueue(s.callEvent(m))
}

// hear keeps an event for the next step, which comes as soon as the last one is a tick ago.
func (s *sender) enqueue(ev logic.Event) {
	s.pendingEvents = append(s.pendingEvents, ev)
	s.scheduleStep()
}

func (s *sender) scheduleStep() {
	if s.stepScheduled {
		return
	}
	s.stepScheduled = true
	s.scheduleWhileUp(max(s.fleet.now, s.lastStepAt+s.fleet.scenario.Fleet.Tick.Micros), s.step)
}

// whileUp sets do for a time, unless the process ends before.
func (s *sender) scheduleWhileUp(t logic.Micros, do func()) {
	life := s.incarnation
	s.fleet.scheduleAt(t, func() {
		if s.up && s.incarnation == life {
			do()
		}
	})
}

// step lets the module decide and acts on it.
func (s *sender) step() {
	f := s.fleet
	events := s.pendingEvents
	s.pendingEvents, s.unaccepted, s.lastStepAt = nil, nil, f.now // what is fresh is taken on, or ends in this step
	began := time.Now()                                           // for the report alone
	actions := s.module.Step(f.now, events)
	if s.startedAt < f.now { // the first one counts with the start
		f.stats.stepTimes.add(began)
	}
	f.stats.Steps++
	s.stepScheduled = true // what this step brings waits for the next
	for _, a := range actions {
		s.apply(a)
	}
	s.stepScheduled = false
	if len(s.pendingEvents) > 0 {
		s.scheduleStep()
	}
	s.undetected = slices.DeleteFunc(s.undetected, func(n *detection) bool {
		if !slices.ContainsFunc(n.endpoints, s.module.Out) {
			return false
		}
		f.stats.recordDetection(f.now - n.firstSentAt)
		return true
	})
	if s.appliedGeneration < s.agentGeneration {
		f.discovery.markApplied(s)
	}
}

func (s *sender) apply(a logic.Action) {
	f := s.fleet
	switch a := a.(type) {
	case logic.CallOut:
		s.startCall(a)
	case logic.Cancel:
		if m := s.messages[a.ID]; m != nil && m.call != nil && m.call.attempt == a.Attempt {
			m.call.cancel(logic.Recalled)
		}
	case logic.Refuse:
		s.endMessage(a.ID, returned)
	case logic.Fail:
		s.endMessage(a.ID, failed)
	case logic.SetTimer:
		s.timerID++
		n := s.timerID
		s.scheduleWhileUp(f.now+a.Wait, func() {
			if n == s.timerID {
				s.enqueue(logic.Due{Token: a.Token})
			}
		})
	case logic.Release:
		for _, c := range s.idleConns[a.Endpoint] {
			c.close()
		}
		delete(s.idleConns, a.Endpoint)
	}
}

// finish ends a message by the module's word.
func (s *sender) endMessage(id string, e endState) {
	if m := s.messages[id]; m != nil && !m.closed {
		s.fleet.endMessage(m.clientMessage, e)
		s.closeMessage(m)
	}
}

// drop takes a message that is over off the books, once nothing of it is out.
func (s *sender) closeMessage(m *message) {
	if !m.closed {
		m.closed = true
		s.openCount--
	}
	if m.call == nil {
		delete(s.messages, m.id)
	}
}

// list hands the process what its agent was told.
func (s *sender) applyList(l node.List) {
	began := time.Now()
	rows := s.directory.Take(l, s.wallTime())
	s.fleet.stats.listUpdateTimes.add(began)
	form := logic.ListDelta
	if l.Reset {
		form = logic.ListFull
	}
	// What is still connecting to an endpoint that takes no more is not written.
	s.abortConnecting(func(c *call) bool {
		i := slices.IndexFunc(rows, func(row logic.Entry) bool { return row.Endpoint == c.endpointID })
		return i >= 0 && rows[i].State != logic.Ready || i < 0 && l.Reset
	})
	for _, row := range rows {
		if row.State != logic.Ready {
			s.apply(logic.Release{Endpoint: row.Endpoint})
		}
	}
	s.enqueue(logic.Endpoints{Form: form, Entries: rows})
}

// hold ends calls that are still connecting as never sent.
func (s *sender) abortConnecting(match func(*call) bool) {
	for _, c := range slices.Clone(s.inFlight) {
		if !c.requestSent && match(c) {
			c.finish(logic.Moot, 0, nil)
		}
	}
}

// watch ends the watch of the list, with nothing, once its time is up, and begins the next.
func (s *sender) watchList() {
	s.watchDeadline = s.fleet.now + s.fleet.scenario.Discovery.WatchTimeout.Micros
	var look func()
	look = func() {
		if s.fleet.now >= s.watchDeadline {
			s.listBytes.Empty += s.fleet.discovery.emptyResponseSize(s.agentGeneration)
			s.watchDeadline = s.fleet.now + s.fleet.scenario.Discovery.WatchTimeout.Micros
			s.enqueue(logic.Endpoints{Form: logic.ListDelta})
		}
		s.scheduleWhileUp(s.watchDeadline, look)
	}
	s.scheduleWhileUp(s.watchDeadline, look)
}
