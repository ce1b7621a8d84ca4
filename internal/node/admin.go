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
	maxAdminConns      = 24                     // callers at once; the oldest makes room
	adminTimeout       = 2 * time.Second        // for a whole call, and as long again for its answer
	adminLingerTimeout = 200 * time.Millisecond // after it, for the caller to read it
	maxAdminLine       = 256
)

// admin serves the operators: a line a connection, answered at once. It has places of
// its own and asks the loop nothing, so that it answers when all else is full.
type adminServer struct {
	log      *slog.Logger
	commands map[string]func() string

	mu    sync.Mutex
	conns []net.Conn // in the order in which they came
	wg    sync.WaitGroup
}

func newAdminServer(log *slog.Logger, clients *clients, figures *metrics) *adminServer {
	turn := func(p phase) func() string {
		return func() string {
			if got := clients.operate(p); got != p {
				return "-ERR " + got.String()
			}
			log.Info("operator", "state", p.String())
			return "+OK"
		}
	}
	return &adminServer{log: log, commands: map[string]func() string{
		"ready": func() string {
			if p := clients.now(); p != serving && p != waiting {
				return "-ERR " + p.String()
			}
			return "+OK"
		},
		"show-stat": func() string { return "+OK\n" + figures.text() + "." },
		"drain":     turn(draining),
		"resume":    turn(serving),
	}}
}

// serve takes calls until ctx is over, and returns when the last caller is gone.
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
	failing := failureLog{log: a.log, operation: "operators: accept"}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		failing.observe(err)
		if err != nil {
			pause(ctx, acceptPause)
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

// admit takes a caller on; the oldest goes if all places are taken.
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
	for i, x := range a.conns {
		if x == conn {
			a.conns = append(a.conns[:i:i], a.conns[i+1:]...)
			return
		}
	}
}

// handle answers the one call of a connection.
func (a *adminServer) handleConn(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(adminTimeout))
	r := bufio.NewReaderSize(conn, maxAdminLine)
	line, err := r.ReadSlice('\n')
	var answer string
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		answer = "-ERR call too long"
	case errors.Is(err, io.EOF), errors.Is(err, os.ErrDeadlineExceeded):
		answer = "-ERR call not complete"
	case err != nil:
		return // the caller is gone
	default:
		answer = a.execute(strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r"))
	}
	conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := io.WriteString(conn, answer+"\n"); err != nil {
		return
	}
	// A close with unread input would be a reset, which can destroy the answer on its way.
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	conn.SetDeadline(time.Now().Add(adminLingerTimeout))
	io.Copy(io.Discard, io.LimitReader(r, lingerBytes))
}

func (a *adminServer) execute(call string) string {
	if f := a.commands[call]; f != nil {
		return f()
	}
	if call == "" {
		return "-ERR empty call"
	}
	return "-ERR unknown call; want ready, show-stat, drain or resume"
}
