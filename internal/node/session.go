package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

const (
	firstRequestTimeout  = 2300 * time.Millisecond // from the connection to the end of the first request
	requestTimeout       = 2 * time.Second         // from the start to the end of a later request
	clientIdleTimeout    = 4 * time.Second         // between requests
	replyWriteTimeout    = 2 * time.Second
	minRequestTime       = 200 * time.Millisecond // least time for a request that has begun; longest wait for a slot
	maxConsecutiveErrors = 16                     // a connection with this many errors in a row is closed
	errorDelay           = 5 * time.Millisecond   // before the next request is read, times the errors in a row
	clientLingerTimeout  = 500 * time.Millisecond // for the client to close its side after we have closed ours
	maxLingerBytes       = 1 << 20                // read and discarded during that time

	putCommand = "MSG.PUT" // submits a message

	replyOK                 = "+OK\r\n"
	replyFailed             = "-ERR failed\r\n"
	replyUnknownDestination = "-ERR unknown destination\r\n"
	replyRequestTimeout     = "-ERR request not complete in time\r\n"
	replyTooManyErrors      = "-ERR too many errors\r\n"
	replyClosing            = "-ERR the connection is closing\r\n"
)

// session is one client's connection. Requests may be pipelined: a reader passes them on as they arrive, and a writer
// sends the replies in the order of the requests.
type session struct {
	server            *clientServer
	conn              net.Conn
	input             *clientInput // reads from conn
	openedAt          time.Time
	consecutiveErrors atomic.Int32
	limiter           requestLimiter // of the reader

	// Guarded by clientServer.mu.
	openRequests   int       // requests that have begun to arrive and have no reply
	readingRequest bool      // one of them has not arrived completely
	noRequestYet   bool      // no request has begun to arrive on this connection
	idleSince      time.Time // when the last reply was sent
	evicted        bool      // closed to make room for another connection
}

func newSession(server *clientServer, conn net.Conn) *session {
	now := time.Now()
	return &session{
		server:       server,
		conn:         conn,
		input:        &clientInput{conn: conn},
		openedAt:     now,
		limiter:      newRequestLimiter(now),
		idleSince:    now,
		noRequestYet: true,
	}
}

// clientReply is the reply to a request.
type clientReply struct {
	line    string        // the reply, unless pending is set
	pending <-chan string // delivers a reply that is not ready yet
	large   bool          // the request holds a large-request slot
}

// handle serves the connection until it ends. The caller closes it.
func (s *session) handle() {
	replies, writerDone := make(chan clientReply, maxPipelined), make(chan struct{})
	go func() {
		defer close(writerDone)
		s.writeReplies(replies)
	}()
	reason := s.readRequests(bufio.NewReader(s.input), replies)
	close(replies)
	<-writerDone
	s.recordClose(reason)
	s.lingeringClose()
}

// recordClose counts the end of a connection by its reason and checks that every request got a reply.
func (s *session) recordClose(reason closeReason) {
	s.server.mu.Lock()
	openRequests, evicted := s.openRequests, s.evicted
	s.server.mu.Unlock()
	if !evicted { // evictIdlest has counted it
		s.server.metrics.closed.inc(string(reason))
	}
	if openRequests > 0 {
		reportViolation(s.server.log, s.server.metrics, violationClosedWithRequests, "",
			"requests", openRequests, "why", string(reason))
	}
}

// readRequests reads and executes requests until the connection ends, and returns the reason for its end.
func (s *session) readRequests(r *bufio.Reader, replies chan<- clientReply) closeReason {
	first := true
	for {
		if reason, ok := s.awaitRequest(r); !ok {
			return reason
		}
		if n := s.consecutiveErrors.Load(); n >= maxConsecutiveErrors {
			s.rejectArrived(r, replies, replyTooManyErrors)
			return closedErrors
		} else if n > 0 {
			time.Sleep(time.Duration(n) * errorDelay)
		}
		s.pace()
		last := s.isLastRequest()
		s.conn.SetReadDeadline(s.requestDeadline(first, last))
		large := false
		args, err := readCommand(r, func() error {
			err := s.acquireLargeSlot()
			large = err == nil
			return err
		})
		readWhole := err == nil || errors.Is(err, errLargeRequestLimit)
		s.requestDone(readWhole && !last && r.Buffered() > 0)
		switch {
		case err == nil:
			reply := s.server.execute(args, last, closedByPeer(s.conn))
			reply.large = large
			replies <- reply
			if last {
				s.rejectBehind(r, replies, replyClosing)
				return closedDraining
			}
			first = false
			continue
		case errors.Is(err, errLargeRequestLimit):
			replies <- clientReply{line: busyReply(0)}
			if last {
				s.rejectBehind(r, replies, replyClosing)
				return closedDraining
			}
			first = false
			continue
		case errors.Is(err, errProtocol):
			replies <- clientReply{line: fmt.Sprintf("-ERR %v\r\n", err), large: large}
			s.rejectAfterProtocolError(r, replies)
			return closedProtocol
		case last && errors.Is(err, os.ErrDeadlineExceeded):
			replies <- clientReply{line: busyReply(0), large: large}
			return closedDraining
		case errors.Is(err, os.ErrDeadlineExceeded):
			replies <- clientReply{line: replyRequestTimeout, large: large}
			return closedTimeout
		}
		replies <- clientReply{large: large}
		return closedByClient
	}
}

// pace waits until the client may have another request read.
func (s *session) pace() { time.Sleep(s.limiter.take(time.Now())) }

// requestDeadline returns the time by which the request that has begun to arrive must be complete. first and last tell
// whether it is the first or the last one on the connection.
func (s *session) requestDeadline(first, last bool) time.Time {
	deadline := time.Now().Add(requestTimeout)
	if first {
		deadline = s.openedAt.Add(firstRequestTimeout)
		if earliest := time.Now().Add(minRequestTime); deadline.Before(earliest) {
			deadline = earliest
		}
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if closeBy, ok := s.closeBy(); ok {
		deadline = earlier(deadline, closeBy.Add(minRequestTime))
	}
	if last {
		deadline = time.Now().Add(minRequestTime)
	}
	if cutoff := s.server.readCutoff; !cutoff.IsZero() {
		deadline = earlier(deadline, cutoff)
	}
	return deadline
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// errLargeRequestLimit is returned when too many large requests are open.
var errLargeRequestLimit = errors.New("too many large requests")

// acquireLargeSlot waits up to minRequestTime for a large-request slot.
func (s *session) acquireLargeSlot() error {
	t := time.NewTimer(minRequestTime)
	defer t.Stop()
	select {
	case s.server.largeSlots <- struct{}{}:
		return nil
	case <-t.C:
		return errLargeRequestLimit
	}
}

// awaitRequest waits for the first byte of a request. If it returns false the connection ends, for the reason returned.
// A request counts as open before any of it is read: until then the connection may be closed, and the client sends the
// request again on another one.
func (s *session) awaitRequest(r *bufio.Reader) (closeReason, bool) {
	if r.Buffered() > 0 {
		return "", true // counted by requestDone of the previous request
	}
	s.server.mu.Lock()
	// Under the lock, so as not to override the deadline of startClosingIdle.
	s.conn.SetReadDeadline(s.idleDeadline(time.Now()))
	s.server.mu.Unlock()
	data, err := awaitInput(s.conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_, data = peekConn(s.conn) // a request that arrived just before the deadline must get a reply
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if !data || s.evicted || s.server.pastReadCutoff() {
		return s.endReason(data, err), false
	}
	s.openRequests++
	s.readingRequest, s.noRequestYet = true, false
	return "", true
}

// endReason returns why no further request is awaited. The lock of clientServer must be held.
func (s *session) endReason(data bool, err error) closeReason {
	switch {
	case s.evicted, !data && err == nil:
		return closedByClient
	case s.server.closingIdle, s.server.pastReadCutoff():
		return closedDraining
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedIdle
	}
	return closedByClient
}

// requestDone records that the current request was read or has failed. nextBuffered tells whether the start of the next
// request has already been read.
func (s *session) requestDone(nextBuffered bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.readingRequest = nextBuffered; nextBuffered {
		s.openRequests++
	}
}

// writeReplies sends the replies in the order of their requests. Replies that are ready are written together.
func (s *session) writeReplies(replies <-chan clientReply) {
	w := bufio.NewWriterSize(s.conn, 512)
	var err error
	for reply := range replies {
		line := reply.line
		if reply.pending != nil {
			select {
			case line = <-reply.pending:
			default: // replies that are ready must not wait for this one
				err = errors.Join(err, s.flush(w))
				line = <-reply.pending
			}
		}
		if reply.large {
			<-s.server.largeSlots
		}
		if strings.HasPrefix(line, "-ERR") {
			s.consecutiveErrors.Add(1)
		} else {
			s.consecutiveErrors.Store(0)
		}
		if err == nil {
			s.conn.SetWriteDeadline(time.Now().Add(replyWriteTimeout))
			_, err = w.WriteString(line)
		}
		if len(replies) == 0 {
			err = errors.Join(err, s.flush(w))
		}
		s.replySent()
	}
}

func (s *session) flush(w *bufio.Writer) error {
	if w.Buffered() == 0 {
		return nil
	}
	s.conn.SetWriteDeadline(time.Now().Add(replyWriteTimeout))
	return w.Flush()
}

// replySent records that the reply to a request has been sent.
func (s *session) replySent() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.openRequests--
	s.idleSince = time.Now()
}

// lingeringClose closes the sending side and then reads until the client has closed its side, within limits. Closing a
// connection with unread input would send a reset, which destroys replies in transit. The input read here is discarded:
// the client has already been told that the connection is closing.
func (s *session) lingeringClose() {
	s.server.mu.Lock()
	s.idleSince = time.Time{} // evicted before any other
	s.server.mu.Unlock()
	if halfCloser, ok := s.conn.(interface{ CloseWrite() error }); !ok || halfCloser.CloseWrite() != nil {
		return // already closed
	}
	s.conn.SetReadDeadline(time.Now().Add(clientLingerTimeout))
	io.Copy(io.Discard, io.LimitReader(s.conn, maxLingerBytes))
}

// execute carries out a request. If rejectPuts is set, it takes no message, and none of a client that has closed its
// side of the connection.
func (c *clientServer) execute(args [][]byte, rejectPuts, clientGone bool) clientReply {
	switch cmd := strings.ToUpper(string(args[0])); cmd {
	case "PING":
		if phase := c.currentPhase(); phase != serving && phase != replaced {
			return clientReply{line: "-ERR " + phase.String() + "\r\n"}
		}
		switch {
		case len(args) == 1:
			return clientReply{line: "+PONG\r\n"}
		case len(args) == 2 && len(args[1]) <= smallRequestBytes:
			return clientReply{line: fmt.Sprintf("$%d\r\n%s\r\n", len(args[1]), args[1])}
		}
		return clientReply{line: "-ERR PING takes one short argument at most\r\n"}
	case putCommand:
		if clientGone { // its client cannot learn that the message was accepted, and may submit it again elsewhere
			c.metrics.rejected.inc(string(rejectedClientGone))
			return clientReply{line: busyReply(0)}
		}
		msg, err := c.parsePut(args[1:], c.clock.Now())
		if err != nil {
			return clientReply{line: "-ERR " + err.Error() + "\r\n"}
		}
		c.mu.Lock()
		rejectPuts = rejectPuts || c.pastReadCutoff() // the request was pipelined behind others that were read in time
		c.mu.Unlock()
		if rejectPuts {
			c.metrics.rejected.inc(string(rejectedStopping))
			return clientReply{line: busyReply(0)}
		}
		pending := make(chan string, 1)
		c.events <- putEvent{msg, pending}
		return clientReply{pending: pending}
	}
	return clientReply{line: "-ERR unknown command\r\n"}
}
