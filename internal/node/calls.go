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
	abortGracePeriod = 50 * time.Millisecond  // for the endpoint to notice that a call was aborted
	idleExpiryMargin = 500 * time.Millisecond // an idle connection is not reused this close to its idle timeout
	freshConnPeriod  = 5 * time.Second        // after a reused connection broke, non-retryable calls open new connections
	probeTimeout     = 1500 * time.Millisecond
)

// call is one attempt to send a message, or a health probe if msg is nil.
type call struct {
	id           string
	attempt      int
	endpoint     logic.EndpointID
	addr         string
	timeout      time.Duration
	nonRetryable bool      // a connection reset fails the message for good, so no reuse while reused connections break
	writeBy      time.Time // the request must not be written after this; zero for no limit
	msg          *Message
	request      *http.Request
	state        *atomic.Int32
	messageCount int // messages in the request

	journaled bool // the attempt is recorded in the journal
	number    int  // of the call within its step: attempts of a step with the same number travel together
}

// The states of a call. It changes once, from callConnecting to one of the others.
const (
	callConnecting int32 = iota
	callWritten          // the endpoint may have processed the message from here on
	callAborted          // the request must not be written
)

// callResult is how a call ended.
type callResult struct {
	outcome      logic.Outcome
	retryAfter   time.Duration // the wait that the endpoint requested; 0 if none
	messageEnded bool          // the endpoint reports that the message has already ended
	localFailure bool          // nothing was sent because this host lacked a resource
	loadReport   string        // value of the load report header, unparsed
	idleTime     time.Duration // how long the connection had been idle; 0 for a new connection
}

// pooledConn is a connection that is kept for reuse between calls.
type pooledConn struct {
	net.Conn
	reader    *bufio.Reader
	limited   *io.LimitedReader
	addr      string
	idleSince time.Time // when it last became idle; zero for a new connection
}

// errConnLimit means that a call would exceed this process's limit on connections to endpoints.
var errConnLimit = errors.New("connection limit reached")

// endpointClient makes calls over a pool of connections. It never resends a request on its own, and it knows whether
// the last byte was written, which separates messages that were never processed from those that may have been.
// net/http's transport provides neither.
type endpointClient struct {
	dialer             net.Dialer
	abortGrace         time.Duration
	reuseDelay         time.Duration
	idleTimeout        time.Duration
	maxIdlePerEndpoint int
	limits             socketBudget
	messagesWritten    *atomic.Int64 // messages in completely written requests
	mu                 sync.Mutex
	idle               map[logic.EndpointID][]*pooledConn
	idleCount          int
	connCount          int       // all connections, including those being established
	lastReuseFailure   time.Time // when a reused connection last broke during a call
}

func newEndpointClient(
	dialTimeout, idleTimeout time.Duration,
	maxIdlePerEndpoint int,
	limits socketBudget,
	messagesWritten *atomic.Int64,
) *endpointClient {
	return &endpointClient{
		dialer:             net.Dialer{Timeout: dialTimeout},
		abortGrace:         abortGracePeriod,
		reuseDelay:         reuseDelay,
		idleTimeout:        idleTimeout,
		maxIdlePerEndpoint: max(maxIdlePerEndpoint, 1),
		limits:             limits,
		messagesWritten:    messagesWritten,
		idle:               map[logic.EndpointID][]*pooledConn{},
	}
}

// do makes a call. Cancelling ctx aborts it.
func (c *endpointClient) do(ctx context.Context, cl *call) callResult {
	deadline := time.Now().Add(cl.timeout)
	conn, err := c.getConn(ctx, cl, deadline)
	if !cl.claimWrite() {
		if err == nil && !c.putIdle(cl.endpoint, conn) {
			c.closeConn(conn)
		}
		return callResult{outcome: logic.Skipped}
	}
	if err != nil {
		if isLocalError(err) {
			return callResult{outcome: logic.LocalFailure, localFailure: true}
		}
		return callResult{outcome: logic.ConnRefused}
	}
	return c.roundTrip(ctx, cl, conn, deadline, nil)
}

// roundTrip writes a request and reads its response. If body is not nil, the response body is copied to it. Afterwards
// conn is returned to the pool or closed.
func (c *endpointClient) roundTrip(
	ctx context.Context,
	cl *call,
	conn *pooledConn,
	deadline time.Time,
	body *bytes.Buffer,
) callResult {
	var buf bytes.Buffer
	if err := cl.request.Write(&buf); err != nil {
		c.closeConn(conn)
		return callResult{outcome: logic.ConnRefused}
	}
	idleTime := time.Duration(0)
	if !conn.idleSince.IsZero() {
		idleTime = time.Since(conn.idleSince)
	}
	cd := &callDeadline{conn: conn, deadline: deadline, grace: c.abortGrace}
	stop := context.AfterFunc(ctx, cd.cancel)
	if ctx.Err() != nil { // AfterFunc runs asynchronously: make sure that nothing is written
		cd.cancel()
	}
	cd.limitIO(0)
	if _, err := conn.Write(buf.Bytes()); err != nil {
		stop()
		c.closeConn(conn)
		return callResult{outcome: logic.ConnRefused} // the last byte was not written
	}
	c.messagesWritten.Add(int64(cl.messageCount))
	conn.limited.N = maxResponseSize
	res, reusable := readResponseBody(conn.reader, cd, body)
	res.idleTime = idleTime
	if res.outcome == logic.ConnLost && !conn.idleSince.IsZero() {
		c.mu.Lock()
		c.lastReuseFailure = time.Now()
		c.mu.Unlock()
	}
	if conn.limited.N <= 0 && res.outcome != logic.Delivered {
		res = callResult{outcome: logic.Unreadable} // the response exceeds the size limit
	}
	if !stop() || !reusable || cd.ended() || !c.putIdle(cl.endpoint, conn) {
		c.closeConn(conn)
	}
	return res
}

// callDeadline bounds the time of a call. The call's own deadline and its cancellation apply until the call has ended,
// even when part of a response has already arrived.
type callDeadline struct {
	conn      net.Conn
	deadline  time.Time
	grace     time.Duration
	mu        sync.Mutex
	cancelled bool
	aborted   bool // the sending side is closed; only the grace period is left
}

func (d *callDeadline) cancel() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelled = true; !d.aborted {
		d.conn.SetDeadline(time.Unix(1, 0))
	}
}

// limitIO gives the next reads and writes the given time at most, or all of the call's remaining time if timeout is 0.
func (d *callDeadline) limitIO(timeout time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch until := time.Now().Add(timeout); {
	case d.aborted:
	case d.cancelled:
		d.conn.SetDeadline(time.Unix(1, 0))
	case timeout == 0 || until.After(d.deadline.Add(d.grace)):
		if timeout > 0 {
			d.conn.SetDeadline(d.deadline.Add(d.grace))
			return
		}
		d.conn.SetDeadline(d.deadline)
	default:
		d.conn.SetDeadline(until)
	}
}

// abort closes the sending side of the connection, by which the endpoint learns that the call is aborted, and gives it
// the grace period to react, so that the next call with the message does not overlap this one. A response that arrives
// in that time still counts.
func (d *callDeadline) abort() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.aborted = true
	var conn net.Conn = d.conn
	if c, ok := conn.(*pooledConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	d.conn.SetDeadline(time.Now().Add(d.grace))
}

// timeoutOutcome is the outcome of a call whose response did not arrive in time.
func (d *callDeadline) timeoutOutcome() logic.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cancelled {
		return logic.Cancelled
	}
	return logic.TimedOut
}

// ended reports whether the call was aborted or cancelled. Its connection must not be reused, since the cancellation
// may still change the connection's deadline.
func (d *callDeadline) ended() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.aborted || d.cancelled
}

// getConn returns an idle connection or establishes a new one.
func (c *endpointClient) getConn(ctx context.Context, cl *call, deadline time.Time) (*pooledConn, error) {
	if conn := c.takeIdle(cl); conn != nil {
		return conn, nil
	}
	if !c.reserveConn() {
		return nil, errConnLimit
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, "tcp", cl.addr)
	if err != nil {
		c.unreserveConn()
		return nil, err
	}
	limited := &io.LimitedReader{R: conn}
	return &pooledConn{Conn: conn, reader: bufio.NewReader(limited), limited: limited, addr: cl.addr}, nil
}

// isLocalError reports whether connecting failed because this host lacks a resource or a network, which says nothing
// about the endpoint.
func isLocalError(err error) bool {
	for _, localErr := range []error{
		errConnLimit,
		syscall.EMFILE,
		syscall.ENFILE,
		syscall.ENOBUFS,
		syscall.ENOMEM,
		syscall.EADDRNOTAVAIL,
		syscall.ENETUNREACH,
		syscall.ENETDOWN,
	} {
		if errors.Is(err, localErr) {
			return true
		}
	}
	return false
}

// reserveConn counts a new connection against the limit. At the limit it closes the connection that has been
// idle longest to make room; it returns false if none is idle.
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

// closeConn closes a connection that is in use by a call.
func (c *endpointClient) closeConn(conn *pooledConn) {
	conn.Close()
	c.unreserveConn()
}

// The functions below manage idle connections. Those with the suffix Locked require c.mu to be held.

func (c *endpointClient) closeIdleLocked(conn *pooledConn) {
	conn.Close()
	c.idleCount--
	c.connCount--
}

func (c *endpointClient) closeOldestLocked() bool {
	var endpoint logic.EndpointID
	var oldest *pooledConn
	for ep, list := range c.idle {
		if oldest == nil || list[0].idleSince.Before(oldest.idleSince) {
			endpoint, oldest = ep, list[0]
		}
	}
	if oldest == nil {
		return false
	}
	c.setIdleLocked(endpoint, c.idle[endpoint][1:])
	c.closeIdleLocked(oldest)
	return true
}

// setIdleLocked replaces the idle connections to ep. The list is ordered by the time at which they became idle.
func (c *endpointClient) setIdleLocked(ep logic.EndpointID, list []*pooledConn) {
	if len(list) == 0 {
		delete(c.idle, ep)
	} else {
		c.idle[ep] = list
	}
}

// takeIdle returns the most recently used idle connection to the call's endpoint that can be reused, and closes those
// that cannot. It skips connections whose last response is younger than the reuse delay: unsolicited data may still
// follow.
func (c *endpointClient) takeIdle(cl *call) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	ep, addr := cl.endpoint, cl.addr
	if cl.nonRetryable && time.Since(c.lastReuseFailure) < freshConnPeriod {
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

// reusable reports whether an idle connection can carry another call: it is not close to its idle timeout, not closed
// by the endpoint, and holds no unsolicited data.
func (c *endpointClient) reusable(conn *pooledConn) bool {
	if time.Since(conn.idleSince) > c.idleTimeout-min(idleExpiryMargin, c.idleTimeout/4) {
		return false
	}
	alive, data := peekConn(conn.Conn)
	return alive && !data
}

// putIdle keeps a connection for reuse. It returns false if the pool is full.
func (c *endpointClient) putIdle(ep logic.EndpointID, conn *pooledConn) bool {
	acknowledge(conn.Conn)
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

// closeIdleTo closes the idle connections to ep.
func (c *endpointClient) closeIdleTo(ep logic.EndpointID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[ep] {
		c.closeIdleLocked(conn)
	}
	delete(c.idle, ep)
}

// closeAllIdle closes all idle connections.
func (c *endpointClient) closeAllIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.closeOldestLocked() {
	}
}

// setLimits changes the limits on connections and closes idle connections that exceed them, the one idle longest
// first.
func (c *endpointClient) setLimits(limits socketBudget) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
	for (c.connCount > limits.calls || c.idleCount > limits.idle) && c.closeOldestLocked() {
	}
}

// closeUnusable closes the idle connections that cannot be reused any more.
func (c *endpointClient) closeUnusable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for ep, list := range c.idle {
		var usable []*pooledConn
		for _, conn := range list {
			if c.reusable(conn) {
				usable = append(usable, conn)
			} else {
				c.closeIdleLocked(conn)
			}
		}
		c.setIdleLocked(ep, usable)
	}
}

// newDeliveryRequest builds the request that delivers m to an endpoint.
func newDeliveryRequest(m *Message, addr string, timeout time.Duration) (*http.Request, error) {
	req, err := newPostRequest(addr, "/inbox", m.Body, timeout)
	if err != nil {
		return nil, err
	}
	req.Header.Set("X-Trace-Id", m.ID)
	if m.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", m.IdempotencyKey)
	}
	return req, nil
}

func newPostRequest(addr, path string, body []byte, timeout time.Duration) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("request to %s: %w", addr, err)
	}
	req.Header.Set("X-Expires-In-Ms", strconv.FormatInt(max(timeout.Milliseconds(), 1), 10))
	return req, nil
}

// newProbeRequest builds the health check request to an endpoint.
func newProbeRequest(addr string) (*http.Request, error) {
	return http.NewRequest(http.MethodGet, "http://"+addr+"/alive", nil)
}
