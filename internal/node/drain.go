package node

import (
	"context"
	"time"
)

const (
	acceptOn  = 500 * time.Millisecond // after the first no, clients are served as before for so long
	freshTime = time.Second            // then, for the first request on a new connection to begin
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

func (c *clients) now() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// operate goes over to p at an operator's word, and says what holds from here on: only a
// sender that serves can be drained, and brought back.
func (c *clients) operate(p phase) phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving || c.phase == draining {
		c.turnTo(p)
	}
	return c.phase
}

// turn goes over to p. What stops is not brought back.
func (c *clients) turn(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != stopping && c.phase != replaced {
		c.turnTo(p)
	}
}

// turnTo is turn, under the lock. Clients are sent away by degrees: PING says no from now on, and
// connections part once those that the front still sends have come.
func (c *clients) turnTo(p phase) {
	was := c.phase
	c.phase = p
	if was != p {
		c.log.Info("state", "from", was.String(), "to", p.String())
	}
	switch {
	case p == serving:
		c.parting = false
		c.part.Stop()
	case p == replaced:
		c.partNow()
	case (p == draining || p == stopping) && was != draining: // else the time of grace began before
		c.part.Reset(acceptOn)
	}
}

// startParting wakes the readers: from here on a connection ends when no request is open on it.
func (c *clients) startParting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving { // not resumed in the meantime
		c.partNow()
	}
}

func (c *clients) partNow() {
	c.parting = true
	for s := range c.sessions {
		if !s.reading { // what has come in part is read to its end
			s.conn.SetReadDeadline(s.idleBy(time.Now()))
		}
	}
}

// idleBy is until when a connection may stay without a request, under the lock of clients.
func (s *session) idleBy(now time.Time) time.Time {
	wait := idleClient
	if s.fresh {
		wait = firstRequest
	}
	if s.c.parting {
		if !s.fresh {
			return now
		}
		wait = freshTime
	}
	if s.fresh {
		return s.opened.Add(wait)
	}
	return now.Add(wait)
}

// stopReading sets the time after which no request is taken: what is answered by the loop must not come later than that
// can answer, and clients go on sending on a connection as long as it is open.
func (c *clients) stopReading(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = at
}

// tooLate says whether it is after that time, under the lock.
func (c *clients) tooLate() bool { return !c.readBy.IsZero() && !time.Now().Before(c.readBy) }

// gone waits until no client is left or ctx is over. The listener must be closed.
func (c *clients) gone(ctx context.Context) {
	done := make(chan struct{})
	go func() { <-c.accepted; c.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
