package node

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// readToEnd reads until the sender closes the connection.
func (c *testClient) readToEnd() string {
	c.t.Helper()
	b, err := io.ReadAll(c.r)
	if isTimeout(err) {
		c.t.Fatal("the connection is still open")
	}
	return string(b)
}

// A client that sends nothing, or part of a request, must be disconnected: it would occupy a connection forever.
func TestSilentClients(t *testing.T) {
	n, _, _, _ := startNodeWithEndpoints(t, 1)
	for name, input := range map[string]string{
		"nothing":        "",
		"half a length":  "*5",
		"half a request": "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			at, c := time.Now(), dialClient(t, n.addr)
			io.WriteString(c.conn, input)
			got := c.readToEnd()
			if d := time.Since(at); d < 2*time.Second || d > 3*time.Second {
				t.Errorf("closed after %v", d)
			}
			if input != "" && !strings.HasPrefix(got, "-ERR ") {
				t.Errorf("got %q", got)
			}
		})
	}
}

// Clients that stay connected after a request must not keep new clients out: the connection idle longest is closed to
// make room. A connection with an open request is never closed for that.
func TestConnectionLimitEvictsIdlest(t *testing.T) {
	n, first, _, e := startNodeWithEndpoints(t, 1, func(n *Node) { n.clients.maxConns = 3 })
	first.put("a", "safe", "+OK")
	receive(t, e[0].calls, "call").reply(200)
	second := dialClient(t, n.addr)
	second.put("b", "safe", "+OK")
	receive(t, e[0].calls, "call").reply(200)
	partial := dialClient(t, n.addr)
	io.WriteString(partial.conn, "*1\r\n$4\r\nPI")
	for stop := time.Now().Add(testTimeout); ; { // until the sender has begun to read it
		n.clients.mu.Lock()
		openRequests := 0
		for s := range n.clients.sessions {
			openRequests += s.openRequests
		}
		n.clients.mu.Unlock()
		if openRequests == 1 {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the partial request was not read")
		}
	}
	fourth := dialClient(t, n.addr)
	if got := fourth.do("PING"); got != "+PONG" {
		t.Errorf("the new client got %q", got)
	}
	if got := first.readToEnd(); got != "" {
		t.Errorf("the client idle longest got %q", got)
	}
	if got := second.do("PING"); got != "+PONG" {
		t.Errorf("the client idle for a shorter time got %q", got)
	}
	io.WriteString(partial.conn, "NG\r\n")
	if got := partial.readLine(); got != "+PONG" {
		t.Errorf("the partial request got %q", got)
	}
	stopAndCheckEmpty(t, n)
}

// Hundreds of pipelined requests must each get a reply, in order, and faster than one per tick.
func TestPipelined(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	go func() {
		for in := range e[0].calls {
			in.reply(200)
		}
	}()
	const many = 300
	var b strings.Builder
	for i := range many {
		switch {
		case i%100 == 0:
			id := fmt.Sprint("m-", i)
			fmt.Fprintf(&b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n",
				len(id), id)
		default:
			fmt.Fprintf(&b, "*2\r\n$4\r\nPING\r\n$3\r\n%03d\r\n", i)
		}
	}
	go io.WriteString(c.conn, b.String())
	for i := range many {
		if got := c.readLine(); i%100 == 0 {
			if got != "+OK" {
				t.Errorf("reply %d: %q", i, got)
			}
		} else if body := c.readLine(); got != "$3" || body != fmt.Sprintf("%03d", i) {
			t.Fatalf("reply %d: %q %q", i, got, body)
		}
	}
	stopAndCheckEmpty(t, n)
}

// A client that keeps sending after a malformed request must still receive the error reply. Closing a connection with
// unread input sends a reset, which would destroy the reply.
func TestErrorReplySurvivesClose(t *testing.T) {
	n, _, _, _ := startNodeWithEndpoints(t, 1)
	c := dialClient(t, n.addr)
	io.WriteString(c.conn, "*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n"+strings.Repeat("x", 500<<10))
	if got := c.readToEnd(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("got %q", got)
	}
}

// A connection with too many errors in a row must be closed.
func TestConsecutiveErrorsCloseConnection(t *testing.T) {
	n, c, _, _ := startNodeWithEndpoints(t, 1)
	go func() {
		for {
			if _, err := io.WriteString(c.conn, "*1\r\n$3\r\nBAD\r\n"); err != nil {
				return
			}
		}
	}()
	got := c.readToEnd()
	if k := strings.Count(got, "-ERR unknown command"); k < maxConsecutiveErrors ||
		k > maxConsecutiveErrors+maxPipelined {
		t.Errorf("%d errors before the close", k)
	}
	stopAndCheckEmpty(t, n)
}

// The memory of large requests must be limited over all connections, and each request must release its slot.
func TestLargeRequestsBounded(t *testing.T) {
	n, c, _, _ := startNodeWithEndpoints(t, 1)
	for range cap(n.clients.largeSlots) {
		n.clients.largeSlots <- struct{}{}
	}
	if got := c.do("PING", strings.Repeat("x", 2*smallRequestBytes)); !strings.HasPrefix(got, "-BUSY") {
		t.Errorf("got %q", got)
	}
	for range cap(n.clients.largeSlots) {
		<-n.clients.largeSlots
	}
	d := dialClient(t, n.addr)
	for range 2 * cap(n.clients.largeSlots) { // fails if a request does not release its slot
		if got := d.do(
			"MSG.PUT", "0", "id", "c=safe,d=9000,dest=99", strings.Repeat("x", maxBulkBytes),
		); !strings.HasPrefix(got, "-") {
			t.Fatalf("got %q", got)
		}
		d.conn.Close()
		d = dialClient(t, n.addr)
	}
	for stop := time.Now().Add(testTimeout); len(n.clients.largeSlots) > 0; {
		if time.Now().After(stop) {
			t.Fatalf("%d slots are not released", len(n.clients.largeSlots))
		}
	}
}

// After a start with an empty list the destinations are unknown, so clients get -BUSY. Once discovery has responded, an
// unknown destination is an error.
func TestUnknownDestination(t *testing.T) {
	p, e := newPlatform(t), newEndpoint(t)
	p.holdLists = true
	n := startNode(t, p, t.TempDir(), EndpointList{})
	c := dialClient(t, n.addr)
	c.put("a", "safe", "-BUSY 1000")
	p.update(func() {
		p.holdLists, p.list = false, EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
	})
	awaitListGeneration(t, p, 1)
	c.put("b", "safe", "+OK")
	receive(t, e.calls, "call").reply(200)
	if got := c.do("MSG.PUT", "0", "c", "c=safe,d=9000,dest=2", "x"); got+"\r\n" != replyUnknownDestination {
		t.Errorf("got %q", got)
	}
	stopAndCheckEmpty(t, n)
}

// The connections of clients and calls together must stay within the descriptor limit.
func TestSocketBudget(t *testing.T) {
	for sockets := 128; sockets <= 4096; sockets *= 2 {
		for _, slots := range []int{0, 6, 60, 300} {
			cfg := &Config{Limits: Limits{Sockets: sockets}}
			cfg.Deployment.Settings.CallSlots = slots
			s := newSocketBudget(cfg)
			if s.clients+s.calls+reservedSockets > sockets || s.idle > s.calls || s.clients*3 < sockets-reservedSockets {
				t.Errorf("%d sockets, %d slots: %+v", sockets, slots, s)
			}
			cfg.Limits = cfg.Limits.dividedBy(2)
			if s := newSocketBudget(cfg); sockets >= 256 && 2*(s.clients+s.calls+reservedSockets) > sockets {
				t.Errorf("two processes with %d sockets, %d slots: %+v each", sockets, slots, s)
			}
		}
	}
}

// For any input a request without large-request slots must stay small, and an error must be one of the documented
// kinds.
func FuzzReadCommand(f *testing.F) {
	f.Add("*1\r\n$4\r\nPING\r\n")
	f.Add("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\na\r\n$20\r\nc=safe,d=9000,dest=1\r\n$3\r\n\r\n\x00\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		args, err := readCommand(newReader(in), func() error { return errLargeRequestLimit })
		sum := 0
		for _, a := range args {
			sum += len(a)
		}
		if sum > smallRequestBytes || err == nil && len(args) == 0 {
			t.Errorf("%q: %d arguments, %d bytes", in, len(args), sum)
		}
		if err != nil && !errors.Is(err, errProtocol) && !errors.Is(err, errLargeRequestLimit) &&
			!errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("%q: %v", in, err)
		}
	})
}
