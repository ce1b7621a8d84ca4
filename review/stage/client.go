package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const clientTimeout = 400 * time.Millisecond // for the answer to a message

// message is a message that a client hands in.
type message struct {
	id       string
	class    string
	dest     int
	key      string // order key; empty for none
	body     string
	lifetime time.Duration
}

// result is what became of handing in a message.
type result struct {
	line     string // the answer; empty if there was none
	deadline time.Duration
	at       time.Duration // of the answer
}

func (r result) accepted() bool { return strings.HasPrefix(r.line, "+") }

// command returns the request that hands in the message.
func (m *message) command() string {
	key := m.key
	if key == "" {
		key = "0000000000000000"
	}
	list := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class, m.lifetime.Milliseconds(), m.dest)
	var b strings.Builder
	b.WriteString("*5\r\n")
	for _, arg := range []string{"MSG.PUT", key, m.id, list, m.body} {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b.String()
}

// clientPool hands in messages to a sender over connections that it keeps.
type clientPool struct {
	sender *sender

	mu   sync.Mutex
	idle []net.Conn
}

func (c *clientPool) take() (conn net.Conn, kept bool, err error) {
	c.mu.Lock()
	if n := len(c.idle); n > 0 {
		conn, c.idle = c.idle[n-1], c.idle[:n-1]
		c.mu.Unlock()
		return conn, true, nil
	}
	c.mu.Unlock()
	conn, err = net.DialTimeout("tcp", c.sender.listen, clientTimeout)
	return conn, false, err
}

// put hands in a message. If a kept connection ends without an answer, it sends the request once more on a new one.
func (c *clientPool) put(m *message) result {
	record := c.sender.stage.record
	deadline := record.elapsed() + m.lifetime
	for {
		conn, kept, err := c.take()
		if err != nil {
			record.printf("client: %s not handed in: %v", m.id, err)
			return result{deadline: deadline}
		}
		conn.SetDeadline(time.Now().Add(clientTimeout))
		line := ""
		if _, err = io.WriteString(conn, m.command()); err == nil {
			line, err = bufio.NewReader(conn).ReadString('\n')
		}
		if err == nil {
			conn.SetDeadline(time.Time{})
			c.mu.Lock()
			c.idle = append(c.idle, conn)
			c.mu.Unlock()
			line = strings.TrimSpace(line)
			record.printf("client: %s for destination %d: %s", m.id, m.dest, line)
			return result{line, deadline, record.elapsed()}
		}
		conn.Close()
		if timeout, ok := err.(net.Error); !kept || ok && timeout.Timeout() {
			record.printf("client: %s without an answer: %v", m.id, err)
			return result{deadline: deadline}
		}
	}
}
