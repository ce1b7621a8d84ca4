package node

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hookConn is the sender's side of a client's connection, with hooks where the sender acts on it.
type hookConn struct {
	*net.TCPConn
	beforeClose func()    // before the sender ends its side, or all of it
	beforeRead  func()    // before each read
	afterWrite  func(int) // after each write
	once        sync.Once
}

func (c *hookConn) CloseWrite() error {
	c.once.Do(c.beforeClose)
	return c.TCPConn.CloseWrite()
}

func (c *hookConn) Close() error {
	c.once.Do(c.beforeClose)
	return c.TCPConn.Close()
}

func (c *hookConn) Read(b []byte) (int, error) {
	c.beforeRead()
	return c.TCPConn.Read(b)
}

func (c *hookConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.afterWrite(n)
	return n, err
}

// hooked is a session on a connection of its own, and the client's side.
func newHookedSession(t *testing.T, events chan any) (*session, *hookConn, *testClient) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := dialClient(t, ln.Addr().String())
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	cfg, err := ParseConfig(configText(newPlatform(t), List{}))
	if err != nil {
		t.Fatal(err)
	}
	h := &hookConn{TCPConn: conn.(*net.TCPConn), beforeClose: func() {}, beforeRead: func() {}, afterWrite: func(int) {}}
	s := &session{server: newClientServer(cfg, slog.New(slog.DiscardHandler), events, newFigures(cfg)), conn: h, openedAt: time.Now(), noRequestYet: true}
	s.server.phase = serving
	s.server.sessions[s] = struct{}{}
	return s, h, c
}

// run serves the session as clients.serve does, and tells of its end.
func (s *session) serveAsync() <-chan struct{} {
	done := make(chan struct{})
	go func() {
		s.handle()
		s.server.remove(s)
		s.conn.Close()
		close(done)
	}()
	return done
}

// arrives waits until something that the sender has not read is there.
func (c *hookConn) awaitUnread(t *testing.T) {
	for stop := time.Now().Add(testTimeout); ; {
		if _, data := peekConn(c.TCPConn); data {
			return
		}
		if time.Now().After(stop) {
			t.Error("what was written does not come")
			return
		}
	}
}

const putRequest = "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nlate\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n"

// A request may come in the instant in which the sender ends a resting connection. It is not sent on, for nobody could
// be told what became of it; and it costs none of the answers that the client has yet to take, which a close over
// unread input would.
func TestRepliesSurviveClose(t *testing.T) {
	events := make(chan any, 1)
	s, h, c := newHookedSession(t, events)
	const pings = 24
	arg := strings.Repeat("x", 4000)
	var want strings.Builder
	for range pings {
		fmt.Fprintf(&want, "$%d\r\n%s\r\n", len(arg), arg)
	}
	h.SetWriteBuffer(1 << 20)
	if err := c.conn.(*net.TCPConn).SetReadBuffer(4096); err != nil { // most of the answers stay on the sender's side
		t.Fatal(err)
	}
	answered, sum := make(chan struct{}), 0
	h.afterWrite = func(n int) {
		if sum += n; sum == want.Len() {
			close(answered)
		}
	}
	h.beforeClose = func() {
		io.WriteString(c.conn, putRequest)
		h.awaitUnread(t)
	}
	done := s.serveAsync()
	for range pings {
		c.send("PING", arg)
	}
	awaitClosed(t, answered, "all answers")
	s.server.setPhase(stopping)
	s.server.startClosingIdle()
	if got := c.readToEnd(); got != want.String() {
		t.Errorf("the client gets %d bytes, want %d", len(got), want.Len())
	}
	c.conn.Close()
	awaitClosed(t, done, "end of the session")
	if len(events) != 0 {
		t.Errorf("sent on: %+v", <-events)
	}
}

// over waits until ch is closed.
func awaitClosed(t *testing.T, ch <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-ch:
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
	}
}

// Nothing of a request is read before the request counts as open: until then the connection may be closed to make room,
// and a client sends again only what has not been read.
func TestRequestCountsBeforeRead(t *testing.T) {
	events := make(chan any)
	s, h, c := newHookedSession(t, events)
	reads, uncounted := 0, 0
	h.beforeRead = func() {
		s.server.mu.Lock()
		defer s.server.mu.Unlock()
		if reads++; s.openRequests == 0 {
			uncounted++
		}
	}
	done := s.serveAsync()
	if got := c.do("PING"); got != "+PONG" {
		t.Fatalf("got %q", got)
	}
	io.WriteString(c.conn, putRequest+putRequest) // both are read at once
	for stop := time.Now().Add(testTimeout); ; {  // the first is on its way to the loop
		s.server.mu.Lock()
		open := s.openRequests
		s.server.mu.Unlock()
		if open == 2 {
			break
		}
		if time.Now().After(stop) {
			t.Fatalf("%d requests count as open, of two that were read", open)
		}
	}
	for range 2 {
		receive(t, events, "message").(putEvent).reply <- replyOK
	}
	if got := c.readLine() + c.readLine(); got != "+OK+OK" {
		t.Errorf("got %q", got)
	}
	for stop := time.Now().Add(testTimeout); !s.server.evictIdlest(); { // idle once both are answered
		if time.Now().After(stop) {
			t.Fatal("never idle")
		}
	}
	awaitClosed(t, done, "end of the session")
	if reads == 0 || uncounted != 0 {
		t.Errorf("%d of %d reads before the request counted", uncounted, reads)
	}
}

// A request that is read so late in a shutdown that the loop might not answer it is not sent on: one that has not begun
// is left unread, one that came behind others is turned away, and one that is not complete gets an error line.
func TestReadCutoffAtShutdown(t *testing.T) {
	t.Run("unread", func(t *testing.T) {
		events := make(chan any, 1)
		s, h, c := newHookedSession(t, events)
		s.server.stopReadingAt(time.Now())
		read := 0
		h.beforeRead = func() { read++ }
		h.beforeClose = func() { h.beforeRead = func() {} } // what is drained after that goes nowhere
		io.WriteString(c.conn, putRequest)
		h.awaitUnread(t)
		done := s.serveAsync()
		if got := c.readToEnd(); got != "" || read != 0 {
			t.Errorf("%d reads, answer %q", read, got)
		}
		c.conn.Close()
		awaitClosed(t, done, "end of the session")
		if len(events) != 0 {
			t.Errorf("sent on: %+v", <-events)
		}
	})
	t.Run("behind another", func(t *testing.T) {
		events := make(chan any)
		s, _, c := newHookedSession(t, events)
		done := s.serveAsync()
		io.WriteString(c.conn, putRequest+putRequest+putRequest[:len(putRequest)-1])
		first := receive(t, events, "message").(putEvent)
		s.server.stopReadingAt(time.Now()) // the second may be on its way already
		first.reply <- replyOK
		go func() {
			for ev := range events {
				ev.(putEvent).reply <- replyOK
			}
		}()
		got := c.readToEnd()
		if want := "+OK\r\n-BUSY\r\n" + replyRequestTimeout; got != want && got != "+OK\r\n+OK\r\n"+replyRequestTimeout {
			t.Errorf("got %q", got)
		}
		c.conn.Close()
		awaitClosed(t, done, "end of the session")
		close(events)
	})
	t.Run("half", func(t *testing.T) {
		s, _, _ := newHookedSession(t, nil)
		at := time.Now().Add(minRequestTime / 2)
		s.server.stopReadingAt(at)
		for _, first := range []bool{true, false} {
			if by := s.requestDeadline(first); by.After(at) {
				t.Errorf("first %v: read until %v after the last time", first, by.Sub(at))
			}
		}
	})
	t.Run("answer", func(t *testing.T) {
		events := make(chan any, 1)
		s, _, _ := newHookedSession(t, events)
		args, err := readCommand(bufio.NewReader(strings.NewReader(putRequest)), func() error { return nil })
		if err != nil {
			t.Fatal(err)
		}
		s.server.stopReadingAt(time.Now())
		if a := s.server.execute(args); a.line != "-BUSY\r\n" || len(events) != 0 {
			t.Errorf("got %q, %d sent on", a.line, len(events))
		}
	})
}

// The last time to read is set by the shutdown, and by the handover, so that the loop, and the relay, go on for longer than
// clients are read.
func TestShutdownStopsReading(t *testing.T) {
	check := func(how string, n *Node) {
		t.Helper()
		n.clients.mu.Lock()
		defer n.clients.mu.Unlock()
		if got, want := n.clients.readCutoff, n.shutdownAt.Add(shutdownWorkTimeout); !got.Equal(want) || shutdownWorkTimeout >= shutdownTimeout {
			t.Errorf("%s: read until %v, want %v", how, got, want)
		}
	}
	n, _, p, _ := startNodeWithEndpoints(t, 1)
	stopAndCheckEmpty(t, n)
	check("stopped", n.Node)
	old := newNode(t, configText(p, List{}))
	defer old.stateLock.Close()
	defer old.journal.Close()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	old.listener = ln
	go old.clients.serve(ln)
	old.shutdownAt, old.successor = time.Now(), &successor{packets: make(chan packet)}
	old.retire(t.Context())
	check("replaced", old)
}

// An answer is small, and must not wait in the system for another: a close over unread input would take it along. So on
// connections of a listener that came from the process before, too.
func TestRepliesAreNotDelayed(t *testing.T) {
	own, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer own.Close()
	f, err := own.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	given, err := net.FileListener(f)
	if err != nil {
		t.Fatal(err)
	}
	defer given.Close()
	for _, ln := range []net.Listener{own, given} {
		s, _, _ := newHookedSession(t, nil)
		go s.server.serve(ln)
		if got := dialClient(t, ln.Addr().String()).do("PING"); got != "+PONG" {
			t.Fatalf("got %q", got)
		}
		ln.Close()
		<-s.server.acceptDone
		s.server.mu.Lock()
		for x := range s.server.sessions {
			if x == s {
				continue
			}
			raw, err := x.conn.(*net.TCPConn).SyscallConn()
			if err != nil {
				t.Fatal(err)
			}
			if err := raw.Control(func(fd uintptr) {
				if v, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); v == 0 || err != nil {
					t.Errorf("TCP_NODELAY %d, %v", v, err)
				}
			}); err != nil {
				t.Error(err)
			}
		}
		if len(s.server.sessions) != 2 {
			t.Errorf("%d sessions", len(s.server.sessions))
		}
		s.server.mu.Unlock()
	}
}
