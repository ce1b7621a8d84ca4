package logic

// All decisions of the package, with their constants. The interface (settings, events, actions) is in
// logic/types.go.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// ---- Constants -----------------------------------------------------------------------

const (
	// Latency histograms, restart times and stuck calls.
	latencyHalfLife   = 30 * Second // half-life of the samples
	firstBinEdge      = 2000        // upper edge of the first bin, microseconds
	binGrowth         = 1.25        // ratio of successive edges; finer bins need more samples
	binCount          = 48          // the last edge lies near 70 s
	minSamples        = 4.0         // samples needed before a histogram is used
	minRestartSamples = 12.0        // samples needed before τ is used; an early τ cancels healthy calls
	maxRestartCost    = 0.85        // highest mean answer time with τ, relative to without; noise reaches 0.9
	resendMargin      = Second      // time to cancel a keyed call and resend it; a quarter of a shorter window
	maxRestarts       = 2           // restarts of one message; each doubles the next limit
	stuckP95Factor    = 2.0         // a call is stuck after this multiple of the 95th percentile ...
	minStuckTime      = Second / 2  // ... but not before this time
	stuckCancelFactor = 2           // a stuck call is cancelled after this multiple of the stuck time
	defaultStuckTime  = 2 * Second  // stuck time while no latency is known

	// Pace of calls through a limiter.
	minPace        = 1.0        // lowest pace, calls per second
	paceInterval   = Second     // interval that sets the first pace, and least time between two halvings
	burstTime      = Second / 2 // most tokens saved while idle, as time; more would exceed limits in bursts
	paceGrowth     = 0.1        // relative growth of the pace with each success
	limitHeadroom  = 0.75       // fraction of a reported limit that the pace floors of many senders add up to
	minUsedShare   = 0.3        // least used share of a limit to assume; reports are late and noisy
	paceDropFactor = 4.0        // a pace this many times above the actual rate has no effect and is dropped

	// Outages, trials, endpoint selection and connections.
	failureAlpha       = 0.3         // weight of the newest outcome in an endpoint's failure rate
	outageFailureRate  = 0.45        // failure rate above which an endpoint is ejected
	minFirstPause      = 2 * Second  // many senders: least pause after a first refusal; jitter adds as much
	maxMeanPause       = 8 * Second  // many senders: longest mean pause between calls of a limiter
	outageResendFactor = 1.0         // part of the messages of an outage that is resent at the same time
	assumedOutage      = 5 * Second  // assumed length of an outage before this sender noticed it
	servedHalfLife     = 10 * Second // half-life of the count that gives the rate of successful calls
	minServedTime      = 5 * Second  // least time over which that rate is a mean
	minOutage          = 2 * Second  // an endpoint that answers again sooner had no outage and is not cold

	nonIdempotentFailureRate = 0.2        // failure rate above which unsafe messages avoid an endpoint
	outageRefusals           = 4          // refusals in a row that count as an outage ...
	outageRefusalSpan        = 1500_000   // ... if they span this time, more than a used-up limit window lasts
	outageRetryAfter         = 2 * Second // a longer requested wait means an outage, not a rate limit's window
	minTrialInterval         = 400_000    // first pause between single trials
	maxTrialInterval         = 2 * Second // longest pause between single trials

	removedEndpointTTL = 60 * Second         // a removed endpoint is kept this long: it may be listed again
	idleDestinationTTL = 4 * latencyHalfLife // state of a destination without traffic is dropped after this time
	slowFactor         = 3.0                 // an endpoint slower than its best sibling by this is avoided ...
	slowRetryInterval  = 4 * Second          // ... until it has had no call for this time

	connReuseInterval      = 5 * Second  // connections to an endpoint called less often than this are released
	refusalAlpha           = 0.05        // weight of the newest call in the refusal rate of a destination kind
	maxIdleConnRefusalRate = 0.01        // refusal rate above which many senders keep no idle connections
	expensiveConnCost      = 0.04        // cost of a new connection from which none is released for rare use
	fewSendersMax          = 16          // with more senders, one idle connection each may fill an endpoint
	outageResets           = 3           // broken connections in a row without an answer that count as an outage
	recentAnswer           = Second      // a refused connection so soon after an answer is no outage by itself
	outageUnanswered       = 3           // calls in a row without an answer that count as an outage
	outageUnreadable       = 4           // unreadable answers in a row that count as an outage
	errorBackoff           = 100_000     // pause of a message after an error; doubles with each attempt
	connShortageTime       = 60 * Second // many senders keep no idle connections for this time after a shortage
	connShortageBackoff    = 50_000      // mean pause after a connection shortage; doubles with each attempt
	outageConnShortages    = 4           // shortages in a row that span outageRefusalSpan: an outage

	// Priorities, held messages, scans and list subscription.
	quotaHalfLife     = 5 * Second // half-life of the count that gives a tenant's rate
	valueLossHorizon  = Second     // messages are ordered by the value they lose within this time
	minTryShare       = 0.7        // by protocol, an accepted message is tried for this fraction of its time
	heldHighWatermark = 0.7        // fraction of MaxOpen above which messages that cannot be sent in time end
	heldFullWatermark = 0.9        // fraction of MaxOpen above which the least valuable messages are rejected

	defaultFullScanMax = 512 // up to this many waiting messages are all examined in each step ...
	sampleSize         = 64  // ... else this many of a backlog's front, and of the rest in turn ...
	backlogsPerRound   = 4   // ... and this many backlogs in turn, besides those that are due

	cachedListTime       = 6 * Second // latest time after a start when list changes count as known, by protocol
	minSubscribeDelay    = Second     // first pause before the list is requested again
	maxSubscribeDelay    = 3 * Second // longest pause before the list is requested again
	maxSubscribeInterval = 5_400_000  // from the start of a failed request to the start of the next one
	maxLogLines          = 200        // log lines during the life of a Sender
	never                = Micros(math.MaxInt64)
	longAgo              = Micros(math.MinInt64 / 2)
)

// New creates a Sender. The error names the first invalid setting.
func New(cfg Settings, seed uint64) (*Sender, error) {
	if err := validate(&cfg); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	s := &Sender{cfg: cfg, rngSource: source, rng: rand.New(source), now: math.MinInt64, subscribeAt: never,
		subscribeDelay: minSubscribeDelay, endpoints: map[EndpointID]*endpoint{}, dests: map[int64]*dest{},
		msgs: map[string]*msg{}, keyQueues: map[string]*keyQueue{},
		refusalRate: map[int]float64{}, scarceUntil: map[int]Micros{}}
	if cfg.ListOnRequest {
		s.subscribeAt = math.MinInt64
	}
	s.manySenders = cfg.Senders > fewSendersMax
	s.waiting, s.fullScanMax = newWaitIndex(len(cfg.Classes)), defaultFullScanMax
	s.classLatency, s.tenantUsage = make([]histogram, len(cfg.Classes)), make([]tenantUsage, len(cfg.Tenants))
	return s, nil
}

// Step processes the events that happened up to now and returns the actions to take.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.visitCount, s.callCount = 0, 0
	s.actions, s.wakeAt = nil, never
	for _, ev := range events {
		s.handleEvent(ev)
	}
	s.subscribe()
	s.dropUnused()
	s.endExpired()
	s.cancelSlow()
	s.dispatch()
	s.releaseIdleConns()
	s.recordHealth()
	s.setTimer()
	return s.actions
}

// ---- Endpoint list -------------------------------------------------------------------

// applyUpdate applies a change of the endpoint list, or schedules a new request after a failed one.
func (s *Sender) applyUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		// The request failed or the subscription broke: retry with exponential backoff and jitter. A change
		// counts as known 6 s after it was made, so the duration of the request counts as well. The jitter
		// makes the longest pause one and a half times the delay, hence the factor 2/3.
		delay := min(s.subscribeDelay, max(maxSubscribeInterval-ev.RequestTime, 0)*2/3)
		s.subscribeAt = s.now + Micros((0.5+s.rng.Float64())*float64(delay))
		s.subscribeDelay = min(2*s.subscribeDelay, maxSubscribeDelay)
		return
	}
	if s.subscribeAt == never {
		s.subscribeDelay = minSubscribeDelay
	}
	s.listStaleUntil = 0
	if ev.Kind == UpdateCached {
		s.listStaleUntil = s.now + cachedListTime
	}
	if ev.Kind != UpdateDelta {
		s.removeUnlisted(ev.Entries)
	}
	for _, entry := range ev.Entries {
		s.applyEntry(entry)
	}
}

func (s *Sender) applyEntry(entry EndpointEntry) {
	e := s.endpoints[entry.Endpoint]
	if entry.State == Removed {
		if e != nil {
			s.removeEndpoint(e)
		}
		return
	}
	d := s.destByID(entry.Dest)
	d.kind = entry.Kind
	s.scheduleScan(d)
	if e == nil || e.dest != d {
		if e != nil {
			s.removeEndpoint(e)
		}
		e = s.addEndpoint(entry.Endpoint, d)
		// An endpoint that joins a destination during an outage is as cold as its siblings: the overload that
		// makes the destination fail again is shared.
		for _, sibling := range s.siblingsOrReplaced(d) {
			if sibling.cold && e.limiter == sibling.limiter {
				s.setStatus(e, e.state, sibling.ejected)
				s.setCold(e, true)
				e.upAt, e.trialAt = sibling.upAt, sibling.trialAt
				e.lastFail, e.ejectedAt = sibling.lastFail, sibling.ejectedAt
				e.downAt = sibling.downAt
			}
		}
	}
	if e.state == Removed {
		d.endpoints = append(d.endpoints, e)
		if len(d.endpoints) > 1 {
			d.nextEndpoint = s.rng.IntN(len(d.endpoints))
		}
	}
	s.setStatus(e, entry.State, e.ejected)
	e.zone, e.kind = entry.Zone, entry.Kind
	if s.cfg.Weights != WeightsOff && entry.NominalRate > 0 && !e.limiter.reported {
		e.limiter.limit = entry.NominalRate
	}
}

// addEndpoint adds an endpoint that is not listed yet.
func (s *Sender) addEndpoint(id EndpointID, d *dest) *endpoint {
	e := &endpoint{id: id, dest: d, limiter: d.limiter, state: Removed}
	e.lastOK, e.lastFail, e.lastSent, e.healthyAt, e.lastOKSent = longAgo, longAgo, longAgo, longAgo, longAgo
	if s.kindOf(d).SeparateRoutes {
		e.limiter = &limiter{servedSince: s.now}
	}
	s.endpoints[id] = e
	return e
}

// subscribe requests the endpoint list when a request is due.
func (s *Sender) subscribe() {
	if s.subscribeAt == never {
		return
	}
	if s.now < s.subscribeAt {
		s.wakeBy(s.subscribeAt)
		return
	}
	s.emit(Subscribe{})
	s.subscribeAt = never
}

// ---- Queue ---------------------------------------------------------------------------

// priority is the value that m would lose by waiting a little longer, per second that it would hold a slot.
func (s *Sender) priority(m *msg) float64 {
	latency := max(s.medianLatency(m), 10_000)
	value := s.valueAt(m, s.now+latency)
	loss := value - s.valueAt(m, s.now+latency+valueLossHorizon)
	return m.valueShare * (loss + 0.02*value) / (float64(latency) * float64(1+m.dest.limiter.inFlight))
}

// quotaFactor counts a new message of a tenant and returns the fraction of its value that the message keeps.
// It is below 1 while the tenant exceeds this sender's share of its quota, which is split evenly among all
// senders.
func (s *Sender) quotaFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.cfg.Tenants) || s.cfg.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	usage := &s.tenantUsage[tenant]
	usage.count = usage.count*math.Exp2(-seconds(s.now-usage.updatedAt)/seconds(quotaHalfLife)) + 1
	usage.updatedAt = s.now
	if usage.count*math.Ln2/seconds(quotaHalfLife) > s.cfg.Tenants[tenant].QuotaRPS/float64(s.cfg.Senders) {
		return s.cfg.OverQuotaValue
	}
	return 1
}

// medianLatency is the median latency of m's destination, else of m's class; 0 if neither is known.
func (s *Sender) medianLatency(m *msg) Micros { return s.medianLatencyOf(m.dest, m.classIndex) }

func (s *Sender) medianLatencyOf(d *dest, class int) Micros {
	if d.latency.total >= minSamples {
		return d.latency.median
	}
	if h := &s.classLatency[class]; h.total >= minSamples {
		return h.median
	}
	return 0
}

// dispatch sends the waiting messages that may be sent, in order of priority.
func (s *Sender) dispatch() {
	s.trialsInFlight = s.countTrials()
	msgs := s.candidates()
	s.visitCount += len(msgs) + len(s.waiting.scanned)
	for _, m := range msgs {
		m.priority = s.priority(m)
		m.dest.queuedAhead = 0
	}
	slices.SortFunc(msgs, func(a, b *msg) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), a.seq-b.seq)
	})
	for i, m := range msgs {
		if s.trySend(m) {
			continue
		}
		m.dest.queuedAhead += m.sampleWeight
		if !s.mayDrop(m) {
			continue
		}
		// End messages that cannot be sent in time at the current pace, but only if many messages are held,
		// since paces and limits recover.
		pace := s.destPace(m.dest)
		if pace > 0 && m.dest.queuedAhead/pace > seconds(m.deadline-s.now-s.medianLatency(m)) &&
			s.heldFraction() > heldHighWatermark {
			s.endMessage(m)
			continue
		}
		// When nearly MaxOpen messages are held, end the one of least priority rather than reject new messages
		// regardless of their value.
		if s.heldFraction() > heldFullWatermark && i >= len(msgs)-1 && !m.mayHaveRun {
			s.endMessage(m)
		}
	}
	s.recordScan(msgs, s.blockedByItself)
}

// blockedByItself reports whether m is blocked for a reason that does not affect other messages for its
// destination, and whether it is blocked until a known time.
func (s *Sender) blockedByItself(m *msg) (blocked, timed bool) {
	queue, c := m.keyQueue, m.class
	if queue != nil && queue.messages[0] != m || m.mayHaveRun && c.DedupPerZone {
		return true, false
	}
	timed = s.now < m.retryAt || queue != nil && s.now < queue.cooldownUntil && queue.cooldownExempt != m ||
		c.Idempotency == NonIdempotent && s.now < m.submitted+c.TargetLatency
	return timed, timed
}

// freeSlots is the number of slots that any call may take, and the number that trials may take.
func (s *Sender) freeSlots() [2]int {
	return [2]int{
		anySlot:   max(s.cfg.CallSlots-s.slotsUsed, 0),
		trialSlot: max(s.maxTrials()-s.trialsInFlight, 0),
	}
}

func (s *Sender) maxTrials() int { return max(1, s.cfg.CallSlots*2/3) }

// mayDrop reports whether m may be ended for lack of room: on arrival, or when an attempt may have run. An
// accepted message that never ran may be dropped only once most of its time has passed, since paces recover,
// and after a process restart many messages have never been tried.
func (s *Sender) mayDrop(m *msg) bool {
	return m.mayHaveRun || m.newInStep == s.step ||
		float64(s.now-m.arrived) >= minTryShare*float64(m.deadline-m.arrived)
}

// trySend picks the best endpoint of m's destination that may be used now, in rotation, and starts an attempt
// there. It reports whether there was one.
func (s *Sender) trySend(m *msg) bool {
	d := m.dest
	fastest := math.Inf(1)
	for _, e := range d.endpoints {
		if e.smoothedLatency > 0 && !e.ejected {
			fastest = min(fastest, e.smoothedLatency)
		}
	}
	var chosen *endpoint
	lowest := 99
	for i := range d.endpoints {
		e := d.endpoints[(d.nextEndpoint+i)%len(d.endpoints)]
		ok, at := s.checkSend(m, e)
		if !ok {
			s.wakeBy(at)
			d.backlog.earliestSend = min(d.backlog.earliestSend, at)
			continue
		}
		penalty := 0
		if !s.joinsOpenCall(m, e) {
			penalty++ // prefer a call that is sent anyway
		}
		if s.manySenders && (s.now >= e.idleConnUntil || e.inFlight >= max(s.cfg.CallsPerConn, 1)) {
			penalty++ // among many senders a connection rarely stays open until the rotation returns to it
		}
		if e == m.lastEndpoint {
			penalty += 4 // resend to another endpoint if possible
		}
		if e.refusals > 1 {
			penalty += 2 // refuses calls that others may accept: it drains, or its route is at its limit
		}
		if e.smoothedLatency > slowFactor*fastest && s.now < e.lastSent+slowRetryInterval {
			penalty += 2
		}
		if penalty < lowest {
			lowest, chosen = penalty, e
		}
	}
	if chosen == nil {
		return false
	}
	if m.attempts == 0 && lowest > 0 {
		d.nextEndpoint = (slices.Index(d.endpoints, chosen) + 1) % len(d.endpoints)
	}
	s.startAttempt(m, chosen)
	return true
}

// startAttempt sends m to e, in a call of this step to e if there is one with room.
func (s *Sender) startAttempt(m *msg, e *endpoint) {
	if !s.joinsOpenCall(m, e) {
		s.callCount++
		e.openCall = &call{number: s.callCount, step: s.step}
		s.slotsUsed++
		e.limiter.tokens--
		e.limiter.inFlight++
		e.inFlight++
		s.recordCall(e)
		e.limiter.jitter = s.rng.Float64()
		if e.ejected {
			s.delayNextTrial(e)
		}
	}
	a, timeout := s.recordAttempt(m, e), m.deadline-s.now
	if stuck := 2 * s.stuckTime(e.dest, m); !s.cfg.MayCancel && (m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotentByKey && s.now+stuck < m.mayHaveRunAt+m.class.DedupWindow) {
		timeout = min(timeout, stuck) // where attempts cannot be cancelled, time out while m can still be resent
		a.timeoutAt = s.now + timeout
	}
	s.emit(Send{ID: a.msg.id, Timeout: timeout, Endpoint: e.id, Call: a.call.number})
	s.wakeBy(s.now + s.stuckTime(e.dest, m) + 1) // check for a stuck call even if no event comes until then
}

// ---- Send checks ---------------------------------------------------------------------

// checkSend reports whether m may be sent to e now, and if not, when to check again. Every send of a message
// has to pass it.
func (s *Sender) checkSend(m *msg, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || m.ended || m.inFlight != nil: // draining; one attempt at a time
		return false, never
	case s.now < max(e.limiter.waitUntil, m.retryAt): // requested wait
		return false, max(e.limiter.waitUntil, m.retryAt)
	case s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts:
		return false, never
	case m.deadline-s.now <= max(s.medianLatency(m), 2*s.cfg.Tick): // too little time left for a usual call
		return false, never
	}
	if s.stopAt != 0 && s.now+s.expectedDuration(m, e) > s.stopAt {
		// The message stays in the journal for the next start.
		return false, never
	}
	if queue := m.keyQueue; queue != nil { // order of messages with the same key
		if queue.messages[0] != m {
			return false, never
		}
		if s.now < queue.cooldownUntil && queue.cooldownExempt != m {
			return false, queue.cooldownUntil
		}
	}
	if m.mayHaveRun { // duplicates
		c := m.class
		switch {
		case c.Idempotency == NonIdempotent:
			return false, never
		case c.Idempotency == IdempotentByKey && (c.DedupPerZone && e.zone != m.mayHaveRunZone ||
			s.now > m.mayHaveRunAt+c.DedupWindow-s.cfg.Tick):
			return false, never
		}
	}
	if s.joinsOpenCall(m, e) {
		return true, 0
	}
	if s.slotsUsed >= s.cfg.CallSlots || e.limiter.inFlight >= (s.cfg.CallSlots+1)/2 { // slots
		return false, never
	}
	if at := s.healthAllowsAt(m, e); at > s.now {
		return false, at
	}
	if at := s.slowStartAllowsAt(e); at > s.now {
		return false, at
	}
	if at := s.paceAllowsAt(e.limiter); at > s.now {
		return false, at
	}
	return true, 0
}

// expectedDuration is the time that must be left before the shutdown for an attempt of m at e. An attempt
// that the shutdown interrupts is resent later if its class allows it; an unsafe message would be lost, so it
// needs more time.
func (s *Sender) expectedDuration(m *msg, e *endpoint) Micros {
	if h := &e.dest.latency; m.class.Idempotency != NonIdempotent && h.total >= minSamples {
		return h.p95
	}
	return s.stuckTime(e.dest, m)
}

// healthAllowsAt is the time from which m may be sent to e, judged by e's health. An ejected endpoint gets
// single trials only, with unsafe messages last.
func (s *Sender) healthAllowsAt(m *msg, e *endpoint) Micros {
	if e.ejected {
		switch {
		case e.inFlight > 0 || s.trialsInFlight >= s.maxTrials():
			return never
		case m.class.Idempotency == NonIdempotent && s.now < m.submitted+m.class.TargetLatency:
			return m.submitted + m.class.TargetLatency
		}
		return e.trialAt
	}
	if m.class.Idempotency == NonIdempotent && e.failureRate > nonIdempotentFailureRate &&
		s.now < m.submitted+m.class.TargetLatency {
		return m.submitted + m.class.TargetLatency
	}
	// Most outages affect all endpoints of a destination: after one has failed, the others get one call at a
	// time until they answer.
	if e.inFlight > 0 && e.limiter == e.dest.limiter {
		for _, sibling := range e.dest.endpoints {
			if sibling.ejected && sibling.lastFail > e.lastOK && !s.maybeRemoved(sibling) {
				return never
			}
		}
	}
	return 0
}

// maybeRemoved reports whether e, which is ejected, may only have been removed: it has never answered, and
// the list is still the cached one from the start, which may be out of date. Its failure then says nothing
// about its siblings.
func (s *Sender) maybeRemoved(e *endpoint) bool {
	return s.now < s.listStaleUntil && e.lastOK == longAgo
}

// ---- Pace ----------------------------------------------------------------------------

// paceAllowsAt refills the limiter's tokens and returns the time from which it allows the next call. A known
// limit bounds the pace from the start. Where reports give the unused fraction of the limit, each of many
// senders takes its even share of the limit divided by the used fraction, so that all together just use it
// up. Waiting for refusals would be too late: refused calls count against the limit, so that after a burst
// from many senders all calls of the next seconds would be refused.
func (s *Sender) paceAllowsAt(l *limiter) Micros {
	rate := l.pace
	if l.limit > 0 {
		limit := l.limit
		if s.manySenders && l.reported && s.cfg.LoadRemainingIndex >= 0 {
			limit = max(limit/float64(s.cfg.Senders)/max(1-l.remaining, minUsedShare), 1/seconds(maxMeanPause))
		}
		if s.cfg.Weights == WeightsApproximate && !l.reported {
			limit *= 1.5
		}
		if rate == 0 || rate > limit {
			rate = limit
		}
	}
	if rate == 0 {
		return 0
	}
	// Calls sent while there was no pace are a debt, but for at most one interval.
	l.tokens = max(l.tokens+rate*seconds(s.now-l.refilledAt), -rate*seconds(paceInterval))
	l.tokens = min(l.tokens, max(1, rate*seconds(burstTime)))
	l.refilledAt = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-l.tokens)/rate*float64(Second)) + 1
}

// slowDown lowers a limiter's pace after a refusal: it starts at the rate of the last second and is halved at
// most once per second.
func (s *Sender) slowDown(l *limiter) {
	if s.now < l.reducedAt+paceInterval && l.pace > 0 {
		return
	}
	switch floor := s.paceFloor(l); {
	case floor < minPace && s.manySenders: // this sender's share of the limit is known: no need to probe for it
		l.pace = max(floor, 1/seconds(maxMeanPause))
	case l.pace == 0:
		l.pace = max(floor, float64(countAfter(l.sentAt, s.now-paceInterval)))
	default:
		l.pace = max(floor, l.pace/2)
	}
	l.reducedAt = s.now
	s.paceAllowsAt(l)
	// Other senders were refused at the same time. Spread the next calls by up to half a call interval early
	// or late, or up to one call interval after a requested wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if s.manySenders && l.limit == 0 && l.refusals == 0 && countAfter(l.servedAt, s.now-recentAnswer) == 0 {
		// The destination may be down. Spread the retries of senders that were refused once in its last seconds,
		// so that their calls do not all arrive when it recovers.
		l.tokens = min(l.tokens, 1-l.pace*seconds(minFirstPause+Micros(s.rng.Float64()*float64(minFirstPause))))
	}
	if l.waitUntil > s.now {
		l.refilledAt, l.tokens = l.waitUntil, l.tokens+0.5
	}
}

// paceFloor is the lowest pace of a limiter: one call per second, but no more than an even share of a known
// limit. Where refused calls count against the limit, higher floors of all senders alone would use it up. The
// floors of many senders leave headroom, so that such a state ends.
func (s *Sender) paceFloor(l *limiter) float64 {
	if l.limit == 0 {
		return minPace
	}
	share := l.limit / float64(s.cfg.Senders)
	if s.manySenders {
		share *= limitHeadroom
	}
	return min(minPace, share)
}

// speedUp raises a limiter's pace after a success, and drops a pace far above the actual rate.
func (s *Sender) speedUp(l *limiter) {
	if l.pace == 0 {
		return
	}
	l.pace += paceGrowth * max(l.pace, l.limit/float64(s.cfg.Senders))
	if l.pace > paceDropFactor*float64(countAfter(l.sentAt, s.now-paceInterval)+1) {
		l.pace = 0
	}
}

// ---- Restart time τ ------------------------------------------------------------------

var binEdges = func() (e [binCount]Micros) {
	x := float64(firstBinEdge)
	for i := range e {
		e[i] = Micros(x)
		x *= binGrowth
	}
	return e
}()

// add counts an attempt that was answered after the given latency or, if censored, one that was cancelled or
// is overdue without an answer.
func (h *histogram) add(now, latency Micros, censored bool) {
	if h.bins == nil {
		h.bins = new(binWeights)
	}
	decay := math.Exp2(-float64(now-h.updatedAt) / float64(latencyHalfLife))
	h.updatedAt = now
	for i := range h.bins {
		h.bins[i] *= decay
	}
	h.total, h.censored = h.total*decay, h.censored*decay
	if censored {
		h.censored++
	} else {
		h.bins[binIndex(latency)]++
		h.total++
	}
	h.recompute()
}

// recompute finds the median, the 95th percentile and τ: the bin edge that gives the least mean time to an
// answer if every attempt is restarted at it, without limit. τ stays 0 if there are too few samples, or if
// restarts gain too little.
func (h *histogram) recompute() {
	h.tau, h.median, h.p95 = 0, 0, 0
	total := h.total + max(h.censored, 0)
	var m0, m1 float64
	lowestMean, bestEdge, mean := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range binEdges {
		low := Micros(0)
		if i > 0 {
			low = binEdges[i-1]
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
		p := m0 / total
		mean = (m1/total + float64(edge)*(1-p)) / p
		if mean < lowestMean {
			lowestMean, bestEdge = mean, edge
		}
	}
	if h.total >= minRestartSamples && lowestMean < maxRestartCost*mean {
		h.tau = bestEdge
	}
}

// stuckTime is the time after which an unanswered call suggests an outage.
func (s *Sender) stuckTime(d *dest, m *msg) Micros {
	h := &d.latency
	if h.total < minSamples {
		h = &s.classLatency[m.classIndex]
	}
	if h.total < minSamples {
		return defaultStuckTime
	}
	return max(Micros(stuckP95Factor*float64(h.p95)), 3*h.median, minStuckTime)
}

// cancelSlow cancels attempts that have reached τ, and attempts stuck at an endpoint that answers nothing.
func (s *Sender) cancelSlow() {
	var oldest *attempt
	s.visitCount += len(s.inFlight)
	for _, a := range s.inFlight {
		s.abandonIfShared(a)
		if a.cancelled || a.abandoned || a.msg.streaming {
			continue
		}
		e, age := a.endpoint, s.now-a.sentAt
		stuck := s.stuckTime(e.dest, a.msg)
		if !a.stuck && e.lastOK < a.sentAt {
			if a.stuck = age > stuck; a.stuck {
				// Nothing is known to have failed yet: take the endpoint out of rotation, but set no budget.
				s.eject(e, "no answer", a.sentAt)
			}
		}
		if !a.censored && age > stuckCancelFactor*stuck {
			// Count an overdue call as one that exceeds τ until it is answered. Otherwise lost answers, while all
			// others are fast, would never show in the histogram and would hold slots until their deadline.
			a.censored = true
			e.dest.latency.add(s.now, age, true)
			s.classLatency[a.msg.classIndex].add(s.now, age, true)
			s.latencyChanged(e.dest)
		}
		if age <= stuckCancelFactor*stuck {
			s.wakeBy(a.sentAt + 1 + stuck*Micros(1+min(age/max(stuck, 1), stuckCancelFactor-1)))
		}
		if a.msg.ended || !s.cfg.MayCancel {
			continue
		}
		if s.isLastAttempt(a.msg) {
			if age > stuckCancelFactor*stuck && (oldest == nil || a.sentAt < oldest.sentAt) {
				oldest = a
			}
			continue
		}
		stuckLimit := stuck << a.msg.restarts
		if a.stuck && e.ejected &&
			(age > stuckCancelFactor*stuckLimit || age > stuckLimit && s.hasHealthySibling(e)) {
			a.msg.restarts = min(a.msg.restarts+1, maxRestarts)
			s.cancel(a)
			continue
		}
		h := &e.dest.latency
		if h.total < minRestartSamples {
			h = &s.classLatency[a.msg.classIndex]
		}
		if h.tau > 0 && s.mayRestart(a) {
			limit := max(h.tau<<a.msg.restarts, stuckLimit)
			if age > limit {
				a.restarted = true
				a.msg.restarts++
				s.cancel(a)
			} else {
				s.wakeBy(a.sentAt + limit + 1)
			}
		}
	}
	// A call that cannot be repeated is left to be answered, unless all slots are taken and messages for other
	// destinations wait.
	if oldest != nil && s.slotsUsed >= s.cfg.CallSlots && s.cfg.CallSlots > 0 &&
		s.waiting.count > oldest.msg.dest.waiting() {
		s.cancel(oldest)
	}
}

// isLastAttempt reports whether m cannot be resent after the attempt in flight: if that is cancelled the
// message fails, if not it may still be answered.
func (s *Sender) isLastAttempt(m *msg) bool {
	c := m.class
	return c.Idempotency == NonIdempotent || c.Idempotency == IdempotentByKey &&
		s.now > m.mayHaveRunAt+c.DedupWindow-min(resendMargin, c.DedupWindow/4)
}

// mayRestart reports whether a may be cancelled at τ and sent again: attempts and time must be left, and it
// must not add load to a destination that refuses calls or recovers, unless all slots are taken.
func (s *Sender) mayRestart(a *attempt) bool {
	m, e := a.msg, a.endpoint
	if m.restarts >= maxRestarts || s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts {
		return false
	}
	if s.slotsUsed < s.cfg.CallSlots && (e.limiter.pace > 0 || e.cold) {
		return false
	}
	return m.deadline-s.now > 2*max(s.medianLatency(m), e.dest.latency.tau)
}

// ---- Outcomes ------------------------------------------------------------------------

// handleResult processes the outcome of an attempt, then ends the message or queues it again.
func (s *Sender) handleResult(r AttemptResult) {
	m := s.msgs[r.ID]
	if m == nil {
		return
	}
	a := m.attemptInFlight(r.Attempt)
	if a == nil {
		return
	}
	e := a.endpoint
	lastOfCall := s.finishAttempt(a)
	refusalRate, connShortage := s.refusalRate[e.dest.kind]*(1-refusalAlpha), s.isConnShortage(e.limiter, r)
	switch {
	case connShortage:
		s.scarceUntil[e.dest.kind] = s.now + connShortageTime
	case r.Outcome == Refused && !s.hasLoadReports():
		refusalRate += refusalAlpha
	}
	s.refusalRate[e.dest.kind] = refusalRate
	s.applyReport(e, r)
	if r.Outcome == Delivered || r.Outcome == Refused || r.Outcome == Errored {
		if e.unanswered > 0 {
			s.healthChanged(e.dest)
		}
		e.resets, e.unanswered = 0, 0
	}
	if r.Outcome == LocalFailure && a.number == m.attempts-1 {
		m.attempts--
	}
	if r.Outcome != Refused && r.Outcome != ConnRefused && r.Outcome != Skipped && r.Outcome != LocalFailure {
		m.mayHaveRun = true
	}
	if r.RetryAfter > 0 { // with any outcome: the answer to a batch may accept messages and still request a wait
		e.limiter.waitUntil = max(e.limiter.waitUntil, s.now+r.RetryAfter)
	}
	if m.keyQueue != nil && (r.Outcome == TimedOut || r.Outcome == ConnLost || r.Outcome == Cancelled) {
		m.keyQueue.cooldownUntil, m.keyQueue.cooldownExempt =
			max(m.keyQueue.cooldownUntil, s.now+s.cfg.KeyCooldown), m
	}
	switch r.Outcome {
	case Delivered:
		for _, h := range []*histogram{&e.dest.latency, &s.classLatency[m.classIndex]} {
			if a.censored {
				h.censored--
			}
			h.add(s.now, r.Latency, false)
		}
		e.smoothedLatency += failureAlpha * (float64(r.Latency) - e.smoothedLatency)
		if e.smoothedLatency == 0 {
			e.smoothedLatency = float64(r.Latency)
		}
		s.recordSuccess(e, a.sentAt)
		if lastOfCall { // pace and capacity count calls, not messages
			s.recordServed(e.limiter)
			s.speedUp(e.limiter)
		}
	case Refused:
		if connShortage {
			m.retryAt = s.now +
				Micros((0.5+s.rng.Float64())*float64(Micros(connShortageBackoff)<<min(m.attempts-1, 5)))
			if lastOfCall {
				s.recordConnShortage(e)
			}
			break
		}
		if lastOfCall { // a batch is one call, so one refusal
			s.recordRefusal(e, r.RetryAfter)
		}
	case Cancelled, TimedOut:
		if !a.abandoned {
			s.recordUnanswered(a)
		}
	case ConnLost:
		m.retryAt = s.now + errorBackoff
	case Errored:
		m.retryAt = s.now + errorBackoff<<min(m.attempts, 5)
	}
	if lastOfCall { // a batch is one call, so one outcome
		s.recordOutcome(e, r.Outcome)
		if e.ejected && r.Outcome != Skipped && r.Outcome != LocalFailure {
			s.recordHealthySiblings(e, a.sentAt)
		}
	}
	e.idleConnUntil = s.now + s.cfg.ConnIdleTimeout
	if s.manySenders && e.inFlight == 0 {
		s.justIdle = append(s.justIdle, e)
	}
	s.latencyChanged(e.dest)
	s.scheduleScan(e.dest)
	switch {
	case r.Final || m.ended:
		s.closeMessage(m)
		if m.inFlight != nil { // a second copy
			s.cancel(m.inFlight)
		}
	case a.abandoned: // m waits or has another attempt in flight
	default:
		s.resendOrEnd(m)
	}
}

// resendOrEnd queues a message again whose attempt is over, or ends it if it may have no further one.
func (s *Sender) resendOrEnd(m *msg) {
	if s.endIfExhausted(m); !m.ended {
		s.enqueue(m)
	}
}

// releaseIdleConns releases connections that are not needed now. If each of many senders keeps an idle
// connection, they fill an endpoint, and senders without one are refused. Where a kind of destination refuses
// calls, no idle connection is kept; elsewhere only rarely used ones are released, unless new ones are
// expensive.
func (s *Sender) releaseIdleConns() {
	for _, e := range s.justIdle {
		n := len(e.sentAt)
		rare := s.cfg.ConnCost < expensiveConnCost && (n < 2 || s.now-e.sentAt[n-2] > connReuseInterval)
		if e.inFlight == 0 && (rare || s.refusalRate[e.dest.kind] > maxIdleConnRefusalRate ||
			s.now < s.scarceUntil[e.dest.kind]) {
			e.idleConnUntil = s.now
			s.emit(ReleaseConns{e.id})
		}
	}
	s.justIdle = s.justIdle[:0]
}

// recordOutcome records what the outcome of a call says about an outage of e.
func (s *Sender) recordOutcome(e *endpoint, o Outcome) {
	switch o {
	case Unreadable: // may come from any endpoint: only several in a row say something about health
		if e.unreadable++; e.unreadable >= outageUnreadable {
			s.recordFailure(e, "unreadable answers")
		}
	case ConnRefused:
		if e.resets++; e.resets > 1 || e.lastOK < s.now-recentAnswer {
			s.recordFailure(e, "refuses connections")
		}
	case ConnLost:
		// A single broken connection may have its own cause: kept open too long, or a device in between. An
		// endpoint that is down breaks all connections and accepts no new ones.
		if e.resets++; e.resets >= outageResets || e.ejected {
			s.recordFailure(e, "resets")
		}
	case Errored:
		s.recordFailure(e, "errors")
	}
}

// recordSuccess records an answer to a call sent at sentAt. A call sent before the last failure does not show
// that the endpoint has recovered: it may have been in flight when the destination went down.
func (s *Sender) recordSuccess(e *endpoint, sentAt Micros) {
	if e.ejected && sentAt < e.lastFail {
		return
	}
	if e.ejected { // an endpoint that gave no answer for long is as cold as one that was seen to fail
		s.setStatus(e, e.state, false)
		e.upAt, e.trialInterval = s.now, 0
		s.setCold(e, sentAt >= e.downAt+minOutage || e.cold && e.failureRate*(1-failureAlpha) > outageFailureRate)
		s.logf("endpoint %d recovered: cold %v, share %.2f calls/s", e.id, e.cold, e.limiter.share)
	}
	if e.suspect() {
		s.healthChanged(e.dest)
	}
	e.lastOKSent = max(e.lastOKSent, sentAt)
	e.lastOK = s.now
	e.failures, e.refusals, e.unreadable, e.limiter.refusals, e.limiter.shortages = 0, 0, 0, 0, 0
	e.failureRate *= 1 - failureAlpha
}

// recordHealthySiblings marks the siblings that are healthy while failed is ejected: they answered a call
// sent after failed was ejected and before sentAt, when the call to failed was sent that has now failed as
// well. An answer alone would not show that: the whole destination may have recovered, with failed not tried
// since.
func (s *Sender) recordHealthySiblings(failed *endpoint, sentAt Micros) {
	for _, e := range failed.dest.endpoints {
		if e != failed && e.limiter == failed.limiter && e.lastOKSent > failed.ejectedAt && e.lastOKSent < sentAt {
			e.healthyAt = s.now
		}
	}
}

// recordFailure records a sign of an outage of e: an error, a broken or refused connection, or no answer.
func (s *Sender) recordFailure(e *endpoint, reason string) {
	if e.failures++; e.failures == 1 {
		s.healthChanged(e.dest)
	}
	e.lastFail = s.now
	e.failureRate += failureAlpha * (1 - e.failureRate)
	if e.failures >= 2 || e.failureRate > outageFailureRate || reason != "errors" {
		s.ejectFailed(e, reason)
	}
}

// recordRefusal records a refused call. Refusals in a row for longer than the window of a rate limit, or a
// long requested wait, count as an outage. Each of many senders calls too rarely to wait for the usual
// number: those that were refused twice would together overload the destination when it recovers.
func (s *Sender) recordRefusal(e *endpoint, retryAfter Micros) {
	s.slowDown(e.limiter)
	e.refusals++
	l := e.limiter
	l.shortages = 0
	if l.refusals++; l.refusals == 1 {
		l.firstRefusalAt = s.now
		s.healthChanged(e.dest)
	}
	if e.ejected || retryAfter > outageRetryAfter ||
		(l.refusals >= outageRefusals || s.manySenders && l.refusals > 1) &&
			s.now-l.firstRefusalAt > outageRefusalSpan {
		e.lastFail = s.now
		s.ejectFailed(e, "refuses all calls")
	}
}

// isConnShortage reports whether a call through l was refused because the endpoint had no connection free.
// Where answers carry load reports, such a refusal has none: it is sent before the call reaches any part of
// the endpoint that knows the limits. Where a destination delivers without reports, their absence says
// nothing.
func (s *Sender) isConnShortage(l *limiter, r AttemptResult) bool {
	return r.Outcome == Refused && r.RetryAfter == 0 && len(r.Load) == 0 && s.hasLoadReports() &&
		!l.reportless
}

// hasLoadReports reports whether the limit of any destination is known from a load report.
func (s *Sender) hasLoadReports() bool { return s.reportedLimits > 0 }

// recordConnShortage records a call for which e had no connection free. It says nothing about a rate limit,
// and a few in a row only mean that other senders hold the connections. A destination that is shut refuses in
// the same way, so that a longer streak counts as an outage.
func (s *Sender) recordConnShortage(e *endpoint) {
	if e.refusals++; e.refusals == 1 {
		s.healthChanged(e.dest)
	}
	l := e.limiter
	if l.shortages++; l.shortages == 1 {
		l.firstShortageAt = s.now
	}
	if e.ejected || l.shortages >= outageConnShortages && s.now-l.firstShortageAt > outageRefusalSpan {
		e.lastFail = s.now
		s.ejectFailed(e, "no free connections")
	}
}

// ejectFailed ejects an endpoint that has failed, and limits the calls to it after its recovery (slow start).
func (s *Sender) ejectFailed(e *endpoint, reason string) {
	s.eject(e, reason, s.now)
	if !e.cold {
		e.downAt = e.lastOK
		e.dest.arrivals, e.dest.outageSeenAt = 1, s.now
		s.setCold(e, true)
	}
}

// eject takes an endpoint out of rotation (outlier ejection). From then on it gets trials only: single calls
// with pauses in between. It has not answered since the given time.
func (s *Sender) eject(e *endpoint, reason string, since Micros) {
	if !e.ejected {
		s.logf("endpoint %d ejected: %s", e.id, reason)
		e.ejectedAt = s.now
		s.setStatus(e, e.state, true)
		e.trialInterval, e.trialAt = minTrialInterval, s.now+minTrialInterval
		if !e.cold {
			e.downAt = since
		}
	}
}

// delayNextTrial schedules the next trial of e with exponential backoff and jitter.
func (s *Sender) delayNextTrial(e *endpoint) {
	e.trialInterval = min(2*max(e.trialInterval, minTrialInterval), maxTrialInterval)
	e.trialAt = s.now + e.trialInterval*Micros(80+s.rng.IntN(40))/100
}

// ---- End of messages -----------------------------------------------------------------

// endMessage is the only place where the Sender itself ends a message: it rejects the message if no attempt
// can have run, else it reports a failure.
func (s *Sender) endMessage(m *msg) {
	if m.ended {
		return
	}
	if m.mayHaveRun || m.inFlight != nil {
		s.emit(Fail{ID: m.id})
		if m.inFlight != nil {
			s.cancel(m.inFlight)
		}
	} else {
		s.emit(Reject{ID: m.id, RetryAfter: s.retryAdvice()})
	}
	s.closeMessage(m)
}

// retryAdvice tells a client when to retry: as late as clients accept, since the cause of a rejection lasts
// for a while.
func (s *Sender) retryAdvice() Micros {
	if !s.cfg.RetryAfter {
		return 0
	}
	return s.cfg.MaxRetryAfter
}

// restoreHistory continues a message after a process restart: its earlier attempts count, and one without an
// outcome may have run. A message that may not be resent ends at once.
func (s *Sender) restoreHistory(m *msg, history History) {
	if history.Attempts == 0 {
		return
	}
	m.attempts = history.Attempts
	if m.mayHaveRun = history.MayHaveRun; m.mayHaveRun {
		m.mayHaveRunAt, m.mayHaveRunZone = s.now-history.Age, history.Zone
	}
	s.endIfExhausted(m)
}

// endIfExhausted ends a message that may have no further attempt.
func (s *Sender) endIfExhausted(m *msg) {
	c := m.class
	switch {
	case m.inFlight != nil || m.ended:
	case m.mayHaveRun && c.Idempotency == NonIdempotent,
		s.cfg.MaxAttempts > 0 && m.attempts >= s.cfg.MaxAttempts,
		m.mayHaveRun && c.Idempotency == IdempotentByKey && s.now > m.mayHaveRunAt+c.DedupWindow-s.cfg.Tick:
		s.endMessage(m)
	}
}

// endExpired ends messages that are close to their deadline. A waiting message ends as soon as less time is
// left than a usual call takes.
func (s *Sender) endExpired() {
	var expired []*msg
	for i := range s.waiting.expiryQueues {
		for queue := &s.waiting.expiryQueues[i]; len(queue.items) > 0; s.visitCount++ {
			first := queue.items[0]
			m := first.messages.items[0]
			if at := m.expiresAt[first.bound] - s.minTimeLeft(first); at > s.now {
				s.wakeBy(at)
				break
			}
			s.dequeue(m)
			expired = append(expired, m)
		}
	}
	s.visitCount += len(s.inFlight)
	for _, a := range s.inFlight {
		if a.msg.streaming || a.msg.ended || a.abandoned {
			continue
		}
		if at := a.msg.deadline - s.endMargin(); at > s.now {
			s.wakeBy(at)
		} else {
			expired = append(expired, a.msg)
		}
	}
	slices.SortFunc(expired, func(a, b *msg) int { return a.seq - b.seq })
	for _, m := range expired {
		s.endMessage(m)
	}
}

// minTimeLeft is the time that a message must have left for a send to make sense. By the end of its
// deduplication window it only has to be sent, not answered.
func (s *Sender) minTimeLeft(g *expiryGroup) Micros {
	if g.bound == byWindow {
		return s.endMargin()
	}
	return max(s.endMargin(), s.medianLatencyOf(g.dest, g.class))
}

// endMargin is the time before its deadline at which a message ends in any case.
func (s *Sender) endMargin() Micros { return 2 * max(s.cfg.Tick, 1000) }

// ---- Timers and idle state -----------------------------------------------------------

// resetIfIdle is called when a message for d arrives. It drops the latencies and the pace if d was idle for
// long.
func (s *Sender) resetIfIdle(d *dest) {
	if s.now-d.lastUsedAt > idleDestinationTTL && d.limiter.inFlight == 0 {
		d.latency, d.limiter.pace = histogram{}, 0
		s.latencyChanged(d)
	}
	d.lastUsedAt = s.now
}

// setTimer sets a timer for the next time at which something is due, unless an earlier one is still running.
func (s *Sender) setTimer() {
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
