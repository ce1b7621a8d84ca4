package node

import (
	"context"
	"time"
)

const (
	closeIdleDelay = 500 * time.Millisecond // from the first refused PING until idle connections are closed
	newConnTimeout = time.Second            // from then on, for the first request on a new connection to begin

	// maxClosingTime is how long a connection without an idle moment stays in use once idle connections are closed.
	// Operators expect it to end within 4 s of their call, delays and a lingering close included.
	maxClosingTime = 2 * time.Second
)

// phase is the state of client service. It is shared by PING, the operators' ready call, the readers of clients'
// connections and the shutdown.
type phase int

const (
	starting phase = iota // clients are not served yet
	waiting               // not served yet; the owner is about to hand over
	serving
	draining // connections are closed when idle, until an operator resumes service
	stopping // connections are closed when idle, until the process exits
	replaced // the successor serves, and clients reconnect to it
)

func (p phase) String() string {
	return [...]string{"starting", "waiting", "serving", "draining", "stopping", "replaced"}[p]
}

func (c *clientServer) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// setPhaseByOperator sets the phase to p for an operator and returns the resulting phase. Only a serving sender can be
// drained, and only a draining one resumed; in other phases nothing changes.
func (c *clientServer) setPhaseByOperator(p phase) phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving || c.phase == draining {
		c.setPhaseLocked(p)
	}
	return c.phase
}

// setPhase sets the phase to p. The phases stopping and replaced are final.
func (c *clientServer) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != stopping && c.phase != replaced {
		c.setPhaseLocked(p)
	}
}

// restorePhase returns to the phase p from replaced, after a handover that has failed in its last step.
func (c *clientServer) restorePhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setPhaseLocked(p)
}

// setPhaseLocked sets the phase; c.mu must be held. A draining or stopping sender closes its connections gradually:
// PING fails at once, but connections are closed only after closeIdleDelay, when those that the front end still routes
// here have arrived.
func (c *clientServer) setPhaseLocked(p phase) {
	previous := c.phase
	c.phase = p
	if previous != p {
		c.log.Info("state", "from", previous.String(), "to", p.String())
	}
	switch {
	case p == serving:
		c.closingIdle = false
		c.closeIdleTimer.Stop()
	case p == replaced:
		c.closeIdleLocked()
	case (p == draining || p == stopping) && previous != draining: // otherwise the delay has already started
		c.closeIdleTimer.Reset(closeIdleDelay)
	}
}

// startClosingIdle begins to close connections without an open request, unless service was resumed in the meantime.
func (c *clientServer) startClosingIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		c.closeIdleLocked()
	}
}

// closeIdleLocked shortens the read deadlines of connections that have no request partly read; c.mu must be held.
func (c *clientServer) closeIdleLocked() {
	c.closingIdle, c.closingIdleSince = true, time.Now()
	for s := range c.sessions {
		if !s.readingRequest { // a request that has begun to arrive is read to its end
			s.conn.SetReadDeadline(s.idleDeadline(time.Now()))
		}
	}
}

// idleDeadline returns the time until which a connection may stay without a request. The lock of clientServer must be
// held.
func (s *session) idleDeadline(now time.Time) time.Time {
	timeout := clientIdleTimeout
	if s.noRequestYet {
		timeout = firstRequestTimeout
	}
	if s.server.closingIdle {
		if !s.noRequestYet {
			return now
		}
		timeout = newConnTimeout
	}
	if s.noRequestYet {
		return s.openedAt.Add(timeout)
	}
	return now.Add(timeout)
}

// closeBy returns the time by which the connection ends even if it is never idle, and false if there is none. The lock of
// clientServer must be held.
func (s *session) closeBy() (at time.Time, ok bool) {
	if !s.server.closingIdle {
		return time.Time{}, false
	}
	start := s.server.closingIdleSince
	if s.openedAt.After(start) {
		start = s.openedAt
	}
	return start.Add(maxClosingTime), true
}

// isLastRequest reports whether the request that has begun to arrive is the last one on the connection: others have
// arrived without a pause until closeBy.
func (s *session) isLastRequest() bool {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	closeBy, ok := s.closeBy()
	return ok && !time.Now().Before(closeBy)
}

// stopReadingAt sets the time after which no request is accepted. Clients keep sending for as long as a connection is
// open, and a request must not arrive when the loop can no longer reply to it.
func (c *clientServer) stopReadingAt(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCutoff = at
}

// pastReadCutoff reports whether that time has passed; c.mu must be held.
func (c *clientServer) pastReadCutoff() bool {
	return !c.readCutoff.IsZero() && !time.Now().Before(c.readCutoff)
}

// awaitClosed waits until all clients' connections are closed or ctx is done. The listener must be closed before.
func (c *clientServer) awaitClosed(ctx context.Context) {
	done := make(chan struct{})
	go func() { <-c.acceptDone; c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
