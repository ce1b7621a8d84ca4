package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// The state of a Sender, and functions that only maintain or read it. What to do is decided in logic.go.

// dest is a destination.
type dest struct {
	id           int64
	kind         int         // index of its kind in the settings
	endpoints    []*endpoint // the listed ones, in list order
	nextEndpoint int         // index in endpoints where the rotation of first attempts continues
	limiter      *limiter    // shared by its endpoints, unless its kind has separate routes
	latency      histogram   // of its calls
	lastUsedAt   Micros      // arrival of the last message for it
	arrivals     int         // messages that arrived since the last outage began
	outageSeenAt Micros      // when this sender noticed that outage
	healthStep   int         // number of the step in which its health last changed
	queuedAhead  float64     // in the current dispatch: messages of higher priority that have to wait
	messageCount int         // messages in Sender.msgs
	backlog      *backlog    // nil if no message waits
}

// limiter is the rate limit and the flow control of a destination. Where the kind has separate routes, each
// endpoint has a limiter of its own.
type limiter struct {
	limit          float64 // calls per second, all senders together; 0 if not known
	reported       bool    // limit came in a report, not from the list
	remaining      float64 // fraction of limit that was unused at the last report, 0 to 1
	pace           float64 // calls per second that this sender allows itself; 0 for no bound
	reducedAt      Micros  // when pace was last set or reduced after a refusal
	tokens         float64 // calls that may be sent now, by the pace; below 0 if more were sent
	refilledAt     Micros  // when tokens was last brought up to date
	waitUntil      Micros  // end of the longest wait that an answer requested
	inFlight       int     // calls
	refusals       int     // calls refused in a row
	firstRefusalAt Micros  // the first of these
	// sentAt and servedAt are the times of the latest calls that were sent, and of those that were answered
	// with success. Older ones are dropped.
	sentAt   []Micros
	servedAt []Micros
	peakRate float64 // most calls served within a second
	jitter   float64 // 0 to 1, drawn at each call: spaces the next one differently from those of other senders

	shortages       int    // calls refused in a row for lack of a connection
	firstShortageAt Micros // the first of these

	reportless bool // answers of success carry no load report

	servedWeight   float64 // successful calls, each weighted by its age
	servedWeightAt Micros  // when servedWeight was last brought up to date
	servedSince    Micros  // when the count of successful calls began
	share          float64 // servedRate at the start of the latest outage; 0 if no call was served before it
}

// endpoint is an endpoint that is listed, or that was removed from the list not long ago.
type endpoint struct {
	id                     EndpointID
	zone                   int
	state                  Readiness // as listed
	dest                   *dest
	limiter                *limiter // that of dest, or its own
	sentAt                 []Micros // times of the latest calls, oldest first
	failureRate            float64  // moving average, 0 to 1
	failures, refusals     int32    // in a row
	unreadable, resets     int32    // in a row: answers that cannot be read; connections refused or broken
	unanswered             int32    // calls in a row that ended without an answer
	removedAt              Micros   // when it was removed from the list
	lastOK, lastFail       Micros   // times of the last successful answer and of the last sign of an outage
	lastOKSent             Micros   // latest send time of the calls that were answered with success
	ejectedAt              Micros   // when it was last ejected
	healthyAt              Micros   // when it was last seen to be healthy while a sibling was ejected
	ejected                bool     // out of rotation as failed: gets single trials only
	cold                   bool     // after an outage: its calls are limited until upAt+WarmupTime
	upAt                   Micros   // end of the outage: when it answered again
	downAt                 Micros   // start of the outage: the last success before it, or the ejection
	trialAt, trialInterval Micros   // earliest time of the next trial; the pause before it, without jitter
	inFlight               int      // calls
	smoothedLatency        float64  // microseconds; 0 if not known
	lastSent               Micros   // when the last message was sent to it
	idleConnUntil          Micros   // until when an idle connection to it is expected to stay open
	openCall               *call    // the latest call, which other messages of the same step may join
	kind                   int      // index of its kind in the settings
	unansweredSince        Micros   // when the first of these was sent
}

// call is one call to an endpoint, which may carry several messages.
type call struct {
	number     int // unique within its step
	step       int // in which it was made
	messages   int
	bytes      int // total size of the messages
	unfinished int // messages without an outcome
}

// attempt is one attempt to deliver a message.
type attempt struct {
	msg       *msg
	number    int // from 0 on
	endpoint  *endpoint
	sentAt    Micros
	call      *call
	cancelled bool
	restarted bool // cancelled at the restart time τ, to be sent again
	stuck     bool // without an answer for so long that its endpoint was ejected
	censored  bool // counted as lasting past τ while it is in flight; no longer counted once it is delivered
	abandoned bool // its message no longer waits for it, but its call goes on

	cancelledAt Micros // if cancelled
	timeoutAt   Micros // end of its timeout where attempts cannot be cancelled; else 0
}

// msg is a message that has not ended, or of which an attempt is still in flight.
type msg struct {
	id             string
	class          *Class
	classIndex     int
	valueShare     float64 // fraction of its value that it keeps: less than 1 if its tenant is over quota
	dest           *dest
	seq            int    // order of arrival
	submitted      Micros // when the client submitted it, derived from the remaining time
	arrived        Micros // when this process received it
	newInStep      int    // step in which it arrived; 0 if it was accepted before a process restart
	deadline       Micros
	attempts       int // attempts made
	restarts       int // attempts cancelled at the restart time, or as stuck, to be sent again
	inFlight       *attempt
	abandoned      *attempt // an earlier one whose call goes on for other messages; nil if there is none
	size           int      // bytes in a call with several messages
	mayHaveRun     bool     // an attempt may have taken effect
	mayHaveRunAt   Micros   // when the first such attempt was sent; until there is one, the latest attempt
	mayHaveRunZone int      // zone of the endpoint of that attempt
	// lastEndpoint is the endpoint of the last attempt; nil if there was none since the start.
	lastEndpoint *endpoint
	retryAt      Micros    // earliest time of the next attempt
	keyQueue     *keyQueue // nil if it has no key, or its class keeps no order
	ended        bool
	streaming    bool    // its stream has begun: not cancelled or ended before the result
	priority     float64 // in the current dispatch

	// Used while the message waits.
	waitPos      int       // position in backlog.waiting, counted from 1; 0 if it does not wait
	expiresAt    [2]Micros // by byDeadline or byWindow
	expiryPos    [2]int    // positions in the expiry groups, likewise
	sampledStep  int       // step of the last sample that it was in
	sampleWeight float64   // number of waiting messages that it stands for in the current dispatch
}

// keyQueue holds the messages of one key, which are sent one after the other.
type keyQueue struct {
	messages       []*msg // in order of arrival
	cooldownUntil  Micros // no other message is sent until then, after an attempt that may still take effect
	cooldownExempt *msg   // the message of that attempt, which may be sent again
}

// countAfter counts the times after t. The times ascend.
func countAfter(times []Micros, t Micros) int {
	n := 0
	for i := len(times) - 1; i >= 0 && times[i] > t; i-- {
		n++
	}
	return n
}

// dropBefore drops the times before t, but always keeps the last one.
func dropBefore(times []Micros, t Micros) []Micros {
	i := 0
	for i < len(times)-1 && times[i] < t {
		i++
	}
	return times[i:]
}

// Sender makes the decisions for one sender. It is created by New.
type Sender struct {
	cfg            Settings
	rngSource      *rand.PCG // of rng; saved in snapshots
	rng            *rand.Rand
	now            Micros   // time of the current step
	step           int      // number of the current step
	actions        []Action // of the current step
	endpoints      map[EndpointID]*endpoint
	dests          map[int64]*dest
	destOrder      []*dest     // dests, in the order in which they became known
	removed        []*endpoint // removed from the list, but not dropped yet
	nextCleanupAt  Micros
	msgs           map[string]*msg // by id
	held           []*msg          // all that have not ended, in order of arrival, and some that have
	heldCount      int             // messages in held that have not ended
	waiting        waitIndex       // the messages that wait to be sent
	fullScanMax    int             // up to this many waiting messages are all examined in each step
	visitCount     int             // messages, attempts and destinations examined in this step
	inFlight       []*attempt
	trialsInFlight int         // slots taken by attempts at ejected endpoints, as counted in dispatch
	slotsUsed      int         // slots in use: calls in flight
	callCount      int         // calls started in this step
	justIdle       []*endpoint // whose last call ended in this step
	lastSeq        int         // of the last message
	classLatency   []histogram // by class
	tenantUsage    []tenantUsage
	keyQueues      map[string]*keyQueue
	wakeAt         Micros          // when the next step is needed
	timerAt        Micros          // when the last timer set expires; 0 if none is set
	subscribeAt    Micros          // when to request the endpoint list; never if no request is planned
	subscribeDelay Micros          // delay after the next failed request, without jitter
	listStaleUntil Micros          // until then the list may be out of date; 0 once an update has come
	stopAt         Micros          // when this sender stops; 0 if that is not planned
	logLines       int             // written so far
	manySenders    bool            // more than fewSendersMax: an idle connection of each may fill an endpoint
	refusalRate    map[int]float64 // by kind: moving average of the fraction of calls refused, 0 to 1
	scarceUntil    map[int]Micros  // by kind: until when connections to it count as scarce
	reportedLimits int             // destinations whose limit came in a report

	outOfRotationCount int     // listed endpoints that get no ordinary traffic
	changedHealth      []*dest // whose health has to be recorded at the end of the step
}

// histogram holds latencies. The weight of a sample decays with its age.
type histogram struct {
	bins      *binWeights // nil until there is a sample
	total     float64     // weight of the samples in bins
	censored  float64     // weight of the attempts of which only a lower bound is known: they lasted past τ
	updatedAt Micros
	tau       Micros // restart time τ; 0 if it is best to wait for the answer
	median    Micros
	p95       Micros
}

// binWeights holds the weight of each bin. The last bin is for latencies above all edges.
type binWeights [binCount + 1]float64

// emit adds an action to those that the step returns.
func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

// wakeBy asks for a step at t at the latest.
func (s *Sender) wakeBy(t Micros) { s.wakeAt = min(s.wakeAt, t) }

// removeEndpoint removes an endpoint that is no longer listed. Its state is kept for removedEndpointTTL,
// since it may be listed again.
func (s *Sender) removeEndpoint(e *endpoint) {
	if e.state != Removed {
		s.removed = append(s.removed, e)
	}
	s.setStatus(e, Removed, e.ejected)
	e.removedAt = s.now
	s.scheduleScan(e.dest)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(x *endpoint) bool { return x == e })
}

// siblingsOrReplaced returns the listed endpoints of d. If there is none, it returns those that were removed
// not long ago: an endpoint that joins d then replaces them, and an outage of d goes on.
func (s *Sender) siblingsOrReplaced(d *dest) (endpoints []*endpoint) {
	if len(d.endpoints) > 0 {
		return d.endpoints
	}
	for _, e := range s.removed {
		if e.dest == d && e.state == Removed {
			endpoints = append(endpoints, e)
		}
	}
	return endpoints
}

// dropUnused drops state that nothing refers to any more: endpoints that were removed from the list long ago,
// idle destinations without endpoints and messages, and empty key queues. Otherwise memory use would grow
// over the life of a process.
func (s *Sender) dropUnused() {
	if s.now < s.nextCleanupAt {
		return
	}
	s.nextCleanupAt = s.now + removedEndpointTTL/8
	s.removed = slices.DeleteFunc(s.removed, func(e *endpoint) bool {
		if e.state != Removed {
			return true // listed again
		}
		if s.now < e.removedAt+removedEndpointTTL || e.inFlight > 0 {
			return false
		}
		if s.endpoints[e.id] == e {
			delete(s.endpoints, e.id)
		}
		return true
	})
	referenced := map[*dest]bool{}
	for _, e := range s.removed {
		referenced[e.dest] = true
	}
	s.destOrder = slices.DeleteFunc(s.destOrder, func(d *dest) bool {
		if len(d.endpoints) > 0 || d.messageCount > 0 || referenced[d] || s.now < d.lastUsedAt+idleDestinationTTL {
			return false
		}
		if d.limiter.reported {
			s.reportedLimits--
		}
		delete(s.dests, d.id)
		return true
	})
	for key, q := range s.keyQueues {
		if len(q.messages) == 0 && s.now >= q.cooldownUntil {
			delete(s.keyQueues, key)
		}
	}
}

// destByID returns the destination with this id, and adds it if it is not known.
func (s *Sender) destByID(id int64) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id, limiter: &limiter{servedSince: s.now}, lastUsedAt: s.now}
		s.dests[id] = d
		s.destOrder = append(s.destOrder, d)
	}
	return d
}

// waiting returns the number of messages that wait for d.
func (d *dest) waiting() int {
	if d.backlog == nil {
		return 0
	}
	return len(d.backlog.waiting)
}

// kindOf returns the kind of a destination; the zero value if the settings do not have it.
func (s *Sender) kindOf(d *dest) DestinationKind {
	if d.kind >= 0 && d.kind < len(s.cfg.Kinds) {
		return s.cfg.Kinds[d.kind]
	}
	return DestinationKind{}
}

// valueAt returns the value of m if it is delivered at t.
func (s *Sender) valueAt(m *msg, t Micros) float64 {
	if t > m.deadline {
		return 0
	}
	c := m.class
	late := float64(t - m.submitted - c.TargetLatency)
	switch {
	case late <= 0:
		return c.Value
	case s.cfg.ExponentialDecay:
		return c.Value * max(c.LateValue, math.Exp2(-late/float64(max(c.TargetLatency, 1))))
	}
	return c.Value * (1 - (1-c.LateValue)*min(1, late/float64(max(c.Deadline-c.TargetLatency, 1))))
}

// destPace returns the pace of a destination over all its limiters; 0 if one of them has no bound.
func (s *Sender) destPace(d *dest) float64 {
	if !s.kindOf(d).SeparateRoutes {
		return d.limiter.pace
	}
	sum := 0.0
	for _, e := range d.endpoints {
		if e.limiter.pace == 0 {
			return 0
		}
		sum += e.limiter.pace
	}
	return sum
}

// binIndex returns the index of the bin for a latency.
func binIndex(t Micros) int {
	i, _ := slices.BinarySearch(binEdges[:], t)
	return i
}

// applyReport records the limit that an answer reported.
func (s *Sender) applyReport(e *endpoint, r AttemptResult) {
	load := r.Load
	switch {
	case len(load) > 0:
		e.limiter.reportless = false
	case r.Outcome == Delivered && !e.limiter.reported:
		e.limiter.reportless = true
	}
	if i := s.cfg.LoadLimitIndex; i >= 0 && i < len(load) && load[i] > 0 {
		if !e.limiter.reported && e.limiter == e.dest.limiter {
			s.reportedLimits++
		}
		e.limiter.limit, e.limiter.reported = load[i], true
		if i := s.cfg.LoadRemainingIndex; i >= 0 && i < len(load) {
			e.limiter.remaining = load[i]
		}
	}
}

// closeMessage ends a message, if it has not ended, and drops it once no attempt of it is in flight.
func (s *Sender) closeMessage(m *msg) {
	if !m.ended {
		s.releaseHeld(m)
	}
	if m.inFlight != nil || m.abandoned != nil {
		return
	}
	delete(s.msgs, m.id)
	m.dest.messageCount--
	if q := m.keyQueue; q != nil {
		i := slices.Index(q.messages, m)
		q.messages = slices.Delete(q.messages, i, i+1)
		m.keyQueue = nil
		if i == 0 && len(q.messages) > 0 && q.messages[0].waitPos > 0 {
			s.scanFirst(q.messages[0])
		}
	}
}

// finishAttempt removes an attempt that has its outcome from those in flight. It reports whether that was the
// last attempt of its call.
func (s *Sender) finishAttempt(a *attempt) bool {
	if a.abandoned {
		a.msg.abandoned = nil
	} else {
		a.msg.inFlight, a.msg.streaming = nil, false
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *attempt) bool { return x == a })
	if a.call.unfinished--; a.call.unfinished > 0 {
		return false
	}
	s.slotsUsed--
	a.endpoint.inFlight--
	a.endpoint.limiter.inFlight--
	return true
}

// recordCall records the time of a call to e, for the budget of cold endpoints and for the pace.
func (s *Sender) recordCall(e *endpoint) {
	lim := e.limiter
	cutoff := s.now - max(s.cfg.OverloadWindow, Second) - 1
	e.sentAt, lim.sentAt =
		append(dropBefore(e.sentAt, cutoff), s.now), append(dropBefore(lim.sentAt, cutoff), s.now)
	if e.cold || e.ejected {
		s.healthChanged(e.dest)
	}
}

// recordAttempt records an attempt of m at e, in the call that is open there.
func (s *Sender) recordAttempt(m *msg, e *endpoint) *attempt {
	e.openCall.messages++
	e.openCall.bytes += m.size
	e.openCall.unfinished++
	e.lastSent = s.now
	a := &attempt{msg: m, number: m.attempts, endpoint: e, sentAt: s.now, call: e.openCall}
	m.attempts++
	m.inFlight, m.lastEndpoint = a, e
	if !m.mayHaveRun {
		m.mayHaveRunAt, m.mayHaveRunZone = s.now, e.zone
	}
	s.inFlight = append(s.inFlight, a)
	if e.ejected {
		s.trialsInFlight++
	}
	s.dequeue(m)
	return a
}

// countTrials counts the attempts at ejected endpoints that a message waits for.
func (s *Sender) countTrials() (n int) {
	for _, a := range s.inFlight {
		if a.endpoint.ejected && !a.abandoned {
			n++
		}
	}
	return n
}

// seconds converts a duration to seconds.
func seconds(t Micros) float64 { return float64(t) / float64(Second) }

// acceptMessage adds a new message, or one that was accepted before a process restart.
func (s *Sender) acceptMessage(ev Message) {
	if s.msgs[ev.ID] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(s.cfg.Classes) {
		s.emit(Reject{ID: ev.ID})
		return
	}
	class := &s.cfg.Classes[ev.Class]
	s.lastSeq++
	m := &msg{id: ev.ID, class: class, classIndex: ev.Class, dest: s.destByID(ev.Dest), seq: s.lastSeq,
		size: ev.Size, arrived: s.now, deadline: s.now + ev.TimeLeft,
		submitted: min(s.now, s.now+ev.TimeLeft-class.Deadline)}
	if !ev.History.Accepted {
		m.newInStep = s.step
	}
	s.resetIfIdle(m.dest)
	m.dest.arrivals++
	m.valueShare = s.quotaFactor(ev.Tenant)
	s.msgs[m.id] = m
	m.dest.messageCount++
	s.addHeld(m)
	if class.KeepOrder && ev.OrderKey != "" {
		queue := s.keyQueues[ev.OrderKey]
		if queue == nil {
			queue = &keyQueue{}
			s.keyQueues[ev.OrderKey] = queue
		}
		queue.messages = append(queue.messages, m)
		m.keyQueue = queue
	}
	if s.restoreHistory(m, ev.History); !m.ended {
		s.enqueue(m)
	}
}

// removeUnlisted removes the endpoints that are not among the entries of a full list.
func (s *Sender) removeUnlisted(entries []EndpointEntry) {
	listed := map[EndpointID]bool{}
	for _, entry := range entries {
		listed[entry.Endpoint] = true
	}
	for _, d := range s.destOrder {
		for _, e := range slices.Clone(d.endpoints) {
			if !listed[e.id] {
				s.removeEndpoint(e)
			}
		}
	}
}

// OutOfRotation returns the number of listed endpoints that get no ordinary traffic now.
func (s *Sender) OutOfRotation() int { return s.outOfRotationCount }

// outOfRotation reports whether an endpoint is listed and gets no ordinary traffic.
func (e *endpoint) outOfRotation() bool {
	return e.state == Draining || e.state == Ready && e.ejected
}

// setStatus is the only function that changes the state of an endpoint or whether it is ejected, so that
// outOfRotationCount stays right.
func (s *Sender) setStatus(e *endpoint, state Readiness, ejected bool) {
	if e.outOfRotation() {
		s.outOfRotationCount--
	}
	if ejected != e.ejected {
		s.healthChanged(e.dest)
	}
	e.state, e.ejected = state, ejected
	if e.outOfRotation() {
		s.outOfRotationCount++
	}
}

// Ejected reports whether an endpoint is out of rotation as failed: it gets single trials only.
func (s *Sender) Ejected(id EndpointID) bool {
	e := s.endpoints[id]
	return e != nil && e.ejected
}

// heldFraction returns the number of held messages as a fraction of MaxOpen; 0 if there is no limit.
func (s *Sender) heldFraction() float64 {
	if s.cfg.MaxOpen == 0 {
		return 0
	}
	return float64(s.heldCount) / float64(s.cfg.MaxOpen)
}

// logf writes a log line for operators. The number of lines during the life of a Sender is limited.
func (s *Sender) logf(format string, args ...any) {
	if s.logLines++; s.logLines <= maxLogLines {
		s.emit(Log{fmt.Sprintf(format, args...)})
	}
}

// hasHealthySibling reports whether another endpoint of the same destination is ready and not ejected.
func (s *Sender) hasHealthySibling(e *endpoint) bool {
	for _, sibling := range e.dest.endpoints {
		if sibling != e && !sibling.ejected && sibling.state == Ready {
			return true
		}
	}
	return false
}

// cancel cancels an attempt, once, unless this is not allowed or its stream has begun.
func (s *Sender) cancel(a *attempt) {
	if !a.cancelled && s.cfg.MayCancel && !a.msg.streaming {
		a.cancelled, a.cancelledAt = true, s.now
		s.emit(Cancel{ID: a.msg.id, Attempt: a.number})
	}
}

// handleEvent passes an event to the function for its type.
func (s *Sender) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdate:
		s.applyUpdate(ev)
	case Message:
		s.acceptMessage(ev)
	case StreamStarted:
		if m := s.msgs[ev.ID]; m != nil && m.inFlight != nil && m.inFlight.number == ev.Attempt {
			m.streaming = true
		}
	case AttemptResult:
		s.handleResult(ev)
	case ClientGone:
		if m := s.msgs[ev.ID]; m != nil && !m.ended {
			s.closeMessage(m)
			if m.inFlight != nil {
				s.cancel(m.inFlight)
			}
		}
	case HealthRestored:
		s.restoreHealth(ev.Health)
	case Shutdown:
		s.stopAt = s.now + ev.TimeLeft
	case TimerFired:
		if s.now >= s.timerAt {
			s.timerAt = 0
		}
	}
}

// tenantUsage counts the messages of a tenant. The weight of a message decays with its age.
type tenantUsage struct {
	count     float64
	updatedAt Micros
}
