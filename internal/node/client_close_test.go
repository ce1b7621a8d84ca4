package node

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// putWithBody returns the request that submits a message with a body of this many bytes.
func putWithBody(id string, size int) string {
	return fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$20\r\nc=safe,d=9000,dest=1\r\n$%d\r\n%s\r\n",
		len(id), id, size, strings.Repeat("x", size))
}

// sessionExit is a reason for the sender to close a client's connection.
type sessionExit struct {
	name    string
	prepare func(s *session)
	trigger string // request at which the connection is closed
	reply   string // to the trigger
}

func sessionExits() []sessionExit {
	closing := func(s *session) {
		s.server.closingIdle, s.server.closingIdleSince = true, time.Now().Add(-2*maxClosingTime)
		s.openedAt = s.server.closingIdleSince
	}
	phase := func(p phase) func(*session) {
		return func(s *session) { closing(s); s.server.phase = p }
	}
	none := func(*session) {}
	return []sessionExit{
		{"stop", phase(stopping), putWithBody("trigger", 1), "-BUSY"},
		{"drain", phase(draining), putWithBody("trigger", 1), "-BUSY"},
		{"handover", phase(replaced), "*1\r\n$4\r\nPING\r\n", "+PONG"},
		{"stop with a large request", phase(stopping), putWithBody("trigger", maxBulkBytes), "-BUSY"},
		{"errors", func(s *session) { s.consecutiveErrors.Store(maxConsecutiveErrors) }, "*1\r\n$3\r\nBAD\r\n", "-ERR too many"},
		{"errors, then a message", func(s *session) { s.consecutiveErrors.Store(maxConsecutiveErrors) },
			putWithBody("trigger", 1), "-BUSY"},
		{"not a request", none, "GARBAGE\r\n", "-ERR protocol"},
		{"empty request", none, "*0\r\n", "-ERR protocol"},
		{"too many arguments", none, "*99\r\n$4\r\nPING\r\n", "-ERR protocol"},
		{"too few arguments", none, "*2\r\n$4\r\nPING\r\n", "-ERR protocol"},
		{"too long an argument", none, "*2\r\n$4\r\nPING\r\n$99999\r\n", "-ERR protocol"},
		{"no end of an argument", none, "*1\r\n$4\r\nPINGPONG\r\n", "-ERR protocol"},
	}
}

// Guards against requests that are read and then closed without a reply: whatever ends a connection, each request that
// has arrived behind the one at which it ends gets a reply, and none is executed.
func TestRequestsBehindExitGetReplies(t *testing.T) {
	for _, exit := range sessionExits() {
		for _, piece := range []struct{ requests, size int }{{5, 1}, {1, 1}, {60, 1}, {40, 3000}, {3, maxBulkBytes}} {
			t.Run(fmt.Sprintf("%s/%d of %d bytes", exit.name, piece.requests, piece.size), func(t *testing.T) {
				events := make(chan any, 1)
				s, h, c := newHookedSession(t, events)
				h.SetReadBuffer(1 << 20)
				exit.prepare(s)
				var text strings.Builder
				text.WriteString(exit.trigger)
				for i := range piece.requests {
					text.WriteString(putWithBody(fmt.Sprint("m", i), piece.size))
				}
				incomplete := putWithBody("incomplete", piece.size)
				text.WriteString(incomplete[:20])
				written := make(chan struct{})
				go func() {
					io.WriteString(c.conn, text.String())
					close(written)
				}()
				awaitClosed(t, written, "write")
				done := s.serveAsync()
				replies := strings.Split(strings.TrimSuffix(c.readToEnd(), "\r\n"), "\r\n")
				if !strings.HasPrefix(replies[0], exit.reply) {
					t.Errorf("the first reply is %q, want %q", replies[0], exit.reply)
				}
				busy := 0
				for _, reply := range replies[1:] {
					if reply == "-BUSY" {
						busy++
					}
				}
				if busy < piece.requests {
					t.Errorf("%d of %d requests were rejected: %q", busy, piece.requests, replies)
				}
				c.conn.Close()
				awaitClosed(t, done, "end of the session")
				if len(events) != 0 {
					t.Errorf("passed on: %+v", <-events)
				}
				if s.openRequests != 0 || s.server.metrics.violations.total() != 0 {
					t.Errorf("%d requests without a reply", s.openRequests)
				}
				if len(s.server.largeSlots) != 0 {
					t.Errorf("%d large requests hold their slot", len(s.server.largeSlots))
				}
			})
		}
	}
}

// Guards against a limit that costs other requests their reply: a request for which there is no memory is rejected, and
// the connection goes on.
func TestRequestsBehindLargeRequestAreServed(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	for range cap(n.clients.largeSlots) {
		n.clients.largeSlots <- struct{}{}
	}
	go io.WriteString(c.conn, putWithBody("large", maxBulkBytes)+putWithBody("small", 1))
	if got := c.readLine(); got != "-BUSY" {
		t.Errorf("the large request got %q", got)
	}
	if got := c.readLine(); got != "+OK" {
		t.Errorf("the one behind it got %q", got)
	}
	receive(t, e[0].calls, "call").reply(200)
	for range cap(n.clients.largeSlots) {
		<-n.clients.largeSlots
	}
	stopAndCheckEmpty(t, n)
}

// Guards against a connection that never ends: a client that sends without a pause is read for a limited time only.
func TestClosingEndsWithBusyClient(t *testing.T) {
	for _, exit := range sessionExits() {
		t.Run(exit.name, func(t *testing.T) {
			t.Parallel()
			s, _, c := newHookedSession(t, make(chan any, 1))
			exit.prepare(s)
			go func() {
				_, err := io.WriteString(c.conn, exit.trigger)
				for err == nil {
					_, err = io.WriteString(c.conn, strings.Repeat(putRequest, 100))
				}
			}()
			start := time.Now()
			done := s.serveAsync()
			c.readToEnd()
			if took := time.Since(start); took > time.Second {
				t.Errorf("closed after %v", took)
			}
			c.conn.Close()
			awaitClosed(t, done, "end of the session")
		})
	}
}
