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
	firstRequestTimeout  = 2300 * time.Millisecond // for the first request to have come whole
	requestTimeout       = 2 * time.Second         // for a later one, once it has begun
	clientIdleTimeout    = 4 * time.Second         // between requests
	replyWriteTimeout    = 2 * time.Second
	minRequestTime       = 200 * time.Millisecond // least time for a request that has begun to come
	maxConsecutiveErrors = 16                     // errors in a row after which a connection is closed
	errorDelay           = 5 * time.Millisecond   // before the next request is read, for each error in a row
	clientLingerTimeout  = 500 * time.Millisecond // after the end of our side, for the client to close its own
	maxLingerBytes       = 1 << 20

	replyOK                 = "+OK\r\n"
	replyFailed             = "-ERR failed\r\n"
	replyUnknownDestination = "-ERR unknown destination\r\n"
	replyRequestTimeout     = "-ERR request not complete in time\r\n"
	replyTooManyErrors      = "-ERR too many errors\r\n"
)

// session is one client's connection. Requests may be pipelined: a reader hands
// them on as they come, a writer answers them in their order.
type session struct {
	server            *clientServer
	conn              net.Conn
	openedAt          time.Time
	consecutiveErrors atomic.Int32 // in a row

	// Under the lock of clients.
	openRequests   int       // requests that have begun to come and are not answered
	readingRequest bool      // one of them has not come whole
	noRequestYet   bool      // none has begun to come
	idleSince      time.Time // when the last one was answered
	evicted        bool      // closed to make room
}

// answer is the answer to a request: at once, or as soon as it is there.
type clientReply struct {
	line    string
	pending <-chan string
	large   bool // the request holds a place among the large ones
}

func (s *session) handle() {
	replies, writerDone := make(chan clientReply, maxPipelined), make(chan struct{})
	go func() {
		defer close(writerDone)
		s.writeReplies(replies)
	}()
	reason := s.readRequests(bufio.NewReader(s.conn), replies)
	close(replies)
	<-writerDone
	s.recordClose(reason)
	s.lingeringClose()
}

// closes counts the end of a connection, and checks that no request is left without its answer.
func (s *session) recordClose(reason closing) {
	s.server.mu.Lock()
	openRequests, evicted := s.openRequests, s.evicted
	s.server.mu.Unlock()
	if !evicted { // else it was counted where it was closed
		s.server.metrics.closed.add(string(reason))
	}
	if openRequests > 0 {
		reportViolation(s.server.log, s.server.metrics, violationClosedWithRequests, "", "requests", openRequests, "why", string(reason))
	}
}

// read takes requests until the connection ends, and says why it does.
func (s *session) readRequests(r *bufio.Reader, replies chan<- clientReply) closing {
	first := true
	for {
		if reason, ok := s.awaitRequest(r); !ok {
			return reason
		}
		if n := s.consecutiveErrors.Load(); n >= maxConsecutiveErrors {
			replies <- clientReply{line: replyTooManyErrors}
			return closedErrors
		} else if n > 0 {
			time.Sleep(time.Duration(n) * errorDelay)
		}
		s.conn.SetReadDeadline(s.requestDeadline(first))
		large := false
		args, err := readCommand(r, func() error {
			err := s.acquireLargeSlot()
			large = err == nil
			return err
		})
		s.requestDone(err == nil && r.Buffered() > 0)
		switch {
		case err == nil:
			a := s.server.execute(args)
			a.large = large
			replies <- a
			first = false
			continue
		case errors.Is(err, errProtocol):
			replies <- clientReply{line: fmt.Sprintf("-ERR %v\r\n", err), large: large}
			return closedProtocol
		case errors.Is(err, errLargeRequestLimit):
			replies <- clientReply{line: busyReply(0)}
			return closedNoPlace
		case errors.Is(err, os.ErrDeadlineExceeded):
			replies <- clientReply{line: replyRequestTimeout, large: large}
			return closedTimeout
		}
		replies <- clientReply{large: large}
		return closedGone
	}
}

// requestBy is when the request that has begun to come must be whole.
func (s *session) requestDeadline(first bool) time.Time {
	deadline := time.Now().Add(requestTimeout)
	if first {
		deadline = s.openedAt.Add(firstRequestTimeout)
		if earliest := time.Now().Add(minRequestTime); deadline.Before(earliest) {
			deadline = earliest
		}
	}
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if cutoff := s.server.readCutoff; !cutoff.IsZero() && cutoff.Before(deadline) {
		return cutoff
	}
	return deadline
}

// errNoPlace says that too many large requests are under way.
var errLargeRequestLimit = errors.New("no place for a large request")

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

// await waits for the first byte of a request; false ends the connection, for the reason given. A request counts as open before anything of it
// is read: until then the connection may be closed, and its client sends the request again elsewhere.
func (s *session) awaitRequest(r *bufio.Reader) (closing, bool) {
	if r.Buffered() > 0 {
		return "", true // counted with the one before
	}
	s.server.mu.Lock()
	s.conn.SetReadDeadline(s.idleDeadline(time.Now())) // under the lock: startParting may be about to set its own
	s.server.mu.Unlock()
	data, err := awaitInput(s.conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		_, data = peekConn(s.conn) // it may have come just before: its client counts on an answer
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

// whyEnded says why no request is awaited any more, under the lock of clients.
func (s *session) endReason(data bool, err error) closing {
	switch {
	case s.evicted, !data && err == nil:
		return closedGone
	case s.server.closingIdle, s.server.pastReadCutoff():
		return closedParting
	case errors.Is(err, os.ErrDeadlineExceeded):
		return closedIdle
	}
	return closedGone
}

// whole notes that the request at hand has come to its end, good or bad, and whether some of the next has come with it.
func (s *session) requestDone(nextBuffered bool) {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	if s.readingRequest = nextBuffered; nextBuffered {
		s.openRequests++
	}
}

// write sends the answers in the order of their requests, those that are ready together.
func (s *session) writeReplies(replies <-chan clientReply) {
	w := bufio.NewWriterSize(s.conn, 512)
	var err error
	for reply := range replies {
		line := reply.line
		if reply.pending != nil {
			select {
			case line = <-reply.pending:
			default: // what is ready must not wait for what is not
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

func (s *session) replySent() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.openRequests--
	s.idleSince = time.Now()
}

// lingeringClose ends the sending side and reads on until the client has closed too, for a while at most: a close over
// unread input would be a reset, which destroys answers that are on their way. What is read here goes nowhere: the client
// has been told that the connection is at its end.
func (s *session) lingeringClose() {
	s.server.mu.Lock()
	s.idleSince = time.Time{} // the first to go
	s.server.mu.Unlock()
	if halfCloser, ok := s.conn.(interface{ CloseWrite() error }); !ok || halfCloser.CloseWrite() != nil {
		return // gone already
	}
	s.conn.SetReadDeadline(time.Now().Add(clientLingerTimeout))
	io.Copy(io.Discard, io.LimitReader(s.conn, maxLingerBytes))
}

// answer carries a request out.
func (c *clientServer) execute(args [][]byte) clientReply {
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
	case "MSG.PUT":
		msg, err := c.parsePut(args[1:], c.clock.Now())
		if err != nil {
			return clientReply{line: "-ERR " + err.Error() + "\r\n"}
		}
		c.mu.Lock()
		afterCutoff := c.pastReadCutoff()
		c.mu.Unlock()
		if afterCutoff { // it came behind others that were read in time
			c.metrics.refused.add(string(refusedLate))
			return clientReply{line: busyReply(0)}
		}
		pending := make(chan string, 1)
		c.events <- putEvent{msg, pending}
		return clientReply{pending: pending}
	}
	return clientReply{line: "-ERR unknown command\r\n"}
}
