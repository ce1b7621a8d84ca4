package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Parameters of simulated endpoints.
const (
	minServiceTime      = 10 * time.Millisecond // duration of a call at the endpoint
	maxServiceTime      = 90 * time.Millisecond
	maxExtraServiceTime = 900 * time.Millisecond // added by SlowResponses
	idleTimeout         = 4 * time.Second        // conn_idle_s in the settings
	minIdleTimeout      = 30 * time.Millisecond  // under EarlyIdleClose
	queueSeconds        = 0.5                    // backlog that a destination accepts, in seconds of its capacity
	maxRetryAfterMS     = 2500
	maxBodyBytes        = 64 << 10
	extraMessageLoad    = 0.2 // load of each further message in a call; the first one counts as 1
)

// destination is the state that the endpoints of a destination share: its capacity and its outages.
type destination struct {
	number   int
	capacity float64 // calls per second

	mu          sync.Mutex
	backlog     float64       // calls
	backlogAt   time.Duration // when backlog was last updated
	recoveredAt time.Duration // when the last outage ended; 0 if there was none or it still lasts
	arrivals    []arrival     // since recoveredAt, until the end of the warmup
	informed    map[int]bool  // senders that had a call fail during the outage
	told        map[int]bool  // those of them that have seen the end of such a call
	reported    bool
}

// arrival is a call received after an outage.
type arrival struct {
	at       time.Duration
	informed bool // its sender had a call fail during the outage
}

// endpoint simulates one server of a destination.
type endpoint struct {
	dest    *destination
	checker *Checker
	number  int
	name    string
	zone    int
	addr    string
	rng     *rand.Rand // protected by mu

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	fault    FaultKind // the current fault, or empty
}

func newEndpoint(checker *Checker, d *destination, number int, seed uint64) (*endpoint, error) {
	e := &endpoint{
		dest:    d,
		checker: checker,
		number:  number,
		name:    fmt.Sprintf("s-%d-%d", d.number, number),
		zone:    number % 2,
		rng:     rand.New(rand.NewPCG(seed, uint64(d.number)<<16+uint64(number))),
		conns:   map[net.Conn]bool{},
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.addr = ln.Addr().String()
	e.listener = ln
	go e.accept(ln)
	return e, nil
}

// setFault sets the current fault, or ends it if kind is empty.
func (e *endpoint) setFault(kind FaultKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if kind == ConnectionsRefused {
		e.listener.Close()
		for conn := range e.conns {
			resetConn(conn)
		}
	}
	if e.fault == ConnectionsRefused && kind != ConnectionsRefused {
		for range 50 {
			ln, err := net.Listen("tcp", e.addr)
			if err == nil {
				e.listener = ln
				go e.accept(ln)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	if e.fault == Unresponsive && kind != Unresponsive { // held calls are not answered any more
		for conn := range e.conns {
			resetConn(conn)
		}
	}
	e.fault = kind
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if c, ok := conn.(*peerConn); ok {
		conn = c.Conn
	}
	if t, ok := conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	conn.Close()
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listener.Close()
	for conn := range e.conns {
		conn.Close()
	}
}

func (e *endpoint) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go func() {
			_, chance := e.faultAndChance()
			e.serveConn(newPeerConn(conn, e.checker, -1, chance))
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
			conn.Close()
		}()
	}
}

// faultAndChance returns the current fault and a random number in [0, 1).
func (e *endpoint) faultAndChance() (FaultKind, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault, e.rng.Float64()
}

// serveConn reads and handles the requests of a connection.
func (e *endpoint) serveConn(conn *peerConn) {
	r := bufio.NewReader(conn)
	for {
		idle := idleTimeout
		if kind, chance := e.faultAndChance(); kind == EarlyIdleClose && chance < 0.7 {
			idle = time.Duration(float64(minIdleTimeout) * (1 + 20*chance))
		}
		conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		conn.beginRequest()
		started := e.checker.elapsed()
		conn.SetReadDeadline(time.Time{})
		if kind, chance := e.faultAndChance(); kind == ConnectionResets && chance < 0.15 {
			resetConn(conn) // before the request has been read
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_, chance := e.faultAndChance()
		conn.setPlan(e.checker.scenario.planUnsolicited(chance))
		if !e.handle(conn, r, req, body, started) {
			return
		}
		conn.endResponse()
		conn.awaitUnsolicited(r)
	}
}

// bulkItem is one message in a bulk call.
type bulkItem struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// handle answers one request. It reports whether the connection stays open.
func (e *endpoint) handle(conn net.Conn, r *bufio.Reader, req *http.Request, body []byte, started time.Duration) bool {
	var ids, bodies []string
	bulk := false
	switch req.URL.Path {
	case "/inbox":
		ids, bodies = []string{req.Header.Get("X-Trace-Id")}, []string{string(body)}
	case "/inbox/bulk":
		var items []bulkItem
		if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 ||
			len(items) > e.checker.scenario.MaxBatch || len(body) > maxBodyBytes {
			e.checker.report(RuleMismatch, -1, "malformed bulk call: %.80q", body)
			io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		for _, item := range items {
			ids, bodies = append(ids, item.ID), append(bodies, string(item.Body))
		}
		bulk = true
	default:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	attempts, messages := e.checker.recordCall(e, started, ids, bodies)
	if len(messages) == 0 {
		io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	x := &exchange{endpoint: e, conn: conn, attempts: attempts, messages: messages, bulk: bulk}
	return x.respond(r)
}

// exchange is a call with one or more messages, and its response.
type exchange struct {
	endpoint *endpoint
	conn     net.Conn
	attempts []*attempt
	messages []*message
	bulk     bool
}

// recordEnd records the end of the call.
func (x *exchange) recordEnd(notExecuted, delivered bool) {
	x.endpoint.checker.recordEnd(x.attempts, x.messages, notExecuted, delivered)
}

// respond processes the call according to the current fault and the load. It reports whether the connection stays open.
func (x *exchange) respond(r *bufio.Reader) bool {
	e, sender := x.endpoint, x.messages[0].sender
	fault, chance := e.faultAndChance()
	down := fault == ConnectionsRefused || fault == Unresponsive || fault == Unavailable || fault == ServerErrors
	full := e.dest.addLoad(e.checker, sender, down, 1+extraMessageLoad*float64(len(x.messages)-1))
	attempts := 0
	for _, m := range x.messages {
		attempts = max(attempts, len(m.attempts))
	}
	connClosed, stop := watchClose(x.conn, r, func() { x.recordEnd(false, false) })
	defer stop()
	switch {
	case fault == Unresponsive:
		<-connClosed
		e.dest.tell(sender)
		return false
	case fault == Unavailable:
		defer e.dest.tell(sender)
		return x.respondNotExecuted("503 Service Unavailable", 0)
	case fault == ServerErrors:
		defer e.dest.tell(sender)
		return x.respondError()
	case attempts > e.checker.scenario.MaxAttempts:
		return x.respondNotExecuted("504 Gateway Timeout", 0)
	case fault == RetryAfterResponses && chance < 0.5:
		return x.respondNotExecuted("429 Too Many Requests",
			time.Duration(100+chance*2*maxRetryAfterMS)*time.Millisecond)
	case full && chance < 0.5:
		return x.respondNotExecuted("429 Too Many Requests", time.Duration(50+chance*1000)*time.Millisecond)
	case full:
		return x.respondNotExecuted("503 Service Unavailable", 0)
	}
	serviceTime := minServiceTime + time.Duration(chance*float64(maxServiceTime-minServiceTime))
	if fault == SlowResponses {
		serviceTime += time.Duration(chance * float64(maxExtraServiceTime))
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-connClosed:
		return false
	}
	switch {
	case fault == ConnectionResets && chance < 0.5:
		x.recordEnd(false, false)
		resetConn(x.conn)
		return false
	case fault == MalformedResponses && chance < 0.3:
		x.recordEnd(false, false)
		io.WriteString(x.conn, []string{
			"HTTP/1.1 2",
			"garbage\r\n\r\n",
			"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 99\r\n\r\nx",
		}[int(chance*10)])
		if chance < 0.15 {
			<-connClosed
		}
		return false
	case fault == MalformedResponses && chance < 0.6:
		return x.respondError()
	}
	return x.respondDelivered()
}

// respondNotExecuted answers that the call was not executed, and requests a wait if retryAfter is not 0.
func (x *exchange) respondNotExecuted(status string, retryAfter time.Duration) bool {
	header := ""
	if retryAfter > 0 {
		header = "X-Come-Back-Ms: " + strconv.FormatInt(retryAfter.Milliseconds(), 10) + "\r\n"
	}
	x.recordEnd(true, false)
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n", status, header)
	if err == nil && retryAfter > 0 {
		x.endpoint.checker.recordRetryAfter(x.messages[0].sender, x.endpoint.dest.number, retryAfter)
	}
	return err == nil
}

// respondError answers with an error that does not say whether the call was executed.
func (x *exchange) respondError() bool {
	x.recordEnd(false, false)
	_, err := io.WriteString(x.conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// respondDelivered answers that all messages were executed.
func (x *exchange) respondDelivered() bool {
	body := ""
	if x.bulk {
		var results []string
		for _, m := range x.messages {
			results = append(results, fmt.Sprintf(`{"id":%q,"state":"done"}`, m.id))
		}
		body = "[" + strings.Join(results, ",") + "]"
	}
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	x.recordEnd(false, err == nil)
	return err == nil
}

// watchClose detects the end of a connection while a call on it is in progress. It then calls onClose and closes the
// channel connClosed. stop ends the detection, so that the connection can be read again.
func watchClose(conn net.Conn, r *bufio.Reader, onClose func()) (connClosed <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	closed, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		_, err := r.Peek(1)
		if ctx.Err() == nil && err != nil {
			onClose()
			close(closed)
		}
	}()
	return closed, func() {
		cancel()
		conn.SetReadDeadline(time.Unix(1, 0))
		<-finished
		conn.SetReadDeadline(time.Time{})
	}
}

// addLoad adds the load of a call to the backlog, or returns true if the backlog is full. During an outage it only marks
// the sender as informed.
func (d *destination) addLoad(checker *Checker, sender int, down bool, load float64) (full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := checker.elapsed()
	if down {
		d.informed[sender] = true
		return false
	}
	capacity := d.capacity * d.capacityShare(checker.scenario.Recovery, now)
	d.backlog, d.backlogAt = max(0, d.backlog-capacity*(now-d.backlogAt).Seconds()), now
	if d.recoveredAt != 0 && now < d.recoveredAt+checker.scenario.Recovery.WarmupTime {
		d.arrivals = append(d.arrivals, arrival{now, d.informed[sender]})
		d.checkRamp(checker, now)
	}
	if d.backlog > capacity*queueSeconds {
		return true
	}
	d.backlog += load
	return false
}

// capacityShare returns the share of its capacity that a destination has; it is below 1 while it warms up.
func (d *destination) capacityShare(recovery Recovery, now time.Duration) float64 {
	if d.recoveredAt == 0 || now >= d.recoveredAt+recovery.WarmupTime {
		return 1
	}
	return recovery.ColdCapacity +
		(1-recovery.ColdCapacity)*float64(now-d.recoveredAt)/float64(recovery.WarmupTime)
}

// checkRamp checks that the calls in the last window do not overload a destination that is warming up. It reports a
// violation only if at least two thirds of these calls came from senders that had a call fail during the outage; the
// other senders cannot know of it.
func (d *destination) checkRamp(checker *Checker, now time.Duration) {
	recovery := checker.scenario.Recovery
	from := now - recovery.OverloadWindow
	calls, informed := 0, 0
	for _, a := range d.arrivals {
		if a.at > from {
			calls++
			if a.informed {
				informed++
			}
		}
	}
	rampStart := max(from, d.recoveredAt)
	meanShare := (recovery.ColdCapacity*(rampStart-from).Seconds() +
		(d.capacityShare(recovery, rampStart)+d.capacityShare(recovery, now))/2*(now-rampStart).Seconds()) /
		recovery.OverloadWindow.Seconds()
	allowed := recovery.OverloadMultiple * meanShare * d.capacity * recovery.OverloadWindow.Seconds()
	if limit := MaxWindowCalls(allowed); float64(calls) > limit && 3*informed >= 2*calls && !d.reported {
		d.reported = true
		checker.report(RuleColdRamp, -1,
			"destination %d: %d calls in %v, limit %.1f, %.1f s after the end of its outage",
			d.number, calls, recovery.OverloadWindow, limit, (now - d.recoveredAt).Seconds())
	}
}

// MaxWindowCalls returns how many calls a cold destination tolerates in a window in which the settings allow the given
// number n. The margin for random variation of the traffic is 3√n + 3 if n is below 30, else 2√n + 2.
func MaxWindowCalls(allowed float64) float64 {
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}

// beginOutage marks the start of an outage; endOutage marks its end.
func (d *destination) beginOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recoveredAt, d.arrivals, d.reported = 0, nil, false
	d.informed, d.told = map[int]bool{}, map[int]bool{}
}

func (d *destination) endOutage(checker *Checker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recoveredAt, d.backlogAt, d.backlog = checker.elapsed(), checker.elapsed(), 0
}

// forgetSender records that the new process of a sender knows of no failed calls.
func (d *destination) forgetSender(sender int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.informed, sender)
}
