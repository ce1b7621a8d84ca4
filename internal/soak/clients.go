package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// connection is a client's connection to a sender.
type connection struct {
	net.Conn
	r *bufio.Reader
}

// clients hand messages to one sender.
type clients struct {
	s   *sender
	rnd *rand.Rand

	mu   sync.Mutex
	idle []*connection
	next int
}

func newClients(s *sender) *clients {
	return &clients{s: s, rnd: rand.New(rand.NewPCG(s.run.sc.Seed, 1000+uint64(s.number)))}
}

// connect takes an idle connection or makes one.
func (c *clients) connect(fresh bool) (*connection, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.s.listen, giveUpAnswer)
	if err != nil {
		return nil, err
	}
	return &connection{Conn: conn, r: bufio.NewReader(conn)}, nil
}

func (c *clients) keep(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetDeadline(time.Time{})
	c.idle = append(c.idle, conn)
}

// play hands in messages at random times until ctx is over.
func (c *clients) play(ctx context.Context) {
	var puts sync.WaitGroup
	defer puts.Wait()
	sc := c.s.run.sc
	for {
		gap := time.Duration(c.rnd.ExpFloat64() / sc.Rate * float64(time.Second))
		if !rest(ctx, gap) {
			return
		}
		many := 1
		if c.rnd.IntN(25) == 0 {
			many = 2 + c.rnd.IntN(6) // sent at once on one connection
		}
		var batch []*message
		for range many {
			batch = append(batch, c.draw())
		}
		puts.Go(func() { c.put(batch) })
	}
}

// draw makes a message.
func (c *clients) draw() *message {
	sc := c.s.run.sc
	class := &sc.Classes[c.rnd.IntN(len(sc.Classes))]
	span := class.Deadline
	if c.rnd.IntN(12) == 0 { // with little time left
		span = time.Duration(float64(span) * c.rnd.Float64() / 4)
	}
	c.next++
	size := 1 + c.rnd.IntN(60)
	if c.rnd.IntN(30) == 0 {
		size = 6000
	}
	id := fmt.Sprintf("m-%d-%d", c.s.number, c.next)
	return &message{id: id, class: class, dest: c.rnd.IntN(sc.Destinations), sender: c.s.number, deadline: span,
		body: "body of " + id + strings.Repeat(".", size)}
}

// request is the command that hands a message in.
func (m *message) request(span time.Duration) string {
	opts := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class.Name, span.Milliseconds(), m.dest)
	if m.class.Effect == Dedup {
		opts += ",k=key-" + m.id
	}
	text := "*5\r\n"
	for _, a := range []string{"MSG.PUT", "0000", m.id, opts, m.body} {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	return text
}

// errClosed says that the sender closed a connection without an answer.
var errClosed = errors.New("closed without an answer")

// put hands messages in on one connection. What a close has crossed goes again, once, on a new one.
func (c *clients) put(batch []*message) {
	left, err := c.try(batch, false)
	if !errors.Is(err, errClosed) {
		return
	}
	again, err := c.try(left, true)
	if !errors.Is(err, errClosed) || len(again) == 0 {
		return
	}
	// A process that ends closes connections too, and so may one that stops: only one that serves owes an answer.
	if s := c.s; s.serving.TryLock() {
		defer s.serving.Unlock()
		if !s.run.troubled(s.number, AcceptErrors, Floods, HalfRequests) && s.pings() {
			s.run.ledger.broken(RuleClosed, s.number, "%s: closed without an answer, on a new connection too", again[0].id)
		}
	}
}

// try sends messages and takes the answers; it returns those without one.
func (c *clients) try(batch []*message, fresh bool) ([]*message, error) {
	conn, err := c.connect(fresh)
	if err != nil {
		return nil, err
	}
	text := ""
	for _, m := range batch {
		if !fresh {
			span := m.deadline
			m.deadline = c.s.run.ledger.now() + span
		}
		text += m.request(max(m.deadline-c.s.run.ledger.now(), time.Millisecond))
	}
	if !fresh {
		for _, m := range batch {
			c.s.run.ledger.offer(m)
		}
	}
	conn.SetDeadline(time.Now().Add(giveUpAnswer))
	if _, err := io.WriteString(conn, text); err != nil {
		conn.Close()
		return batch, errClosed
	}
	for i, m := range batch {
		line, err := conn.r.ReadString('\n')
		if err != nil {
			conn.Close()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return batch[i:], err // nobody waits for it any more
			}
			return batch[i:], errClosed
		}
		switch {
		case strings.HasPrefix(line, "+OK"):
			c.s.run.ledger.answered(m, takenOn)
		case strings.HasPrefix(line, "-BUSY"):
			c.s.run.ledger.answered(m, refused)
		default:
			c.s.run.ledger.answered(m, failed)
		}
	}
	c.keep(conn)
	return nil, nil
}

// halfRequest begins a request, stays, and is owed an error or a close.
func (c *clients) halfRequest() {
	conn, err := net.DialTimeout("tcp", c.s.listen, giveUpAnswer)
	if err != nil {
		return
	}
	defer conn.Close()
	begun := time.Now()
	io.WriteString(conn, "*5\r\n$7\r\nMSG.PUT\r\n$4\r\n00")
	conn.SetDeadline(begun.Add(3*time.Second + machineSlack))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && c.s.serving.TryLock() {
		defer c.s.serving.Unlock()
		if c.s.pings() {
			c.s.run.ledger.broken(RuleSilent, c.s.number, "half a request stands for 3 s")
		}
	}
}

// flood sends many commands that make no sense at once, and goes.
func (c *clients) flood() {
	conn, err := net.DialTimeout("tcp", c.s.listen, giveUpAnswer)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(giveUpAnswer))
	io.WriteString(conn, strings.Repeat("*1\r\n$4\r\nPING\r\n", 200)+strings.Repeat("*2\r\n$3\r\nFOO\r\n$1\r\nx\r\n", 50)+"nonsense\r\n")
	if c.rnd.IntN(2) == 0 {
		reset(conn)
	}
}

// rest waits and says whether ctx still stands.
func rest(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
