package logic

// Which messages share a call, and what happens to a message that is cancelled while its call goes on.

// joinsOpenCall reports whether m, if it is sent to e now, goes in a call that this step already makes.
func (s *Sender) joinsOpenCall(m *msg, e *endpoint) bool {
	c := e.openCall
	return c != nil && c.step == s.step && c.messages < s.maxBatch(e) && s.fitsInCall(m, c)
}

// maxBatch is the number of messages that one call to e may carry.
func (s *Sender) maxBatch(e *endpoint) int {
	if e.kind >= 0 && e.kind < len(s.cfg.Kinds) {
		return s.cfg.Kinds[e.kind].MaxBatch
	}
	return 1
}

// fitsInCall reports whether a call has room for the bytes of m.
func (s *Sender) fitsInCall(m *msg, c *call) bool {
	return s.cfg.MaxCallBytes == 0 || c.bytes+m.size <= s.cfg.MaxCallBytes
}

// attemptInFlight returns the attempt in flight with this number; nil if there is none.
func (m *msg) attemptInFlight(number int) *attempt {
	for _, a := range []*attempt{m.inFlight, m.abandoned} {
		if a != nil && a.number == number {
			return a
		}
	}
	return nil
}

// waitsUntil is the time from which the message of a no longer waits for its answer; never if that is not
// decided.
func (s *Sender) waitsUntil(a *attempt) Micros {
	switch {
	case a.cancelled:
		return a.cancelledAt
	case a.timeoutAt != 0:
		return a.timeoutAt
	}
	return never
}

// abandonIfShared abandons an attempt that was cancelled or has timed out, if its call goes on for other
// messages. The message may then be sent again beside it, where that is allowed. Until the call ends, the
// attempt remains in flight: it keeps its slot, and later messages with the same order key wait. A message
// has one such attempt at most, so that no more than two are in flight at once.
func (s *Sender) abandonIfShared(a *attempt) {
	m := a.msg
	if !s.cfg.SecondCopies || a.abandoned || m.abandoned != nil || m.ended || s.waitsUntil(a) == never {
		return
	}
	// The result of a call that ends with the cancellation arrives within this time.
	if at := s.waitsUntil(a) + 2*max(s.cfg.Tick, 1000); s.now < at {
		s.wakeBy(at)
		return
	}
	if !s.goesOn(a.call) {
		return
	}
	a.abandoned = true
	m.inFlight, m.abandoned, m.mayHaveRun = nil, a, true
	s.recordUnanswered(a)
	s.latencyChanged(m.dest)
	s.resendOrEnd(m)
}

// goesOn reports whether a message still waits for the answer to c.
func (s *Sender) goesOn(c *call) bool {
	for _, a := range s.inFlight {
		if a.call == c && s.waitsUntil(a) > s.now {
			return true
		}
	}
	return false
}

// recordUnanswered records an attempt whose message has stopped waiting for the answer.
func (s *Sender) recordUnanswered(a *attempt) {
	e := a.endpoint
	if a.restarted {
		if !a.censored {
			e.dest.latency.add(s.now, s.now-a.sentAt, true)
		}
		e.smoothedLatency += failureAlpha * max(0, float64(s.now-a.sentAt)-e.smoothedLatency)
		return
	}
	if e.unanswered++; e.unanswered == 1 {
		e.unansweredSince = a.sentAt
		s.healthChanged(e.dest)
	}
	silent := e.unanswered >= outageUnanswered && s.now-e.unansweredSince > s.stuckTime(e.dest, a.msg)
	if (a.stuck || silent) && e.lastOK < a.sentAt {
		s.recordFailure(e, "no answer")
	}
}
