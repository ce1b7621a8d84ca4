package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"
)

// successorEvent tells the event loop that a successor has connected, or that it has disconnected.
type successorEvent struct {
	successor    *successor
	disconnected bool
}

// successor is a standby process that is ready to replace this one.
type successor struct {
	link    *link
	packets chan packet // received from it; closed with the link
}

// handoverListener has the methods of a *net.UnixListener that acceptSuccessors needs.
type handoverListener interface {
	AcceptUnix() (*net.UnixConn, error)
	Close() error
}

// acceptSuccessors accepts processes that connect to replace this one, one at a time, and sends them the listener on
// which clients are served. It runs until ctx is done.
func (n *Node) acceptSuccessors(ctx context.Context, ln handoverListener, clients *net.TCPListener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	delay := acceptRetryDelay
	// Accepting fails all the time where the platform does not permit Unix sockets.
	acceptFailures := failureLog{log: n.log, operation: "handover: accept"}
	greetingFailures := failureLog{log: n.log, operation: "handover: greeting"}
	for {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		acceptFailures.observe(err)
		if err != nil {
			sleepContext(ctx, delay)
			delay = min(2*delay, maxAcceptRetryDelay)
			continue
		}
		delay = acceptRetryDelay
		s := &successor{link: &link{conn: conn}, packets: make(chan packet, 64)}
		stop := context.AfterFunc(ctx, s.link.close)
		if err := s.link.readGreeting(); err == nil {
			n.events <- successorEvent{successor: s} // sent before the successor can report ready
			err = s.link.sendListener(n.cfg.ListenAddr, clients)
			greetingFailures.observe(err)
			if err == nil {
				s.receive(ctx) // a further successor waits until this one has disconnected
			}
			close(s.packets)
			n.events <- successorEvent{s, true}
		}
		s.link.close()
		stop()
	}
}

// receive queues packets of the successor until it disconnects or ctx is done.
func (s *successor) receive(ctx context.Context) {
	for {
		var p packet
		if err := s.link.read(&p, time.Time{}); err != nil {
			return
		}
		select {
		case s.packets <- p:
		case <-ctx.Done():
			return
		}
	}
}

// updateSuccessor notes that a successor has connected or disconnected.
func (n *Node) updateSuccessor(ev successorEvent) {
	switch {
	case !ev.disconnected:
		n.log.Info("a successor stands by")
		n.successor = ev.successor
		n.shareLimits(2)
	case n.successor == ev.successor:
		n.log.Warn("the successor is gone")
		n.successor = nil
		n.shareLimits(1)
	}
}

// handOver transfers ownership of the journal and all messages to the successor. The event loop handles nothing else
// meanwhile. On an error this process remains the owner.
func (n *Node) handOver() error {
	s := n.successor
	state, err := n.collectHandoverState()
	if err != nil {
		return err
	}
	if err := n.writeRecords(nil); err != nil { // the successor only sees what is in the file
		return err
	}
	if err := s.link.write(packet{State: state}); err != nil {
		return err
	}
	t := time.NewTimer(linkTimeout)
	defer t.Stop()
	select {
	case p := <-s.packets:
		if !p.Accepted {
			s.link.close()
			return fmt.Errorf("the successor did not accept the state: %s", p.Rejected)
		}
	case <-t.C:
		s.link.close()
		return errors.New("the successor did not reply")
	}
	phase := n.clients.currentPhase()
	n.clients.setPhase(replaced) // before the successor can be ready
	if err := s.link.write(packet{Released: true}); err != nil {
		n.clients.restorePhase(phase)
		return err
	}
	// From here on the successor owns the journal, whatever else fails.
	if err := errors.Join(n.journal.Close(), n.stateLock.Close()); err != nil {
		n.log.Error("handover: cannot close the journal or its lock", "err", err)
	}
	return nil
}

// shareLimits restricts this process to its share of the resource limits, which the given number of processes divide.
func (n *Node) shareLimits(processes int) {
	limits := n.cfg.Limits.dividedBy(processes)
	limits.ApplyMemoryLimit()
	cfg := *n.cfg
	cfg.Limits = limits
	budget := newSocketBudget(&cfg)
	n.clients.setMaxConns(budget.clients)
	n.endpointClient.setLimits(budget)
}
