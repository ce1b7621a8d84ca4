package logic

import "slices"

// What a sender knows about outages outlives its process: it is recorded with each change and restored at the
// next start. Otherwise a new process would treat a destination that has just come back as healthy.

// DestinationHealth is what a sender knows about outages of a destination. All times are on the clock of
// Step.
type DestinationHealth struct {
	Dest         int64
	Kind         int
	Arrivals     int    // messages that arrived since the last outage began
	OutageSeenAt Micros // when the sender noticed that outage
	Endpoints    []EndpointHealth
}

// EndpointHealth is what a sender knows about an outage of an endpoint.
type EndpointHealth struct {
	Endpoint EndpointID
	Ejected  bool   // out of rotation as failed
	Cold     bool   // its calls are limited, as after an outage
	Since    Micros // start of the outage
	SeenAt   Micros // when the endpoint was ejected or first suspected
	UpAt     Micros // end of the outage
	LastFail Micros
	SentAt   []Micros // the latest calls that count towards its budget
	Share    float64  // the sender's share of the capacity behind its limiter, in calls per second
	Limit    float64  // calls per second of all senders together, as reported; 0 if not reported
	PeakRate float64  // most calls served within a second
}

// RecordHealth asks the caller to store the health of a destination in place of what it has stored before.
// Without endpoints there is nothing to store. The record has to be written before the other actions of the
// step.
type RecordHealth struct{ Health DestinationHealth }

// HealthRestored passes a stored health to a new Sender, after the first list and before any message.
type HealthRestored struct{ Health DestinationHealth }

// suspect reports whether the latest calls to e have failed or were refused, with no success since.
func (e *endpoint) suspect() bool {
	return e.failures > 0 || e.refusals > 0 || e.unanswered > 0 || e.limiter.refusals > 0
}

// healthChanged has the health of d recorded at the end of the step.
func (s *Sender) healthChanged(d *dest) {
	if d.healthStep == s.step {
		return
	}
	d.healthStep = s.step
	s.changedHealth = append(s.changedHealth, d)
}

// recordHealth emits the health of the destinations where it has changed.
func (s *Sender) recordHealth() {
	for _, d := range s.changedHealth {
		s.emit(RecordHealth{s.healthOf(d)})
	}
	s.changedHealth = nil
}

// healthOf returns the health of d, with the endpoints that are not known to be healthy.
func (s *Sender) healthOf(d *dest) DestinationHealth {
	health := DestinationHealth{Dest: d.id, Kind: d.kind, Arrivals: d.arrivals, OutageSeenAt: d.outageSeenAt}
	for _, e := range s.siblingsOrReplaced(d) {
		if !e.ejected && !e.cold && !e.suspect() {
			continue
		}
		x := EndpointHealth{
			Endpoint: e.id,
			Ejected:  e.ejected,
			Cold:     e.cold,
			Since:    e.downAt,
			SeenAt:   e.ejectedAt,
			UpAt:     e.upAt,
			LastFail: e.lastFail,
			SentAt:   slices.Clone(e.sentAt[len(e.sentAt)-countAfter(e.sentAt, s.now-s.cfg.OverloadWindow):]),
			Share:    e.limiter.share,
			PeakRate: e.limiter.peakRate,
		}
		if e.limiter.reported {
			x.Limit = e.limiter.limit
		}
		if !e.ejected && !e.cold {
			x.Since, x.SeenAt, x.LastFail = max(e.lastOK, s.now-maxSuspectTime), s.now, s.now
			x.Share = s.servedRate(e.limiter)
		}
		health.Endpoints = append(health.Endpoints, x)
	}
	return health
}

// maxSuspectTime is the longest time before the first failed call that counts as part of a suspected outage.
const maxSuspectTime = 2 * minOutage

// restoreHealth continues with what an earlier process knew about a destination. An endpoint that was only
// suspected counts as ejected: this process has no answer of it yet.
func (s *Sender) restoreHealth(health DestinationHealth) {
	d := s.destByID(health.Dest)
	if len(d.endpoints) == 0 {
		d.kind = health.Kind
	}
	d.arrivals, d.outageSeenAt = health.Arrivals, min(health.OutageSeenAt, s.now)
	for _, x := range health.Endpoints {
		s.restoreEndpoint(d, x)
	}
	s.scheduleScan(d)
	s.healthChanged(d)
}

func (s *Sender) restoreEndpoint(d *dest, x EndpointHealth) {
	suspected := !x.Ejected && !x.Cold
	if x.Cold && !x.Ejected && s.now >= x.UpAt+s.cfg.WarmupTime {
		return
	}
	e := s.endpoints[x.Endpoint]
	if e == nil {
		e = s.addEndpoint(x.Endpoint, d)
		e.removedAt = s.now
		s.removed = append(s.removed, e)
	}
	if e.dest != d {
		return
	}
	l := e.limiter
	l.share, l.peakRate = x.Share, max(l.peakRate, x.PeakRate)
	if x.Limit > 0 && !l.reported {
		l.limit, l.reported = x.Limit, true
		if l == d.limiter {
			s.reportedLimits++
		}
	}
	l.jitter = s.rng.Float64()
	e.cold = x.Cold || suspected
	s.setStatus(e, e.state, x.Ejected || suspected)
	e.downAt, e.ejectedAt, e.upAt, e.lastFail = x.Since, x.SeenAt, x.UpAt, x.LastFail
	e.lastOK, e.sentAt = max(x.Since, longAgo+1), x.SentAt
	e.trialInterval, e.trialAt = minTrialInterval, s.now
	if suspected {
		d.arrivals, d.outageSeenAt = 1, x.SeenAt
	}
}
