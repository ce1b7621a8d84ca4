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
	adminPlaces = 24                     // callers at once; the oldest makes room
	adminTime   = 2 * time.Second        // for a whole call, and as long again for its answer
	adminLinger = 200 * time.Millisecond // after it, for the caller to read it
	adminLine   = 256
)

// admin serves the operators: a line a connection, answered at once. It has places of
// its own and asks the loop nothing, so that it answers when all else is full.
type admin struct {
	log   *slog.Logger
	calls map[string]func() string

	mu      sync.Mutex
	callers []net.Conn // in the order in which they came
	wg      sync.WaitGroup
}

func newAdmin(log *slog.Logger, clients *clientServer, figures *figures) *admin {
	turn := func(p phase) func() string {
		return func() string {
			if got := clients.setPhaseByOperator(p); got != p {
				return "-ERR " + got.String()
			}
			log.Info("operator", "state", p.String())
			return "+OK"
		}
	}
	return &admin{log: log, calls: map[string]func() string{
		"ready": func() string {
			if p := clients.currentPhase(); p != serving && p != waiting {
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
func (a *admin) serve(ctx context.Context, ln net.Listener) {
	defer a.wg.Wait()
	defer context.AfterFunc(ctx, func() {
		ln.Close()
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, conn := range a.callers {
			conn.Close()
		}
	})()
	failing := failures{log: a.log, what: "operators: accept"}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		failing.note(err)
		if err != nil {
			sleepContext(ctx, acceptRetryDelay)
			continue
		}
		a.admit(conn)
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			a.handle(conn)
			a.remove(conn)
		}()
	}
}

// admit takes a caller on; the oldest goes if all places are taken.
func (a *admin) admit(conn net.Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.callers) >= adminPlaces {
		a.callers[0].Close()
		a.callers = a.callers[1:]
	}
	a.callers = append(a.callers, conn)
}

func (a *admin) remove(conn net.Conn) {
	conn.Close()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, x := range a.callers {
		if x == conn {
			a.callers = append(a.callers[:i:i], a.callers[i+1:]...)
			return
		}
	}
}

// handle answers the one call of a connection.
func (a *admin) handle(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(adminTime))
	r := bufio.NewReaderSize(conn, adminLine)
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
		answer = a.answer(strings.TrimSuffix(strings.TrimSuffix(string(line), "\n"), "\r"))
	}
	conn.SetDeadline(time.Now().Add(adminTime))
	if _, err := io.WriteString(conn, answer+"\n"); err != nil {
		return
	}
	// A close with unread input would be a reset, which can destroy the answer on its way.
	if t, ok := conn.(*net.TCPConn); ok {
		t.CloseWrite()
	}
	conn.SetDeadline(time.Now().Add(adminLinger))
	io.Copy(io.Discard, io.LimitReader(r, maxLingerBytes))
}

func (a *admin) answer(call string) string {
	if f := a.calls[call]; f != nil {
		return f()
	}
	if call == "" {
		return "-ERR empty call"
	}
	return "-ERR unknown call; want ready, show-stat, drain or resume"
}
