package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"rundeal/internal/clock"
	"rundeal/logic"
)

// packet is what the two processes of a handover exchange after their greetings. First the owner sends its state, the
// successor accepts it, and the owner releases its ownership. From then on the predecessor, as the former owner is
// called, forwards what it receives from clients and endpoints and that its configuration is to be reloaded, and the
// successor sends replies and cancellations. One of the fields is set.
type packet struct {
	State       *handoverState    `json:",omitempty"`
	Accepted    bool              `json:"Understood,omitempty"`
	Rejected    string            `json:"Refused,omitempty"` // why the successor cannot use the state
	Released    bool              `json:"Yours,omitempty"`
	Put         *relayedPut       `json:",omitempty"`       // to the successor: a message submitted by a client
	PutReply    *relayedPut       `json:"Answer,omitempty"` // to the predecessor: the reply to that client
	Result      *relayedResult    `json:"Reply,omitempty"`  // to the successor: the result of a call
	ProbeResult *probeResultEvent `json:"Health,omitempty"` // to the successor: the outcome of a probe
	Cancel      *relayedCall      `json:",omitempty"`       // to the predecessor: cancel a call
	Reload      bool              `json:",omitempty"`       // to the successor: read the configuration again
}

// handoverState is the part of the owner's state that is not in the journal.
type handoverState struct {
	Snapshot     []byte               `json:"Module"` // of logic.Sender
	LogicNow     logic.Micros         `json:"Now"`    // time of the handover on the clock of package logic
	ClockNow     int64                `json:"Wall"`   // the same time on the persistent clock, microseconds
	Active       []activeMessageState `json:"Held"`
	RecentIDs    map[string]int64     `json:"Recent"` // ended messages by id, with their deadlines on the persistent clock
	LastEndpoint logic.EndpointID     `json:"Last"`
	Endpoints    []endpointState      `json:"Targets"`
	Discovery    string               // address of discovery
	Generation   int64                `json:"Gen"`
	HasList      bool                 `json:"Started"`
	ReceivedList bool                 `json:"Heard"`
	Watching     bool                 // a watch of the list is running
}

// activeMessageState is an activeMessage in a handoverState.
type activeMessageState struct {
	Message    *Message     // without its body, which is in the journal
	Attempts   int          `json:"Tries"`
	Ended      bool         `json:"Over"`
	ReceivedAt int64        `json:"Came"` // on the persistent clock
	AttemptLog string       `json:"Trail"`
	Call       *relayedCall // the attempt in flight; nil if there is none
}

// endpointState is an endpoint in a handoverState.
type endpointState struct {
	ID          logic.EndpointID
	Name, Addr  string // Name is the instance id
	Zone, Kind  int
	Dest        int64
	RemovedAt   int64 `json:"Gone"`           // on the persistent clock; 0 while it is listed
	Unavailable bool  `json:"Shut,omitempty"` // it accepts no new calls; older builds do not send this
}

// relayedCall is a call that the predecessor has in flight.
type relayedCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	State    int32
}

func newRelayedCall(c *call) relayedCall {
	return relayedCall{c.id, c.attempt, c.endpoint, c.state.Load()}
}

// relayedResult is the result of a call of the predecessor.
type relayedResult struct {
	Call         relayedCall
	Outcome      logic.Outcome
	RetryAfter   time.Duration `json:"Wait"`
	MessageEnded bool          `json:"Over"`
	LoadReport   string        `json:"Load"`
	IdleTime     time.Duration `json:"Idle"`
	Duration     time.Duration `json:"Took"`
}

// relayedPut is a message from a client of the predecessor, or the reply to it.
type relayedPut struct {
	Seq     int      `json:"N"`
	Message *Message `json:"Msg,omitempty"`
	Reply   string   `json:"Answer,omitempty"`
}

// predecessorEvent delivers a packet of the predecessor, or the loss of its connection, to the successor's event loop.
type predecessorEvent struct {
	from *predecessor
	packet
	disconnected bool
}

// ---- The successor's side ------------------------------------------------------------

// predecessor is the process that handed over to this one, while it still runs.
type predecessor struct {
	link  *link
	calls map[string]*call // its calls in flight, by message id; used by the event loop only
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
	n.sender, n.predecessor = sender, &predecessor{link: l, calls: map[string]*call{}}
	return state, nil
}

// restoreHandover restores the state that the predecessor has handed over. If that contradicts the journal, it changes
// nothing and returns an error.
func (n *Node) restoreHandover(state *handoverState) error {
	active := map[string]*activeMessage{}
	openCount := 0
	for _, saved := range state.Active {
		if saved.Message == nil {
			return errors.New("a message was handed over without its id")
		}
		m := &activeMessage{
			msg:      saved.Message,
			attempts: saved.Attempts,
			ended:    saved.Ended,
			log:      attemptLog{n.clock.Time(saved.ReceivedAt), []byte(saved.AttemptLog)},
		}
		if !saved.Ended {
			e := n.journal.Entry(saved.Message.ID)
			if e == nil || e.End != nil {
				return fmt.Errorf("message %s is not in the journal", saved.Message.ID)
			}
			m.msg = e.Message
			openCount++
		}
		if c := saved.Call; c != nil {
			m.call = &call{id: c.ID, attempt: c.Attempt, endpoint: c.Endpoint, msg: m.msg, state: new(atomic.Int32)}
			m.call.state.Store(c.State)
		}
		active[saved.Message.ID] = m
	}
	for _, e := range n.journal.Entries() {
		if m := active[e.ID]; e.End == nil && (m == nil || m.ended) {
			return fmt.Errorf("message %s was not handed over", e.ID)
		}
	}
	for _, m := range active {
		if m.call != nil {
			n.predecessor.calls[m.call.id] = m.call
			n.attemptStarted(m, m.call, n.predecessor.cancelFunc(m.call))
		}
	}
	n.active, n.openCount = active, openCount
	maps.Copy(n.recentIDs, state.RecentIDs)
	n.directory.restore(state, n.clock)
	n.logicEpoch = n.clock.Time(state.ClockNow).Add(-toDuration(state.LogicNow))
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
		}
	}
	n.discovery.receivedList, n.watchFromStart = state.ReceivedList, state.Watching
	if state.Discovery == n.discovery.addr { // generations of different addresses are unrelated
		n.discovery.generation, n.discovery.hasList = state.Generation, state.HasList
	}
	n.log.Info("handed over", "held", openCount, "calls", len(n.predecessor.calls))
	return nil
}

// cancelFunc returns a function that cancels a call of the predecessor. If this process has aborted the call and it is
// still connecting there, the predecessor does not write it any more.
func (p *predecessor) cancelFunc(c *call) context.CancelFunc {
	return func() {
		if p.calls[c.id] == c {
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
		c := p.calls[r.Call.ID]
		if c == nil || c.attempt != r.Call.Attempt {
			return nil
		}
		delete(p.calls, c.id)
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
		for id, c := range p.calls {
			delete(p.calls, id)
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

// ---- The owner's side, and the predecessor's after the handover ----------------------

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
	if err := s.link.write(packet{Released: true}); err != nil {
		return err
	}
	// From here on the successor owns the journal, whatever else fails.
	if err := errors.Join(n.journal.Close(), n.stateLock.Close()); err != nil {
		n.log.Error("handover: cannot close the journal or its lock", "err", err)
	}
	return nil
}

// collectHandoverState collects the part of the state that is not in the journal.
func (n *Node) collectHandoverState() (*handoverState, error) {
	now := time.Now()
	state := &handoverState{
		LogicNow:     toMicros(now.Sub(n.logicEpoch)),
		ClockNow:     n.clock.Micros(now),
		RecentIDs:    maps.Clone(n.recentIDs),
		LastEndpoint: n.directory.lastID,
		Discovery:    n.discovery.addr,
		Generation:   n.discovery.generation,
		HasList:      n.discovery.hasList,
		ReceivedList: n.discovery.receivedList,
		Watching:     n.discovery.watching,
	}
	var err error
	if state.Snapshot, err = n.sender.Snapshot(); err != nil {
		return nil, err
	}
	for _, m := range n.active {
		saved := activeMessageState{
			Message:    m.msg.withoutBody(),
			Attempts:   m.attempts,
			Ended:      m.ended,
			ReceivedAt: n.clock.Micros(m.log.receivedAt),
			AttemptLog: string(m.log.text),
		}
		if m.call != nil {
			c := newRelayedCall(m.call)
			saved.Call = &c
		}
		state.Active = append(state.Active, saved)
	}
	for id, info := range n.directory.endpoints {
		saved := endpointState{
			ID:          id,
			Name:        info.instanceID,
			Addr:        info.addr,
			Zone:        info.zone,
			Kind:        info.kind,
			Dest:        info.dest,
			Unavailable: n.directory.unavailable[id],
		}
		if at, ok := n.directory.removedAt[id]; ok {
			saved.RemovedAt = n.clock.Micros(at)
		}
		state.Endpoints = append(state.Endpoints, saved)
	}
	return state, nil
}

// restore fills an empty directory from the state of a handover.
func (d *Directory) restore(state *handoverState, persistentClock *clock.Persistent) {
	d.lastID = state.LastEndpoint
	for _, saved := range state.Endpoints {
		info := endpointInfo{
			instanceID: saved.Name,
			addr:       saved.Addr,
			zone:       saved.Zone,
			kind:       saved.Kind,
			dest:       saved.Dest,
		}
		if saved.RemovedAt != 0 {
			d.removedAt[saved.ID] = persistentClock.Time(saved.RemovedAt)
		}
		if saved.Unavailable || saved.RemovedAt != 0 {
			d.unavailable[saved.ID] = true
		}
		d.ids[saved.Name], d.endpoints[saved.ID] = saved.ID, info
		d.destCounts[saved.Dest]++
	}
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

// relay forwards events to the successor after the handover.
type relay struct {
	node      *Node
	successor *successor
	packets   <-chan packet         // nil once the successor has disconnected
	waiting   map[int]chan<- string // channels for the replies to clients, by sequence number of the message
	lastSeq   int
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
		if m := r.node.active[c.id]; m != nil && m.call == c {
			r.node.attemptEnded(m)
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
		m := r.node.active[p.Cancel.ID]
		if m == nil || m.call == nil || m.call.attempt != p.Cancel.Attempt {
			return
		}
		if p.Cancel.State == callAborted {
			m.call.state.CompareAndSwap(callConnecting, callAborted)
		}
		m.cancel()
	}
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
