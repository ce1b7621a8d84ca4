package node

import (
	"context"
	"time"
)

const (
	closeIdleDelay = 500 * time.Millisecond // after the first no, clients are served as before for so long
	newConnTimeout = time.Second            // then, for the first request on a new connection to begin
)

// phase is what a sender does about its clients. PING, the operators' ready, the
// readers of clients and the shutdown all ask this one state.
type phase int

const (
	starting phase = iota // not served yet
	waiting               // the same, but another process is about to hand over
	serving
	draining // sent away, until resume
	stopping // sent away for good
	replaced // another process serves: connections go over to it
)

func (p phase) String() string {
	return [...]string{"starting", "waiting", "serving", "draining", "stopping", "replaced"}[p]
}

func (c *clientServer) currentPhase() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// operate goes over to p at an operator's word, and says what holds from here on: only a
// sender that serves can be drained, and brought back.
func (c *clientServer) setPhaseByOperator(p phase) phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving || c.phase == draining {
		c.setPhaseLocked(p)
	}
	return c.phase
}

// turn goes over to p. What stops is not brought back.
func (c *clientServer) setPhase(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != stopping && c.phase != replaced {
		c.setPhaseLocked(p)
	}
}

// turnTo is turn, under the lock. Clients are sent away by degrees: PING says no from now on, and
// connections part once those that the front still sends have come.
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
	case (p == draining || p == stopping) && previous != draining: // else the time of grace began before
		c.closeIdleTimer.Reset(closeIdleDelay)
	}
}

// startParting wakes the readers: from here on a connection ends when no request is open on it.
func (c *clientServer) startClosingIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving { // not resumed in the meantime
		c.closeIdleLocked()
	}
}

func (c *clientServer) closeIdleLocked() {
	c.closingIdle = true
	for s := range c.sessions {
		if !s.readingRequest { // what has come in part is read to its end
			s.conn.SetReadDeadline(s.idleDeadline(time.Now()))
		}
	}
}

// idleBy is until when a connection may stay without a request, under the lock of clients.
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

// stopReading sets the time after which no request is taken: what is answered by the loop must not come later than that
// can answer, and clients go on sending on a connection as long as it is open.
func (c *clientServer) stopReadingAt(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readCutoff = at
}

// tooLate says whether it is after that time, under the lock.
func (c *clientServer) pastReadCutoff() bool {
	return !c.readCutoff.IsZero() && !time.Now().Before(c.readCutoff)
}

// gone waits until no client is left or ctx is over. The listener must be closed.
func (c *clientServer) awaitClosed(ctx context.Context) {
	done := make(chan struct{})
	go func() { <-c.acceptDone; c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
