package node

import (
	"context"
	"errors"
	"time"

	"rundeal/logic"
)

// predecessorEvent delivers a packet of the predecessor, or the loss of its connection, to the successor's event loop.
type predecessorEvent struct {
	from *predecessor
	packet
	disconnected bool
}

// predecessor is the process that handed over to this one, while it still runs.
type predecessor struct {
	link  *link
	calls map[attemptKey]*call // its calls in flight; used by the event loop only
}

// acquireOwnership waits until this process owns the state folder. It returns the state that a predecessor has handed
// over, or nil if there was no handover and the journal is all there is.
func (n *Node) acquireOwnership(ctx context.Context) (*handoverState, error) {
	handoverFailures := failureLog{log: n.log, operation: "no handover: waits for the owner's end"}
	for {
		lock, err := tryLock(n.cfg.StateDir)
		if err != nil && !isTransient(err) {
			return nil, err
		}
		if lock != nil {
			n.stateLock = lock
			n.shareLimits(1)
			n.clients.setPhase(starting)
			return nil, nil
		}
		n.wasStandby = n.wasStandby || err == nil
		var state *handoverState
		if err == nil {
			if state, err = n.awaitHandover(ctx); err == nil {
				return state, nil
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		handoverFailures.observe(err)
		n.clients.setPhase(starting)
		sleepContext(ctx, lockPollInterval)
	}
}

// awaitHandover waits for the owner to hand over. The error tells why it did not.
func (n *Node) awaitHandover(ctx context.Context) (*handoverState, error) {
	l, err := dialOwner(n.cfg.StateDir)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, l.close)()
	ln, err := l.receiveListener(n.cfg.ListenAddr)
	if err != nil {
		l.close()
		return nil, err
	}
	if n.listener != nil { // received from an earlier owner
		n.listener.Close()
	}
	n.listener = ln
	n.shareLimits(2)
	n.clients.setPhase(waiting)
	n.log.Info("stands by", "addr", ln.Addr().String())
	var p packet
	if err := l.read(&p, time.Time{}); err != nil {
		l.close()
		return nil, err
	}
	state := p.State
	if state == nil {
		l.close()
		return nil, errors.New("the owner sent no state")
	}
	sender, err := logic.Restore(n.cfg.Deployment.Settings, state.Snapshot)
	if err != nil {
		err = errors.Join(err, l.write(packet{Rejected: err.Error()}))
		l.close()
		return nil, err
	}
	if err := l.write(packet{Accepted: true}); err != nil {
		l.close()
		return nil, err
	}
	var released packet
	if err := l.read(&released, time.Now().Add(2*linkTimeout)); err != nil || !released.Released {
		l.close()
		return nil, errors.Join(errors.New("the owner did not release its ownership"), err)
	}
	// The predecessor writes nothing more to the journal. It releases the lock as soon as it has closed the journal.
	for deadline := time.Now().Add(linkTimeout); ; sleepContext(ctx, time.Millisecond) {
		if n.stateLock, err = tryLock(n.cfg.StateDir); n.stateLock != nil {
			break
		}
		if err != nil && !isTransient(err) || time.Now().After(deadline) {
			l.close()
			return nil, errors.Join(errors.New("the lock was not released"), err)
		}
	}
	n.sender, n.predecessor = sender, &predecessor{link: l, calls: map[attemptKey]*call{}}
	return state, nil
}

// cancelFunc returns a function that cancels a call of the predecessor. If this process has aborted the call and it is
// still connecting there, the predecessor does not write it any more.
func (p *predecessor) cancelFunc(c *call) context.CancelFunc {
	return func() {
		if p.calls[c.key()] == c {
			// The reader of the link reports a failed write, and that ends all calls.
			relayed := newRelayedCall(c)
			p.link.write(packet{Cancel: &relayed})
		}
	}
}

// receive passes packets of the predecessor to the event loop, until the link is closed.
func (p *predecessor) receive(workCtx context.Context, events chan<- any) {
	defer context.AfterFunc(workCtx, p.link.close)()
	for {
		var in packet
		var event any
		switch err := p.link.read(&in, time.Time{}); {
		case err != nil:
			p.link.close()
			event = predecessorEvent{from: p, disconnected: true}
		case in.Put != nil && in.Put.Message != nil:
			pending := make(chan string, 1)
			go p.sendReply(workCtx, in.Put.Seq, pending)
			event = putEvent{in.Put.Message, pending}
		default:
			event = predecessorEvent{from: p, packet: in}
		}
		select {
		case events <- event:
		case <-workCtx.Done():
			return
		}
		if r, ok := event.(predecessorEvent); ok && r.disconnected {
			return
		}
	}
}

// sendReply sends the predecessor the reply to its client's put, once that is known.
func (p *predecessor) sendReply(workCtx context.Context, seq int, pending <-chan string) {
	select {
	case line := <-pending:
		p.link.write(packet{PutReply: &relayedPut{Seq: seq, Reply: line}}) // the reader of the link reports a failed write
	case <-workCtx.Done():
	}
}

// results returns the results of calls that follow from an event of the predecessor. If its connection is lost, all of
// its calls end with ConnLost: they may have run.
func (p *predecessor) results(ev predecessorEvent) (out []attemptResultEvent) {
	if r := ev.Result; r != nil {
		c := p.calls[attemptKey{r.Call.ID, r.Call.Attempt}]
		if c == nil {
			return nil
		}
		delete(p.calls, c.key())
		return []attemptResultEvent{{
			c,
			callResult{
				outcome:      r.Outcome,
				retryAfter:   r.RetryAfter,
				messageEnded: r.MessageEnded,
				loadReport:   r.LoadReport,
				idleTime:     r.IdleTime,
			},
			r.Duration,
		}}
	}
	if ev.disconnected {
		for key, c := range p.calls {
			delete(p.calls, key)
			out = append(out, attemptResultEvent{c, callResult{outcome: logic.ConnLost}, 0})
		}
	}
	return out
}

// handlePredecessor handles an event of the predecessor.
func (n *Node) handlePredecessor(ev predecessorEvent) {
	if ev.disconnected {
		n.log.Info("predecessor disconnected", "calls", len(ev.from.calls))
		n.predecessor = nil
		n.shareLimits(1)
	}
	for _, r := range ev.from.results(ev) {
		n.handleAttemptResult(r)
	}
	if ev.ProbeResult != nil {
		n.pendingEvents = append(n.pendingEvents, logic.ProbeResult{
			Endpoint: ev.ProbeResult.Endpoint,
			Outcome:  ev.ProbeResult.Outcome,
		})
	}
	if ev.Reload && n.loadConfig != nil {
		n.requestReload()
	}
}
