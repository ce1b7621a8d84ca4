package node

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	maxAdminConns      = 24                     // at one time; the oldest is closed to make room
	adminTimeout       = 2 * time.Second        // for reading the command, and again for writing the reply
	adminLingerTimeout = 200 * time.Millisecond // after the reply, for the operator to read it
	maxAdminLine       = 256
)

// adminServer serves operators: one line with a command on each connection, replied to at once. It has a connection
// limit of its own and needs nothing from the event loop, so that it replies even when everything else is overloaded.
type adminServer struct {
	log      *slog.Logger
	commands map[string]func() string

	mu    sync.Mutex
	conns []net.Conn // in the order in which they were accepted
	wg    sync.WaitGroup
}

func newAdminServer(log *slog.Logger, clients *clientServer, metrics *metrics) *adminServer {
	setPhase := func(p phase) func() string {
		return func() string {
			if now := clients.setPhaseByOperator(p); now != p {
				return "-ERR " + now.String()
			}
			log.Info("operator", "state", p.String())
			return "+OK"
		}
	}
	return &adminServer{log: log, commands: map[string]func() string{
		"ready": func() string {
			if p := clients.currentPhase(); p != serving && p != waiting {
				return "-ERR " + p.String()
			}
			return "+OK"
		},
		"show-stat": func() string { return "+OK\n" + metrics.text() + "." },
		"drain":     setPhase(draining),
		"resume":    setPhase(serving),
	}}
}

// serve accepts connections until ctx is done, and returns when all of them are closed.
func (a *adminServer) serve(ctx context.Context, ln net.Listener) {
	defer a.wg.Wait()
	defer context.AfterFunc(ctx, func() {
		ln.Close()
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, conn := range a.conns {
			conn.Close()
		}
	})()
	acceptFailures := failureLog{log: a.log, operation: "operators: accept"}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		acceptFailures.observe(err)
		if err != nil {
			sleepContext(ctx, acceptRetryDelay)
			continue
		}
		a.addConn(conn)
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			a.handleConn(conn)
			a.removeConn(conn)
		}()
	}
}

// addConn registers a connection. If there are too many, it closes the oldest.
func (a *adminServer) addConn(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.conns) >= maxAdminConns {
		a.conns[0].Close()
		a.conns = a.conns[1:]
	}
	a.conns = append(a.conns, conn)
}

func (a *adminServer) removeConn(conn net.Conn) {
	conn.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, c := range a.conns {
		if c == conn {
			a.conns = append(a.conns[:i:i], a.conns[i+1:]...)
			return
		}
	}
}

// handleConn reads one command from a connection and writes the reply.
func (a *adminServer) handleConn(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(adminTimeout))
	r := bufio.NewReaderSize(conn, maxAdminLine)
	line, err := r.ReadSlice('\n')
	var reply string
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		reply = "-ERR call too long"
	case errors.Is(err, io.EOF), errors.Is(err, os.ErrDeadlineExceeded):
		reply = "-ERR call not complete"
	case err != nil:
		return // the operator has closed the connection
	default:
		reply = a.execute(strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r"))
	}
	conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(conn, reply+"\n"); err != nil {
		return
	}
	// Closing a connection with unread input resets it, and a reset can destroy a reply in transit.
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	conn.SetDeadline(time.Now().Add(adminLingerTimeout))
	io.Copy(io.Discard, io.LimitReader(r, maxLingerBytes))
}

func (a *adminServer) execute(command string) string {
	if run := a.commands[command]; run != nil {
		return run()
	}
	if command == "" {
		return "-ERR empty call"
	}
	return "-ERR unknown call; want ready, show-stat, drain or resume"
}
