package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop-pieces"] = playStopPieces }

const (
	pieceClients  = 4
	pieceRequests = 5                     // whole requests in each piece
	pieceInterval = 25 * time.Millisecond // between two pieces
	pieceDest     = 1
	pieceBefore   = 2 * time.Second // of traffic before SIGTERM
	pieceCut      = 20              // bytes of the next request that a piece holds
)

// pieceClient sends many requests on one connection without waiting for the answers. Each piece that it writes holds the
// rest of one request, pieceRequests whole ones and the start of the next.
type pieceClient struct {
	sender *sender
	number int

	mu       sync.Mutex
	requests []*pieceRequest // in the order in which they were written
	ended    bool            // the sender has ended the connection
}

// pieceRequest is a request of a pieceClient.
type pieceRequest struct {
	message
	piece    int // that holds its end; 0 until it is written whole
	answer   string
	answered time.Duration
}

func (c *pieceClient) newRequest() *pieceRequest {
	r := &pieceRequest{message: message{
		id: fmt.Sprintf("%s-c%d-%04d", c.sender.name, c.number, len(c.requests)), class: statusClass.name, dest: pieceDest,
		body: "update", lifetime: time.Duration(statusClass.deadline * float64(time.Second)),
	}}
	c.requests = append(c.requests, r)
	return r
}

// run sends pieces until the sender ends the connection or the time is over.
func (c *pieceClient) run(until time.Time) error {
	conn, err := net.Dial("tcp", c.sender.listen)
	if err != nil {
		return err
	}
	defer conn.Close()
	var reading sync.WaitGroup
	reading.Go(func() { c.readAnswers(conn) })
	rest, open := "", (*pieceRequest)(nil)
	for piece := 1; time.Now().Before(until); piece++ {
		c.mu.Lock()
		if c.ended {
			c.mu.Unlock()
			break
		}
		text := rest
		if open != nil {
			open.piece = piece
		}
		for range pieceRequests {
			r := c.newRequest()
			r.piece = piece
			text += r.command()
		}
		open = c.newRequest()
		command := open.command()
		text, rest = text+command[:pieceCut], command[pieceCut:]
		c.mu.Unlock()
		if _, err := io.WriteString(conn, text); err != nil {
			break
		}
		time.Sleep(pieceInterval)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(clientTimeout))
	reading.Wait()
	return nil
}

// readAnswers reads the answers, which come in the order of the requests.
func (c *pieceClient) readAnswers(conn net.Conn) {
	r := bufio.NewReader(conn)
	for i := 0; ; i++ {
		line, err := r.ReadString('\n')
		c.mu.Lock()
		if err != nil {
			c.ended = true
			c.mu.Unlock()
			c.sender.stage.record.printf("client %d: the connection ends after %d answers", c.number, i)
			return
		}
		c.requests[i].answer, c.requests[i].answered = strings.TrimSpace(line), c.sender.stage.record.elapsed()
		c.mu.Unlock()
	}
}

// countLost sends the requests without an answer once more on a new connection each. It returns how many of those that
// the sender must have read, since they stood in one piece with a request that it answered, got no answer then either.
func (c *pieceClient) countLost() (lost int) {
	record := c.sender.stage.record
	lastPiece := 0
	for _, r := range c.requests {
		if r.answer != "" {
			lastPiece = r.piece
			record.printf("client %d: %s, written whole with piece %d, answered at %.4f s: %s",
				c.number, r.id, r.piece, r.answered.Seconds(), r.answer)
		}
	}
	for _, r := range c.requests {
		if r.answer != "" || r.piece == 0 {
			continue
		}
		again := (&clientPool{sender: c.sender}).put(&r.message)
		if r.piece <= lastPiece && again.line == "" {
			lost++
			record.printf("lost: %s was written whole with piece %d, of which the sender answered another request; "+
				"its connection was ended without an answer, and a new one gave none", r.id, r.piece)
		}
	}
	return lost
}

// playStopPieces ends a sender while clients send many requests at once, in pieces.
func playStopPieces(s *stage) (bool, error) {
	quick, err := newEndpoint(s.record, "s-1", pieceDest, kindBulk, func(c *inboundCall) answer { return answerDelivered })
	if err != nil {
		return false, err
	}
	if s.agent, err = newAgent(s.record, []instance{quick.entry("up")}); err != nil {
		return false, err
	}
	config := newDeployment()
	config.senders = 1
	x, err := s.newSender(0, config.settings(0), smallLimits)
	if err != nil {
		return false, err
	}
	p, err := x.startReady()
	if err != nil {
		return false, err
	}
	until := time.Now().Add(pieceBefore + killDelay)
	var clients []*pieceClient
	var work sync.WaitGroup
	for number := range pieceClients {
		c := &pieceClient{sender: x, number: number}
		clients = append(clients, c)
		work.Go(func() { c.run(until) })
	}
	time.Sleep(pieceBefore)
	if s.trouble {
		s.record.printf("SIGTERM")
		p.signal(syscall.SIGTERM)
	}
	work.Wait()
	lost := 0
	for _, c := range clients {
		lost += c.countLost()
	}
	s.record.printf("%d requests lost", lost)
	return lost > 0, nil
}
