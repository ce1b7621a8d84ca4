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

// The case of the client that writes its requests in pieces while the sender is drained.
const (
	pieceInterval  = 25 * time.Millisecond // between two pieces, so between two requests
	drainAfter     = time.Second
	drainLimit     = 4 * time.Second // from the operator's call, after which no client may be held
	lastMessageAge = 2 * time.Second // a connection with a younger message is held
	drainPlayAfter = 6 * time.Second // from the operator's call to the end
	clientLifetime = 8 * time.Second // d of each message
)

// piecesClient hands in messages on one connection without waiting for the replies. Each piece that it writes holds the
// second half of one request and the first half of the next.
type piecesClient struct {
	record *recorder
	conn   net.Conn

	mu        sync.Mutex
	lastReply time.Time // when the last +OK arrived
	replies   int
	ended     time.Time // when the sender ended the connection; zero while it is open
}

// send writes requests until the sender ends the connection or until.
func (c *piecesClient) send(until time.Time) {
	half := ""
	for i := 0; time.Now().Before(until); i++ {
		id := fmt.Sprintf("%016x", i+1)
		m := message{id: id, class: "status", dest: 0, lifetime: clientLifetime, body: "body of " + id}
		text := m.command()
		if _, err := io.WriteString(c.conn, half+text[:len(text)/2]); err != nil {
			return
		}
		half = text[len(text)/2:]
		c.record.line("client: piece with the end of the request before and the start of %s", id)
		time.Sleep(pieceInterval)
		c.mu.Lock()
		ended := !c.ended.IsZero()
		c.mu.Unlock()
		if ended {
			return
		}
	}
}

// read reads replies until the sender ends the connection.
func (c *piecesClient) read() {
	in := bufio.NewReader(c.conn)
	for {
		line, err := in.ReadString('\n')
		c.mu.Lock()
		if err != nil {
			c.ended = time.Now()
			c.mu.Unlock()
			c.record.line("client: the sender ended the connection: %v", err)
			return
		}
		if c.replies++; strings.HasPrefix(line, "+") {
			c.lastReply = time.Now()
		}
		c.record.line("client: reply %d: %s", c.replies, strings.TrimSpace(line))
		c.mu.Unlock()
	}
}

// callOperator makes an operator's call and returns the reply.
func callOperator(addr, command string) (string, error) {
	conn, err := net.DialTimeout("tcp", addr, replyTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", command)
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

func playDrain(env *environment) (broken []string, err error) {
	e, err := newEndpoint(env.record, "s-0", 0, ordinaryBacklog, (*call).deliver)
	if err != nil {
		return nil, err
	}
	defer e.ln.Close()
	go e.run()
	list := hostList{Generation: 1, Reset: true, Instances: []host{e.host()}}
	a, err := newAgent(env.record, list)
	if err != nil {
		return nil, err
	}
	defer a.server.Close()
	s, err := startSender(env, env.dir, a.addr, options{batch: 1, slots: 13}, list)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	conn, err := net.DialTimeout("tcp", s.listen, replyTimeout)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	c := &piecesClient{record: env.record, conn: conn}
	go c.read()
	go c.send(time.Now().Add(drainAfter + drainPlayAfter))
	time.Sleep(drainAfter)
	drainedAt := time.Now()
	if env.trouble {
		reply, err := callOperator(s.admin, "drain")
		env.record.line("operator: drain: %s", reply)
		if err != nil || reply != "+OK" {
			return nil, fmt.Errorf("drain: %q %v", reply, err)
		}
	}
	time.Sleep(time.Until(drainedAt.Add(drainLimit)))
	c.mu.Lock()
	defer c.mu.Unlock()
	env.record.line("check: %d replies, last +OK %v ago, ended %v", c.replies, time.Since(c.lastReply), !c.ended.IsZero())
	if env.trouble && c.ended.IsZero() && time.Since(c.lastReply) < lastMessageAge {
		broken = append(broken, fmt.Sprintf("%v after the drain a client's connection is held, with a message taken on %v ago",
			drainLimit, time.Since(c.lastReply).Round(time.Millisecond)))
	}
	return broken, nil
}
