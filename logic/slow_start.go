package logic

import (
	"math"
	"slices"
)

// Slow start: after an outage a destination is cold, and all senders together must not send it more than it
// bears.

// setCold sets whether calls to e are limited as after an outage. The share of the limiter is taken at the
// first sign of an outage and holds until no endpoint behind it is cold.
func (s *Sender) setCold(e *endpoint, cold bool) {
	if cold == e.cold {
		return
	}
	if cold && !s.hasCold(e.limiter, e.dest) {
		e.limiter.share = s.servedRate(e.limiter)
	}
	e.cold = cold
	s.healthChanged(e.dest)
}

// hasCold reports whether an endpoint of d that uses l is cold.
func (s *Sender) hasCold(l *limiter, d *dest) bool {
	return slices.ContainsFunc(d.endpoints, func(x *endpoint) bool { return x.cold && x.limiter == l })
}

// slowStartAllowsAt is the time from which a call may be sent to e without exceeding this sender's share of
// the load under which a destination fails again after an outage. The cold endpoints that share a limiter
// share one budget, because they fail together.
func (s *Sender) slowStartAllowsAt(e *endpoint) Micros {
	if e.cold && !e.ejected && s.now >= e.upAt+s.cfg.WarmupTime {
		s.setCold(e, false)
	}
	if e.ejected && s.now < e.downAt+minOutage {
		return 0 // an outage cannot have ended yet
	}
	if !e.cold && !slices.ContainsFunc(e.dest.endpoints, func(x *endpoint) bool {
		// e is not known to have answered while x was ejected
		return x.cold && x.limiter == e.limiter && x.ejectedAt >= e.healthyAt && !s.maybeRemoved(x)
	}) {
		return 0
	}
	window := s.cfg.OverloadWindow
	warmth, shared, recent := s.warmthAndCalls(e)
	allowed := s.cfg.OverloadMultiple * (s.cfg.ColdCapacity + (1-s.cfg.ColdCapacity)*warmth) * seconds(window)
	budget := allowed * s.shareOfCapacity(e, allowed, shared)
	if budget < 1 {
		return s.spacedAt(e, recent, budget)
	}
	if n := countAfter(recent, s.now-window); float64(n+1) > budget {
		return recent[len(recent)-n] + window + 1
	}
	return 0
}

// minBudget is the least budget that a pause is derived from.
const minBudget = 1e-3

// spacedAt is the time of the next call if the budget is less than one call: one call in a longer window, at
// a random time.
func (s *Sender) spacedAt(e *endpoint, recent []Micros, budget float64) Micros {
	interval := Micros(float64(s.cfg.OverloadWindow) / max(budget, minBudget))
	at := max(e.limiter.waitUntil, e.dest.outageSeenAt)
	if n := len(recent); n > 0 {
		at = max(at, recent[n-1]+interval/2)
	}
	return at + Micros(e.limiter.jitter*float64(interval))
}

// warmthAndCalls returns the progress of the recovery behind e's limiter, from 0 to 1, the number of
// endpoints that share the budget there, and the times of the calls to them that count.
func (s *Sender) warmthAndCalls(e *endpoint) (warmth float64, shared int, recent []Micros) {
	// Calls sent before the outage are no load on the destination that recovers. Counting them would delay the
	// first trial, and with it the recovery, by a whole window.
	countFrom := s.now
	for _, x := range e.dest.endpoints {
		if x.cold && x.limiter == e.limiter {
			countFrom = min(countFrom, x.downAt)
		}
	}
	warmth = 1
	for _, x := range e.dest.endpoints {
		if !x.cold && x != e || x.limiter != e.limiter {
			continue
		}
		shared++
		recent = append(recent, x.sentAt[len(x.sentAt)-countAfter(x.sentAt, countFrom):]...)
		warmth = min(warmth, s.warmthOf(x))
	}
	slices.Sort(recent)
	return warmth, shared, recent
}

// warmthOf is the progress of the recovery of x, from 0 to 1, as a mean over the window in which calls count.
func (s *Sender) warmthOf(x *endpoint) float64 {
	switch {
	case x.ejected:
		return 0
	case !x.cold:
		return 1
	}
	t, w := seconds(s.now-x.upAt), seconds(s.cfg.OverloadWindow)
	if t < w {
		t *= t / (2 * w)
	} else {
		t -= w / 2
	}
	return t / seconds(s.cfg.WarmupTime)
}

// shareOfCapacity is this sender's share, in calls per second, of the capacity of the cold endpoints behind
// e's limiter. The shares of all senders add up to at most that capacity, however the traffic is spread among
// the senders.
func (s *Sender) shareOfCapacity(e *endpoint, allowed float64, shared int) float64 {
	part := 1.0
	if e.limiter == e.dest.limiter {
		part = float64(max(shared, 1)) / float64(max(len(e.dest.endpoints), 1))
	}
	own := s.ownShare(e) * part
	if e.limiter.limit == 0 {
		return own
	}
	even := s.capacityEstimate(e) * float64(max(shared, 1)) / float64(s.cfg.Senders)
	if allowed*even >= 1 {
		return even
	}
	return (even + own) / 2
}

// ownShare is the rate at which calls of this sender were served before the outage. For a sender without such
// calls it is the rate at which messages have arrived since it noticed the outage. Of several senders none
// takes more than half of the calls that it saw served in a second, and each takes an even share of the
// lowest pace.
func (s *Sender) ownShare(e *endpoint) float64 {
	rate := e.limiter.share
	if rate == 0 {
		rate = outageResendFactor * float64(e.dest.arrivals) / seconds(s.now-e.dest.outageSeenAt+assumedOutage)
		if e.limiter != e.dest.limiter {
			rate /= float64(max(len(e.dest.endpoints), 1))
		}
	}
	if s.cfg.Senders == 1 {
		return max(rate, minPace)
	}
	rate = min(rate, max(e.limiter.peakRate, minPace)/2)
	return max(rate, minPace/float64(s.cfg.Senders))
}

// recordServed counts a call that was answered with success. The peak rate of such calls is a lower bound of
// the capacity behind the limiter. The rate of sent calls is not: those that a cold destination refuses are
// resent at once and would raise its budget.
func (s *Sender) recordServed(l *limiter) {
	l.servedAt = append(dropBefore(l.servedAt, s.now-Second), s.now)
	l.peakRate = max(l.peakRate, float64(countAfter(l.servedAt, s.now-Second)))
	l.servedWeight = l.servedWeight*s.servedDecay(l.servedWeightAt) + 1
	l.servedWeightAt = s.now
}

// servedDecay is the weight of a successful call at time t.
func (s *Sender) servedDecay(t Micros) float64 {
	return math.Exp2(-seconds(s.now-t) / seconds(servedHalfLife))
}

// servedRate is the mean rate of successful calls, weighted by age. All senders weight alike, so the rates of
// a fleet add up to a mean of what the destination served, which is at most its capacity.
func (s *Sender) servedRate(l *limiter) float64 {
	since := min(l.servedSince, s.now-minServedTime)
	total := (1 - s.servedDecay(since)) * seconds(servedHalfLife) / math.Ln2
	return l.servedWeight * s.servedDecay(l.servedWeightAt) / total
}

// capacityEstimate is a low estimate of the calls per second that an endpoint can take.
func (s *Sender) capacityEstimate(e *endpoint) float64 {
	c := e.limiter.limit
	if c == 0 {
		c = max(e.limiter.peakRate, minPace)
	} else if s.cfg.Weights == WeightsApproximate && !e.limiter.reported {
		c /= 1.5
	}
	if e.limiter == e.dest.limiter {
		c /= float64(max(len(e.dest.endpoints), 1))
	}
	return c
}
