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

// clientConn is a client connection to a sender.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// clients submits messages to one sender.
type clients struct {
	sender *sender
	rng    *rand.Rand
	prefix string // of the numbers in message ids, so that those of several clients of a sender differ

	mu         sync.Mutex
	idle       []*clientConn
	lastNumber int
}

func newClients(s *sender) *clients {
	return &clients{sender: s, rng: rand.New(rand.NewPCG(s.run.scenario.Seed, 1000+uint64(s.number)))}
}

// acquire returns an idle connection, or a new one if there is none or fresh is set.
func (c *clients) acquire(fresh bool) (*clientConn, error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 && !fresh {
		conn := c.idle[n-1]
		c.idle = c.idle[:n-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.sender.listenAddr, clientTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *clients) release(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.SetDeadline(time.Time{})
	c.idle = append(c.idle, conn)
}

// run submits messages at random times until ctx is done.
func (c *clients) run(ctx context.Context) {
	var submissions sync.WaitGroup
	defer submissions.Wait()
	rate := c.sender.run.scenario.rateOf(c.sender.number)
	for {
		interval := time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second))
		if !sleep(ctx, interval) {
			return
		}
		size := 1
		if c.rng.IntN(25) == 0 {
			size = 2 + c.rng.IntN(6) // pipelined on one connection
		}
		var batch []*message
		for range size {
			batch = append(batch, c.newMessage())
		}
		submissions.Go(func() { c.submit(batch) })
	}
}

// newMessage returns a random message. Its deadline is still relative to the time of its submission.
func (c *clients) newMessage() *message {
	sc := c.sender.run.scenario
	return c.newMessageOf(&sc.Classes[c.rng.IntN(len(sc.Classes))])
}

// newMessageOf returns a random message of a class.
func (c *clients) newMessageOf(class *Class) *message {
	sc := c.sender.run.scenario
	timeLeft := class.Deadline
	if c.rng.IntN(12) == 0 { // sometimes with little time left
		timeLeft = time.Duration(float64(timeLeft) * c.rng.Float64() / 4)
	}
	c.lastNumber++
	size := 1 + c.rng.IntN(60)
	if c.rng.IntN(30) == 0 {
		size = 6000
	}
	if sc.LargeBodies && c.rng.IntN(2) == 0 {
		size = minLargeBody + c.rng.IntN(maxLargeBody-minLargeBody)
	}
	id := fmt.Sprintf("m-%d-%s%d", c.sender.number, c.prefix, c.lastNumber)
	m := &message{
		id:       id,
		class:    class,
		dest:     c.rng.IntN(sc.Destinations),
		sender:   c.sender.number,
		deadline: timeLeft,
		body:     "body of " + id + strings.Repeat(".", size),
	}
	c.setDestination(m, m.dest)
	return m
}

// setDestination sets the destination of a message and one of its order keys.
func (c *clients) setDestination(m *message, dest int) {
	m.dest, m.orderKey = dest, noOrderKey
	if keys := c.sender.run.scenario.OrderKeys; m.class.KeepOrder {
		m.orderKey = fmt.Sprintf("%016x", 1+dest*keys+c.rng.IntN(keys))
	}
}

// noOrderKey stands for a message without an order key.
const noOrderKey = "0000"

// Sizes of large bodies, in bytes.
const (
	minLargeBody = 12 << 10
	maxLargeBody = 45 << 10
)

// command returns the MSG.PUT command for the message.
func (m *message) command(timeLeft time.Duration) string {
	opts := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class.Name, timeLeft.Milliseconds(), m.dest)
	if m.class.Idempotency == IdempotentByKey {
		opts += ",k=key-" + m.id
	}
	command := "*5\r\n"
	for _, arg := range []string{"MSG.PUT", m.orderKey, m.id, opts, m.body} {
		command += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	}
	return command
}

// errClosedUnanswered is returned if the sender closes a connection without an answer.
var errClosedUnanswered = errors.New("closed without an answer")

// submit sends messages on one connection. If the connection is closed before all are answered, it sends the rest once
// more on a new connection.
func (c *clients) submit(batch []*message) {
	unanswered, err := c.send(batch, false)
	if errors.Is(err, errClosedUnanswered) {
		c.submitAgain(unanswered)
	}
}

// submitAgain sends messages whose connection was closed without an answer once more, on a new connection.
func (c *clients) submitAgain(unanswered []*message) {
	stillUnanswered, err := c.send(unanswered, true)
	if !errors.Is(err, errClosedUnanswered) || len(stillUnanswered) == 0 {
		return
	}
	// A process that is stopping or has exited may close connections. Only a process that serves must answer.
	if s := c.sender; s.processLock.TryLock() {
		defer s.processLock.Unlock()
		if !s.run.faultActive(s.number, AcceptErrors, CommandFloods, IncompleteRequests, ClientCrowd) && s.answersPing() {
			s.run.checker.report(RuleClosedTwice, s.number,
				"%s: closed without an answer, on a new connection too", stillUnanswered[0].id)
		}
	}
}

// send sends messages and reads the answers. It returns the messages that got none.
func (c *clients) send(batch []*message, fresh bool) ([]*message, error) {
	conn, err := c.acquire(fresh)
	if err != nil {
		return nil, err
	}
	unanswered, err := c.exchange(conn, batch, fresh)
	if err == nil {
		c.release(conn)
	}
	return unanswered, err
}

// exchange sends messages on a connection and reads the answers. It returns the messages that got none; then the
// connection is closed. again tells whether they were sent before.
func (c *clients) exchange(conn *clientConn, batch []*message, again bool) ([]*message, error) {
	commands := ""
	for _, m := range batch {
		if !again {
			timeLeft := m.deadline
			m.deadline = c.sender.run.checker.elapsed() + timeLeft
		}
		commands += m.command(max(m.deadline-c.sender.run.checker.elapsed(), time.Millisecond))
	}
	if !again {
		for _, m := range batch {
			c.sender.run.checker.recordOffer(m)
		}
	}
	conn.SetDeadline(time.Now().Add(clientTimeout))
	if _, err := io.WriteString(conn, commands); err != nil {
		conn.Close()
		return batch, errClosedUnanswered
	}
	for i, m := range batch {
		line, err := conn.reader.ReadString('\n')
		if err != nil {
			conn.Close()
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				return batch[i:], err // the client has stopped waiting
			}
			return batch[i:], errClosedUnanswered
		}
		switch {
		case strings.HasPrefix(line, "+OK"):
			c.sender.run.checker.recordAnswer(m, answerAccepted)
		case strings.HasPrefix(line, "-BUSY"):
			c.sender.run.checker.recordAnswer(m, answerRejected)
		default:
			c.sender.run.checker.recordAnswer(m, answerFailed)
		}
	}
	return nil, nil
}

// submitLargeBurst submits several large messages for one destination with one write.
func (c *clients) submitLargeBurst() {
	const count = 8
	var batch []*message
	for i := range count {
		m := c.newMessage()
		c.setDestination(m, 0)
		m.body = fmt.Sprintf("burst %d of %s%s", i, m.id, strings.Repeat(".", maxLargeBody/2))
		batch = append(batch, m)
	}
	c.submit(batch)
}

// submitOrderedPair submits a message with an order key together with one that may not be repeated, and a little later
// another one with the same key, all for the destination of the SilentEndpoint fault.
func (c *clients) submitOrderedPair() {
	classes := c.sender.run.scenario.Classes
	earlier, later, other := c.newMessageOf(&classes[0]), c.newMessageOf(&classes[0]), c.newMessageOf(&classes[2])
	for _, m := range []*message{earlier, later, other} {
		c.setDestination(m, 0)
		m.body = "short body of " + m.id
	}
	later.orderKey = earlier.orderKey
	c.submit([]*message{earlier, other})
	time.Sleep(200 * time.Millisecond)
	c.submit([]*message{later})
}

// sendIncompleteRequest sends part of a request and checks that the sender answers with an error or closes the
// connection.
func (c *clients) sendIncompleteRequest() {
	conn, err := net.DialTimeout("tcp", c.sender.listenAddr, clientTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	started := time.Now()
	io.WriteString(conn, "*5\r\n$7\r\nMSG.PUT\r\n$4\r\n00")
	conn.SetDeadline(started.Add(3*time.Second + schedulingSlack))
	_, err = conn.Read(make([]byte, 1))
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() && c.sender.processLock.TryLock() {
		defer c.sender.processLock.Unlock()
		if c.sender.answersPing() {
			c.sender.run.checker.report(RuleIncompleteRequest, c.sender.number,
				"an incomplete request got neither an error nor a close within 3 s")
		}
	}
}

// flood sends many commands, most of them useless or invalid, and disconnects without reading the answers.
func (c *clients) flood() {
	conn, err := net.DialTimeout("tcp", c.sender.listenAddr, clientTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(clientTimeout))
	io.WriteString(conn, strings.Repeat("*1\r\n$4\r\nPING\r\n", 200)+
		strings.Repeat("*2\r\n$3\r\nFOO\r\n$1\r\nx\r\n", 50)+
		"nonsense\r\n")
	if c.rng.IntN(2) == 0 {
		resetConn(conn)
	}
}

// sleep waits for d or until ctx is done. It reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
