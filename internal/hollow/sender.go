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
	clientTimeout     = 400_000          // microseconds without an answer until a client tries another sender
	lossRedirectDelay = 2 * logic.Second // until the messages of a lost machine are submitted to other senders
	clientRetryDelay  = logic.Second     // until a client that finds no sender up tries again
)

// clientMessage is a message as its client has it.
type clientMessage struct {
	number      uint64
	createdAt   logic.Micros
	class       int
	dest        int
	submissions int // times it was submitted to a sender
	executions  int // times an endpoint has processed it
	ended       bool
}

// message is a client's message as one sender holds it, with the record of its journal.
type message struct {
	*clientMessage
	id                  string
	seq                 int // order of receipt
	deadline            logic.Micros
	closed              bool
	attempts            int
	mayHaveRun          bool
	firstMayHaveRunAt   logic.Micros
	firstMayHaveRunZone int
	call                *call // in progress, or nil
}

// detection tracks whether a sender has detected an outage that it has sent calls into.
type detection struct {
	outage      *outage
	firstSentAt logic.Micros       // time of the first call
	endpoints   []logic.EndpointID // that calls were sent to
}

// sender is one simulated sender: a machine with a discovery agent and a journal, and a process while it is up.
type sender struct {
	fleet             *fleet
	number            int
	machine           *machine
	clientRand        *rand.Rand
	failoverRand      *rand.Rand // chooses other senders for its clients while it is down
	networkRand       *rand.Rand
	spreadRand        *rand.Rand // delays of discovery's notifications
	lastSeq           int
	messages          map[string]*message // in the journal; closed ones stay while a call is in progress
	agentGeneration   int64               // list generation that the agent has
	appliedGeneration int64               // list generation that the current or last process applied
	listBytes         ListBytes
	incarnation       int // counts processes of this sender
	watchDeadline     logic.Micros

	// State of the running process.
	up            bool
	startedAt     logic.Micros
	module        *logic.Sender
	directory     *node.Directory
	pendingEvents []logic.Event
	unaccepted    []*message // new messages that the next step accepts or rejects
	inFlight      []*call
	openCount     int // messages not closed
	idleConns     map[logic.EndpointID][]*conn
	stepScheduled bool
	lastStepAt    logic.Micros
	timerID       int // of the last timer; a new timer replaces the previous one
	undetected    []*detection
	detections    map[*outage]*detection
}

func newSender(f *fleet, number int) *sender {
	zones, racks := f.scenario.Fleet.Zones, f.scenario.Fleet.RacksPerZone
	zone := number % zones
	return &sender{
		fleet:        f,
		number:       number,
		machine:      &machine{zone: zone, rack: zone*racks + number/zones%racks},
		clientRand:   newRand(f.scenario.Seed, "clients", number),
		failoverRand: newRand(f.scenario.Seed, "front", number),
		networkRand:  newRand(f.scenario.Seed, "network", number),
		spreadRand:   newRand(f.scenario.Seed, "spread", number),
		messages:     map[string]*message{},
	}
}

// start starts a process with the messages of the journal and the list that the agent has.
func (s *sender) start() {
	f := s.fleet
	settings := f.scenario.moduleSettings(s.machine.zone)
	module, err := logic.New(settings, deriveSeed(f.scenario.Seed, "module", s.number<<16+s.incarnation))
	if err != nil {
		f.fail(err)
		return
	}
	s.up, s.startedAt, s.module, s.lastStepAt = true, f.now, module, f.now-settings.Tick
	s.directory = node.NewDirectory(&node.Config{
		Deployment: wire.Deployment{Settings: settings, Zones: f.discovery.zoneNames},
	})
	s.idleConns, s.detections = map[logic.EndpointID][]*conn{}, map[*outage]*detection{}
	list := f.discovery.fullList(s.agentGeneration)
	wallStart := time.Now()
	s.pendingEvents = append(s.pendingEvents,
		logic.EndpointUpdate{Kind: logic.UpdateCached, Entries: s.directory.Apply(list, s.wallTime())})
	for _, m := range s.openMessages() {
		s.openCount++
		ev := s.messageEvent(m)
		ev.History = logic.History{Accepted: true, Attempts: m.attempts, MayHaveRun: m.mayHaveRun}
		if m.mayHaveRun {
			ev.History.Age, ev.History.Zone = f.now-m.firstMayHaveRunAt, m.firstMayHaveRunZone
		}
		s.pendingEvents = append(s.pendingEvents, ev)
	}
	f.traceEvent(traceSenderStart, s.number, s.incarnation, len(s.pendingEvents))
	s.step()
	f.stats.startTimes.add(wallStart)
	s.watchList()
}

// wallTime is the virtual time as the time.Time that the directory takes.
func (s *sender) wallTime() time.Time { return time.UnixMicro(int64(s.fleet.now)) }

// openMessages lists the open messages of the journal in order of receipt.
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

func (s *sender) messageEvent(m *message) logic.Message {
	return logic.Message{
		ID:       m.id,
		TimeLeft: m.deadline - s.fleet.now,
		Dest:     int64(m.dest),
		Tenant:   -1,
		Class:    m.class,
	}
}

// kill ends the process. If its machine was lost, endpoints keep its connections open until the idle timeout, and other
// senders receive its messages.
func (s *sender) kill(machineLost bool) {
	f := s.fleet
	f.traceEvent(traceSenderKill, s.number, s.incarnation, len(s.inFlight))
	s.incarnation++
	s.up, s.module, s.directory, s.pendingEvents, s.openCount, s.stepScheduled = false, nil, nil, nil, 0, false
	s.undetected, s.detections = nil, nil
	var conns []*conn
	for _, c := range s.inFlight {
		c.ended, c.message.call = true, nil
		c.message.mayHaveRun = true // the journal has a record of the attempt but no outcome
		if c.message.closed {
			delete(s.messages, c.message.id)
		}
		if c.conn != nil {
			conns = append(conns, c.conn)
		}
	}
	for _, idle := range s.idleConns {
		conns = append(conns, idle...)
	}
	s.inFlight, s.idleConns = nil, nil
	closeConns := func() {
		for _, c := range conns {
			c.close()
		}
	}
	unaccepted := s.unaccepted
	s.unaccepted = nil
	for _, m := range unaccepted {
		delete(s.messages, m.id)
	}
	if !machineLost {
		closeConns()
		for _, m := range unaccepted {
			f.redirect(s, m.clientMessage, 0)
		}
		return
	}
	f.scheduleAfter(f.scenario.Destinations.ConnIdleTimeout.Micros, closeConns)
	for _, m := range unaccepted {
		f.redirect(s, m.clientMessage, clientTimeout)
	}
	for _, m := range s.openMessages() {
		f.redirect(s, m.clientMessage, lossRedirectDelay)
	}
	clear(s.messages)
}

// put receives a message from a client. If the sender holds too many messages, this one is returned.
func (s *sender) put(cm *clientMessage) {
	f := s.fleet
	if limit := f.scenario.Fleet.MaxOpen; limit > 0 && s.openCount >= limit {
		f.endMessage(cm, returned)
		return
	}
	s.lastSeq++
	m := &message{
		clientMessage: cm,
		seq:           s.lastSeq,
		deadline:      cm.createdAt + f.scenario.Classes[cm.class].Deadline.Micros,
		id:            strconv.FormatUint(cm.number, 16) + "-" + strconv.Itoa(cm.submissions),
	}
	cm.submissions++
	s.messages[m.id] = m
	s.openCount++
	s.unaccepted = append(s.unaccepted, m)
	s.enqueue(s.messageEvent(m))
}

// enqueue queues an event for the next step, which runs as soon as a tick has passed since the last one.
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

// scheduleWhileUp runs do at time t, unless the process has ended by then.
func (s *sender) scheduleWhileUp(t logic.Micros, do func()) {
	incarnation := s.incarnation
	s.fleet.scheduleAt(t, func() {
		if s.up && s.incarnation == incarnation {
			do()
		}
	})
}

// step passes the queued events to the module and carries out its actions.
func (s *sender) step() {
	f := s.fleet
	events := s.pendingEvents
	s.pendingEvents, s.unaccepted, s.lastStepAt = nil, nil, f.now // this step accepts or rejects the new messages
	wallStart := time.Now()                                       // wall clock, only for the report
	actions := s.module.Step(f.now, events)
	if s.startedAt < f.now { // the first step is measured as part of the start
		f.stats.stepTimes.add(wallStart)
	}
	f.stats.Steps++
	s.stepScheduled = true // events caused by this step are left for the next one
	for _, a := range actions {
		s.apply(a)
	}
	s.stepScheduled = false
	if len(s.pendingEvents) > 0 {
		s.scheduleStep()
	}
	s.undetected = slices.DeleteFunc(s.undetected, func(d *detection) bool {
		if !slices.ContainsFunc(d.endpoints, s.module.Ejected) {
			return false
		}
		f.stats.recordDetection(f.now - d.firstSentAt)
		return true
	})
	if s.appliedGeneration < s.agentGeneration {
		f.discovery.markApplied(s)
	}
}

func (s *sender) apply(a logic.Action) {
	f := s.fleet
	switch a := a.(type) {
	case logic.Send:
		s.startCall(a)
	case logic.Cancel:
		if m := s.messages[a.ID]; m != nil && m.call != nil && m.call.attempt == a.Attempt {
			m.call.cancel(logic.Cancelled)
		}
	case logic.Reject:
		s.endMessage(a.ID, returned)
	case logic.Fail:
		s.endMessage(a.ID, failed)
	case logic.SetTimer:
		s.timerID++
		n := s.timerID
		s.scheduleWhileUp(f.now+a.Wait, func() {
			if n == s.timerID {
				s.enqueue(logic.TimerFired{Token: a.Token})
			}
		})
	case logic.ReleaseConns:
		for _, c := range s.idleConns[a.Endpoint] {
			c.close()
		}
		delete(s.idleConns, a.Endpoint)
	}
}

// endMessage ends a message as the module has decided.
func (s *sender) endMessage(id string, state endState) {
	if m := s.messages[id]; m != nil && !m.closed {
		s.fleet.endMessage(m.clientMessage, state)
		s.closeMessage(m)
	}
}

// closeMessage closes a message and removes it from the journal once no call of it is in progress.
func (s *sender) closeMessage(m *message) {
	if !m.closed {
		m.closed = true
		s.openCount--
	}
	if m.call == nil {
		delete(s.messages, m.id)
	}
}

// applyList passes the list or changes that the agent received to the process.
func (s *sender) applyList(list node.EndpointList) {
	wallStart := time.Now()
	entries := s.directory.Apply(list, s.wallTime())
	s.fleet.stats.listUpdateTimes.add(wallStart)
	kind := logic.UpdateDelta
	if list.Reset {
		kind = logic.UpdateFull
	}
	// Calls still connecting to an endpoint that accepts no more calls are aborted before the request is sent.
	s.abortConnecting(func(c *call) bool {
		i := slices.IndexFunc(entries, func(entry logic.EndpointEntry) bool {
			return entry.Endpoint == c.endpointID
		})
		return i >= 0 && entries[i].State != logic.Ready || i < 0 && list.Reset
	})
	for _, entry := range entries {
		if entry.State != logic.Ready {
			s.apply(logic.ReleaseConns{Endpoint: entry.Endpoint})
		}
	}
	s.enqueue(logic.EndpointUpdate{Kind: kind, Entries: entries})
}

// abortConnecting ends the matching calls that are still connecting; their requests were never sent.
func (s *sender) abortConnecting(match func(*call) bool) {
	for _, c := range slices.Clone(s.inFlight) {
		if !c.requestSent && match(c) {
			c.finish(logic.Skipped, 0, nil)
		}
	}
}

// watchList ends a watch of the list that has brought no changes at its timeout, and starts the next one.
func (s *sender) watchList() {
	s.watchDeadline = s.fleet.now + s.fleet.scenario.Discovery.WatchTimeout.Micros
	var checkDeadline func()
	checkDeadline = func() {
		if s.fleet.now >= s.watchDeadline {
			s.listBytes.Empty += s.fleet.discovery.emptyResponseSize(s.agentGeneration)
			s.watchDeadline = s.fleet.now + s.fleet.scenario.Discovery.WatchTimeout.Micros
			s.enqueue(logic.EndpointUpdate{Kind: logic.UpdateDelta})
		}
		s.scheduleWhileUp(s.watchDeadline, checkDeadline)
	}
	s.scheduleWhileUp(s.watchDeadline, checkDeadline)
}
