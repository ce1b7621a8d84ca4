package node

import "context"

// relay forwards events to the successor after the handover.
type relay struct {
	node      *Node
	successor *successor
	packets   <-chan packet         // nil once the successor has disconnected
	waiting   map[int]chan<- string // channels for the replies to clients, by sequence number of the message
	lastSeq   int
}

// relayUntilIdle does the remaining work after a handover: it forwards the messages that arrive on clients' connections
// until all of those are closed, and the results of the calls in flight. Whatever has not ended when shutdownTimeout
// has passed since SIGTERM is abandoned.
func (n *Node) relayUntilIdle(workCtx context.Context) {
	n.listener.Close() // the successor shares the socket, so connections waiting to be accepted are not lost
	n.discovery.close()
	n.endpointClient.closeAllIdle()
	n.clients.stopReadingAt(n.shutdownAt.Add(shutdownWorkTimeout))
	n.clients.setPhase(replaced)
	n.metrics.openMessages.Store(0)
	graceCtx, cancel := context.WithDeadline(workCtx, n.shutdownAt.Add(shutdownTimeout))
	defer cancel()
	clientsClosed := make(chan struct{})
	go func() {
		n.clients.awaitClosed(graceCtx)
		close(clientsClosed)
	}()
	r := relay{node: n, successor: n.successor, packets: n.successor.packets, waiting: map[int]chan<- string{}}
	for noClients := false; !noClients || len(r.waiting) > 0 || len(n.calledEndpoints()) > 0; {
		select {
		case ev := <-n.events:
			r.forward(ev)
		case p, ok := <-r.packets:
			if !ok {
				n.log.Error("relay: the successor is gone")
				r.failWaiting()
				continue
			}
			r.handle(p)
		case <-clientsClosed:
			noClients, clientsClosed = true, nil
		case <-graceCtx.Done():
			n.log.Warn("replaced, with calls out", "calls", len(n.calledEndpoints()))
			return
		}
	}
	n.log.Info("replaced")
}

// failWaiting sends an error reply to the clients whose messages were forwarded to a successor that has disconnected:
// whether it accepted them is unknown.
func (r *relay) failWaiting() {
	for seq, reply := range r.waiting {
		reply <- replyFailed
		delete(r.waiting, seq)
	}
	r.packets = nil
}

// forward sends an event to the successor.
func (r *relay) forward(ev any) {
	var p packet
	switch ev := ev.(type) {
	case putEvent:
		if r.packets == nil {
			ev.reply <- busyReply(0)
			return
		}
		r.lastSeq++
		r.waiting[r.lastSeq] = ev.reply
		p.Put = &relayedPut{Seq: r.lastSeq, Message: ev.msg}
	case predecessorEvent: // from a predecessor that still has calls in flight
		for _, result := range ev.from.results(ev) {
			r.forward(result)
		}
		if !ev.Reload {
			return
		}
		p.Reload = true
	case attemptResultEvent:
		c, result := ev.call, ev.result
		if m := r.node.active[c.id]; m != nil {
			r.node.attemptEnded(m, c)
		}
		p.Result = &relayedResult{
			Call:         newRelayedCall(c),
			Outcome:      result.outcome,
			RetryAfter:   result.retryAfter,
			MessageEnded: result.messageEnded,
			LoadReport:   result.loadReport,
			IdleTime:     result.idleTime,
			Duration:     ev.duration,
		}
	case probeResultEvent:
		p.ProbeResult = &ev
	case reloadEvent: // the platform may have signalled this process only
		p.Reload = true
	default: // lists and confirmed notices: the successor receives its own
		return
	}
	if err := r.successor.link.write(p); err != nil {
		r.node.log.Error("relay", "err", err) // the reader of the link notices the failure too
	}
}

// handle handles a packet of the successor.
func (r *relay) handle(p packet) {
	if p.PutReply != nil {
		if reply := r.waiting[p.PutReply.Seq]; reply != nil {
			reply <- p.PutReply.Reply
			delete(r.waiting, p.PutReply.Seq)
		}
	}
	if p.Cancel != nil {
		if m := r.node.active[p.Cancel.ID]; m != nil {
			r.node.cancelAttempt(m, p.Cancel.Attempt, p.Cancel.State == callAborted)
		}
	}
}
