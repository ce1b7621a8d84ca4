package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rundeal/logic"
)

const (
	abortGracePeriod = 50 * time.Millisecond  // for the endpoint to see that a call is given up
	idleExpiryMargin = 500 * time.Millisecond // a connection is not used this close to the end of its idle time
	reuseDelay       = 20 * time.Millisecond  // after an answer, for what comes behind it to show
	freshConnPeriod  = 5 * time.Second        // after a kept connection broke, fragile calls make new ones
	probeTimeout     = 1500 * time.Millisecond
)

// call is one attempt, or a probe if it has no message.
type call struct {
	id           string
	attempt      int
	endpoint     logic.EndpointID
	addr         string
	timeout      time.Duration
	nonRetryable bool      // a reset is its end: it keeps off kept connections while those break
	writeBy      time.Time // not to be written after this; zero for no such time
	msg          *Message
	request      *http.Request
	state        *atomic.Int32
	messageCount int // messages

	journaled bool // the journal has it
}

// The states of a call. It goes from the first to one of the others, once.
const (
	callConnecting int32 = iota
	callWritten          // from here on it may have run
	callAborted          // it is not to be written
)

// result is how a call ended.
type callResult struct {
	outcome      logic.Outcome
	retryAfter   time.Duration // told by a refusal
	messageGone  bool          // the endpoint says that the message is over
	localFailure bool          // nothing was sent for want of something at this end
	loadReport   string        // the load report of the answer, as it came
	idleTime     time.Duration // for how long the connection was kept before; 0 if it was made for the call
}

// idleConn is a connection with no call on it.
type pooledConn struct {
	net.Conn
	reader    *bufio.Reader
	limited   *io.LimitedReader
	addr      string
	idleSince time.Time // when it became idle; zero if it never was
}

// errNoRoom says that this process has no descriptor to spare for a call.
var errConnLimit = errors.New("no room for another connection")

// caller makes calls over connections that it keeps. It never sends anything
// twice, and it knows whether the last byte was written: that tells what never
// ran from what may have run. net/http's transport does neither.
type endpointClient struct {
	dialer             net.Dialer
	abortGrace         time.Duration
	reuseDelay         time.Duration
	idleTimeout        time.Duration
	maxIdlePerEndpoint int
	allowSecondCopies  bool // a message may be sent again while a call with it is out
	limits             shares
	messagesWritten    *atomic.Int64 // messages written whole
	mu                 sync.Mutex
	idle               map[logic.EndpointID][]*pooledConn
	idleCount          int       // idle connections
	connCount          int       // connections, those that are being made too
	lastReuseFailure   time.Time // when a kept connection last broke under a call
}

func newEndpointClient(connectTime, idleTime time.Duration, perEndpoint int, most shares, relayed *atomic.Int64) *endpointClient {
	return &endpointClient{dialer: net.Dialer{Timeout: connectTime}, abortGrace: abortGracePeriod, reuseDelay: reuseDelay, idleTimeout: idleTime,
		maxIdlePerEndpoint: max(perEndpoint, 1), limits: most, messagesWritten: relayed, idle: map[logic.EndpointID][]*pooledConn{}}
}

// do makes a call. When ctx is cancelled the call is called off.
func (c *endpointClient) do(ctx context.Context, in *call) callResult {
	deadline := time.Now().Add(in.timeout)
	conn, err := c.getConn(ctx, in, deadline)
	if !in.write() {
		if err == nil && !c.putIdle(in.endpoint, conn) {
			c.closeConn(conn)
		}
		return callResult{outcome: logic.Moot}
	}
	if err != nil {
		if isLocalError(err) {
			return callResult{outcome: logic.Unsent, localFailure: true}
		}
		return callResult{outcome: logic.RefusedConn}
	}
	return c.roundTrip(ctx, in, conn, deadline, nil)
}

// exchange writes a request and reads its answer, the body too if it is wanted. Then conn is kept or closed.
func (c *endpointClient) roundTrip(ctx context.Context, in *call, conn *pooledConn, deadline time.Time, body *bytes.Buffer) callResult {
	var b bytes.Buffer
	if err := in.request.Write(&b); err != nil {
		c.closeConn(conn)
		return callResult{outcome: logic.RefusedConn}
	}
	idle := time.Duration(0)
	if !conn.idleSince.IsZero() {
		idle = time.Since(conn.idleSince)
	}
	limit := &callDeadline{conn: conn, deadline: deadline, grace: c.abortGrace}
	stop := context.AfterFunc(ctx, limit.cancel)
	if ctx.Err() != nil { // called off before this: nothing is written, whichever comes first here
		limit.cancel()
	}
	limit.limitIO(0)
	if _, err := conn.Write(b.Bytes()); err != nil {
		stop()
		c.closeConn(conn)
		return callResult{outcome: logic.RefusedConn} // its last byte was not written
	}
	c.messagesWritten.Add(int64(in.messageCount))
	conn.limited.N = maxResponseSize
	r, keep := readResponseBody(conn.reader, limit, body)
	r.idleTime = idle
	if r.outcome == logic.Severed && !conn.idleSince.IsZero() {
		c.mu.Lock()
		c.lastReuseFailure = time.Now()
		c.mu.Unlock()
	}
	if conn.limited.N <= 0 && r.outcome != logic.Completed {
		r = callResult{outcome: logic.Spoilt} // it goes on for ever, say
	}
	if !stop() || !keep || limit.ended() || !c.putIdle(in.endpoint, conn) {
		c.closeConn(conn)
	}
	return r
}

// cutoff bounds the time of a call. The call's own deadline and a cancel hold until
// it has ended, whatever has come of an answer by then.
type callDeadline struct {
	conn      net.Conn
	deadline  time.Time
	grace     time.Duration
	mu        sync.Mutex
	cancelled bool // cancelled
	aborted   bool // given up: no more than the linger time is left
}

func (l *callDeadline) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled = true; !l.aborted {
		l.conn.SetDeadline(time.Unix(1, 0))
	}
}

// wait gives what comes next so much time at most, or if 0 all that the call has.
func (l *callDeadline) limitIO(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch at := time.Now().Add(d); {
	case l.aborted:
	case l.cancelled:
		l.conn.SetDeadline(time.Unix(1, 0))
	case d == 0 || at.After(l.deadline.Add(l.grace)):
		if d > 0 {
			l.conn.SetDeadline(l.deadline.Add(l.grace))
			return
		}
		l.conn.SetDeadline(l.deadline)
	default:
		l.conn.SetDeadline(at)
	}
}

// giveUp tells the endpoint that the call is given up, by the end of our sending, and
// leaves it a moment to see that: a next call must not meet this one. An answer that is
// on its way counts.
func (l *callDeadline) abort() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.aborted = true
	var conn net.Conn = l.conn
	if c, ok := conn.(*pooledConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	l.conn.SetDeadline(time.Now().Add(l.grace))
}

// outcome is that of a call without an answer in time.
func (l *callDeadline) timeoutOutcome() logic.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cancelled {
		return logic.Recalled
	}
	return logic.Overdue
}

// over says whether the connection may be of no more use: it is given up, or a cancel may touch it yet.
func (l *callDeadline) ended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.aborted || l.cancelled
}

// connect takes a kept connection or makes one.
func (c *endpointClient) getConn(ctx context.Context, in *call, deadline time.Time) (*pooledConn, error) {
	if conn := c.takeIdle(in); conn != nil {
		return conn, nil
	}
	if !c.reserveConn() {
		return nil, errConnLimit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", in.addr)
	if err != nil {
		c.unreserveConn()
		return nil, err
	}
	limit := &io.LimitedReader{R: conn}
	return &pooledConn{Conn: conn, reader: bufio.NewReader(limit), limited: limit, addr: in.addr}, nil
}

// ownFault says whether a connection failed for want of something at this end, which tells nothing of the endpoint.
func isLocalError(err error) bool {
	for _, own := range []error{errConnLimit, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ENETDOWN} {
		if errors.Is(err, own) {
			return true
		}
	}
	return false
}

// reserve takes a place for a connection; an idle one makes room for it.
func (c *endpointClient) reserveConn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connCount >= c.limits.calls && !c.closeOldestLocked() {
		return false
	}
	c.connCount++
	return true
}

func (c *endpointClient) unreserveConn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connCount--
}

// drop closes a connection that carries a call.
func (c *endpointClient) closeConn(conn *pooledConn) {
	conn.Close()
	c.unreserveConn()
}

// The rest is about idle connections. What is named close… is called under the lock.

func (c *endpointClient) closeIdleLocked(conn *pooledConn) {
	conn.Close()
	c.idleCount--
	c.connCount--
}

func (c *endpointClient) closeOldestLocked() bool {
	var from logic.EndpointID
	var oldest *pooledConn
	for ep, list := range c.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			from, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.setIdleLocked(from, c.idle[from][1:])
	c.closeIdleLocked(oldest)
	return true
}

// keep sets the idle connections to ep, in the order in which they became idle.
func (c *endpointClient) setIdleLocked(ep logic.EndpointID, list []*pooledConn) {
	if len(list) == 0 {
		delete(c.idle, ep)
	} else {
		c.idle[ep] = list
	}
}

// take returns the kept connection to ep that was used last, if it is still good. One
// whose last answer came just now is left: more may be on its way behind that.
func (c *endpointClient) takeIdle(in *call) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	ep, addr := in.endpoint, in.addr
	if in.nonRetryable && time.Since(c.lastReuseFailure) < freshConnPeriod {
		return nil
	}
	list := slices.Clone(c.idle[ep])
	defer func() { c.setIdleLocked(ep, list) }()
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if time.Since(conn.idleSince) < c.reuseDelay {
			continue
		}
		list = slices.Delete(list, i, i+1)
		if conn.addr == addr && c.reusable(conn) {
			c.idleCount--
			return conn
		}
		c.closeIdleLocked(conn)
	}
	return nil
}

// good says whether a kept connection may carry a call: neither about to be closed
// for its age nor closed already, nor with an answer on it that nobody asked for.
func (c *endpointClient) reusable(conn *pooledConn) bool {
	if time.Since(conn.idleSince) > c.idleTimeout-min(idleExpiryMargin, c.idleTimeout/4) {
		return false
	}
	alive, data := peek(conn.Conn)
	return alive && !data
}

// put keeps a connection for the next call; false if there is no room.
func (c *endpointClient) putIdle(ep logic.EndpointID, conn *pooledConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[ep]) >= c.maxIdlePerEndpoint || c.idleCount >= c.limits.idle {
		return false
	}
	conn.idleSince = time.Now()
	conn.SetDeadline(time.Time{})
	c.idle[ep] = append(c.idle[ep], conn)
	c.idleCount++
	return true
}

// release closes the kept connections to ep.
func (c *endpointClient) closeIdleTo(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		c.closeIdleLocked(conn)
	}
	delete(c.idle, ep)
}

// releaseAll closes all kept connections.
func (c *endpointClient) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.closeOldestLocked() {
	}
}

// setMost bounds the connections anew; the oldest kept ones above the bound go.
func (c *endpointClient) setLimits(most shares) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = most
	for (c.connCount > most.calls || c.idleCount > most.idle) && c.closeOldestLocked() {
	}
}

// sweep closes kept connections that are no good any more.
func (c *endpointClient) closeUnusable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		var kept []*pooledConn
		for _, conn := range list {
			if c.reusable(conn) {
				kept = append(kept, conn)
			} else {
				c.closeIdleLocked(conn)
			}
		}
		c.setIdleLocked(ep, kept)
	}
}

// deliverRequest is the request that hands m to an endpoint.
func newDeliveryRequest(m *Message, addr string, giveUp time.Duration) (*http.Request, error) {
	req, err := newPostRequest(addr, "/inbox", m.Body, giveUp)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.Key != "" {
		req.Header.Set("Idempotency-Key", m.Key)
	}
	return req, nil
}

func newPostRequest(addr, path string, body []byte, giveUp time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(giveUp.Milliseconds(), 1), 10))
	return req, nil
}

// probeRequest asks an endpoint whether it is well.
func newProbeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
