package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// What may fail for a moment at a start is tried again until it works: a start
// that gives up leaves what was taken on to nobody.

const (
	startPause   = 100 * time.Millisecond // before a call that failed is made again
	readPatience = 20 * time.Second       // for a journal that cannot be read: a start has 30 s in all
)

// momentaryErrors are those that Linux documents for want of something that may be there again soon.
var momentaryErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EINTR, syscall.EAGAIN, syscall.EBUSY,
	syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.ENOLCK, syscall.EADDRINUSE, syscall.EADDRNOTAVAIL,
	syscall.ENETDOWN, syscall.ENETUNREACH, syscall.ECONNABORTED}

// momentary says whether an error may be over soon.
func momentary(err error) bool {
	for _, x := range momentaryErrors {
		if errors.Is(err, x) {
			return true
		}
	}
	return false
}

// failures logs a row of failures of one thing: the first of them, and how many there were once it works again.
type failures struct {
	log   *slog.Logger
	what  string
	count int
}

func (f *failures) note(err error) {
	if err == nil {
		if f.count > 0 {
			f.log.Info(f.what+": works again", "failures", f.count)
		}
		f.count = 0
		return
	}
	if f.count++; f.count == 1 {
		f.log.Error(f.what, "err", err)
	}
}

// Persist does something until it works, fails for good, or ctx is over.
func Persist(ctx context.Context, log *slog.Logger, what string, do func() error) error {
	row := failures{log: log, what: what}
	for {
		err := do()
		if err != nil && !momentary(err) {
			return err
		}
		row.note(err)
		if err == nil {
			return nil
		}
		sleepContext(ctx, jitter(startPause))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// listeningEvent brings the socket on which clients are taken.
type listeningEvent struct{ ln net.Listener }

// listen opens the socket for clients, or has it opened as soon as that works: what is owed does not wait for it.
func (n *Node) listen(work context.Context) error {
	open := func() (err error) {
		if n.listener == nil {
			n.listener, err = net.Listen("tcp", n.cfg.Listen)
		}
		return err
	}
	err := open()
	if err == nil {
		n.serve(work, n.listener)
		return nil
	}
	if !momentary(err) {
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		var ln net.Listener
		err := Persist(work, n.log, "listen", func() (err error) {
			ln, err = net.Listen("tcp", n.cfg.Listen)
			return err
		})
		switch {
		case err == nil:
			n.events <- listeningEvent{ln}
		case work.Err() == nil:
			n.log.Error("listen", "err", err)
		}
	}()
	return nil
}

// serve begins to serve clients on ln, unless this process is on its way out.
func (n *Node) serve(work context.Context, ln net.Listener) {
	if !n.shutdownAt.IsZero() {
		ln.Close()
		return
	}
	if n.stateLock == nil || n.journal == nil {
		reportViolation(n.log, n.metrics, violationNotOwner, "")
	}
	n.listener = ln
	go n.openToSuccessors(work, ln)
	n.clients.setPhase(serving)
	go n.clients.serve(ln)
	n.startup.finishStage("listen")
	n.log.Info("ready", "name", n.cfg.Name, "addr", ln.Addr().String(), "held", len(n.active), slog.Group("ms", n.startup.attrs...))
	n.ready <- ln.Addr()
}

// openToSuccessors opens the socket for processes that come to replace this one, and serves them.
func (n *Node) openToSuccessors(ctx context.Context, clients net.Listener) {
	tcp, ok := clients.(*net.TCPListener)
	if !ok {
		return
	}
	var ln *net.UnixListener
	err := Persist(ctx, n.log, "handover: listen", func() (err error) {
		ln, err = listenForSuccessor(n.cfg.StateDir)
		return err
	})
	switch {
	case err == nil:
		n.awaitSuccessors(ctx, ln, tcp)
	case ctx.Err() == nil:
		n.log.Error("no successor can take over", "err", err)
	}
}

// serveOperators answers operators, as soon as their address can be listened at. The channel is closed at its end.
func (n *Node) serveOperators(work context.Context) (<-chan struct{}, error) {
	served := make(chan struct{})
	ln, err := net.Listen("tcp", n.cfg.Admin)
	if err != nil && !momentary(err) {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	go func() {
		defer close(served)
		if ln == nil {
			err := Persist(work, n.log, "listen for operators", func() (err error) {
				ln, err = net.Listen("tcp", n.cfg.Admin)
				return err
			})
			if err != nil {
				return
			}
		}
		n.log.Info("operators", "addr", ln.Addr().String())
		n.admin.serve(work, ln)
	}()
	return served, nil
}
