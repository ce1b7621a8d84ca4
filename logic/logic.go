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
	latencyHalfLife   = 30 * Second // design: half-life of the latency histograms
	firstBinEdge      = 2000        // ours: upper edge of the first bin, microseconds
	binGrowth         = 1.25        // ours: each edge over the one before; finer bins need more samples
	binCount          = 48          // ours: the last edge lies near 70 s
	minSamples        = 4.0         // ours: samples before a histogram is believed
	minRestartSamples = 12.0        // ours: samples before τ is; an early τ cuts healthy calls
	maxRestartCost    = 0.85        // ours: ⟨t⟩ at τ must be under this part of ⟨t⟩ of waiting; noise reaches 0.9
	resendMargin      = Second      // ours: to call a keyed call off and send it again; a quarter of a shorter window
	maxRestarts       = 2           // ours: restarts of one message; each doubles the next limit
	stuckP95Factor    = 2.0         // ours: a call is stuck past this many times the 95th percentile ...
	minStuckTime      = Second / 2  // ours: ... and this
	stuckCancelFactor = 2           // ours: a stuck call is called off past this many times the time that made it so
	defaultStuckTime  = 2 * Second  // ours: where no latency is known yet

	minPace        = 1.0        // design: calls a second
	paceInterval   = Second     // design: the span of the first pace, and between two halvings
	burstTime      = Second / 2 // ours: what an idle pace saves up; more of it meets limits in bursts
	paceGrowth     = 0.1        // ours: growth of the pace with each success
	limitHeadroom  = 0.75       // ours: part of a told limit that the floors of many senders add up to
	minUsedShare   = 0.3        // ours: least part in use that a report is believed to tell: it is late and noisy
	paceDropFactor = 4.0        // ours: a pace this many times what is sent sets nothing any more and is dropped

	failureAlpha             = 0.3                 // ours: weight of the newest outcome in an endpoint's share of failures
	outageFailureRate        = 0.45                // ours: failing more than this is an outage
	minFirstPause            = 2 * Second          // ours: many senders: least rest after a first refusal; as much by chance
	maxMeanPause             = 8 * Second          // ours: longest mean rest of a lane, among many senders
	outageResendFactor       = 1.0                 // ours: part of the traffic of an outage that comes again at one time
	assumedOutage            = 5 * Second          // ours: how long an outage lasted, beside the time since we saw it
	minOutage                = 2 * Second          // ours: an endpoint that answers again within this was not out, and is not cold
	nonIdempotentFailureRate = 0.2                 // ours: unsafe messages keep away above this
	outageRefusals           = 4                   // ours: refusals in a row that look like a shut destination ...
	outageRefusalSpan        = 1500_000            // ours: ... when they span this, more than a limit's window leaves empty
	outageRetryAfter         = 2 * Second          // ours: a told wait past this is a shut destination, not a limit's window
	minTrialInterval         = 400_000             // ours: first pause between single trials
	maxTrialInterval         = 2 * Second          // ours: and the longest
	removedEndpointTTL       = 60 * Second         // ours: an endpoint off the list is remembered so long: it may come back
	idleDestinationTTL       = 4 * latencyHalfLife // ours: state of a destination without traffic is dropped after this
	slowFactor               = 3.0                 // ours: an endpoint this much slower than its best sibling is passed over
	slowRetryInterval        = 4 * Second          // ours: but tried again after this
	connReuseInterval        = 5 * Second          // ours: an endpoint called less often than this shares its connections
	refusalAlpha             = 0.05                // ours: weight of the newest call in a kind's share of calls turned away
	maxIdleConnRefusalRate   = 0.01                // ours: share above which many senders keep no idle connection
	expensiveConnCost        = 0.04                // ours: price of a connection with each message above which none is given back
	manySenders              = 16                  // ours: more than this, one idle connection each, may fill an endpoint
	outageResets             = 3                   // ours: connections that break in a row, no answer between, look like an outage
	recentAnswer             = Second              // ours: one refused connection does not, if an answer came so shortly before
	outageUnreadable         = 4                   // ours: spoilt answers in a row that look like an outage
	errorBackoff             = 100_000             // ours: pause of a message after an error, doubled with each try
	connShortageTime         = 60 * Second         // ours: many senders keep no idle connection so long after one found none
	connShortageBackoff      = 50_000              // ours: mean pause of a message that found no connection, doubled with each try
	outageConnShortages      = 8                   // ours: such refusals in a row, and no answer for fullsSpan, look like an outage

	quotaHalfLife        = 5 * Second // ours: half-life of a tenant's rate
	valueLossHorizon     = Second     // ours: loss of worth within this sets who goes first
	minTryShare          = 0.7        // protocol: part of its time for which a message taken on is tried
	bufferHighWatermark  = 0.7        // ours: share of the hold above which messages that the pace cannot send in time end
	bufferFullWatermark  = 0.9        // ours: share of the hold above which the least worthy are refused
	scanAllLimit         = 512        // ours: so many waiting messages are all looked at in each step ...
	sampleSize           = 64         // ours: ... of more, so many in front and in turn of a destination's
	backlogsPerRound     = 4          // ours: ... and so many destinations in turn, beside those where something is due
	cachedListTime       = 6 * Second // protocol: news of the list counts as told so long after a start at the latest
	minSubscribeDelay    = Second     // ours: first pause before the list is asked for again
	maxSubscribeDelay    = 3 * Second // ours: and the longest
	maxSubscribeInterval = 5_400_000  // ours: from a request in vain to the next, from start to start
	maxLogLines          = 200        // ours: log lines in a life
	never                = Micros(math.MaxInt64)
	longAgo              = Micros(math.MinInt64 / 2)
)

// New makes a Sender. An error names the setting that makes no sense.
func New(set Settings, seed uint64) (*Sender, error) {
	if err := validate(&set); err != nil {
		return nil, err
	}
	source := rand.NewPCG(seed, 0)
	s := &Sender{set: set, source: source, rng: rand.New(source), now: math.MinInt64, askAt: never,
		askGap: minSubscribeDelay, eps: map[EndpointID]*endpoint{}, dests: map[int64]*dest{}, msgs: map[string]*msg{},
		keys: map[string]*keyLine{}, turned: map[int]float64{}, short: map[int]Micros{}}
	if set.ListOnRequest {
		s.askAt = math.MinInt64
	}
	s.many = set.Senders > manySenders
	s.wait, s.few = newIndex(len(set.Classes)), scanAllLimit
	s.byClass, s.usage = make([]hist, len(set.Classes)), make([]usage, len(set.Tenants))
	return s, nil
}

// Step takes what happened up to now and returns what to do.
func (s *Sender) Step(now Micros, events []Event) []Action {
	s.now = max(s.now, now)
	s.step++
	s.visits = 0
	s.out, s.wake = nil, never
	for _, ev := range events {
		s.take(ev)
	}
	s.subscribe()
	s.forget()
	s.endExpired()
	s.cancelSlow()
	s.dispatch()
	s.releaseIdleConns()
	s.setTimer()
	return s.out
}

// ---- Endpoint list -------------------------------------------------------------------

func (s *Sender) applyUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		// Asked in vain or subscription broken: ask again, later each time, and not when all others do. News counts
		// as told 6 s later, so what the request took counts too; the longest pause is one and a half gaps.
		gap := min(s.askGap, max(maxSubscribeInterval-ev.RequestTime, 0)*2/3)
		s.askAt = s.now + Micros((0.5+s.rng.Float64())*float64(gap))
		s.askGap = min(2*s.askGap, maxSubscribeDelay)
		return
	}
	if s.askAt == never {
		s.askGap = minSubscribeDelay
	}
	s.unsure = 0
	if ev.Kind == UpdateCached {
		s.unsure = s.now + cachedListTime
	}
	if ev.Kind != UpdateDelta {
		s.keepOnly(ev.Entries)
	}
	for _, row := range ev.Entries {
		s.applyEntry(row)
	}
}

func (s *Sender) applyEntry(row EndpointEntry) {
	e := s.eps[row.Endpoint]
	if row.State == Removed {
		if e != nil {
			s.unlist(e)
		}
		return
	}
	d := s.dest(row.Dest)
	d.kind = row.Kind
	s.touch(d)
	if e == nil || e.dest != d {
		if e != nil {
			s.unlist(e)
		}
		e = &endpoint{id: row.Endpoint, dest: d, lane: d.lane, state: Removed}
		e.lastOK, e.lastBad, e.lastSent, e.well, e.okSent = longAgo, longAgo, longAgo, longAgo, longAgo
		if s.kind(d).SeparateRoutes {
			e.lane = &lane{}
		}
		s.eps[e.id] = e
		// A machine that joins a destination in trouble is as cold as the others: what topples it is shared.
		for _, x := range d.eps {
			if x.cold && e.lane == x.lane {
				s.setStatus(e, e.state, x.ejected)
				e.cold, e.backAt, e.trialAt, e.lastBad, e.outAt = true, x.backAt, x.trialAt, x.lastBad, x.outAt
				e.downAt = x.downAt
			}
		}
	}
	if e.state == Removed {
		d.eps = append(d.eps, e)
		if len(d.eps) > 1 {
			d.next = s.rng.IntN(len(d.eps))
		}
	}
	s.setStatus(e, row.State, e.ejected)
	e.zone = row.Zone
	if s.set.Weights != WeightsOff && row.NominalRate > 0 && !e.lane.told {
		e.lane.limit = row.NominalRate
	}
}

// subscribe asks for the list where it comes only on request.
func (s *Sender) subscribe() {
	if s.askAt == never {
		return
	}
	if s.now < s.askAt {
		s.at(s.askAt)
		return
	}
	s.do(Subscribe{})
	s.askAt = never
}

// ---- Queue ---------------------------------------------------------------------------

// rate orders the queue: the worth that waiting a little longer would lose, for each second of a slot.
func (s *Sender) priority(m *msg) float64 {
	u := max(s.medianLatency(m), 10_000)
	soon := s.value(m, s.now+u)
	loss := soon - s.value(m, s.now+u+valueLossHorizon)
	return m.share * (loss + 0.02*soon) / (float64(u) * float64(1+m.dest.lane.inflight))
}

// shareOf is the part of its worth that a new message keeps: less while its tenant sends past its quota here,
// taking an even part of the quota for this sender.
func (s *Sender) quotaFactor(tenant int) float64 {
	if tenant < 0 || tenant >= len(s.set.Tenants) || s.set.Tenants[tenant].QuotaRPS <= 0 {
		return 1
	}
	u := &s.usage[tenant]
	u.n = u.n*math.Exp2(-seconds(s.now-u.at)/seconds(quotaHalfLife)) + 1
	u.at = s.now
	if u.n*math.Ln2/seconds(quotaHalfLife) > s.set.Tenants[tenant].QuotaRPS/float64(s.set.Senders) {
		return s.set.OverQuotaValue
	}
	return 1
}

// usual is the median served latency of m's destination, else of its class; 0 if neither is known.
func (s *Sender) medianLatency(m *msg) Micros { return s.medianLatencyOf(m.dest, m.ci) }

func (s *Sender) medianLatencyOf(d *dest, class int) Micros {
	if d.hist.total >= minSamples {
		return d.hist.median
	}
	if h := &s.byClass[class]; h.total >= minSamples {
		return h.median
	}
	return 0
}

// dispatch sends what the gate lets through, the most urgent first.
func (s *Sender) dispatch() {
	s.trials = s.onTrial()
	q := s.candidates()
	s.visits += len(q) + len(s.wait.looking)
	for _, m := range q {
		m.prio = s.priority(m)
		m.dest.rank = 0
	}
	slices.SortFunc(q, func(a, b *msg) int { return cmp.Or(cmp.Compare(b.prio, a.prio), a.seq-b.seq) })
	for i, m := range q {
		if s.trySend(m) {
			continue
		}
		m.dest.rank += m.stands
		if !s.mayDrop(m) {
			continue
		}
		// What the pace cannot send in time ends now, if the hold has little room: paces and limits come back.
		p := s.destPace(m.dest)
		if p > 0 && m.dest.rank/p > seconds(m.deadline-s.now-s.medianLatency(m)) && s.crowd() > bufferHighWatermark {
			s.endMessage(m)
			continue
		}
		// A nearly full hold gives up its least worthy rather than turning new messages away unseen.
		if s.crowd() > bufferFullWatermark && i >= len(q)-1 && !m.mayRun {
			s.endMessage(m)
		}
	}
	s.file(q, s.blockedByItself)
}

// holdsItself says whether m is held back by what says nothing of other messages for its destination, and
// whether for a known time.
func (s *Sender) blockedByItself(m *msg) (held, timed bool) {
	l, c := m.line, m.class
	if l != nil && l.q[0] != m || m.mayRun && c.DedupPerZone {
		return true, false
	}
	timed = s.now < m.rest || l != nil && s.now < l.quiet && l.by != m ||
		c.Idempotency == NonIdempotent && s.now < m.first+c.TargetLatency
	return timed, timed
}

// free is the number of slots that may be taken: of all, and by trials.
func (s *Sender) freeSlots() [2]int {
	return [2]int{anySlot: max(s.set.CallSlots-s.busy, 0), trialSlot: max(s.maxTrials()-s.trials, 0)}
}

func (s *Sender) maxTrials() int { return max(1, s.set.CallSlots*2/3) }

// mayEnd says whether m may end for want of room: at the door, but once it is taken on and has surely not run
// only when most of its time is gone. Paces come back, and a restart finds many that nothing was tried for.
func (s *Sender) mayDrop(m *msg) bool {
	return m.mayRun || m.fresh == s.step || float64(s.now-m.came) >= minTryShare*float64(m.deadline-m.came)
}

// send tries the endpoints of m's destination in rotation and reports whether one took it.
func (s *Sender) trySend(m *msg) bool {
	d := m.dest
	best := math.Inf(1)
	for _, e := range d.eps {
		if e.slow > 0 && !e.ejected {
			best = min(best, e.slow)
		}
	}
	var pick *endpoint
	rank := 99
	for i := range d.eps {
		e := d.eps[(d.next+i)%len(d.eps)]
		ok, at := s.checkSend(m, e)
		if !ok {
			s.at(at)
			d.backlog.soon = min(d.backlog.soon, at)
			continue
		}
		r := 0
		if !s.joins(e) {
			r++ // a call that leaves anyway comes first
		}
		if s.many && (s.now >= e.warm || e.inflight >= max(s.set.CallsPerConn, 1)) {
			r++ // among many senders connections rarely last until the rotation comes round again
		}
		if e == m.last {
			r += 4 // a resend goes elsewhere where it can
		}
		if e.fulls > 1 {
			r += 2 // refuses while others may not: draining, or a route at its limit
		}
		if e.slow > slowFactor*best && s.now < e.lastSent+slowRetryInterval {
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
		d.next = (slices.Index(d.eps, pick) + 1) % len(d.eps)
	}
	s.startAttempt(m, pick)
	return true
}

func (s *Sender) startAttempt(m *msg, e *endpoint) {
	if !s.joins(e) {
		e.open = &call{step: s.step}
		s.busy++
		e.lane.tokens--
		e.lane.inflight++
		e.inflight++
		s.mark(e)
		e.lane.phase = s.rng.Float64()
		if e.ejected {
			s.delayNextTrial(e)
		}
	}
	a, give := s.fly(m, e), m.deadline-s.now
	if t := 2 * s.stuckTime(e.dest, m); !s.set.MayCancel && (m.class.Idempotency == Idempotent ||
		m.class.Idempotency == IdempotentByKey && s.now+t < m.firstMay+m.class.DedupWindow) {
		give = min(give, t) // nothing can be called off here: let it time out, if it can be sent again then
	}
	s.do(Send{ID: a.m.id, Timeout: give, Endpoint: e.id})
	s.at(s.now + s.stuckTime(e.dest, m) + 1) // looked at in time even if nothing else happens until then
}

// ---- Rules gate ----------------------------------------------------------------------

// gate says whether m may go to e now, and if not, when to look again. Every send of a message passes it.
func (s *Sender) checkSend(m *msg, e *endpoint) (bool, Micros) {
	switch {
	case e.state != Ready || m.over || m.out != nil: // drain; one attempt at a time
		return false, never
	case s.now < max(e.lane.until, m.rest): // told wait
		return false, max(e.lane.until, m.rest)
	case s.set.MaxAttempts > 0 && m.tries >= s.set.MaxAttempts:
		return false, never
	case m.deadline-s.now <= max(s.medianLatency(m), 2*s.set.Tick): // median gate
		return false, never
	}
	if s.closeAt != 0 && s.now+s.expectedDuration(m, e) > s.closeAt { // it stays in the journal for the next start
		return false, never
	}
	if l := m.line; l != nil { // order of its key
		if l.q[0] != m {
			return false, never
		}
		if s.now < l.quiet && l.by != m {
			return false, l.quiet
		}
	}
	if m.mayRun { // effect
		c := m.class
		switch {
		case c.Idempotency == NonIdempotent:
			return false, never
		case c.Idempotency == IdempotentByKey && (c.DedupPerZone && e.zone != m.mayZone ||
			s.now > m.firstMay+c.DedupWindow-s.set.Tick):
			return false, never
		}
	}
	if s.joins(e) {
		return true, 0
	}
	if s.busy >= s.set.CallSlots || e.lane.inflight >= (s.set.CallSlots+1)/2 { // slots
		return false, never
	}
	if at := s.healthAllowsAt(m, e); at > s.now {
		return false, at
	}
	if at := s.slowStartAllowsAt(e); at > s.now {
		return false, at
	}
	if at := s.paceAllowsAt(e.lane); at > s.now {
		return false, at
	}
	return true, 0
}

// lasts is the time that an attempt needs before this sender stops. One that is cut off by the stop is resent
// if its class allows it, but an unsafe one is lost.
func (s *Sender) expectedDuration(m *msg, e *endpoint) Micros {
	if h := &e.dest.hist; m.class.Idempotency != NonIdempotent && h.total >= minSamples {
		return h.p95
	}
	return s.stuckTime(e.dest, m)
}

// health holds messages back from an endpoint that seems out: single trials only, unsafe messages last.
func (s *Sender) healthAllowsAt(m *msg, e *endpoint) Micros {
	if e.ejected {
		switch {
		case e.inflight > 0 || s.trials >= s.maxTrials():
			return never
		case m.class.Idempotency == NonIdempotent && s.now < m.first+m.class.TargetLatency:
			return m.first + m.class.TargetLatency
		}
		return e.trialAt
	}
	if m.class.Idempotency == NonIdempotent && e.bad > nonIdempotentFailureRate && s.now < m.first+m.class.TargetLatency {
		return m.first + m.class.TargetLatency
	}
	// Outages mostly take all endpoints: after one has failed, the others are tried singly until they answer.
	if e.inflight > 0 && e.lane == e.dest.lane {
		for _, x := range e.dest.eps {
			if x.ejected && x.lastBad > e.lastOK && !s.maybeRemoved(x) {
				return never
			}
		}
	}
	return 0
}

// mayBeGone says whether x, which seems out, may just have gone: it has not answered yet, and the list is
// still that of the start, which may be old. That says nothing of its siblings.
func (s *Sender) maybeRemoved(x *endpoint) bool { return s.now < s.unsure && x.lastOK == longAgo }

// slowStart keeps what goes to a destination after an outage under this sender's share of what topples it.
// The endpoints of a lane that are cold share one budget: the lane falls over as a whole.
func (s *Sender) slowStartAllowsAt(e *endpoint) Micros {
	if e.cold && !e.ejected && s.now >= e.backAt+s.set.WarmupTime {
		e.cold = false
	}
	if e.ejected && s.now < e.downAt+minOutage {
		return 0 // a trial so soon cannot meet the return from an outage
	}
	if !e.cold && !slices.ContainsFunc(e.dest.eps, func(x *endpoint) bool {
		// e was not seen to answer while x was out
		return x.cold && x.lane == e.lane && x.outAt >= e.well && !s.maybeRemoved(x)
	}) {
		return 0
	}
	// What went there before the outage is no burden on what comes back: counted, it would hold up the first
	// trial, and with it the return, for a whole window.
	guess := e.lane.limit == 0 && s.set.Senders > 1 // capacity goes by what this sender alone saw
	up, cold, last, long, from := 1.0, 0, []Micros(nil), s.set.OverloadWindow, s.now
	for _, x := range e.dest.eps {
		if x.cold && x.lane == e.lane {
			from = min(from, x.downAt)
		}
	}
	for _, x := range e.dest.eps {
		if (x.cold || x == e) && x.lane == e.lane {
			cold++
			last = append(last, x.sent[len(x.sent)-since(x.sent, from):]...)
			if x.ejected {
				up = min(up, 0)
			} else if x.cold {
				t, w := seconds(s.now-x.backAt), seconds(long)
				switch { // what counts is what x could do in the window, on average; a guess errs further
				case guess:
				case t < w:
					t *= t / (2 * w)
				default:
					t -= w / 2
				}
				up = min(up, t/seconds(s.set.WarmupTime))
			}
		}
	}
	c := s.capacityEstimate(e) * float64(max(cold, 1))
	k := s.set.OverloadMultiple * (s.set.ColdCapacity + (1-s.set.ColdCapacity)*up) * seconds(long)
	n := float64(s.set.Senders)
	if guess && !s.many {
		n = 2 // the best second of one of a few is about twice its part of the traffic
	}
	most := k * c / n
	slices.Sort(last)
	if most < 1 {
		// Many senders: our share is that of our messages among all since the outage began, which add up however
		// many saw it; and one call goes in a longer span, at a time of our own.
		own := outageResendFactor * float64(e.dest.came) / seconds(s.now-e.dest.downAt+assumedOutage)
		if e.lane != e.dest.lane {
			own /= float64(len(e.dest.eps))
		}
		most = max(most, k*min(own, c/2))
		long = Micros(float64(long) / min(most, 1))
		at := max(e.lane.until, e.dest.downAt)
		if n := len(last); n > 0 {
			at = max(at, last[n-1]+long/2)
		}
		if most < 1 {
			return at + Micros(e.lane.phase*float64(long))
		}
	}
	if n := since(last, s.now-long); float64(n+1) > most {
		return last[len(last)-n] + long + 1
	}
	return 0
}

// serve notes a call that a lane has served: its best second is the least that it can do. Calls sent say
// nothing of that: those that a cold lane turns away come again at once, and would widen its budget.
func (s *Sender) recordServed(l *lane) {
	l.served = append(trim(l.served, s.now-Second), s.now)
	l.peak = max(l.peak, float64(since(l.served, s.now-Second)))
}

// capacity is a low guess of the calls a second that an endpoint takes.
func (s *Sender) capacityEstimate(e *endpoint) float64 {
	c := e.lane.limit
	if c == 0 {
		c = max(e.lane.peak, minPace)
	} else if s.set.Weights == WeightsApproximate && !e.lane.told {
		c /= 1.5
	}
	if e.lane == e.dest.lane {
		c /= float64(max(len(e.dest.eps), 1))
	}
	return c
}

// ---- Pace ----------------------------------------------------------------------------

// paced says when the lane may take its next call. A limit that is told bounds the pace from the start; where
// reports tell what is left of it, each of many senders takes its even share of the limit over the part in
// use: were all to send so, it would be just used up. To wait for refusals is too late: they count, so that a
// clump that many senders send at once has all of the next seconds refused.
func (s *Sender) paceAllowsAt(l *lane) Micros {
	r := l.pace
	if l.limit > 0 {
		lim := l.limit
		if s.many && l.told && s.set.LoadRemainingIndex >= 0 {
			lim = max(lim/float64(s.set.Senders)/max(1-l.left, minUsedShare), 1/seconds(maxMeanPause))
		}
		if s.set.Weights == WeightsApproximate && !l.told {
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
	l.tokens = max(l.tokens+r*seconds(s.now-l.filled), -r*seconds(paceInterval))
	l.tokens = min(l.tokens, max(1, r*seconds(burstTime)))
	l.filled = s.now
	if l.tokens >= 1-1e-9 {
		return 0
	}
	return s.now + Micros((1-l.tokens)/r*float64(Second)) + 1
}

// refused slows a lane down: the pace starts at the last second's rate and is halved at most once a second.
func (s *Sender) slowDown(l *lane) {
	if s.now < l.halved+paceInterval && l.pace > 0 {
		return
	}
	switch f := s.paceFloor(l); {
	case f < minPace && s.many: // our part of the limit is known: no need to feel for it
		l.pace = max(f, 1/seconds(maxMeanPause))
	case l.pace == 0:
		l.pace = max(f, float64(since(l.sent, s.now-paceInterval)))
	default:
		l.pace = max(f, l.pace/2)
	}
	l.halved = s.now
	s.paceAllowsAt(l)
	// Others were refused too: the next call comes half a pace early or late, or up to one after a wait.
	l.tokens = min(l.tokens, s.rng.Float64()-0.5)
	if s.many && l.limit == 0 && l.fulls == 0 && since(l.served, s.now-recentAnswer) == 0 {
		// It may be shut: what comes back must not meet all that were refused once in its last seconds.
		l.tokens = min(l.tokens, 1-l.pace*seconds(minFirstPause+Micros(s.rng.Float64()*float64(minFirstPause))))
	}
	if l.until > s.now {
		l.filled, l.tokens = l.until, l.tokens+0.5
	}
}

// floor is one call a second, but no more than an even share of a limit that is told: at a destination that
// counts refused calls, floors alone would use it up. Those of many senders leave room for that to end.
func (s *Sender) paceFloor(l *lane) float64 {
	if l.limit == 0 {
		return minPace
	}
	share := l.limit / float64(s.set.Senders)
	if s.many {
		share *= limitHeadroom
	}
	return min(minPace, share)
}

func (s *Sender) speedUp(l *lane) {
	if l.pace == 0 {
		return
	}
	l.pace += paceGrowth * max(l.pace, l.limit/float64(s.set.Senders))
	if l.pace > paceDropFactor*float64(since(l.sent, s.now-paceInterval)+1) {
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

func (h *hist) add(now, took Micros, cut bool) {
	if h.w == nil {
		h.w = new(weights)
	}
	f := math.Exp2(-float64(now-h.at) / float64(latencyHalfLife))
	h.at = now
	for i := range h.w {
		h.w[i] *= f
	}
	h.total, h.cuts = h.total*f, h.cuts*f
	if cut {
		h.cuts++
	} else {
		h.w[bin(took)]++
		h.total++
	}
	h.recompute()
}

// update finds τ, the edge with the least mean time to an answer under unlimited restarts, and percentiles.
func (h *hist) recompute() {
	h.tau, h.median, h.p95 = 0, 0, 0
	all := h.total + max(h.cuts, 0)
	var m0, m1 float64
	best, bestAt, wait := math.Inf(1), Micros(0), math.Inf(1)
	for i, edge := range binEdges {
		low := Micros(0)
		if i > 0 {
			low = binEdges[i-1]
		}
		m0 += h.w[i]
		m1 += h.w[i] * float64(low+edge) / 2
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
	if h.total >= minRestartSamples && best < maxRestartCost*wait {
		h.tau = bestAt
	}
}

// stuckAfter is the time after which an unanswered call speaks for an outage.
func (s *Sender) stuckTime(d *dest, m *msg) Micros {
	h := &d.hist
	if h.total < minSamples {
		h = &s.byClass[m.ci]
	}
	if h.total < minSamples {
		return defaultStuckTime
	}
	return max(Micros(stuckP95Factor*float64(h.p95)), 3*h.median, minStuckTime)
}

// cutLong calls off attempts at τ, and those that hang at an endpoint that answers nothing.
func (s *Sender) cancelSlow() {
	var oldest *attempt
	s.visits += len(s.flying)
	for _, a := range s.flying {
		if a.cancelled || a.m.flows {
			continue
		}
		e, age := a.ep, s.now-a.at
		stuck := s.stuckTime(e.dest, a.m)
		if !a.stuck && e.lastOK < a.at {
			if a.stuck = age > stuck; a.stuck {
				// No outcome yet, so nothing is known to have failed: hold back, but set no budget.
				s.eject(e, "silent")
			}
		}
		if !a.late && age > stuckCancelFactor*stuck {
			// Ours: a call still out past what is usual counts as lasting past τ until it answers. Else lost
			// answers, with all others quick, never show in the histogram and hold slots to their deadline.
			a.late = true
			e.dest.hist.add(s.now, age, true)
			s.byClass[a.m.ci].add(s.now, age, true)
			s.relearn(e.dest)
		}
		if age <= stuckCancelFactor*stuck {
			s.at(a.at + 1 + stuck*Micros(1+min(age/max(stuck, 1), stuckCancelFactor-1)))
		}
		if a.m.over || !s.set.MayCancel {
			continue
		}
		if s.isLastAttempt(a.m) {
			if age > stuckCancelFactor*stuck && (oldest == nil || a.at < oldest.at) {
				oldest = a
			}
			continue
		}
		long := stuck << a.m.cuts
		if a.stuck && e.ejected && (age > stuckCancelFactor*long || age > long && s.elsewhere(e)) {
			a.m.cuts = min(a.m.cuts+1, maxRestarts)
			s.cancel(a)
			continue
		}
		h := &e.dest.hist
		if h.total < minRestartSamples {
			h = &s.byClass[a.m.ci]
		}
		if h.tau > 0 && s.mayRestart(a) {
			limit := max(h.tau<<a.m.cuts, long)
			if age > limit {
				a.cut = true
				a.m.cuts++
				s.cancel(a)
			} else {
				s.at(a.at + limit + 1)
			}
		}
	}
	// What cannot be sent again may wait; but not with the last slot, while others could go.
	if oldest != nil && s.busy >= s.set.CallSlots && s.set.CallSlots > 0 && s.wait.count > oldest.m.dest.waiting() {
		s.cancel(oldest)
	}
}

// lastTry says whether a call that is out is the last that m may have: called off it fails, left it may be
// answered.
func (s *Sender) isLastAttempt(m *msg) bool {
	c := m.class
	return c.Idempotency == NonIdempotent || c.Idempotency == IdempotentByKey && s.now > m.firstMay+c.DedupWindow-min(resendMargin, c.DedupWindow/4)
}

// mayRestart: a restart must have attempts and time left, and must not add to the load of a destination that
// refuses or recovers, unless the call holds one of the last slots.
func (s *Sender) mayRestart(a *attempt) bool {
	m, e := a.m, a.ep
	if m.cuts >= maxRestarts || s.set.MaxAttempts > 0 && m.tries >= s.set.MaxAttempts {
		return false
	}
	if s.busy < s.set.CallSlots && (e.lane.pace > 0 || e.cold) {
		return false
	}
	return m.deadline-s.now > 2*max(s.medianLatency(m), e.dest.hist.tau)
}

// ---- Outcomes ------------------------------------------------------------------------

func (s *Sender) handleResult(r AttemptResult) {
	m := s.msgs[r.ID]
	if m == nil || m.out == nil || m.out.n != r.Attempt {
		return
	}
	a, e := m.out, m.out.ep
	lastOfCall := s.landed(a)
	x, crowded := s.turned[e.dest.kind]*(1-refusalAlpha), s.isConnShortage(r)
	switch {
	case crowded:
		s.short[e.dest.kind] = s.now + connShortageTime
	case r.Outcome == Refused && !s.hasLoadReports():
		x += refusalAlpha
	}
	s.turned[e.dest.kind] = x
	s.report(e, r.Load)
	if r.Outcome == Delivered || r.Outcome == Refused || r.Outcome == Errored {
		e.resets = 0
	}
	if r.Outcome == LocalFailure {
		m.tries--
	}
	if r.Outcome != Refused && r.Outcome != ConnRefused && r.Outcome != Skipped && r.Outcome != LocalFailure {
		m.mayRun = true
	}
	if r.RetryAfter > 0 { // it binds with any outcome: the answer to a batch may tell one and have taken some on
		e.lane.until = max(e.lane.until, s.now+r.RetryAfter)
	}
	if m.line != nil && (r.Outcome == TimedOut || r.Outcome == ConnLost || r.Outcome == Cancelled) {
		m.line.quiet, m.line.by = max(m.line.quiet, s.now+s.set.KeyCooldown), m
	}
	switch r.Outcome {
	case Delivered:
		for _, h := range []*hist{&e.dest.hist, &s.byClass[m.ci]} {
			if a.late {
				h.cuts--
			}
			h.add(s.now, r.Latency, false)
		}
		e.slow += failureAlpha * (float64(r.Latency) - e.slow)
		if e.slow == 0 {
			e.slow = float64(r.Latency)
		}
		s.recordSuccess(e, a.at)
		if lastOfCall { // the pace and the capacity count calls
			s.recordServed(e.lane)
			s.speedUp(e.lane)
		}
	case Refused:
		if crowded {
			m.rest = s.now + Micros((0.5+s.rng.Float64())*float64(Micros(connShortageBackoff)<<min(m.tries-1, 5)))
			if lastOfCall {
				s.recordConnShortage(e)
			}
			break
		}
		if lastOfCall { // a batch is one call: one refusal
			s.recordRefusal(e, r.RetryAfter)
		}
	case Cancelled, TimedOut:
		if a.cut {
			if !a.late {
				e.dest.hist.add(s.now, s.now-a.at, true)
			}
			e.slow += failureAlpha * max(0, float64(s.now-a.at)-e.slow)
		} else if a.stuck && e.lastOK < a.at {
			s.recordFailure(e, "silent")
		}
	case ConnLost:
		m.rest = s.now + errorBackoff
	case Errored:
		m.rest = s.now + errorBackoff<<min(m.tries, 5)
	}
	if lastOfCall { // a batch is one call: one sign
		s.recordOutcome(e, r.Outcome)
		if e.ejected && r.Outcome != Skipped && r.Outcome != LocalFailure {
			s.recordWellSiblings(e, a.at)
		}
	}
	e.warm = s.now + s.set.ConnIdleTimeout
	if s.many && e.inflight == 0 {
		s.spare = append(s.spare, e)
	}
	s.relearn(e.dest)
	s.touch(e.dest)
	if r.Final || m.over {
		s.close(m)
		return
	}
	if s.endIfExhausted(m); !m.over {
		s.enqueue(m)
	}
}

// giveBack releases the connections that nothing needs now. Those of many senders, idle ones counted, fill
// an endpoint: each keeps one, and who comes later is turned away. Where a kind turns calls away none stays;
// else only those that we use rarely are given back, unless new ones are dear.
func (s *Sender) releaseIdleConns() {
	for _, e := range s.spare {
		n := len(e.sent)
		rare := s.set.ConnCost < expensiveConnCost && (n < 2 || s.now-e.sent[n-2] > connReuseInterval)
		if e.inflight == 0 && (rare || s.turned[e.dest.kind] > maxIdleConnRefusalRate || s.now < s.short[e.dest.kind]) {
			e.warm = s.now
			s.do(ReleaseConns{e.id})
		}
	}
	s.spare = s.spare[:0]
}

// sign notes what the end of a call at e says of an outage there.
func (s *Sender) recordOutcome(e *endpoint, o Outcome) {
	switch o {
	case Unreadable: // from any endpoint alike, so it tells nothing of health unless nothing else comes
		if e.spoilt++; e.spoilt >= outageUnreadable {
			s.recordFailure(e, "spoilt answers")
		}
	case ConnRefused:
		if e.resets++; e.resets > 1 || e.lastOK < s.now-recentAnswer {
			s.recordFailure(e, "refuses connections")
		}
	case ConnLost:
		// A connection that breaks may be at fault itself: one that was kept too long, a box in between. An
		// endpoint that is down breaks all, and takes no new ones.
		if e.resets++; e.resets >= outageResets || e.ejected {
			s.recordFailure(e, "resets")
		}
	case Errored:
		s.recordFailure(e, "errors")
	}
}

// succeeded notes an answer to what was sent at a time. One sent before the last failure tells nothing of a
// return: else a call that was under way when a destination shut would end the watch before it opens.
func (s *Sender) recordSuccess(e *endpoint, sent Micros) {
	if e.ejected && sent < e.lastBad {
		return
	}
	if e.ejected { // one that was silent for long comes back as cold as one that was seen to fail
		s.log("endpoint %d answers again", e.id)
		s.setStatus(e, e.state, false)
		e.backAt, e.trialGap = s.now, 0
		e.cold = sent >= e.downAt+minOutage || e.cold && e.bad*(1-failureAlpha) > outageFailureRate
	}
	e.okSent = max(e.okSent, sent)
	e.lastOK = s.now
	e.fails, e.fulls, e.spoilt, e.lane.fulls = 0, 0, 0, 0
	e.bad *= 1 - failureAlpha
}

// vouch notes which siblings of x are well by themselves: a call that was sent to x at a time has failed, and
// they answered one that was sent since x was out and before that. An answer alone may come of the return of
// all, with x not tried since.
func (s *Sender) recordWellSiblings(x *endpoint, sent Micros) {
	for _, e := range x.dest.eps {
		if e != x && e.lane == x.lane && e.okSent > x.outAt && e.okSent < sent {
			e.well = s.now
		}
	}
}

// failed notes a sign of an outage at e: an error, a reset, no connection or no answer.
func (s *Sender) recordFailure(e *endpoint, how string) {
	e.fails++
	e.lastBad = s.now
	e.bad += failureAlpha * (1 - e.bad)
	if e.fails >= 2 || e.bad > outageFailureRate || how != "errors" {
		s.ejectFailed(e, how)
	}
}

// full notes a refusal; refusals in a row over longer than a limit's window, or a long told wait, mean shut.
// Many senders come too rarely to tell by four: those that were refused twice would topple what opens again.
func (s *Sender) recordRefusal(e *endpoint, wait Micros) {
	s.slowDown(e.lane)
	e.fulls++
	l := e.lane
	if l.fulls++; l.fulls == 1 {
		l.firstFull = s.now
	}
	if e.ejected || wait > outageRetryAfter || (l.fulls >= outageRefusals || s.many && l.fulls > 1) &&
		s.now-l.firstFull > outageRefusalSpan {
		e.lastBad = s.now
		s.ejectFailed(e, "refuses all")
	}
}

// crowded says whether a call was turned away for want of a connection. Where answers carry reports such a
// refusal has none: it comes before anything that knows of limits.
func (s *Sender) isConnShortage(r AttemptResult) bool {
	return r.Outcome == Refused && r.RetryAfter == 0 && len(r.Load) == 0 && s.hasLoadReports()
}

// reports says whether answers here carry reports.
func (s *Sender) hasLoadReports() bool { return s.told > 0 }

// noPlace notes a call for which e had no connection. It says nothing of a limit, and many in a row mean no
// more than that others hold the places, unless nothing else has come from e for long.
func (s *Sender) recordConnShortage(e *endpoint) {
	if e.fulls++; e.ejected || e.fulls >= outageConnShortages && s.now-e.lastOK > outageRefusalSpan {
		e.lastBad = s.now
		s.ejectFailed(e, "has no connection")
	}
}

// ejectCold ejects an endpoint that has failed: after its return there is a budget.
func (s *Sender) ejectFailed(e *endpoint, how string) {
	s.eject(e, how)
	if !e.cold {
		e.cold, e.downAt = true, e.lastOK
		e.dest.came, e.dest.downAt = 1, s.now
	}
}

// eject takes an endpoint out of rotation (outlier ejection): from now on single trials.
func (s *Sender) eject(e *endpoint, how string) {
	if !e.ejected {
		s.log("endpoint %d out: %s", e.id, how)
		e.outAt = s.now
		s.setStatus(e, e.state, true)
		e.trialGap, e.trialAt = minTrialInterval, s.now+minTrialInterval
		if !e.cold {
			e.downAt = s.now
		}
	}
}

func (s *Sender) delayNextTrial(e *endpoint) {
	e.trialGap = min(2*max(e.trialGap, minTrialInterval), maxTrialInterval)
	e.trialAt = s.now + e.trialGap*Micros(80+s.rng.IntN(40))/100
}

// ---- Endings -------------------------------------------------------------------------

// end is the one place where a message ends by our word: refused if no attempt may have run, else failed.
func (s *Sender) endMessage(m *msg) {
	if m.over {
		return
	}
	if m.mayRun || m.out != nil {
		s.do(Fail{ID: m.id})
		if m.out != nil {
			s.cancel(m.out)
		}
	} else {
		s.do(Reject{ID: m.id, RetryAfter: s.retryAdvice()})
	}
	s.close(m)
}

// advice tells a client when to come again: as late as it heeds, since what turned it away lasts.
func (s *Sender) retryAdvice() Micros {
	if !s.set.RetryAfter {
		return 0
	}
	return s.set.MaxRetryAfter
}

// resume takes up a message where a restart cut it off: its attempts count, and one without an outcome may
// have run. What may not be sent again ends at once.
func (s *Sender) restoreHistory(m *msg, p History) {
	if p.Attempts == 0 {
		return
	}
	m.tries = p.Attempts
	if m.mayRun = p.MayHaveRun; m.mayRun {
		m.firstMay, m.mayZone = s.now-p.Age, p.Zone
	}
	s.endIfExhausted(m)
}

// endIfStuck ends a message that no further attempt can help.
func (s *Sender) endIfExhausted(m *msg) {
	c := m.class
	switch {
	case m.out != nil || m.over:
	case m.mayRun && c.Idempotency == NonIdempotent,
		s.set.MaxAttempts > 0 && m.tries >= s.set.MaxAttempts,
		m.mayRun && c.Idempotency == IdempotentByKey && s.now > m.firstMay+c.DedupWindow-s.set.Tick:
		s.endMessage(m)
	}
}

// endHopeless ends messages whose time is nearly up: unsent ones at a usual call's time before the deadline.
func (s *Sender) endExpired() {
	var q []*msg
	for i := range s.wait.expiries {
		for x := &s.wait.expiries[i]; len(x.items) > 0; s.visits++ {
			g := x.items[0]
			m := g.queue.items[0]
			if at := m.ends[g.kind] - s.minTimeLeft(g); at > s.now {
				s.at(at)
				break
			}
			s.dequeue(m)
			q = append(q, m)
		}
	}
	s.visits += len(s.flying)
	for _, a := range s.flying {
		if a.m.flows || a.m.over {
			continue
		}
		if at := a.m.deadline - s.endMargin(); at > s.now {
			s.at(at)
		} else {
			q = append(q, a.m)
		}
	}
	slices.SortFunc(q, func(a, b *msg) int { return a.seq - b.seq })
	for _, m := range q {
		s.endMessage(m)
	}
}

// need is the time that a message has to have left to be worth sending. Within its window it has to be sent,
// not answered.
func (s *Sender) minTimeLeft(g *expiry) Micros {
	if g.kind == byWindow {
		return s.endMargin()
	}
	return max(s.endMargin(), s.medianLatencyOf(g.dest, g.class))
}

// lastMoment is the time before its deadline at which a message ends in any case.
func (s *Sender) endMargin() Micros { return 2 * max(s.set.Tick, 1000) }

// ---- Timers and age ------------------------------------------------------------------

// ageOut drops the state of a destination that was long idle, once a message for it comes.
func (s *Sender) resetIfIdle(d *dest) {
	if s.now-d.used > idleDestinationTTL && d.lane.inflight == 0 {
		d.hist, d.lane.pace = hist{}, 0
		s.relearn(d)
	}
	d.used = s.now
}

// arm sets a timer for the next thing to be done, unless one that goes off by then is out.
func (s *Sender) setTimer() {
	if s.wake == never {
		return
	}
	s.wake = max(s.wake, s.now+max(s.set.Tick, 1000))
	if s.timer > s.now && s.timer <= s.wake {
		return
	}
	s.timer = s.wake
	s.do(SetTimer{Wait: s.wake - s.now, Token: uint64(s.step)})
}
