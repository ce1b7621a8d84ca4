package node

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"rundeal/internal/clock"
)

const (
	acceptRetryDelay   = 5 * time.Millisecond
	maxPipelined       = 16      // requests of one connection that wait for their replies
	smallRequestBytes  = 4 << 10 // a larger request needs a slot of its own
	maxRequestBytes    = maxBulkBytes + smallRequestBytes
	largeMemoryDivisor = 8 // large requests may use 1/8 of the memory until they are replied to
	defaultMemoryMB    = 192
)

// putEvent is a message sent by a client. The loop sends exactly one reply.
type putEvent struct {
	msg   *Message
	reply chan<- string
}

// clientServer serves clients over RESP2. It accepts connections up to a limit and closes the one idle longest to make
// room for a new one.
type clientServer struct {
	cfg            *Config
	log            *slog.Logger
	events         chan<- any
	clock          *clock.Persistent // set before clients are served
	metrics        *metrics
	maxConns       int
	largeSlots     chan struct{} // holds one element per large request without a reply
	mu             sync.Mutex
	sessions       map[*session]struct{}
	phase          phase
	closingIdle    bool           // connections are closed as soon as no request is open on them
	closeIdleTimer *time.Timer    // calls startClosingIdle
	readCutoff     time.Time      // no request is accepted after this; zero for no limit
	acceptDone     chan struct{}  // closed when no more connections are accepted
	wg             sync.WaitGroup // sessions

	closingIdleSince time.Time
}

func newClientServer(cfg *Config, log *slog.Logger, events chan<- any, metrics *metrics) *clientServer {
	memoryMB := cfg.Limits.MemoryMB
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	c := &clientServer{
		cfg:        cfg,
		log:        log,
		events:     events,
		maxConns:   newSocketBudget(cfg).clients,
		sessions:   map[*session]struct{}{},
		clock:      clock.New(),
		metrics:    metrics,
		acceptDone: make(chan struct{}),
		largeSlots: make(chan struct{}, max(int(memoryMB*(1<<20)/largeMemoryDivisor/maxRequestBytes), 8)),
	}
	c.closeIdleTimer = time.AfterFunc(time.Hour, c.startClosingIdle)
	c.closeIdleTimer.Stop()
	return c
}

// serve accepts connections until the listener is closed.
func (c *clientServer) serve(ln net.Listener) {
	defer close(c.acceptDone)
	acceptFailures := failureLog{log: c.log, operation: "accept"}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		acceptFailures.observe(err)
		if err != nil {
			// Closing a connection helps only if this process itself, not the system, is out of descriptors.
			if !errors.Is(err, syscall.EMFILE) || !c.evictIdlest() {
				time.Sleep(acceptRetryDelay)
			}
			continue
		}
		s := newSession(c, conn)
		if !c.admit(s) {
			conn.Close()
			continue
		}
		go func() {
			defer c.wg.Done()
			s.handle()
			c.remove(s)
			conn.Close()
		}()
	}
}

// admit registers a connection. At the limit it closes the connection that has been idle longest; if each has a request
// open, it returns false and the new connection is to be closed.
func (c *clientServer) admit(s *session) bool {
	for {
		c.mu.Lock()
		if c.phase == stopping && c.closingIdle {
			c.mu.Unlock()
			return false
		}
		if len(c.sessions) < c.maxConns {
			c.sessions[s] = struct{}{}
			c.wg.Add(1)
			c.mu.Unlock()
			return true
		}
		c.mu.Unlock()
		if !c.evictIdlest() {
			return false
		}
	}
}

// setMaxConns changes the limit on connections and closes those above it, the one idle longest first.
func (c *clientServer) setMaxConns(maxConns int) {
	c.mu.Lock()
	c.maxConns = maxConns
	excess := len(c.sessions) - maxConns
	c.mu.Unlock()
	for ; excess > 0 && c.evictIdlest(); excess-- {
	}
}

// evictIdlest closes the connection that has been idle longest. It returns false if a request is open on each.
func (c *clientServer) evictIdlest() bool {
	c.mu.Lock()
	var idlest *session
	for s := range c.sessions {
		if s.openRequests == 0 && (idlest == nil || s.idleSince.Before(idlest.idleSince)) {
			idlest = s
		}
	}
	if idlest != nil {
		idlest.evicted = true
		delete(c.sessions, idlest)
	}
	c.mu.Unlock()
	if idlest == nil {
		return false
	}
	c.metrics.closed.inc(string(closedEvicted))
	idlest.conn.Close()
	return true
}

func (c *clientServer) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s)
}

// awaitInput waits until a connection has input, without reading it. data is false if the peer has closed the
// connection.
func awaitInput(conn net.Conn) (data bool, err error) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, err
	}
	err = raw.Read(func(fd uintptr) bool {
		n, err := peekByte(fd)
		// A temporary error says nothing about the connection; the next read will show its state.
		data = n > 0 || err != nil && isTransient(err)
		return !errors.Is(err, syscall.EAGAIN)
	})
	return data, err
}

// peekByte checks for input without consuming it or blocking.
func peekByte(fd uintptr) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// peekConn reports, without reading or blocking, whether the peer still has the connection open and whether there is
// input.
func peekConn(conn net.Conn) (alive, data bool) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = raw.Control(func(fd uintptr) {
		n, err := peekByte(fd)
		data = n > 0
		alive = data || errors.Is(err, syscall.EAGAIN)
	})
	return alive && err == nil, data
}

// States of a connection in struct tcp_info (linux/tcp.h) after the peer has closed its side.
const (
	tcpClosed    = 7
	tcpCloseWait = 8
)

// closedByPeer reports whether the peer has closed its side of the connection, even if input is left to read.
func closedByPeer(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		state := info & 0xff // the first byte
		closed = err == nil && (state == tcpClosed || state == tcpCloseWait)
	})
	return closed
}
