package soak

import (
	"bufio"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// unsolicitedKind is what a simulated peer sends after a good response although no request asks for it.
type unsolicitedKind int

// The kinds of unsolicited data.
const (
	noUnsolicited    unsolicitedKind = iota
	secondCopy                       // the response once more
	foreignRefusal                   // a response that would refuse a call
	unsolicitedNoise                 // no response at all
	unsolicitedKinds                 // number of kinds
)

const (
	// maxUnsolicitedDelay is the longest time from a response to the unsolicited data.
	maxUnsolicitedDelay = 12 * time.Millisecond

	// unsolicitedSlack is the time in which a request may cross unsolicited data: a sender may be blocked in a write for
	// 0.15 s.
	unsolicitedSlack = 150*time.Millisecond + schedulingSlack
)

// unsolicitedPlan is what a peer sends after its next response.
type unsolicitedPlan struct {
	kind  unsolicitedKind
	delay time.Duration // 0 for the same write, or the next one
}

// planUnsolicited returns what to send after the next response. chance is a random number in [0, 1).
func (sc *Scenario) planUnsolicited(chance float64) unsolicitedPlan {
	if chance >= sc.UnsolicitedShare {
		return unsolicitedPlan{}
	}
	position := chance / sc.UnsolicitedShare * float64(unsolicitedKinds-1) // its parts before and after the point are independent
	kind := int(position)
	plan := unsolicitedPlan{kind: noUnsolicited + 1 + unsolicitedKind(kind)}
	if part := position - float64(kind); part > 0.4 {
		plan.delay = time.Duration(part * float64(maxUnsolicitedDelay))
	}
	return plan
}

// data returns the unsolicited data that follows a response.
func (p unsolicitedPlan) data(response []byte) []byte {
	switch p.kind {
	case secondCopy:
		return slices.Clone(response)
	case foreignRefusal:
		return []byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case unsolicitedNoise:
		return []byte("\x00\x17 noise")
	}
	return nil
}

// peerConn is a simulated peer's side of a connection to a sender. After a response it may send unsolicited data, as long
// as no further request waits on the connection.
type peerConn struct {
	net.Conn
	checker *Checker
	sender  int // -1 if it is unknown

	mu            sync.Mutex
	response      []byte // what has been written since the last request began
	plan          unsolicitedPlan
	respondedAt   time.Time
	busy          bool          // a request has begun and its response is not complete
	unsolicitedAt time.Duration // when unsolicited data was sent; 0 if none was
}

// newPeerConn returns the peer's side of an accepted connection. On some the system holds small writes back until what
// was written before is acknowledged; chance is a random number in [0, 1).
func newPeerConn(conn net.Conn, checker *Checker, sender int, chance float64) *peerConn {
	if tcp, ok := conn.(*net.TCPConn); ok && chance < 0.5 {
		tcp.SetNoDelay(false)
	}
	return &peerConn{Conn: conn, checker: checker, sender: sender}
}

// Write writes a part of a response. Unsolicited data of an endpoint that has no delay goes with it in the same write;
// an endpoint writes each response at once.
func (c *peerConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = append(c.response, b...)
	if c.plan.kind == noUnsolicited || c.plan.delay > 0 {
		return c.Conn.Write(b)
	}
	both := append(slices.Clone(b), c.plan.data(c.response)...)
	c.plan = unsolicitedPlan{}
	c.unsolicitedAt = c.checker.elapsed()
	n, err := c.Conn.Write(both)
	return min(n, len(b)), err
}

// beginRequest notes that a request has begun to arrive, and checks that the connection may still be used. It reports
// whether the connection is clean, that is, no unsolicited data was sent on it.
func (c *peerConn) beginRequest() (clean bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.response = true, nil
	if c.unsolicitedAt == 0 {
		return true
	}
	if age := c.checker.elapsed() - c.unsolicitedAt; age > unsolicitedSlack {
		c.checker.report(RuleUnsolicited, c.sender,
			"a request arrived on a connection %.2f s after data that belongs to no request", age.Seconds())
	}
	return false
}

// setPlan sets what is sent after the next response.
func (c *peerConn) setPlan(plan unsolicitedPlan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan = plan
}

// endResponse notes that the response is complete.
func (c *peerConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.respondedAt = false, time.Now()
}

// sendUnsolicited sends the planned data, unless a request has begun, or the machine is so busy that the data would come
// later than it should.
func (c *peerConn) sendUnsolicited() {
	c.mu.Lock()
	defer c.mu.Unlock()
	plan := c.plan
	c.plan = unsolicitedPlan{}
	if plan.kind == noUnsolicited || c.busy || time.Since(c.respondedAt) > maxUnsolicitedDelay {
		return
	}
	c.unsolicitedAt = c.checker.elapsed()
	c.Conn.Write(plan.data(c.response)) // the sender may have closed the connection
}

// awaitUnsolicited sends the planned data after its delay, unless a request begins to arrive before.
func (c *peerConn) awaitUnsolicited(r *bufio.Reader) {
	c.mu.Lock()
	plan := c.plan
	c.mu.Unlock()
	if plan.kind == noUnsolicited {
		return
	}
	c.SetReadDeadline(time.Now().Add(plan.delay))
	_, err := r.Peek(1)
	c.SetReadDeadline(time.Time{})
	if err != nil {
		c.sendUnsolicited()
	}
}

// peerListener is a listener of a simulated peer whose connections are of type peerConn.
type peerListener struct {
	net.Listener
	agent *discoveryAgent
}

func (l peerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newPeerConn(conn, l.agent.checker, l.agent.sender, l.agent.chance()), nil
}

// followServer sends unsolicited data after the responses of an http.Server with a peerListener. A request that arrives
// after such data gets no response, so that taking the data for one loses what the request was for. It is the
// server's hook for changes of a connection's state.
func (a *discoveryAgent) followServer(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*peerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		if !c.beginRequest() {
			c.Close()
		}
	case http.StateIdle:
		c.endResponse()
		plan := a.checker.scenario.planUnsolicited(a.chance())
		c.setPlan(plan)
		if plan.delay == 0 {
			c.sendUnsolicited()
		} else {
			time.AfterFunc(plan.delay, c.sendUnsolicited)
		}
	}
}
