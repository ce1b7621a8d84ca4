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

// Times of an endpoint.
const (
	workLeast   = 10 * time.Millisecond
	workMost    = 90 * time.Millisecond
	slowWork    = 900 * time.Millisecond
	idleTime    = 4 * time.Second // as the settings say
	idleEarly   = 30 * time.Millisecond
	queueSpan   = 0.5 // seconds of its capacity that a destination queues
	mostWait    = 2500
	batchWeight = 0.2 // work of each further message of a call
)

// destination is what endpoints share: one limit, and outages.
type destination struct {
	number   int
	capacity float64 // calls a second

	mu       sync.Mutex
	backlog  float64
	filled   time.Duration
	backAt   time.Duration // when the last outage ended; 0 for none, and while it lasts
	arrived  []arrival     // since then
	knew     map[int]bool  // senders that had a call fail in the outage
	reported bool
}

// arrival is a call that came after an outage.
type arrival struct {
	at   time.Duration
	told bool
}

// endpoint is one server of a destination.
type endpoint struct {
	dest   *destination
	ledger *Ledger
	number int
	name   string
	zone   int
	addr   string
	rnd    *rand.Rand // under mu

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	mode     Kind // the trouble at hand, or empty
}

func newEndpoint(l *Ledger, d *destination, number int, seed uint64) (*endpoint, error) {
	e := &endpoint{dest: d, ledger: l, number: number, name: fmt.Sprintf("s-%d-%d", d.number, number), zone: number % 2,
		rnd: rand.New(rand.NewPCG(seed, uint64(d.number)<<16+uint64(number))), conns: map[net.Conn]bool{}}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.addr = ln.Addr().String()
	e.listener = ln
	go e.accept(ln)
	return e, nil
}

// turn sets the trouble of an endpoint; an empty one ends it.
func (e *endpoint) turn(mode Kind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if mode == Refusing {
		e.listener.Close()
		for conn := range e.conns {
			reset(conn)
		}
	}
	if e.mode == Refusing && mode != Refusing {
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
	if e.mode == Silent && mode != Silent { // what waited is not answered any more
		for conn := range e.conns {
			reset(conn)
		}
	}
	e.mode = mode
}

func reset(conn net.Conn) {
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
			e.serve(conn)
			e.mu.Lock()
			delete(e.conns, conn)
			e.mu.Unlock()
			conn.Close()
		}()
	}
}

// draw returns the trouble at hand, and a number by chance.
func (e *endpoint) draw() (Kind, float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mode, e.rnd.Float64()
}

// serve takes the calls of a connection.
func (e *endpoint) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		idle := idleTime
		if mode, x := e.draw(); mode == IdleClose && x < 0.7 {
			idle = time.Duration(float64(idleEarly) * (1 + 20*x))
		}
		conn.SetReadDeadline(time.Now().Add(idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		began := e.ledger.now()
		conn.SetReadDeadline(time.Time{})
		if mode, x := e.draw(); mode == Resets && x < 0.15 { // before it has come whole
			reset(conn)
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
		if !e.call(conn, r, req, body, began) {
			return
		}
	}
}

// bulkItem is one message of a call with several.
type bulkItem struct {
	ID   string `json:"id"`
	Body []byte `json:"body"`
}

// call answers one request and says whether the connection goes on.
func (e *endpoint) call(conn net.Conn, r *bufio.Reader, req *http.Request, body []byte, began time.Duration) bool {
	var ids, bodies []string
	bulk := false
	switch req.URL.Path {
	case "/inbox":
		ids, bodies = []string{req.Header.Get("X-Trace-Id")}, []string{string(body)}
	case "/inbox/bulk":
		var items []bulkItem
		if err := json.Unmarshal(body, &items); err != nil || len(items) == 0 || len(items) > e.ledger.sc.Batch {
			e.ledger.broken(RuleForeign, -1, "a bulk call that cannot be read: %.80q", body)
			io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		for _, x := range items {
			ids, bodies = append(ids, x.ID), append(bodies, string(x.Body))
		}
		bulk = true
	default:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	attempts, messages := e.ledger.arrive(e, began, ids, bodies)
	if len(messages) == 0 {
		io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	out := &exchange{e: e, conn: conn, attempts: attempts, messages: messages, bulk: bulk}
	return out.run(r)
}

// exchange is a call and its answer.
type exchange struct {
	e        *endpoint
	conn     net.Conn
	attempts []*attempt
	messages []*message
	bulk     bool
}

// end notes the end of the call.
func (x *exchange) end(neverRan, delivered bool) {
	x.e.ledger.end(x.attempts, x.messages, neverRan, delivered)
}

// run plays what becomes of a call.
func (x *exchange) run(r *bufio.Reader) bool {
	e, sender := x.e, x.messages[0].sender
	mode, chance := e.draw()
	down := mode == Refusing || mode == Silent || mode == Shut || mode == Failing
	full := e.dest.arrive(e.ledger, sender, down, 1+batchWeight*float64(len(x.messages)-1))
	tried := 0
	for _, m := range x.messages {
		tried = max(tried, len(m.attempts))
	}
	gone, stop := watchEnd(x.conn, r, func() { x.end(false, false) })
	defer stop()
	switch {
	case mode == Silent:
		<-gone
		return false
	case mode == Shut:
		return x.refuse("503 Service Unavailable", 0)
	case mode == Failing:
		return x.fail()
	case tried > e.ledger.sc.MaxTries:
		return x.refuse("504 Gateway Timeout", 0)
	case mode == Waits && chance < 0.5:
		return x.refuse("429 Too Many Requests", time.Duration(100+chance*2*mostWait)*time.Millisecond)
	case full && chance < 0.5:
		return x.refuse("429 Too Many Requests", time.Duration(50+chance*1000)*time.Millisecond)
	case full:
		return x.refuse("503 Service Unavailable", 0)
	}
	work := workLeast + time.Duration(chance*float64(workMost-workLeast))
	if mode == Slow {
		work += time.Duration(chance * float64(slowWork))
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-gone:
		return false
	}
	switch {
	case mode == Resets && chance < 0.5:
		x.end(false, false)
		reset(x.conn)
		return false
	case mode == Spoilt && chance < 0.3:
		x.end(false, false)
		io.WriteString(x.conn, []string{"HTTP/1.1 2", "garbage\r\n\r\n", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 99\r\n\r\nx"}[int(chance*10)])
		if chance < 0.15 {
			<-gone
		}
		return false
	case mode == Spoilt && chance < 0.6:
		return x.fail()
	}
	return x.deliver()
}

// refuse answers that the call never ran, with a wait if that is not 0.
func (x *exchange) refuse(status string, wait time.Duration) bool {
	head := ""
	if wait > 0 {
		head = "X-Come-Back-Ms: " + strconv.FormatInt(wait.Milliseconds(), 10) + "\r\n"
	}
	x.end(true, false)
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %s\r\nContent-Length: 0\r\n%s\r\n", status, head)
	if err == nil && wait > 0 {
		x.e.ledger.wait(x.messages[0].sender, x.e.dest.number, wait)
	}
	return err == nil
}

// fail answers with an error.
func (x *exchange) fail() bool {
	x.end(false, false)
	_, err := io.WriteString(x.conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// deliver answers that all is done.
func (x *exchange) deliver() bool {
	body := ""
	if x.bulk {
		var list []string
		for _, m := range x.messages {
			list = append(list, fmt.Sprintf(`{"id":%q,"state":"done"}`, m.id))
		}
		body = "[" + strings.Join(list, ",") + "]"
	}
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	x.end(false, err == nil)
	return err == nil
}

// watchEnd sees the end of a connection while a call on it is under way. Gone is closed at that end; stop ends the watch.
func watchEnd(conn net.Conn, r *bufio.Reader, ended func()) (gone <-chan struct{}, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done, over := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(over)
		_, err := r.Peek(1)
		if ctx.Err() == nil && err != nil {
			ended()
			close(done)
		}
	}()
	return done, func() {
		cancel()
		conn.SetReadDeadline(time.Unix(1, 0))
		<-over
		conn.SetReadDeadline(time.Time{})
	}
}

// arrive counts a call and says whether the destination has no room for it.
func (d *destination) arrive(l *Ledger, sender int, down bool, work float64) (full bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := l.now()
	if down {
		d.knew[sender] = true
		return false
	}
	able := d.capacity * d.share(l.sc.Cold, now)
	d.backlog, d.filled = max(0, d.backlog-able*(now-d.filled).Seconds()), now
	if d.backAt != 0 && now < d.backAt+l.sc.Cold.Warm {
		d.arrived = append(d.arrived, arrival{now, d.knew[sender]})
		d.checkRamp(l, now)
	}
	if d.backlog > able*queueSpan {
		return true
	}
	d.backlog += work
	return false
}

// share is the part of its capacity that a destination has.
func (d *destination) share(c Cold, now time.Duration) float64 {
	if d.backAt == 0 || now >= d.backAt+c.Warm {
		return 1
	}
	return c.From + (1-c.From)*float64(now-d.backAt)/float64(c.Warm)
}

// checkRamp holds what came in the last window against what topples a cold destination.
func (d *destination) checkRamp(l *Ledger, now time.Duration) {
	c := l.sc.Cold
	from := now - c.Window
	calls, told := 0, 0
	for _, a := range d.arrived {
		if a.at > from {
			calls++
			if a.told {
				told++
			}
		}
	}
	ramp := max(from, d.backAt)
	mean := (c.From*(ramp-from).Seconds() + (d.share(c, ramp)+d.share(c, now))/2*(now-ramp).Seconds()) / c.Window.Seconds()
	n := c.Multiple * mean * d.capacity * c.Window.Seconds()
	if most := RampBound(n); float64(calls) > most && 3*told >= 2*calls && !d.reported {
		d.reported = true
		l.broken(RuleRamp, -1, "destination %d: %d calls in %v, at most %.1f, %.1f s after its return", d.number, calls, c.Window, most, (now - d.backAt).Seconds())
	}
}

// RampBound is how many calls a cold destination bears in a window in which the settings allow it n.
func RampBound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// fails begins an outage of a destination, recovers ends it.
func (d *destination) fails() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backAt, d.arrived, d.reported = 0, nil, false
	d.knew = map[int]bool{}
}

func (d *destination) recovers(l *Ledger) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.backAt, d.filled, d.backlog = l.now(), l.now(), 0
}

// forget notes that a sender was started anew: it has been told of nothing.
func (d *destination) forget(sender int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.knew, sender)
}
