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

// Steps of the startup that fail with a transient error are retried until they succeed: if the startup gave up, no
// process would handle the accepted messages.

const (
	startRetryDelay    = 100 * time.Millisecond // between tries of a step that fails
	journalReadTimeout = 20 * time.Second       // for a journal that cannot be read; a start has 30 s in all
)

// transientErrors are the errors that Linux documents for a lack of resources that may soon be available again.
var transientErrors = []error{
	syscall.ENOSPC,
	syscall.EDQUOT,
	syscall.EIO,
	syscall.EINTR,
	syscall.EAGAIN,
	syscall.EBUSY,
	syscall.EMFILE,
	syscall.ENFILE,
	syscall.ENOMEM,
	syscall.ENOBUFS,
	syscall.ENOLCK,
	syscall.EADDRINUSE,
	syscall.EADDRNOTAVAIL,
	syscall.ENETDOWN,
	syscall.ENETUNREACH,
	syscall.ECONNABORTED,
}

// isTransient reports whether a call that failed with err may soon succeed.
func isTransient(err error) bool {
	for _, transient := range transientErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return false
}

// failureLog logs consecutive failures of one operation: the first of them, and their number once it works again.
type failureLog struct {
	log       *slog.Logger
	operation string
	count     int
}

// observe records the result of one try of the operation.
func (f *failureLog) observe(err error) {
	if err == nil {
		if f.count > 0 {
			f.log.Info(f.operation+": works again", "failures", f.count)
		}
		f.count = 0
		return
	}
	if f.count++; f.count == 1 {
		f.log.Error(f.operation, "err", err)
	}
}

// RetryTransient calls do until it succeeds, fails with an error that is not transient, or ctx is done.
func RetryTransient(ctx context.Context, log *slog.Logger, operation string, do func() error) error {
	failures := failureLog{log: log, operation: operation}
	for {
		err := do()
		if err != nil && !isTransient(err) {
			return err
		}
		failures.observe(err)
		if err == nil {
			return nil
		}
		sleepContext(ctx, jitter(startRetryDelay))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// listenerEvent delivers the listener for clients to the event loop.
type listenerEvent struct{ ln net.Listener }

// listenForClients opens the listener for clients. After a transient error it keeps trying in the background, so that
// the delivery of accepted messages does not wait for the listener.
func (n *Node) listenForClients(workCtx context.Context) error {
	open := func() (err error) {
		if n.listener == nil {
			n.listener, err = net.Listen("tcp", n.cfg.ListenAddr)
		}
		return err
	}
	err := open()
	if err == nil {
		n.serveClients(workCtx, n.listener)
		return nil
	}
	if !isTransient(err) {
		return fmt.Errorf("listen: %w", err)
	}
	go func() {
		var ln net.Listener
		err := RetryTransient(workCtx, n.log, "listen", func() (err error) {
			ln, err = net.Listen("tcp", n.cfg.ListenAddr)
			return err
		})
		switch {
		case err == nil:
			n.events <- listenerEvent{ln}
		case workCtx.Err() == nil:
			n.log.Error("listen", "err", err)
		}
	}()
	return nil
}

// serveClients starts serving clients on ln, unless this process is shutting down.
func (n *Node) serveClients(workCtx context.Context, ln net.Listener) {
	if !n.shutdownAt.IsZero() {
		ln.Close()
		return
	}
	if n.stateLock == nil || n.journal == nil {
		reportViolation(n.log, n.metrics, violationNotOwner, "")
	}
	n.listener = ln
	go n.serveSuccessors(workCtx, ln)
	n.clients.setPhase(serving)
	go n.clients.serve(ln)
	n.startup.finishStage("listen")
	n.log.Info("ready", "name", n.cfg.Name, "addr", ln.Addr().String(), "held", len(n.active),
		slog.Group("ms", n.startup.attrs...))
	n.ready <- ln.Addr()
}

// serveSuccessors opens the handover socket and serves the processes that connect there to replace this one.
func (n *Node) serveSuccessors(ctx context.Context, clients net.Listener) {
	tcp, ok := clients.(*net.TCPListener)
	if !ok {
		return
	}
	var ln *net.UnixListener
	err := RetryTransient(ctx, n.log, "handover: listen", func() (err error) {
		ln, err = listenHandover(n.cfg.StateDir)
		return err
	})
	switch {
	case err == nil:
		n.acceptSuccessors(ctx, ln, tcp)
	case ctx.Err() == nil:
		n.log.Error("no successor can take over", "err", err)
	}
}

// serveOperators serves the operators' interface as soon as its address can be listened on. The returned channel is
// closed when it has ended.
func (n *Node) serveOperators(workCtx context.Context) (<-chan struct{}, error) {
	served := make(chan struct{})
	ln, err := net.Listen("tcp", n.cfg.AdminAddr)
	if err != nil && !isTransient(err) {
		return nil, fmt.Errorf("listen for operators: %w", err)
	}
	go func() {
		defer close(served)
		if ln == nil {
			err := RetryTransient(workCtx, n.log, "listen for operators", func() (err error) {
				ln, err = net.Listen("tcp", n.cfg.AdminAddr)
				return err
			})
			if err != nil {
				return
			}
		}
		n.log.Info("operators", "addr", ln.Addr().String())
		n.admin.serve(workCtx, ln)
	}()
	return served, nil
}
