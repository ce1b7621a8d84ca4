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
// successor accepts it, and the owner releases its ownership. From then on the old process forwards what it receives
// from clients and endpoints, and the new one sends answers and cancellations. One of the fields is set.
type packet struct {
	State    *handoverState    `json:",omitempty"`
	Accepted bool              `json:"Understood,omitempty"`
	Refused  string            `json:",omitempty"` // why the successor cannot use the state
	Released bool              `json:"Yours,omitempty"`
	Put      *relayedPut       `json:",omitempty"` // old to new: a message submitted by a client
	Answer   *relayedPut       `json:",omitempty"` // new to old: the answer to that client
	Reply    *remoteReply      `json:",omitempty"` // old to new: the outcome of a call
	Health   *probeResultEvent `json:",omitempty"` // old to new: the outcome of a probe
	Cancel   *remoteCall       `json:",omitempty"` // new to old: cancel a call
}

// handoverState is the part of the owner's state that is not in the journal.
type handoverState struct {
	Snapshot          []byte `json:"Module"` // of logic.Sender
	Now               logic.Micros
	ClockNow          int64 `json:"Wall"` // the journal's clock at Now, microseconds
	Held              []heldState
	Recent            map[string]int64 // deadlines of messages that ended recently, by id, on the journal's clock
	LastEndpoint      logic.EndpointID `json:"Last"`
	Targets           []targetState
	Discovery         string
	Generation        int64 `json:"Gen"`
	HasList           bool  `json:"Started"`
	DiscoveryAnswered bool  `json:"Heard"`
	Watching          bool  // the logic.Sender has asked for changes of the list
}

// heldState is a message in a handoverState.
type heldState struct {
	Message    Message     // without its body, which is in the journal
	Attempts   int         `json:"Tries"`
	Ended      bool        `json:"Over"`
	ReceivedAt int64       `json:"Came"` // on the journal's clock
	AttemptLog string      `json:"Trail"`
	Call       *remoteCall // the attempt in flight
}

// targetState is an endpoint in a handoverState.
type targetState struct {
	ID         logic.EndpointID
	Name, Addr string
	Zone, Kind int
	Dest       int64
	RemovedAt  int64 `json:"Gone"`           // on the journal's clock; 0 while it is listed
	NoNewCalls bool  `json:"Shut,omitempty"` // the endpoint takes no new calls; older builds don't send this
}

// remoteCall is a call that the old process has in flight.
type remoteCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	State    int32
}

func newRemoteCall(c *call) remoteCall {
	return remoteCall{c.id, c.attempt, c.endpoint, c.state.Load()}
}

// remoteReply is the outcome of a call of the old process.
type remoteReply struct {
	Call        remoteCall
	Outcome     logic.Outcome
	RetryAfter  time.Duration `json:"Wait"`
	MessageOver bool          `json:"Over"`
	Load        string
	Idle        time.Duration
	Duration    time.Duration `json:"Took"`
}

// relayedPut is a message of a client of the old process, or the answer to it.
type relayedPut struct {
	Seq     int      `json:"N"`
	Message *Message `json:"Msg,omitempty"`
	Answer  string   `json:",omitempty"`
}

// remoteEvent delivers a packet of the old process, or the loss of its connection, to the new one's event loop.
type remoteEvent struct {
	from *predecessor
	packet
	disconnected bool
}

// ---- The new process -----------------------------------------------------------------

// predecessor is the process that handed over to this one, while it still runs.
type predecessor struct {
	link  *link
	calls map[string]*call // calls in flight there, by message id; used by the event loop only
}

// acquireOwnership waits until this process owns the state folder. It returns the state that a predecessor has handed
// over, or nil if there was no handover and the journal is all there is.
func (n *Node) acquireOwnership(ctx context.Context) (*handoverState, error) {
	failures := failureLog{log: n.log, operation: "no handover: waits for the owner's end"}
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
		failures.observe(err)
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
		err = errors.Join(err, l.write(packet{Refused: err.Error()}))
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
	// The old process writes nothing more to the journal. It releases the lock as soon as it has closed the journal.
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

// restoreHandover restores the state that the old process has handed over. If that contradicts the journal, it changes
// nothing and returns an error.
func (n *Node) restoreHandover(state *handoverState) error {
	all := map[string]*activeMessage{}
	open := 0
	for i := range state.Held {
		saved := &state.Held[i]
		h := &activeMessage{
			msg:      &saved.Message,
			attempts: saved.Attempts,
			ended:    saved.Ended,
			log:      attemptLog{n.clock.Time(saved.ReceivedAt), []byte(saved.AttemptLog)},
		}
		if !saved.Ended {
			e := n.journal.Entry(saved.Message.ID)
			if e == nil || e.End != nil {
				return fmt.Errorf("message %s is not in the journal", saved.Message.ID)
			}
			h.msg = &e.Message
			open++
		}
		if c := saved.Call; c != nil {
			h.call = &call{id: c.ID, attempt: c.Attempt, endpoint: c.Endpoint, msg: h.msg, state: new(atomic.Int32)}
			h.call.state.Store(c.State)
		}
		all[saved.Message.ID] = h
	}
	for _, e := range n.journal.Entries() {
		if h := all[e.ID]; e.End == nil && (h == nil || h.ended) {
			return fmt.Errorf("message %s was not handed over", e.ID)
		}
	}
	for _, h := range all {
		if h.call != nil {
			n.predecessor.calls[h.call.id] = h.call
			n.attemptStarted(h, h.call, n.predecessor.cancelFunc(h.call))
		}
	}
	n.active, n.openCount = all, open
	maps.Copy(n.recentIDs, state.Recent)
	n.directory.restore(state, n.clock)
	n.moduleEpoch = n.clock.Time(state.ClockNow).Add(-toDuration(state.Now))
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
		}
	}
	n.discovery.receivedList, n.watchFromStart = state.DiscoveryAnswered, state.Watching
	if state.Discovery == n.discovery.addr { // generations of different addresses are unrelated
		n.discovery.generation, n.discovery.hasList = state.Generation, state.HasList
	}
	n.log.Info("handed over", "held", open, "calls", len(n.predecessor.calls))
	return nil
}

// cancelFunc returns a function that cancels a call of the old process. If the call is still connecting there and this
// process has put it on hold, the old process does not write it any more.
func (p *predecessor) cancelFunc(c *call) context.CancelFunc {
	return func() {
		if p.calls[c.id] == c {
			// The reader of the link reports a failed write, and that ends all calls.
			remote := newRemoteCall(c)
			p.link.write(packet{Cancel: &remote})
		}
	}
}

// receive passes packets of the old process to the event loop, until the link is closed.
func (p *predecessor) receive(work context.Context, events chan<- any) {
	defer context.AfterFunc(work, p.link.close)()
	for {
		var in packet
		var event any
		switch err := p.link.read(&in, time.Time{}); {
		case err != nil:
			p.link.close()
			event = remoteEvent{from: p, disconnected: true}
		case in.Put != nil && in.Put.Message != nil:
			later := make(chan string, 1)
			go p.sendAnswer(work, in.Put.Seq, later)
			event = putEvent{*in.Put.Message, later}
		default:
			event = remoteEvent{from: p, packet: in}
		}
		select {
		case events <- event:
		case <-work.Done():
			return
		}
		if r, ok := event.(remoteEvent); ok && r.disconnected {
			return
		}
	}
}

// sendAnswer sends the old process the answer to its client.
func (p *predecessor) sendAnswer(work context.Context, n int, later <-chan string) {
	select {
	case line := <-later:
		p.link.write(packet{Answer: &relayedPut{Seq: n, Answer: line}}) // the reader of the link reports a failed write
	case <-work.Done():
	}
}

// replies returns the outcomes of calls that follow from an event of the old process. If its connection is lost, all of
// its calls are severed: they may have run.
func (p *predecessor) replies(ev remoteEvent) (out []attemptResultEvent) {
	if r := ev.Reply; r != nil {
		c := p.calls[r.Call.ID]
		if c == nil || c.attempt != r.Call.Attempt {
			return nil
		}
		delete(p.calls, c.id)
		return []attemptResultEvent{{
			c,
			callResult{outcome: r.Outcome, retryAfter: r.RetryAfter, messageGone: r.MessageOver, loadReport: r.Load, idleTime: r.Idle},
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

// handleRemote handles an event of the old process.
func (n *Node) handleRemote(ev remoteEvent) {
	if ev.disconnected {
		n.log.Info("predecessor disconnected", "calls", len(ev.from.calls))
		n.predecessor = nil
		n.shareLimits(1)
	}
	for _, r := range ev.from.replies(ev) {
		n.handleAttemptResult(r)
	}
	if ev.Health != nil {
		n.pendingEvents = append(n.pendingEvents, logic.ProbeResult{Endpoint: ev.Health.Endpoint, Outcome: ev.Health.Outcome})
	}
}

// ---- The old process -----------------------------------------------------------------

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
	accepting := failureLog{log: n.log, operation: "handover: accept"} // lasts where the platform refuses Unix sockets
	greeting := failureLog{log: n.log, operation: "handover: greeting"}
	for {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		accepting.observe(err)
		if err != nil {
			sleepContext(ctx, delay)
			delay = min(2*delay, maxAcceptRetryDelay)
			continue
		}
		delay = acceptRetryDelay
		s := &successor{link: &link{conn: conn}, packets: make(chan packet, 64)}
		stop := context.AfterFunc(ctx, s.link.close)
		if err := s.link.readGreeting(); err == nil {
			n.events <- successorEvent{successor: s} // the event loop must know of it before it reports ready
			err = s.link.sendListener(n.cfg.ListenAddr, clients)
			greeting.observe(err)
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
			return fmt.Errorf("the successor did not accept the state: %s", p.Refused)
		}
	case <-t.C:
		s.link.close()
		return errors.New("the successor did not answer")
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

// collectHandoverState collects the state that is not in the journal.
func (n *Node) collectHandoverState() (*handoverState, error) {
	now := time.Now()
	state := &handoverState{
		Now:               toMicros(now.Sub(n.moduleEpoch)),
		ClockNow:          n.clock.Micros(now),
		Recent:            maps.Clone(n.recentIDs),
		LastEndpoint:      n.directory.lastID,
		Discovery:         n.discovery.addr,
		Generation:        n.discovery.generation,
		HasList:           n.discovery.hasList,
		DiscoveryAnswered: n.discovery.receivedList,
		Watching:          n.discovery.watching,
	}
	var err error
	if state.Snapshot, err = n.sender.Snapshot(); err != nil {
		return nil, err
	}
	for _, h := range n.active {
		entry := heldState{
			Message:    *h.msg,
			Attempts:   h.attempts,
			Ended:      h.ended,
			ReceivedAt: n.clock.Micros(h.log.receivedAt),
			AttemptLog: string(h.log.text),
		}
		entry.Message.Body = nil
		if h.call != nil {
			c := newRemoteCall(h.call)
			entry.Call = &c
		}
		state.Held = append(state.Held, entry)
	}
	for id, to := range n.directory.endpoints {
		entry := targetState{
			ID:         id,
			Name:       to.instanceID,
			Addr:       to.addr,
			Zone:       to.zone,
			Kind:       to.kind,
			Dest:       to.dest,
			NoNewCalls: n.directory.unavailable[id],
		}
		if at, ok := n.directory.removedAt[id]; ok {
			entry.RemovedAt = n.clock.Micros(at)
		}
		state.Targets = append(state.Targets, entry)
	}
	return state, nil
}

// restore fills an empty directory from the state of a handover.
func (d *Directory) restore(state *handoverState, clock *clock.Persistent) {
	d.lastID = state.LastEndpoint
	for _, saved := range state.Targets {
		to := endpointInfo{instanceID: saved.Name, addr: saved.Addr, zone: saved.Zone, kind: saved.Kind, dest: saved.Dest}
		if saved.RemovedAt != 0 {
			d.removedAt[saved.ID] = clock.Time(saved.RemovedAt)
		}
		if saved.NoNewCalls || saved.RemovedAt != 0 {
			d.unavailable[saved.ID] = true
		}
		d.ids[saved.Name], d.endpoints[saved.ID] = saved.ID, to
		d.destCounts[saved.Dest]++
	}
}

// relayUntilIdle does the remaining work after a handover: it forwards requests that arrive on the connections of
// clients until all are closed, and the outcomes of the calls in flight. Whatever has not ended by the time limit after
// SIGTERM is abandoned.
func (n *Node) relayUntilIdle(work context.Context) {
	n.listener.Close() // the successor shares the socket, so connections waiting to be accepted are not lost
	n.discovery.close()
	n.caller.closeAllIdle()
	n.clients.stopReadingAt(n.shutdownAt.Add(shutdownWorkTimeout))
	n.clients.setPhase(replaced)
	n.metrics.openMessages.Store(0)
	grace, cancel := context.WithDeadline(work, n.shutdownAt.Add(shutdownTimeout))
	defer cancel()
	clientsGone := make(chan struct{})
	go func() {
		n.clients.awaitClosed(grace)
		close(clientsGone)
	}()
	r := relay{node: n, successor: n.successor, packets: n.successor.packets, waiting: map[int]chan<- string{}}
	for idle := false; !idle || len(r.waiting) > 0 || len(n.calledEndpoints()) > 0; {
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
		case <-clientsGone:
			idle, clientsGone = true, nil
		case <-grace.Done():
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
	waiting   map[int]chan<- string // channels for the answers to clients, by sequence number of the message
	lastSeq   int
}

// failWaiting answers the clients whose messages were forwarded to a successor that has disconnected: whether it
// accepted them is unknown.
func (r *relay) failWaiting() {
	for seq, answer := range r.waiting {
		answer <- replyFailed
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
		p.Put = &relayedPut{Seq: r.lastSeq, Message: &ev.msg}
	case remoteEvent: // from a predecessor that still has calls in flight
		for _, x := range ev.from.replies(ev) {
			r.forward(x)
		}
		return
	case attemptResultEvent:
		c, x := ev.call, ev.result
		if h := r.node.active[c.id]; h != nil && h.call == c {
			r.node.attemptEnded(h)
		}
		p.Reply = &remoteReply{
			Call:        newRemoteCall(c),
			Outcome:     x.outcome,
			RetryAfter:  x.retryAfter,
			MessageOver: x.messageGone,
			Load:        x.loadReport,
			Idle:        x.idleTime,
			Duration:    ev.duration,
		}
	case probeResultEvent:
		p.Health = &ev
	default: // changes of the list and confirmed notices: the successor receives its own
		return
	}
	if err := r.successor.link.write(p); err != nil {
		r.node.log.Error("relay", "err", err) // the reader of the link notices the failure too
	}
}

// handle handles a packet of the successor.
func (r *relay) handle(p packet) {
	if p.Answer != nil {
		if answer := r.waiting[p.Answer.Seq]; answer != nil {
			answer <- p.Answer.Answer
			delete(r.waiting, p.Answer.Seq)
		}
	}
	if p.Cancel != nil {
		h := r.node.active[p.Cancel.ID]
		if h == nil || h.call == nil || h.call.attempt != p.Cancel.Attempt {
			return
		}
		if p.Cancel.State == callAborted {
			h.call.state.CompareAndSwap(callConnecting, callAborted)
		}
		h.cancel()
	}
}

// shareLimits restricts this process to its share of the resource limits, for a total of so many processes.
func (n *Node) shareLimits(processes int) {
	limits := n.cfg.Limits.dividedBy(processes)
	limits.ApplyMemoryLimit()
	cfg := *n.cfg
	cfg.Limits = limits
	most := newSocketBudget(&cfg)
	n.clients.setMaxConns(most.clients)
	n.caller.setLimits(most)
}
