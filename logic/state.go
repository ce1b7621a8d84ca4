package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// State of a Sender, and helpers that only keep it. What to do with it is decided in logic.go.

// dest is a destination. Its lane is the limit that its endpoints share; routes apart have one each.
type dest struct {
	id           int64
	kind         int
	endpoints    []*endpoint // listed, in list order
	nextEndpoint int         // rotation of first sends
	limiter      *limiter
	latency      histogram
	lastUsedAt   Micros
	arrivals     int      // messages since the last outage began
	outageSeenAt Micros   // when that was seen
	queuedAhead  float64  // messages ahead in the pass at hand
	messageCount int      // not forgotten
	backlog      *backlog // nil if nothing waits
}

type limiter struct {
	limit          float64 // calls a second for all senders, as told; 0 if not
	reported       bool    // limit came in a report
	remaining      float64 // share of it that is left, as told last
	pace           float64 // 0: free
	reducedAt      Micros
	tokens         float64
	refilledAt     Micros
	waitUntil      Micros // told wait
	inFlight       int
	refusals       int // in a row
	firstRefusalAt Micros
	sentAt         []Micros
	servedAt       []Micros
	peakRate       float64 // most calls served in a second
	jitter         float64 // 0 to 1, drawn at each call: sets the next one apart from those of other senders
}

type endpoint struct {
	id                  EndpointID
	zone                int
	state               Readiness
	dest                *dest
	limiter             *limiter
	sentAt              []Micros
	failureRate         float64
	failures, refusals  int // in a row
	badAnswers, resets  int // in a row
	removedAt           Micros
	lastOK, lastFail    Micros
	lastOKSent          Micros // send of the last call that was answered
	ejectedAt           Micros // when it was last ejected
	healthyAt           Micros // when it was last seen to be well while a sibling was out
	ejected             bool   // out, as far as we know
	cold                bool   // was out; budgeted until backAt+WarmAfter
	upAt                Micros
	downAt              Micros // last answer before it was taken out, or when it began to look silent
	trialAt, trialPause Micros
	inFlight            int
	smoothedLatency     float64 // smoothed latency, microseconds
	lastSent            Micros
	idleConnUntil       Micros // an idle connection lasts until then
	openCall            *call
}

type call struct{ step, messages, unfinished int }

type attempt struct {
	msg       *msg
	number    int
	endpoint  *endpoint
	sentAt    Micros
	call      *call
	cancelled bool
	restarted bool // cancelled at τ
	stuck     bool
	censored  bool // counted as lasting past τ while it is out
}

type msg struct {
	id           string
	class        *Class
	classIndex   int
	worthShare   float64 // part of its worth that it keeps by its tenant's quota
	dest         *dest
	seq          int
	submitted    Micros // when it was first handed in
	arrived      Micros // when it came to this process
	newInStep    int    // step in which it can still be turned away at the door
	deadline     Micros
	tries        int
	restarts     int
	inFlight     *attempt
	mayRun       bool
	mayRunAt     Micros // send of the first attempt that may have run
	mayRunZone   int
	lastEndpoint *endpoint
	retryAt      Micros
	keyQueue     *keyQueue
	ended        bool
	streaming    bool
	priority     float64

	// While it waits.
	waitPos     int       // in its destination's backlog, from one on; 0 if it does not wait
	expiresAt   [2]Micros // when its time is up, by what bounds it
	expiryPos   [2]int    // places in the queues by that
	sampledStep int       // step in which it was last in a sample
	weight      float64   // for so many in the pass at hand
}

type keyQueue struct {
	messages    []*msg
	quietUntil  Micros
	quietExempt *msg
}

// since counts the marks after t.
func countAfter(marks []Micros, t Micros) int {
	n := 0
	for i := len(marks) - 1; i >= 0 && marks[i] > t; i-- {
		n++
	}
	return n
}

func dropBefore(marks []Micros, keep Micros) []Micros {
	i := 0
	for i < len(marks)-1 && marks[i] < keep {
		i++
	}
	return marks[i:]
}

// Sender decides for one sender. Make it with New.
type Sender struct {
	cfg            Settings
	rngSource      *rand.PCG // of rng
	rng            *rand.Rand
	now            Micros
	step           int
	actions        []Action
	endpoints      map[EndpointID]*endpoint
	dests          map[int64]*dest
	destOrder      []*dest     // dests, in the order in which they became known
	removed        []*endpoint // off the list, not yet forgotten
	nextCleanupAt  Micros
	msgs           map[string]*msg
	held           []*msg    // messages not over, in order of arrival, and some that are
	openCount      int       // of held, those not over
	waiting        waitIndex // those that wait
	fullScanMax    int       // waiting messages that are all looked at in each step
	visitCount     int       // messages, attempts and destinations looked at in this step
	inFlight       []*attempt
	trialsInFlight int         // slots that calls to endpoints that seem out hold, in dispatch
	busy           int         // slots in use
	justIdle       []*endpoint // whose last call ended in this step
	lastSeq        int
	classLatency   []histogram
	tenantUsage    []tenantUsage // by tenant
	keyQueues      map[string]*keyQueue
	wakeAt         Micros // when something is next to be done
	timerAt        Micros // when the last timer set goes off; 0 if none is out
	askAt          Micros // when to ask for the list; never if asked
	askGap         Micros
	listStaleUntil Micros // until when the list may be an old one; 0 once there was news of it
	stopAt         Micros // when this sender stops; 0 if it does not
	logLines       int
	largeFleet     bool            // senders
	rejectRate     map[int]float64 // by kind, share of calls turned away
	scarceUntil    map[int]Micros  // by kind, until when connections to it count as scarce
	reportedLimits int             // destinations whose limit came in a report

	outOfRotationCount int // listed endpoints that get no ordinary traffic
}

// hist is a discounted latency histogram.
type histogram struct {
	bins      *binWeights // nil until there is something to count
	total     float64
	censored  float64
	updatedAt Micros
	tau       Micros // 0: waiting is best
	median    Micros
	p95       Micros
}

// weights are those of the bins. The last one holds what lasted past every edge.
type binWeights [binCount + 1]float64

func (s *Sender) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Sender) wakeBy(t Micros) { s.wakeAt = min(s.wakeAt, t) }

func (s *Sender) removeEndpoint(e *endpoint) {
	if e.state != Gone {
		s.removed = append(s.removed, e)
	}
	s.setStatus(e, Gone, e.ejected)
	e.removedAt = s.now
	s.scheduleScan(e.dest)
	e.dest.endpoints = slices.DeleteFunc(e.dest.endpoints, func(x *endpoint) bool { return x == e })
}

// forget drops what nothing refers to any more: endpoints that have long been off the list, destinations that
// have neither endpoints nor messages, keys at rest. Else they pile up over the life of a process.
func (s *Sender) dropUnused() {
	if s.now < s.nextCleanupAt {
		return
	}
	s.nextCleanupAt = s.now + keepGone/8
	s.removed = slices.DeleteFunc(s.removed, func(e *endpoint) bool {
		if e.state != Gone {
			return true // it has come back
		}
		if s.now < e.removedAt+keepGone || e.inFlight > 0 {
			return false
		}
		if s.endpoints[e.id] == e {
			delete(s.endpoints, e.id)
		}
		return true
	})
	used := map[*dest]bool{}
	for _, e := range s.removed {
		used[e.dest] = true
	}
	s.destOrder = slices.DeleteFunc(s.destOrder, func(d *dest) bool {
		if len(d.endpoints) > 0 || d.messageCount > 0 || used[d] || s.now < d.lastUsedAt+idleAge {
			return false
		}
		if d.limiter.reported {
			s.reportedLimits--
		}
		delete(s.dests, d.id)
		return true
	})
	for key, l := range s.keyQueues {
		if len(l.messages) == 0 && s.now >= l.quietUntil {
			delete(s.keyQueues, key)
		}
	}
}

func (s *Sender) destByID(id int64) *dest {
	d := s.dests[id]
	if d == nil {
		d = &dest{id: id, limiter: &limiter{}, lastUsedAt: s.now}
		s.dests[id] = d
		s.destOrder = append(s.destOrder, d)
	}
	return d
}

// waiting is the number of messages that wait for d.
func (d *dest) waiting() int {
	if d.backlog == nil {
		return 0
	}
	return len(d.backlog.waiting)
}

func (s *Sender) kindOf(d *dest) Kind {
	if d.kind >= 0 && d.kind < len(s.cfg.Kinds) {
		return s.cfg.Kinds[d.kind]
	}
	return Kind{}
}

// value is the worth of m if it is delivered at t.
func (s *Sender) worthAt(m *msg, t Micros) float64 {
	if t > m.deadline {
		return 0
	}
	c := m.class
	late := float64(t - m.submitted - c.Aim)
	switch {
	case late <= 0:
		return c.Worth
	case s.cfg.Halves:
		return c.Worth * max(c.LateWorth, math.Exp2(-late/float64(max(c.Aim, 1))))
	}
	return c.Worth * (1 - (1-c.LateWorth)*min(1, late/float64(max(c.Deadline-c.Aim, 1))))
}

// destPace is the pace of a destination over all its lanes; 0 if one of them is free.
func (s *Sender) destPace(d *dest) float64 {
	if !s.kindOf(d).Apart {
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

func binIndex(t Micros) int {
	i, _ := slices.BinarySearch(edges[:], t)
	return i
}

// report takes the limit that an answer tells.
func (s *Sender) applyReport(e *endpoint, load []float64) {
	if i := s.cfg.ReportLimit; i >= 0 && i < len(load) && load[i] > 0 {
		if !e.limiter.reported && e.limiter == e.dest.limiter {
			s.reportedLimits++
		}
		e.limiter.limit, e.limiter.reported = load[i], true
		if i := s.cfg.ReportLeft; i >= 0 && i < len(load) {
			e.limiter.remaining = load[i]
		}
	}
}

// close forgets a message that is over, once nothing of it is out.
func (s *Sender) closeMessage(m *msg) {
	if !m.ended {
		s.releaseHeld(m)
	}
	if m.inFlight != nil {
		return
	}
	delete(s.msgs, m.id)
	m.dest.messageCount--
	if l := m.keyQueue; l != nil {
		i := slices.Index(l.messages, m)
		l.messages = slices.Delete(l.messages, i, i+1)
		m.keyQueue = nil
		if i == 0 && len(l.messages) > 0 && l.messages[0].waitPos > 0 {
			s.scanFirst(l.messages[0])
		}
	}
}

// landed takes an attempt that has its outcome off the books and reports whether its call is over with it.
func (s *Sender) finishAttempt(a *attempt) bool {
	a.msg.inFlight, a.msg.streaming = nil, false
	s.inFlight = slices.DeleteFunc(s.inFlight, func(x *attempt) bool { return x == a })
	if a.call.unfinished--; a.call.unfinished > 0 {
		return false
	}
	s.busy--
	a.endpoint.inFlight--
	a.endpoint.limiter.inFlight--
	return true
}

// joins says whether a send to e now would travel in a call that this step opens anyway.
func (s *Sender) joinsOpenCall(e *endpoint) bool {
	return e.openCall != nil && e.openCall.step == s.step && e.openCall.messages < s.kindOf(e.dest).Batch
}

// mark notes a call to e for the budget and the pace.
func (s *Sender) recordCall(e *endpoint) {
	l := e.limiter
	keep := s.now - max(s.cfg.FallWindow, Second) - 1
	e.sentAt, l.sentAt = append(dropBefore(e.sentAt, keep), s.now), append(dropBefore(l.sentAt, keep), s.now)
}

// fly books an attempt of m at e.
func (s *Sender) startAttempt(m *msg, e *endpoint) *attempt {
	e.openCall.messages++
	e.openCall.unfinished++
	e.lastSent = s.now
	a := &attempt{msg: m, number: m.tries, endpoint: e, sentAt: s.now, call: e.openCall}
	m.tries++
	m.inFlight, m.lastEndpoint = a, e
	if !m.mayRun {
		m.mayRunAt, m.mayRunZone = s.now, e.zone
	}
	s.inFlight = append(s.inFlight, a)
	if e.ejected {
		s.trialsInFlight++
	}
	s.dequeue(m)
	return a
}

// onTrial is the number of slots that calls to endpoints that seem out hold.
func (s *Sender) countTrials() (n int) {
	for _, a := range s.inFlight {
		if a.endpoint.ejected {
			n++
		}
	}
	return n
}

// seconds is a span as a number.
func seconds(t Micros) float64 { return float64(t) / float64(Second) }

// accept takes a new message into the books.
func (s *Sender) acceptMessage(c Call) {
	if s.msgs[c.ID] != nil {
		return
	}
	if c.Class < 0 || c.Class >= len(s.cfg.Classes) {
		s.emit(Refuse{ID: c.ID})
		return
	}
	class := &s.cfg.Classes[c.Class]
	s.lastSeq++
	m := &msg{id: c.ID, class: class, classIndex: c.Class, dest: s.destByID(c.Dest), seq: s.lastSeq,
		deadline: s.now + c.Left, submitted: min(s.now, s.now+c.Left-class.Deadline), arrived: s.now}
	if !c.Past.Taken {
		m.newInStep = s.step
	}
	s.ageOut(m.dest)
	m.dest.arrivals++
	m.worthShare = s.shareOf(c.Tenant)
	s.msgs[m.id] = m
	m.dest.messageCount++
	s.addHeld(m)
	if class.KeepOrder && c.Key != "" {
		line := s.keyQueues[c.Key]
		if line == nil {
			line = &keyQueue{}
			s.keyQueues[c.Key] = line
		}
		line.messages = append(line.messages, m)
		m.keyQueue = line
	}
	if s.resume(m, c.Past); !m.ended {
		s.enqueue(m)
	}
}

// keepOnly takes off the list what is not among the entries.
func (s *Sender) removeUnlisted(rows []Entry) {
	in := map[EndpointID]bool{}
	for _, row := range rows {
		in[row.Endpoint] = true
	}
	for _, d := range s.destOrder {
		for _, e := range slices.Clone(d.endpoints) {
			if !in[e.id] {
				s.removeEndpoint(e)
			}
		}
	}
}

// OutOfRotation is the number of listed endpoints that get no ordinary traffic now.
func (s *Sender) OutOfRotation() int { return s.outOfRotationCount }

// outOfRotation says whether an endpoint is listed and gets no ordinary traffic.
func (e *endpoint) outOfRotation() bool {
	return e.state == Draining || e.state == Ready && e.ejected
}

// setStatus is the one place where the state of an endpoint changes, or whether it seems out, so that the
// count is right.
func (s *Sender) setStatus(e *endpoint, state Readiness, ejected bool) {
	if e.outOfRotation() {
		s.outOfRotationCount--
	}
	e.state, e.ejected = state, ejected
	if e.outOfRotation() {
		s.outOfRotationCount++
	}
}

// Out says whether an endpoint is taken for out: single trials only go there.
func (s *Sender) Ejected(id EndpointID) bool {
	e := s.endpoints[id]
	return e != nil && e.ejected
}

// crowd is the share of the hold that is taken.
func (s *Sender) heldFraction() float64 {
	if s.cfg.MaxOpen == 0 {
		return 0
	}
	return float64(s.openCount) / float64(s.cfg.MaxOpen)
}

// log writes a line for the people on call, within the cap.
func (s *Sender) logf(format string, args ...any) {
	if s.logLines++; s.logLines <= logMost {
		s.emit(Log{fmt.Sprintf(format, args...)})
	}
}

// elsewhere says whether a sibling of e seems well.
func (s *Sender) hasHealthySibling(e *endpoint) bool {
	for _, x := range e.dest.endpoints {
		if x != e && !x.ejected && x.state == Ready {
			return true
		}
	}
	return false
}

// cancel calls an attempt off, once.
func (s *Sender) cancel(a *attempt) {
	if !a.cancelled && s.cfg.MayCancel && !a.msg.streaming {
		a.cancelled = true
		s.emit(Cancel{ID: a.msg.id, Attempt: a.number})
	}
}

// take hands an event to the section that it concerns.
func (s *Sender) handleEvent(ev Event) {
	switch ev := ev.(type) {
	case Endpoints:
		s.list(ev)
	case Call:
		s.acceptMessage(ev)
	case Started:
		if m := s.msgs[ev.ID]; m != nil && m.inFlight != nil && m.inFlight.number == ev.Attempt {
			m.streaming = true
		}
	case Reply:
		s.reply(ev)
	case ClientGone:
		if m := s.msgs[ev.ID]; m != nil && !m.ended {
			s.closeMessage(m)
			if m.inFlight != nil {
				s.cancel(m.inFlight)
			}
		}
	case Closing:
		s.stopAt = s.now + ev.Left
	case Due:
		if s.now >= s.timerAt {
			s.timerAt = 0
		}
	}
}

// usage is the discounted count of a tenant's messages.
type tenantUsage struct {
	count     float64
	updatedAt Micros
}
