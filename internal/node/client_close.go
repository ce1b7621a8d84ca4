package node

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"
)

// What happens to the requests that have arrived on a client's connection when the sender closes it. Whatever has been
// read is owed a reply: a client submits a request again only if the sender has not read it.

// maxClosingReadTime limits how long input is read from a connection that is about to be closed, if its client goes on
// sending.
const maxClosingReadTime = minRequestTime

// errNoInput: the connection is about to be closed and has no more input.
var errNoInput = errors.New("no more input before the close")

// clientInput reads from a client's connection.
type clientInput struct {
	conn    net.Conn
	closing bool      // only input that has already arrived is read
	until   time.Time // with closing: nothing is read after this
}

// Read implements io.Reader.
func (in *clientInput) Read(p []byte) (int, error) {
	if in.closing && !in.hasInput() {
		return 0, errNoInput
	}
	return in.conn.Read(p)
}

// hasInput reports whether there is input to read before the connection is closed.
func (in *clientInput) hasInput() bool {
	if !time.Now().Before(in.until) {
		return false
	}
	_, data := peekConn(in.conn)
	return data
}

// startClosing limits further reads to input that has arrived.
func (s *session) startClosing() {
	if !s.input.closing {
		s.input.closing, s.input.until = true, time.Now().Add(maxClosingReadTime)
		s.conn.SetReadDeadline(s.input.until.Add(minRequestTime))
	}
}

// rejectBehind replies to the requests that have arrived behind the current one, if there are any. None is executed.
// errorReply is for those that do not submit a message.
func (s *session) rejectBehind(r *bufio.Reader, replies chan<- clientReply, errorReply string) {
	s.startClosing()
	if r.Buffered() > 0 || s.input.hasInput() {
		s.requestBegins()
		s.rejectArrived(r, replies, errorReply)
	}
}

// rejectArrived replies to the current request, which counts as open, and to those that have arrived behind it. None is
// executed. A request that has not arrived completely gets its reply too.
func (s *session) rejectArrived(r *bufio.Reader, replies chan<- clientReply, errorReply string) {
	s.startClosing()
	for {
		s.pace()
		name, err := skipCommand(r)
		switch {
		case errors.Is(err, errProtocol):
			s.replyAtClose(replies, errorReply)
			s.rejectAfterProtocolError(r, replies)
			return
		case err != nil && !errors.Is(err, errNoInput): // the client has closed the connection
			s.replyAtClose(replies, "")
			return
		case err != nil || name == putCommand:
			s.server.metrics.rejected.inc(string(rejectedStopping))
			s.replyAtClose(replies, busyReply(0))
		default:
			s.replyAtClose(replies, errorReply)
		}
		if err != nil || r.Buffered() == 0 && !s.input.hasInput() {
			return
		}
		s.requestBegins()
	}
}

// rejectAfterProtocolError replies to the requests that can be recognized behind input that is not one. Where those begin
// is not certain, since the input has lost its framing, so they are rejected, which is harmless, and none is executed.
func (s *session) rejectAfterProtocolError(r *bufio.Reader, replies chan<- clientReply) {
	s.startClosing()
	for s.skipToRequest(r) {
		if name, err := skipCommand(r); err == nil && name == putCommand {
			s.requestBegins()
			s.replyAtClose(replies, busyReply(0))
		}
	}
}

// skipToRequest skips input up to a line that may begin a request. It returns false at the end of the input.
func (s *session) skipToRequest(r *bufio.Reader) bool {
	for {
		s.pace()
		if b, err := r.Peek(1); err != nil || b[0] == '*' {
			return err == nil
		}
		if err := skipLine(r); err != nil {
			return false
		}
	}
}

// skipLine skips input up to the end of a line of any length.
func skipLine(r io.ByteReader) error {
	for {
		if c, err := r.ReadByte(); err != nil || c == '\n' {
			return err
		}
	}
}

// replyAtClose sends the reply to the current request, which has been read as far as it has arrived.
func (s *session) replyAtClose(replies chan<- clientReply, line string) {
	s.requestDone(false)
	replies <- clientReply{line: line}
}

// requestBegins records that another request has begun to arrive.
func (s *session) requestBegins() {
	s.server.mu.Lock()
	defer s.server.mu.Unlock()
	s.openRequests++
	s.readingRequest = true
}
