package logic

// Every decision of the module, with its tables and tuned values. The interface (settings, events, actions)
// is in logic/types.go. What is marked "design" comes from the design page, what is marked "ours" is our own.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// ---- Tuned values --------------------------------------------------------------------

const (
	halfLife   = 30 * Second // design: half-life of the latency histograms
	binBase    = 2000        // ours: upper edge of the first bin, microseconds
	binRatio   = 1.25        // ours: each edge over the one before; finer bins need more samples
	binCount   = 48          // ours: the last edge lies near 70 s
	minWeight  = 4.0         // ours: samples before a histogram is believed
	tauWeight  = 12.0        // ours: samples before τ is; an early τ cuts healthy calls
	tauGain    = 0.85        // ours: ⟨t⟩ at τ must be under this part of ⟨t⟩ of waiting; noise reaches 0.9
	againTime  = Second      // ours: to call a keyed call off and send it again; a quarter of a shorter window
	maxCuts    = 2           // ours: restarts of one message; each doubles the next limit
	stuckTimes = 2.0         // ours: a call is stuck past this many times the 95th percentile ...
	stuckLeast = Second / 2  // ours: ... and this
	patience   = 2           // ours: a stuck call is called off past this many times the time that made it so
	stuckBlind = 2 * Second  // ours: where no latency is known yet

	paceFloor = 1.0        // design: calls a second
	paceSpan  = Second     // design: the span of the first pace, and between two halvings
	paceSave  = Second / 2 // ours: what an idle pace saves up; more of it meets limits in bursts
	paceCreep = 0.1        // ours: growth of the pace with each success
	paceRoom  = 0.75       // ours: part of a told limit that the floors of many senders add up to
	leastUsed = 0.3        // ours: least part in use that a report is believed to tell: it is late and noisy
	paceFree  = 4.0        // ours: a pace this many times what is sent sets nothing any more and is dropped

	badAlpha     = 0.3          // ours: weight of the newest outcome in an endpoint's share of failures
	badShare     = 0.45         // ours: failing more than this is an outage
	firstRest    = 2 * Second   // ours: many senders: least rest after a first refusal; as much by chance
	shyMost      = 8 * Second   // ours: longest mean rest of a lane, among many senders
	sendAgain    = 1.0          // ours: part of the traffic of an outage that comes again at one time
	outage       = 5 * Second   // ours: how long an outage lasted, beside the time since we saw it
	outageLeast  = 2 * Second   // ours: an endpoint that answers again within this was not out, and is not cold
	badUnsafe    = 0.2          // ours: unsafe messages keep away above this
	fullsDown    = 4            // ours: refusals in a row that look like a shut destination ...
	fullsSpan    = 1500_000     // ours: ... when they span this, more than a limit's window leaves empty
	longWait     = 2 * Second   // ours: a told wait past this is a shut destination, not a limit's window
	trialGap     = 400_000      // ours: first pause between single trials
	trialMost    = 2 * Second   // ours: and the longest
	keepGone     = 60 * Second  // ours: an endpoint off the list is remembered so long: it may come back
	idleAge      = 4 * halfLife // ours: state of a destination without traffic is dropped after this
	slowTimes    = 3.0          // ours: an endpoint this much slower than its best sibling is passed over
	slowProbe    = 4 * Second   // ours: but tried again after this
	reuse        = 5 * Second   // ours: an endpoint called less often than this shares its connections
	turnAlpha    = 0.05         // ours: weight of the newest call in a kind's share of calls turned away
	turnShy      = 0.01         // ours: share above which many senders keep no idle connection
	dearConn     = 0.04         // ours: price of a connection with each message above which none is given back
	manySenders  = 16           // ours: more than this, one idle connection each, may fill an endpoint
	resetsDown   = 3            // ours: connections that break in a row, no answer between, look like an outage
	lately       = Second       // ours: one refused connection does not, if an answer came so shortly before
	spoiltDown   = 4            // ours: spoilt answers in a row that look like an outage
	errorBackoff = 100_000      // ours: pause of a message after an error, doubled with each try
	shortFor     = 60 * Second  // ours: many senders keep no idle connection so long after one found none
	placeBackoff = 50_000       // ours: mean pause of a message that found no connection, doubled with each try
	placesDown   = 8            // ours: such refusals in a row, and no answer for fullsSpan, look like an outage

	quotaHalf  = 5 * Second // ours: half-life of a tenant's rate
	lossAhead  = Second     // ours: loss of worth within this sets who goes first
	tryFor     = 0.7        // protocol: part of its time for which a message taken on is tried
	holdHalf   = 0.7        // ours: share of the hold above which messages that the pace cannot send in time end
	holdFull   = 0.9        // ours: share of the hold above which the least worthy are refused
	fewWait    = 512        // ours: so many waiting messages are all looked at in each step ...
	part       = 64         // ours: ... of more, so many in front and in turn of a destination's
	turns      = 4          // ours: ... and so many destinations in turn, beside those where something is due
	listUnsure = 6 * Second // protocol: news of the list counts as told so long after a start at the latest
	askGap     = Second     // ours: first pause before the list is asked for again
	askMost    = 3 * Second // ours: and the longest
	askWithin  = 5_400_000  // ours: from a request in vain to the next, from start to start
	logMost    = 200        // ours: log lines in a life
	never      = Micros(math.MaxInt64)
	longAgo    = Micros(math.MinInt64 / 2)
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := check(&set); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	s := &Sender{cfg: set, rngSource: source, rng: rand.New(source), now: math.MinInt64, askAt: never,
		askGap: askGap, endpoints: map[EndpointID]*endpoint{}, dests: map[int64]*dest{}, msgs: map[string]*msg{},
		keyQueues: map[string]*keyQueue{}, rejectRate: map[int]float64{}, scarceUntil: map[int]Micros{}}
	if set.OnRequest {
		s.askAt = math.MinInt64
	}
	s.largeFleet = set.Senders > manySenders
	s.waiting, s.fullScanMax = newWaitIndex(len(set.Classes)), fewWait
	s.classLatency, s.tenantUsage = make([]histogram, len(set.Classes)), make([]tenantUsage, len(set.Tenants))
	return s, nil
}

// Step takes what happened up to now and returns what to do.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.visitCount = 0
	s.actions, s.wakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	s.subscribe()
	s.dropUnused()
	s.endHopeless()
	s.cutLong()
	s.dispatch()
	s.giveBack()
	s.arm()
	return s.actions
}

// ---- Endpoint list -------------------------------------------------------------------

func (s *Sender) list(ev Endpoints) {
	if ev.Form == ListFailed {
		// Asked in vain or subscription broken: ask again, later each time, and not when all others do. News counts
		// as told 6 s later, so what the request took counts too; the longest pause is one and a half gaps.
		gap := min(s.askGap, max(askWithin-ev.Took, 0)*2/3)
		s.askAt = s.now + Micros((0.5+s.rng.Float64())*float64(gap))
		s.askGap = min(2*s.askGap, askMost)
		return
	}
	if s.askAt == never {
		s.askGap = askGap
	}
	s.listStaleUntil = 0
	if ev.Form == ListCached {
		s.listStaleUntil = s.now + listUnsure
	}
	if ev.Form != ListDelta {
		s.removeUnlisted(ev.Entries)
	}
	for _, row := range ev.Entries {
		s.entry(row)
	}
}

func (s *Sender) entry(row Entry) {
	e := s.endpoints[row.Endpoint]
	if row.State == Gone {
		if e != nil {
			s.removeEndpoint(e)
		}
		return
	}
	d := s.destByID(row.Dest)
	d.kind = row.Kind
	s.scheduleScan(d)
	if e == nil || e.dest != d {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = &endpoint{id: row.Endpoint, dest: d, limiter: d.limiter, state: Gone}
		e.lastOK, e.lastFail, e.lastSent, e.healthyAt, e.lastOKSent = longAgo, longAgo, longAgo, longAgo, longAgo
		if s.kindOf(d).Apart {
			e.limiter = &limiter{}
		}
		s.endpoints[e.id] = e
		// A machine that joins a destination in trouble is as cold as the others: what topples it is shared.
		for _, x := range d.endpoints {
			if x.cold && e.limiter == x.limiter {
				s.setStatus(e, e.state, x.ejected)
				e.cold, e.upAt, e.trialAt, e.lastFail, e.ejectedAt = true, x.upAt, x.trialAt, x.lastFail, x.ejectedAt
				e.downAt = x.downAt
			}
		}
	}
	if e.state == Gone {
		d.endpoints = append(d.endpoints, e)
		if len(d.endpoints) > 1 {
			d.nextEndpoint = s.rng.IntN(len(d.endpoints))
		}
	}
	s.setStatus(e, row.State, e.ejected)
	e.zone = row.Zone
	if s.cfg.Weights != WeightsOff && row.Nominal > 0 && !e.limiter.reported {
		e.limiter.limit = row.Nominal
	}
}

// subscribe asks for the list where it comes only on request.
func (s *Sender) subscribe() {
	if s.askAt == never {
		return
	}
	if s.now < s.askAt {
		s.wakeBy(s.askAt)
		return
	}
	s.emit(Listen{})
	s.askAt = never
}

// ---- Queue ---------------------------------------------------------------------------

// rate orders the queue: the worth that waiting a little longer would lose, for each second of a slot.
func (s *Sender) rate(m *msg) float64 {
	u := max(s.usual(m), 10_000)
	soon := s.worthAt(m, s.now+u)
	loss := soon - s.worthAt(m, s.now+u+lossAhead)
	return m.worthShare * (loss + 0.02*soon) / (float64(u) * float64(1+m.dest.limiter.inFlight))
}

// shareOf is the part of its worth that a new message keeps: less while its tenant sends past its quota here,
// taking an even part of the quota for this sender.
func (s *Sender) shareOf(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.cfg.Tenants) || s.cfg.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	u := &s.tenantUsage[tenant]
	u.count = u.count*math.Exp2(-seconds(s.now-u.updatedAt)/seconds(quotaHalf)) + 1
	u.updatedAt = s.now
	if u.count*math.Ln2/seconds(quotaHalf) > s.cfg.Tenants[tenant].QuotaRPS/float64(s.cfg.Senders) {
		return s.cfg.OverShareWorth
	}
	return 1
}

// usual is the median served latency of m's destination, else of its class; 0 if neither is known.
func (s *Sender) usual(m *msg) Micros { return s.usualAt(m.dest, m.classIndex) }

func (s *Sender) usualAt(d *dest, class int) Micros {
	if d.latency.total >= minWeight {
		return d.latency.median
	}
	if h := &s.classLatency[class]; h.total >= minWeight {
		return h.median
	}
	return 0
}

// dispatch sends what the gate lets through, the most urgent first.
func (s *Sender) dispatch() {
	s.trialsInFlight = s.countTrials()
	q := s.candidates()
	s.visitCount += len(q) + len(s.waiting.scanned)
	for _, m := range q {
		m.priority = s.rate(m)
		m.dest.queuedAhead = 0
	}
	slices.SortFunc(q, func(a, b *msg) int { return cmp.Or(cmp.Compare(b.priority, a.priority), a.seq-b.seq) })
	for i, m := range q {
		if s.send(m) {
			continue
		}
		m.dest.queuedAhead += m.weight
		if !s.mayEnd(m) {
			continue
		}
		// What the pace cannot send in time ends now, if the hold has little room: paces and limits come back.
		p := s.destPace(m.dest)
		if p > 0 && m.dest.queuedAhead/p > seconds(m.deadline-s.now-s.usual(m)) && s.heldFraction() > holdHalf {
			s.end(m)
			continue
		}
		// A nearly full hold gives up its least worthy rather than turning new messages away unseen.
		if s.heldFraction() > holdFull && i >= len(q)-1 && !m.mayRun {
			s.end(m)
		}
	}
	s.recordScan(q, s.holdsItself)
}

// holdsItself says whether m is held back by what says nothing of other messages for its destination, and
// whether for a known time.
func (s *Sender) holdsItself(m *msg) (held, timed bool) {
	l, c := m.keyQueue, m.class
	if l != nil && l.messages[0] != m || m.mayRun && c.ByZone {
		return true, false
	}
	timed = s.now < m.retryAt || l != nil && s.now < l.quietUntil && l.quietExempt != m ||
		c.Effect == Unsafe && s.now < m.submitted+c.Aim
	return timed, timed
}

// free is the number of slots that may be taken: of all, and by trials.
func (s *Sender) free() [2]int {
	return [2]int{anySlot: max(s.cfg.Slots-s.busy, 0), trialSlot: max(s.trialsMost()-s.trialsInFlight, 0)}
}

func (s *Sender) trialsMost() int { return max(1, s.cfg.Slots*2/3) }

// mayEnd says whether m may end for want of room: at the door, but once it is taken on and has surely not run
// only when most of its time is gone. Paces come back, and a restart finds many that nothing was tried for.
func (s *Sender) mayEnd(m *msg) bool {
	return m.mayRun || m.newInStep == s.step || float64(s.now-m.arrived) >= tryFor*float64(m.deadline-m.arrived)
}

// send tries the endpoints of m's destination in rotation and reports whether one took it.
func (s *Sender) send(m *msg) bool {
	d := m.dest
	best := math.Inf(1)
	for _, e := range d.endpoints {
		if e.smoothedLatency > 0 && !e.ejected {
			best = min(best, e.smoothedLatency)
		}
	}
	var pick *endpoint
	rank := 99
	for i := range d.endpoints {
		e := d.endpoints[(d.nextEndpoint+i)%len(d.endpoints)]
		ok, at := s.gate(m, e)
		if !ok {
			s.wakeBy(at)
			d.backlog.earliestSend = min(d.backlog.earliestSend, at)
			continue
		}
		r := 0
		if !s.joinsOpenCall(e) {
			r++ // a call that leaves anyway comes first
		}
		if s.largeFleet && (s.now >= e.idleConnUntil || e.inFlight >= max(s.cfg.ConnCalls, 1)) {
			r++ // among many senders connections rarely last until the rotation comes round again
		}
		if e == m.lastEndpoint {
			r += 4 // a resend goes elsewhere where it can
		}
		if e.refusals > 1 {
			r += 2 // refuses while others may not: draining, or a route at its limit
		}
		if e.smoothedLatency > slowTimes*best && s.now < e.lastSent+slowProbe {
			r += 2
		}
		if r < rank {
			rank, pick = r, e
		}
	}
	if pick == nil {
		return false
	}
	if m.tries == 0 && rank > 0 {
		d.nextEndpoint = (slices.Index(d.endpoints, pick) + 1) % len(d.endpoints)
	}
	s.launch(m, pick)
	return true
}

func (s *Sender) launch(m *msg, e *endpoint) {
	if !s.joinsOpenCall(e) {
		e.openCall = &call{step: s.step}
		s.busy++
		e.limiter.tokens--
		e.limiter.inFlight++
		e.inFlight++
		s.recordCall(e)
		e.limiter.jitter = s.rng.Float64()
		if e.ejected {
			s.backOff(e)
		}
	}
	a, give := s.recordAttempt(m, e), m.deadline-s.now
	if t := 2 * s.stuckAfter(e.dest, m); !s.cfg.MayCancel && (m.class.Effect == Safe ||
		m.class.Effect == Keyed && s.now+t < m.mayRunAt+m.class.Window) {
		give = min(give, t) // nothing can be called off here: let it time out, if it can be sent again then
	}
	s.emit(CallOut{ID: a.msg.id, GiveUp: give, Endpoint: e.id})
	s.wakeBy(s.now + s.stuckAfter(e.dest, m) + 1) // looked at in time even if nothing else happens until then
}

// ---- Rules gate ----------------------------------------------------------------------

// gate says whether m may go to e now, and if not, when to look again. Every send of a message passes it.
func (s *Sender) gate(m *msg, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || m.ended || m.inFlight != nil: // drain; one attempt at a time
		return false, never
	case s.now < max(e.limiter.waitUntil, m.retryAt): // told wait
		return false, max(e.limiter.waitUntil, m.retryAt)
	case s.cfg.MaxTries > 0 && m.tries >= s.cfg.MaxTries:
		return false, never
	case m.deadline-s.now <= max(s.usual(m), 2*s.cfg.Tick): // median gate
		return false, never
	}
	if s.stopAt != 0 && s.now+s.lasts(m, e) > s.stopAt { // it stays in the journal for the next start
		return false, never
	}
	if l := m.keyQueue; l != nil { // order of its key
		if l.messages[0] != m {
			return false, never
		}
		if s.now < l.quietUntil && l.quietExempt != m {
			return false, l.quietUntil
		}
	}
	if m.mayRun { // effect
		c := m.class
		switch {
		case c.Effect == Unsafe:
			return false, never
		case c.Effect == Keyed && (c.ByZone && e.zone != m.mayRunZone ||
			s.now > m.mayRunAt+c.Window-s.cfg.Tick):
			return false, never
		}
	}
	if s.joinsOpenCall(e) {
		return true, 0
	}
	if s.busy >= s.cfg.Slots || e.limiter.inFlight >= (s.cfg.Slots+1)/2 { // slots
		return false, never
	}
	if at := s.health(m, e); at > s.now {
		return false, at
	}
	if at := s.slowStart(e); at > s.now {
		return false, at
	}
	if at := s.paced(e.limiter); at > s.now {
		return false, at
	}
	return true, 0
}

// lasts is the time that an attempt needs before this sender stops. One that is cut off by the stop is resent
// if its class allows it, but an unsafe one is lost.
func (s *Sender) lasts(m *msg, e *endpoint) Micros {
	if h := &e.dest.latency; m.class.Effect != Unsafe && h.total >= minWeight {
		return h.p95
	}
	return s.stuckAfter(e.dest, m)
}

// health holds messages back from an endpoint that seems out: single trials only, unsafe messages last.
func (s *Sender) health(m *msg, e *endpoint) Micros {
	if e.ejected {
		switch {
		case e.inFlight > 0 || s.trialsInFlight >= s.trialsMost():
			return never
		case m.class.Effect == Unsafe && s.now < m.submitted+m.class.Aim:
			return m.submitted + m.class.Aim
		}
		return e.trialAt
	}
	if m.class.Effect == Unsafe && e.failureRate > badUnsafe && s.now < m.submitted+m.class.Aim {
		return m.submitted + m.class.Aim
	}
	// Outages mostly take all endpoints: after one has failed, the others are tried singly until they answer.
	if e.inFlight > 0 && e.limiter == e.dest.limiter {
		for _, x := range e.dest.endpoints {
			if x.ejected && x.lastFail > e.lastOK && !s.mayBeGone(x) {
				return never
			}
		}
	}
	return 0
}

// mayBeGone says whether x, which seems out, may just have gone: it has not answered yet, and the list is
// still that of the start, which may be old. That says nothing of its siblings.
func (s *Sender) mayBeGone(x *endpoint) bool { return s.now < s.listStaleUntil && x.lastOK == longAgo }

// slowStart keeps what goes to a destination after an outage under this sender's share of what topples it.
// The endpoints of a lane that are cold share one budget: the lane falls over as a whole.
func (s *Sender) slowStart(e *endpoint) Micros {
	if e.cold && !e.ejected && s.now >= e.upAt+s.cfg.WarmAfter {
		e.cold = false
	}
	if e.ejected && s.now < e.downAt+outageLeast {
		return 0 // a trial so soon cannot meet the return from an outage
	}
	if !e.cold && !slices.ContainsFunc(e.dest.endpoints, func(x *endpoint) bool {
		// e was not seen to answer while x was out
		return x.cold && x.limiter == e.limiter && x.ejectedAt >= e.healthyAt && !s.mayBeGone(x)
	}) {
		return 0
	}
	// What went there before the outage is no burden on what comes back: counted, it would hold up the first
	// trial, and with it the return, for a whole window.
	guess := e.limiter.limit == 0 && s.cfg.Senders > 1 // capacity goes by what this sender alone saw
	up, cold, last, long, from := 1.0, 0, []Micros(nil), s.cfg.FallWindow, s.now
	for _, x := range e.dest.endpoints {
		if x.cold && x.limiter == e.limiter {
			from = min(from, x.downAt)
		}
	}
	for _, x := range e.dest.endpoints {
		if (x.cold || x == e) && x.limiter == e.limiter {
			cold++
			last = append(last, x.sentAt[len(x.sentAt)-countAfter(x.sentAt, from):]...)
			if x.ejected {
				up = min(up, 0)
			} else if x.cold {
				t, w := seconds(s.now-x.upAt), seconds(long)
				switch { // what counts is what x could do in the window, on average; a guess errs further
				case guess:
				case t < w:
					t *= t / (2 * w)
				default:
					t -= w / 2
				}
				up = min(up, t/seconds(s.cfg.WarmAfter))
			}
		}
	}
	c := s.capacity(e) * float64(max(cold, 1))
	k := s.cfg.FallMultiple * (s.cfg.ColdFrom + (1-s.cfg.ColdFrom)*up) * seconds(long)
	n := float64(s.cfg.Senders)
	if guess && !s.largeFleet {
		n = 2 // the best second of one of a few is about twice its part of the traffic
	}
	most := k * c / n
	slices.Sort(last)
	if most < 1 {
		// Many senders: our share is that of our messages among all since the outage began, which add up however
		// many saw it; and one call goes in a longer span, at a time of our own.
		own := sendAgain * float64(e.dest.arrivals) / seconds(s.now-e.dest.outageSeenAt+outage)
		if e.limiter != e.dest.limiter {
			own /= float64(len(e.dest.endpoints))
		}
		most = max(most, k*min(own, c/2))
		long = Micros(float64(long) / min(most, 1))
		at := max(e.limiter.waitUntil, e.dest.outageSeenAt)
		if n := len(last); n > 0 {
			at = max(at, last[n-1]+long/2)
		}
		if most < 1 {
			return at + Micros(e.limiter.jitter*float64(long))
		}
	}
	if n := countAfter(last, s.now-long); float64(n+1) > most {
		return last[len(last)-n] + long + 1
	}
	return 0
}

// serve notes a call that a lane has served: its best second is the least that it can do. Calls sent say
// nothing of that: those that a cold lane turns away come again at once, and would widen its budget.
func (s *Sender) serve(l *limiter) {
	l.servedAt = append(dropBefore(l.servedAt, s.now-Second), s.now)
	l.peakRate = max(l.peakRate, float64(countAfter(l.servedAt, s.now-Second)))
}

// capacity is a low guess of the calls a second that an endpoint takes.
func (s *Sender) capacity(e *endpoint) float64 {
	c := e.limiter.limit
	if c == 0 {
		c = max(e.limiter.peakRate, paceFloor)
	} else if s.cfg.Weights == WeightsRough && !e.limiter.reported {
		c /= 1.5
	}
	if e.limiter == e.dest.limiter {
		c /= float64(max(len(e.dest.endpoints), 1))
	}
	return c
}

// ---- Pace ----------------------------------------------------------------------------

// paced says when the lane may take its next call. A limit that is told bounds the pace from the start; where
// reports tell what is left of it, each of many senders takes its even share of the limit over the part in
// use: were all to send so, it would be just used up. To wait for refusals is too late: they count, so that a
// clump that many senders send at once has all of the next seconds refused.
func (s *Sender) paced(l *limiter) Micros {
	r := l.pace
	if l.limit > 0 {
		lim := l.limit
		if s.largeFleet && l.reported && s.cfg.ReportLeft >= 0 {
			lim = max(lim/float64(s.cfg.Senders)/max(1-l.remaining, leastUsed), 1/seconds(shyMost))
		}
		if s.cfg.Weights == WeightsRough && !l.reported {
			lim *= 1.5
		}
		if r == 0 || r > lim {
			r = lim
		}
	}
	if r == 0 {
		return 0
	}
	// What went while the lane was free is owed, but for no more than a second.
	l.tokens = max(l.tokens+r*seconds(s.now-l.refilledAt), -r*seconds(paceSpan))
	l.tokens = min(l.tokens, max(1, r*seconds(paceSave)))
	l.refilledAt = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-l.tokens)/r*float64(Second)) + 1
}

// refused slows a lane down: the pace starts at the last second's rate and is halved at most once a second.
func (s *Sender) refused(l *limiter) {
	if s.now < l.reducedAt+paceSpan && l.pace > 0 {
		return
	}
	switch f := s.floor(l); {
	case f < paceFloor && s.largeFleet: // our part of the limit is known: no need to feel for it
		l.pace = max(f, 1/seconds(shyMost))
	case l.pace == 0:
		l.pace = max(f, float64(countAfter(l.sentAt, s.now-paceSpan)))
	default:
		l.pace = max(f, l.pace/2)
	}
	l.reducedAt = s.now
	s.paced(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if s.largeFleet && l.limit == 0 && l.refusals == 0 && countAfter(l.servedAt, s.now-lately) == 0 {
		// It may be shut: what comes back must not meet all that were refused once in its last seconds.
		l.tokens = min(l.tokens, 1-l.pace*seconds(firstRest+Micros(s.rng.Float64()*float64(firstRest))))
	}
	if l.waitUntil > s.now {
		l.refilledAt, l.tokens = l.waitUntil, l.tokens+0.5
	}
}

// floor is one call a second, but no more than an even share of a limit that is told: at a destination that
// counts refused calls, floors alone would use it up. Those of many senders leave room for that to end.
func (s *Sender) floor(l *limiter) float64 {
	if l.limit == 0 {
		return paceFloor
	}
	share := l.limit / float64(s.cfg.Senders)
	if s.largeFleet {
		share *= paceRoom
	}
	return min(paceFloor, share)
}

func (s *Sender) creep(l *limiter) {
	if l.pace == 0 {
		return
	}
	l.pace += paceCreep * max(l.pace, l.limit/float64(s.cfg.Senders))
	if l.pace > paceFree*float64(countAfter(l.sentAt, s.now-paceSpan)+1) {
		l.pace = 0
	}
}

// ---- Restart time τ ------------------------------------------------------------------

var edges = func() (e [binCount]Micros) {
	x := float64(binBase)
	for i := range e {
		e[i] = Micros(x)
		x *= binRatio
	}
	return e
}()

func (h *histogram) add(now, took Micros, cut bool) {
	if h.bins == nil {
		h.bins = new(binWeights)
	}
	f := math.Exp2(-float64(now-h.updatedAt) / float64(halfLife))
	h.updatedAt = now
	for i := range h.bins {
		h.bins[i] *= f
	}
	h.total, h.censored = h.total*f, h.censored*f
	if cut {
		h.censored++
	} else {
		h.bins[binIndex(took)]++
		h.total++
	}
	h.update()
}

// update finds τ, the edge with the least mean time to an answer under unlimited restarts, and percentiles.
func (h *histogram) update() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.censored, 0)
	var m0, m1 float64
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range edges {
		low := Micros(0)
		if i > 0 {
			low = edges[i-1]
		}
		m0 += h.bins[i]
		m1 += h.bins[i] * float64(low+edge) / 2
		if h.median == 0 && m0 >= h.total/2 {
			h.median = edge
		}
		if h.p95 == 0 && m0 >= 0.95*h.total {
			h.p95 = edge
		}
		if m0 == 0 {
			continue
		}
		p := m0 / all
		wait = (m1/all + float64(edge)*(1-p)) / p
		if wait < best {
			best, bestAt = wait, edge
		}
	}
	if h.total >= tauWeight && best < tauGain*wait {
		h.tau = bestAt
	}
}

// stuckAfter is the time after which an unanswered call speaks for an outage.
func (s *Sender) stuckAfter(d *dest, m *msg) Micros {
	h := &d.latency
	if h.total < minWeight {
		h = &s.classLatency[m.classIndex]
	}
	if h.total < minWeight {
		return stuckBlind
	}
	return max(Micros(stuckTimes*float64(h.p95)), 3*h.median, stuckLeast)
}

// cutLong calls off attempts at τ, and those that hang at an endpoint that answers nothing.
func (s *Sender) cutLong() {
	var oldest *attempt
	s.visitCount += len(s.inFlight)
	for _, a := range s.inFlight {
		if a.cancelled || a.msg.streaming {
			continue
		}
		e, age := a.endpoint, s.now-a.sentAt
		stuck := s.stuckAfter(e.dest, a.msg)
		if !a.stuck && e.lastOK < a.sentAt {
			if a.stuck = age > stuck; a.stuck {
				// No outcome yet, so nothing is known to have failed: hold back, but set no budget.
				s.eject(e, "silent")
			}
		}
		if !a.censored && age > patience*stuck {
			// Ours: a call still out past what is usual counts as lasting past τ until it answers. Else lost
			// answers, with all others quick, never show in the histogram and hold slots to their deadline.
			a.censored = true
			e.dest.latency.add(s.now, age, true)
			s.classLatency[a.msg.classIndex].add(s.now, age, true)
			s.latencyChanged(e.dest)
		}
		if age <= patience*stuck {
			s.wakeBy(a.sentAt + 1 + stuck*Micros(1+min(age/max(stuck, 1), patience-1)))
		}
		if a.msg.ended || !s.cfg.MayCancel {
			continue
		}
		if s.lastTry(a.msg) {
			if age > patience*stuck && (oldest == nil || a.sentAt < oldest.sentAt) {
				oldest = a
			}
			continue
		}
		long := stuck << a.msg.restarts
		if a.stuck && e.ejected && (age > patience*long || age > long && s.hasHealthySibling(e)) {
			a.msg.restarts = min(a.msg.restarts+1, maxCuts)
			s.cancel(a)
			continue
		}
		h := &e.dest.latency
		if h.total < tauWeight {
			h = &s.classLatency[a.msg.classIndex]
		}
		if h.tau > 0 && s.mayRestart(a) {
			limit := max(h.tau<<a.msg.restarts, long)
			if age > limit {
				a.restarted = true
				a.msg.restarts++
				s.cancel(a)
			} else {
				s.wakeBy(a.sentAt + limit + 1)
			}
		}
	}
	// What cannot be sent again may wait; but not with the last slot, while others could go.
	if oldest != nil && s.busy >= s.cfg.Slots && s.cfg.Slots > 0 && s.waiting.count > oldest.msg.dest.waiting() {
		s.cancel(oldest)
	}
}

// lastTry says whether a call that is out is the last that m may have: called off it fails, left it may be
// answered.
func (s *Sender) lastTry(m *msg) bool {
	c := m.class
	return c.Effect == Unsafe || c.Effect == Keyed && s.now > m.mayRunAt+c.Window-min(againTime, c.Window/4)
}

// mayRestart: a restart must have attempts and time left, and must not add to the load of a destination that
// refuses or recovers, unless the call holds one of the last slots.
func (s *Sender) mayRestart(a *attempt) bool {
	m, e := a.msg, a.endpoint
	if m.restarts >= maxCuts || s.cfg.MaxTries > 0 && m.tries >= s.cfg.MaxTries {
		return false
	}
	if s.busy < s.cfg.Slots && (e.limiter.pace > 0 || e.cold) {
		return false
	}
	return m.deadline-s.now > 2*max(s.usual(m), e.dest.latency.tau)
}

// ---- Outcomes ------------------------------------------------------------------------

func (s *Sender) reply(r Reply) {
	m := s.msgs[r.ID]
	if m == nil || m.inFlight == nil || m.inFlight.number != r.Attempt {
		return
	}
	a, e := m.inFlight, m.inFlight.endpoint
	lastOfCall := s.finishAttempt(a)
	x, crowded := s.rejectRate[e.dest.kind]*(1-turnAlpha), s.crowded(r)
	switch {
	case crowded:
		s.scarceUntil[e.dest.kind] = s.now + shortFor
	case r.Outcome == Full && !s.reports():
		x += turnAlpha
	}
	s.rejectRate[e.dest.kind] = x
	s.applyReport(e, r.Load)
	if r.Outcome == Completed || r.Outcome == Full || r.Outcome == Errored {
		e.resets = 0
	}
	if r.Outcome == Unsent {
		m.tries--
	}
	if r.Outcome != Full && r.Outcome != RefusedConn && r.Outcome != Moot && r.Outcome != Unsent {
		m.mayRun = true
	}
	if r.Wait > 0 { // it binds with any outcome: the answer to a batch may tell one and have taken some on
		e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+r.Wait)
	}
	if m.keyQueue != nil && (r.Outcome == Overdue || r.Outcome == Severed || r.Outcome == Recalled) {
		m.keyQueue.quietUntil, m.keyQueue.quietExempt = max(m.keyQueue.quietUntil, s.now+s.cfg.KeyQuiet), m
	}
	switch r.Outcome {
	case Completed:
		for _, h := range []*histogram{&e.dest.latency, &s.classLatency[m.classIndex]} {
			if a.censored {
				h.censored--
			}
			h.add(s.now, r.Took, false)
		}
		e.smoothedLatency += badAlpha * (float64(r.Took) - e.smoothedLatency)
		if e.smoothedLatency == 0 {
			e.smoothedLatency = float64(r.Took)
		}
		s.succeeded(e, a.sentAt)
		if lastOfCall { // the pace and the capacity count calls
			s.serve(e.limiter)
			s.creep(e.limiter)
		}
	case Full:
		if crowded {
			m.retryAt = s.now + Micros((0.5+s.rng.Float64())*float64(Micros(placeBackoff)<<min(m.tries-1, 5)))
			if lastOfCall {
				s.noPlace(e)
			}
			break
		}
		if lastOfCall { // a batch is one call: one refusal
			s.full(e, r.Wait)
		}
	case Recalled, Overdue:
		if a.restarted {
			if !a.censored {
				e.dest.latency.add(s.now, s.now-a.sentAt, true)
			}
			e.smoothedLatency += badAlpha * max(0, float64(s.now-a.sentAt)-e.smoothedLatency)
		} else if a.stuck && e.lastOK < a.sentAt {
			s.failed(e, "silent")
		}
	case Severed:
		m.retryAt = s.now + errorBackoff
	case Errored:
		m.retryAt = s.now + errorBackoff<<min(m.tries, 5)
	}
	if lastOfCall { // a batch is one call: one sign
		s.sign(e, r.Outcome)
		if e.ejected && r.Outcome != Moot && r.Outcome != Unsent {
			s.vouch(e, a.sentAt)
		}
	}
	e.idleConnUntil = s.now + s.cfg.ConnIdle
	if s.largeFleet && e.inFlight == 0 {
		s.justIdle = append(s.justIdle, e)
	}
	s.latencyChanged(e.dest)
	s.scheduleScan(e.dest)
	if r.NoMore || m.ended {
		s.closeMessage(m)
		return
	}
	if s.endIfStuck(m); !m.ended {
		s.enqueue(m)
	}
}

// giveBack releases the connections that nothing needs now. Those of many senders, idle ones counted, fill
// an endpoint: each keeps one, and who comes later is turned away. Where a kind turns calls away none stays;
// else only those that we use rarely are given back, unless new ones are dear.
func (s *Sender) giveBack() {
	for _, e := range s.justIdle {
		n := len(e.sentAt)
		rare := s.cfg.ConnPrice < dearConn && (n < 2 || s.now-e.sentAt[n-2] > reuse)
		if e.inFlight == 0 && (rare || s.rejectRate[e.dest.kind] > turnShy || s.now < s.scarceUntil[e.dest.kind]) {
			e.idleConnUntil = s.now
			s.emit(Release{e.id})
		}
	}
	s.justIdle = s.justIdle[:0]
}

// sign notes what the end of a call at e says of an outage there.
func (s *Sender) sign(e *endpoint, o Outcome) {
	switch o {
	case Spoilt: // from any endpoint alike, so it tells nothing of health unless nothing else comes
		if e.badAnswers++; e.badAnswers >= spoiltDown {
			s.failed(e, "spoilt answers")
		}
	case RefusedConn:
		if e.resets++; e.resets > 1 || e.lastOK < s.now-lately {
			s.failed(e, "refuses connections")
		}
	case Severed:
		// A connection that breaks may be at fault itself: one that was kept too long, a box in between. An
		// endpoint that is down breaks all, and takes no new ones.
		if e.resets++; e.resets >= resetsDown || e.ejected {
			s.failed(e, "resets")
		}
	case Errored:
		s.failed(e, "errors")
	}
}

// succeeded notes an answer to what was sent at a time. One sent before the last failure tells nothing of a
// return: else a call that was under way when a destination shut would end the watch before it opens.
func (s *Sender) succeeded(e *endpoint, sent Micros) {
	if e.ejected && sent < e.lastFail {
		return
	}
	if e.ejected { // one that was silent for long comes back as cold as one that was seen to fail
		s.logf("endpoint %d answers again", e.id)
		s.setStatus(e, e.state, false)
		e.upAt, e.trialPause = s.now, 0
		e.cold = sent >= e.downAt+outageLeast || e.cold && e.failureRate*(1-badAlpha) > badShare
	}
	e.lastOKSent = max(e.lastOKSent, sent)
	e.lastOK = s.now
	e.failures, e.refusals, e.badAnswers, e.limiter.refusals = 0, 0, 0, 0
	e.failureRate *= 1 - badAlpha
}

// vouch notes which siblings of x are well by themselves: a call that was sent to x at a time has failed, and
// they answered one that was sent since x was out and before that. An answer alone may come of the return of
// all, with x not tried since.
func (s *Sender) vouch(x *endpoint, sent Micros) {
	for _, e := range x.dest.endpoints {
		if e != x && e.limiter == x.limiter && e.lastOKSent > x.ejectedAt && e.lastOKSent < sent {
			e.healthyAt = s.now
		}
	}
}

// failed notes a sign of an outage at e: an error, a reset, no connection or no answer.
func (s *Sender) failed(e *endpoint, how string) {
	e.failures++
	e.lastFail = s.now
	e.failureRate += badAlpha * (1 - e.failureRate)
	if e.failures >= 2 || e.failureRate > badShare || how != "errors" {
		s.ejectCold(e, how)
	}
}

// full notes a refusal; refusals in a row over longer than a limit's window, or a long told wait, mean shut.
// Many senders come too rarely to tell by four: those that were refused twice would topple what opens again.
func (s *Sender) full(e *endpoint, wait Micros) {
	s.refused(e.limiter)
	e.refusals++
	l := e.limiter
	if l.refusals++; l.refusals == 1 {
		l.firstRefusalAt = s.now
	}
	if e.ejected || wait > longWait || (l.refusals >= fullsDown || s.largeFleet && l.refusals > 1) &&
		s.now-l.firstRefusalAt > fullsSpan {
		e.lastFail = s.now
		s.ejectCold(e, "refuses all")
	}
}

// crowded says whether a call was turned away for want of a connection. Where answers carry reports such a
// refusal has none: it comes before anything that knows of limits.
func (s *Sender) crowded(r Reply) bool {
	return r.Outcome == Full && r.Wait == 0 && len(r.Load) == 0 && s.reports()
}

// reports says whether answers here carry reports.
func (s *Sender) reports() bool { return s.reportedLimits > 0 }

// noPlace notes a call for which e had no connection. It says nothing of a limit, and many in a row mean no
// more than that others hold the places, unless nothing else has come from e for long.
func (s *Sender) noPlace(e *endpoint) {
	if e.refusals++; e.ejected || e.refusals >= placesDown && s.now-e.lastOK > fullsSpan {
		e.lastFail = s.now
		s.ejectCold(e, "has no connection")
	}
}

// ejectCold ejects an endpoint that has failed: after its return there is a budget.
func (s *Sender) ejectCold(e *endpoint, how string) {
	s.eject(e, how)
	if !e.cold {
		e.cold, e.downAt = true, e.lastOK
		e.dest.arrivals, e.dest.outageSeenAt = 1, s.now
	}
}

// eject takes an endpoint out of rotation (outlier ejection): from now on single trials.
func (s *Sender) eject(e *endpoint, how string) {
	if !e.ejected {
		s.logf("endpoint %d out: %s", e.id, how)
		e.ejectedAt = s.now
		s.setStatus(e, e.state, true)
		e.trialPause, e.trialAt = trialGap, s.now+trialGap
		if !e.cold {
			e.downAt = s.now
		}
	}
}

func (s *Sender) backOff(e *endpoint) {
	e.trialPause = min(2*max(e.trialPause, trialGap), trialMost)
	e.trialAt = s.now + e.trialPause*Micros(80+s.rng.IntN(40))/100
}

// ---- Endings -------------------------------------------------------------------------

// end is the one place where a message ends by our word: refused if no attempt may have run, else failed.
func (s *Sender) end(m *msg) {
	if m.ended {
		return
	}
	if m.mayRun || m.inFlight != nil {
		s.emit(Fail{ID: m.id})
		if m.inFlight != nil {
			s.cancel(m.inFlight)
		}
	} else {
		s.emit(Refuse{ID: m.id, RetryIn: s.advice()})
	}
	s.closeMessage(m)
}

// advice tells a client when to come again: as late as it heeds, since what turned it away lasts.
func (s *Sender) advice() Micros {
	if !s.cfg.RetryAfter {
		return 0
	}
	return s.cfg.MaxRetryAfter
}

// resume takes up a message where a restart cut it off: its attempts count, and one without an outcome may
// have run. What may not be sent again ends at once.
func (s *Sender) resume(m *msg, p Past) {
	if p.Tries == 0 {
		return
	}
	m.tries = p.Tries
	if m.mayRun = p.MayRun; m.mayRun {
		m.mayRunAt, m.mayRunZone = s.now-p.Age, p.Zone
	}
	s.endIfStuck(m)
}

// endIfStuck ends a message that no further attempt can help.
func (s *Sender) endIfStuck(m *msg) {
	c := m.class
	switch {
	case m.inFlight != nil || m.ended:
	case m.mayRun && c.Effect == Unsafe,
		s.cfg.MaxTries > 0 && m.tries >= s.cfg.MaxTries,
		m.mayRun && c.Effect == Keyed && s.now > m.mayRunAt+c.Window-s.cfg.Tick:
		s.end(m)
	}
}

// endHopeless ends messages whose time is nearly up: unsent ones at a usual call's time before the deadline.
func (s *Sender) endHopeless() {
	var q []*msg
	for i := range s.waiting.expiryQueues {
		for x := &s.waiting.expiryQueues[i]; len(x.items) > 0; s.visitCount++ {
			g := x.items[0]
			m := g.messages.items[0]
			if at := m.expiresAt[g.bound] - s.need(g); at > s.now {
				s.wakeBy(at)
				break
			}
			s.dequeue(m)
			q = append(q, m)
		}
	}
	s.visitCount += len(s.inFlight)
	for _, a := range s.inFlight {
		if a.msg.streaming || a.msg.ended {
			continue
		}
		if at := a.msg.deadline - s.lastMoment(); at > s.now {
			s.wakeBy(at)
		} else {
			q = append(q, a.msg)
		}
	}
	slices.SortFunc(q, func(a, b *msg) int { return a.seq - b.seq })
	for _, m := range q {
		s.end(m)
	}
}

// need is the time that a message has to have left to be worth sending. Within its window it has to be sent,
// not answered.
func (s *Sender) need(g *expiryGroup) Micros {
	if g.bound == byWindow {
		return s.lastMoment()
	}
	return max(s.lastMoment(), s.usualAt(g.dest, g.class))
}

// lastMoment is the time before its deadline at which a message ends in any case.
func (s *Sender) lastMoment() Micros { return 2 * max(s.cfg.Tick, 1000) }

// ---- Timers and age ------------------------------------------------------------------

// ageOut drops the state of a destination that was long idle, once a message for it comes.
func (s *Sender) ageOut(d *dest) {
	if s.now-d.lastUsedAt > idleAge && d.limiter.inFlight == 0 {
		d.latency, d.limiter.pace = histogram{}, 0
		s.latencyChanged(d)
	}
	d.lastUsedAt = s.now
}

// arm sets a timer for the next thing to be done, unless one that goes off by then is out.
func (s *Sender) arm() {
	if s.wakeAt == never {
		return
	}
	s.wakeAt = max(s.wakeAt, s.now+max(s.cfg.Tick, 1000))
	if s.timerAt > s.now && s.timerAt <= s.wakeAt {
		return
	}
	s.timerAt = s.wakeAt
	s.emit(SetTimer{Wait: s.wakeAt - s.now, Token: uint64(s.step)})
}
