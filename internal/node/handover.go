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

// packet is what the two processes of a replacement tell each other once they have greeted: the owner its state, the
// successor that it has understood, the owner that it is the successor's now. From then on the old process sends what
// comes to it, and the new one what that calls for. One of the fields is set.
type packet struct {
	State      *handover    `json:",omitempty"`
	Understood bool         `json:",omitempty"`
	Refused    string       `json:",omitempty"` // why the state is not understood
	Yours      bool         `json:",omitempty"`
	Put        *relayedPut  `json:",omitempty"` // old to new: a message that a client has handed in
	Answer     *relayedPut  `json:",omitempty"` // new to old: what to tell that client
	Reply      *remoteReply `json:",omitempty"` // old to new: how a call ended
	Health     *healthEvent `json:",omitempty"` // old to new: and a probe
	Cancel     *remoteCall  `json:",omitempty"` // new to old: give a call up
}

// handover is what the owner of the journal knows beyond it.
type handover struct {
	Module    []byte // the decisions
	Now       logic.Micros
	Wall      int64 // the lasting clock at Now, microseconds
	Held      []heldState
	Recent    map[string]int64 // on the lasting clock
	Last      logic.EndpointID
	Targets   []targetState
	Discovery string
	Gen       int64
	Started   bool
	Heard     bool
	Watching  bool // the module has asked to hear of changes, and is owed them
}

type heldState struct {
	Message Message // without its body, which stands in the journal
	Tries   int
	Over    bool
	Came    int64 // on the lasting clock
	Trail   string
	Call    *remoteCall // the attempt that is out
}

type targetState struct {
	ID         logic.EndpointID
	Name, Addr string
	Zone, Kind int
	Dest       int64
	Gone       int64 // on the lasting clock; 0 while it is listed
	Shut       bool  `json:",omitempty"` // it wants no new calls; not of older builds
}

// remoteCall is an attempt that the old process has out.
type remoteCall struct {
	ID       string
	Attempt  int
	Endpoint logic.EndpointID
	State    int32
}

func callState(c *call) remoteCall { return remoteCall{c.id, c.attempt, c.ep, c.state.Load()} }

type remoteReply struct {
	Call    remoteCall
	Outcome logic.Outcome
	Wait    time.Duration
	Over    bool
	Load    string
	Idle    time.Duration
	Took    time.Duration
}

type relayedPut struct {
	N      int
	Msg    *Message `json:",omitempty"`
	Answer string   `json:",omitempty"`
}

// remoteEvent carries what the old process tells the new one's loop.
type remoteEvent struct {
	from *predecessor
	packet
	gone bool
}

// ---- The new process -----------------------------------------------------------------

// predecessor is the process before this one, while it lasts.
type predecessor struct {
	link *link
	out  map[string]*call // its calls, by message; the loop's
}

// claim waits until this process owns the state folder. With a predecessor that hands over it returns what that
// has told, else nil: then the journal alone counts.
func (n *Node) claim(ctx context.Context) (*handover, error) {
	failing := failures{log: n.log, what: "no handover: waits for the owner's end"}
	for {
		lock, err := tryLock(n.cfg.StateDir)
		if err != nil && !momentary(err) {
			return nil, err
		}
		if lock != nil {
			n.lock = lock
			n.shareWith(1)
			n.clients.turn(starting)
			return nil, nil
		}
		n.stoodBy = n.stoodBy || err == nil
		var st *handover
		if err == nil {
			if st, err = n.standBy(ctx); err == nil {
				return st, nil
			}
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		failing.note(err)
		n.clients.turn(starting)
		pause(ctx, standbyPause)
	}
}

// standBy waits for the owner to hand over. The error says why it did not.
func (n *Node) standBy(ctx context.Context) (*handover, error) {
	l, err := dialOwner(n.cfg.StateDir)
	if err != nil {
		return nil, err
	}
	defer context.AfterFunc(ctx, l.close)()
	ln, err := l.greet(n.cfg.Listen)
	if err != nil {
		l.close()
		return nil, err
	}
	if n.ln != nil { // from an owner before this one
		n.ln.Close()
	}
	n.ln = ln
	n.shareWith(2)
	n.clients.turn(waiting)
	n.log.Info("stands by", "addr", ln.Addr().String())
	var p packet
	if err := l.read(&p, time.Time{}); err != nil {
		l.close()
		return nil, err
	}
	st := p.State
	if st == nil {
		l.close()
		return nil, errors.New("the owner sent no state")
	}
	sender, err := logic.Restore(n.cfg.Deploy.Settings, st.Module)
	if err != nil {
		err = errors.Join(err, l.write(packet{Refused: err.Error()}))
		l.close()
		return nil, err
	}
	if err := l.write(packet{Understood: true}); err != nil {
		l.close()
		return nil, err
	}
	var yours packet
	if err := l.read(&yours, time.Now().Add(2*linkTime)); err != nil || !yours.Yours {
		l.close()
		return nil, errors.Join(errors.New("the owner did not let go"), err)
	}
	// From here on the old process writes nothing more; it lets go of the lock as soon as it has closed the journal.
	for by := time.Now().Add(linkTime); ; pause(ctx, time.Millisecond) {
		if n.lock, err = tryLock(n.cfg.StateDir); n.lock != nil {
			break
		}
		if err != nil && !momentary(err) || time.Now().After(by) {
			l.close()
			return nil, errors.Join(errors.New("the lock is still taken"), err)
		}
	}
	n.sender, n.before = sender, &predecessor{link: l, out: map[string]*call{}}
	return st, nil
}

// adopt goes on with what the old process has told. The journal is the measure: where the two do not fit, nothing is
// changed and the error says so.
func (n *Node) adopt(st *handover) error {
	all := map[string]*held{}
	open := 0
	for i := range st.Held {
		x := &st.Held[i]
		h := &held{msg: &x.Message, tries: x.Tries, over: x.Over, trail: trail{n.clock.Time(x.Came), []byte(x.Trail)}}
		if !x.Over {
			e := n.journal.Entry(x.Message.ID)
			if e == nil || e.End != nil {
				return fmt.Errorf("message %s is not in the journal", x.Message.ID)
			}
			h.msg = &e.Message
			open++
		}
		if c := x.Call; c != nil {
			h.call = &call{id: c.ID, attempt: c.Attempt, ep: c.Endpoint, msg: h.msg, state: new(atomic.Int32)}
			h.call.state.Store(c.State)
		}
		all[x.Message.ID] = h
	}
	for _, e := range n.journal.Entries() {
		if h := all[e.ID]; e.End == nil && (h == nil || h.over) {
			return fmt.Errorf("message %s was not handed over", e.ID)
		}
	}
	for _, h := range all {
		if h.call != nil {
			n.before.out[h.call.id] = h.call
			n.goesOut(h, h.call, n.before.stop(h.call))
		}
	}
	n.held, n.open = all, open
	maps.Copy(n.recent, st.Recent)
	n.dir.restore(st, n.clock)
	n.start = n.clock.Time(st.Wall).Add(-span(st.Now))
	for _, e := range n.journal.Entries() {
		if e.End != nil {
			n.notices.add(*e.End)
		}
	}
	n.disc.heard, n.follow = st.Heard, st.Watching
	if st.Discovery == n.disc.addr { // generations of another address need not follow on
		n.disc.gen, n.disc.started = st.Gen, st.Started
	}
	n.log.Info("handed over", "held", open, "calls", len(n.before.out))
	return nil
}

// stop gives a call of the old process up. One that still connects there is not written any more if this one
// has held it.
func (p *predecessor) stop(c *call) context.CancelFunc {
	return func() {
		if p.out[c.id] == c {
			// If the link is broken the reader says so, and that ends all calls.
			x := callState(c)
			p.link.write(packet{Cancel: &x})
		}
	}
}

// read passes on what the old process tells, until it is gone.
func (p *predecessor) read(work context.Context, events chan<- any) {
	defer context.AfterFunc(work, p.link.close)()
	for {
		var x packet
		var ev any
		switch err := p.link.read(&x, time.Time{}); {
		case err != nil:
			p.link.close()
			ev = remoteEvent{from: p, gone: true}
		case x.Put != nil && x.Put.Msg != nil:
			later := make(chan string, 1)
			go p.answer(work, x.Put.N, later)
			ev = putEvent{*x.Put.Msg, later}
		default:
			ev = remoteEvent{from: p, packet: x}
		}
		select {
		case events <- ev:
		case <-work.Done():
			return
		}
		if r, ok := ev.(remoteEvent); ok && r.gone {
			return
		}
	}
}

// answer tells the old process what its client gets.
func (p *predecessor) answer(work context.Context, n int, later <-chan string) {
	select {
	case line := <-later:
		p.link.write(packet{Answer: &relayedPut{N: n, Answer: line}}) // a broken link is the reader's to see
	case <-work.Done():
	}
}

// replies are the outcomes that come with what the old process tells, its end too: what it took with it may have run.
func (p *predecessor) replies(ev remoteEvent) (out []replyEvent) {
	if r := ev.Reply; r != nil {
		c := p.out[r.Call.ID]
		if c == nil || c.attempt != r.Call.Attempt {
			return nil
		}
		delete(p.out, c.id)
		return []replyEvent{{c, result{outcome: r.Outcome, wait: r.Wait, over: r.Over, load: r.Load, idle: r.Idle}, r.Took}}
	}
	if ev.gone {
		for id, c := range p.out {
			delete(p.out, id)
			out = append(out, replyEvent{c, result{outcome: logic.Severed}, 0})
		}
	}
	return out
}

// remote takes what the old process has told.
func (n *Node) remote(ev remoteEvent) {
	if ev.gone {
		n.log.Info("the process before is gone", "calls", len(ev.from.out))
		n.before = nil
		n.shareWith(1)
	}
	for _, r := range ev.from.replies(ev) {
		n.reply(r)
	}
	if ev.Health != nil {
		n.next = append(n.next, logic.HealthResult{Endpoint: ev.Health.Endpoint, Outcome: ev.Health.Outcome})
	}
}

// ---- The old process -----------------------------------------------------------------

// successorEvent is a process that stands by, or the one that did and is gone.
type successorEvent struct {
	s    *successor
	gone bool
}

// successor is the process that stands by to replace this one.
type successor struct {
	link    *link
	packets chan packet // what it says; closed with the link
}

// unixListener is what awaitSuccessors needs of a *net.UnixListener.
type unixListener interface {
	AcceptUnix() (*net.UnixConn, error)
	Close() error
}

// awaitSuccessors greets the processes that come to replace this one, until ctx is over, and gives them the socket on
// which clients are taken. One at a time stands by.
func (n *Node) awaitSuccessors(ctx context.Context, ln unixListener, clients *net.TCPListener) {
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	rest := acceptPause
	accepting := failures{log: n.log, what: "handover: accept"} // where such sockets are refused it does not end
	greeting := failures{log: n.log, what: "handover: greeting"}
	for {
		conn, err := ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		accepting.note(err)
		if err != nil {
			pause(ctx, rest)
			rest = min(2*rest, acceptMost)
			continue
		}
		rest = acceptPause
		s := &successor{link: &link{conn: conn}, packets: make(chan packet, 64)}
		stop := context.AfterFunc(ctx, s.link.close)
		if err := s.link.hear(); err == nil {
			n.events <- successorEvent{s: s} // known before it can say that it is ready
			err = s.link.welcome(n.cfg.Listen, clients)
			greeting.note(err)
			if err == nil {
				s.read(ctx) // another waits its turn
			}
			close(s.packets)
			n.events <- successorEvent{s, true}
		}
		s.link.close()
		stop()
	}
}

// read takes what the successor says until it is gone or ctx is over.
func (s *successor) read(ctx context.Context) {
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

// standsBy notes a process that stands by, or its end.
func (n *Node) standsBy(ev successorEvent) {
	switch {
	case !ev.gone:
		n.log.Info("a successor stands by")
		n.after = ev.s
		n.shareWith(2)
	case n.after == ev.s:
		n.log.Warn("the successor is gone")
		n.after = nil
		n.shareWith(1)
	}
}

// handOver gives all that this process owns to its successor, in one step: nothing else happens until it is done. On
// an error this process owns it as before.
func (n *Node) handOver() error {
	s := n.after
	st, err := n.handoverState()
	if err != nil {
		return err
	}
	if err := n.record(nil); err != nil { // the successor would not see what the file lacks
		return err
	}
	if err := s.link.write(packet{State: st}); err != nil {
		return err
	}
	t := time.NewTimer(linkTime)
	defer t.Stop()
	select {
	case p := <-s.packets:
		if !p.Understood {
			s.link.close()
			return fmt.Errorf("the successor did not understand: %s", p.Refused)
		}
	case <-t.C:
		s.link.close()
		return errors.New("the successor did not answer")
	}
	if err := s.link.write(packet{Yours: true}); err != nil {
		return err
	}
	// From here on the journal is the successor's, whatever else fails.
	if err := errors.Join(n.journal.Close(), n.lock.Close()); err != nil {
		n.log.Error("handover: closing", "err", err)
	}
	return nil
}

// handoverState collects what the journal does not hold.
func (n *Node) handoverState() (*handover, error) {
	now := time.Now()
	st := &handover{Now: micros(now.Sub(n.start)), Wall: n.clock.Micros(now), Recent: maps.Clone(n.recent), Last: n.dir.last,
		Discovery: n.disc.addr, Gen: n.disc.gen, Started: n.disc.started,
		Heard: n.disc.heard, Watching: n.disc.watching}
	var err error
	if st.Module, err = n.sender.Snapshot(); err != nil {
		return nil, err
	}
	for _, h := range n.held {
		x := heldState{Message: *h.msg, Tries: h.tries, Over: h.over, Came: n.clock.Micros(h.trail.came), Trail: string(h.trail.text)}
		x.Message.Body = nil
		if h.call != nil {
			c := callState(h.call)
			x.Call = &c
		}
		st.Held = append(st.Held, x)
	}
	for id, to := range n.dir.eps {
		x := targetState{ID: id, Name: to.name, Addr: to.addr, Zone: to.zone, Kind: to.kind, Dest: to.dest, Shut: n.dir.shut[id]}
		if at, ok := n.dir.gone[id]; ok {
			x.Gone = n.clock.Micros(at)
		}
		st.Targets = append(st.Targets, x)
	}
	return st, nil
}

// restore brings the directory back.
func (d *Directory) restore(st *handover, clock *clock.Persistent) {
	d.last = st.Last
	for _, x := range st.Targets {
		to := target{name: x.Name, addr: x.Addr, zone: x.Zone, kind: x.Kind, dest: x.Dest}
		if x.Gone != 0 {
			d.gone[x.ID] = clock.Time(x.Gone)
		}
		if x.Shut || x.Gone != 0 {
			d.shut[x.ID] = true
		}
		d.ids[x.Name], d.eps[x.ID] = x.ID, to
		d.dests[x.Dest]++
	}
}

// retire is what is left to do after the handover: to pass on what comes on the clients' connections until they are
// idle, and to report how calls end. What is not over within the time after SIGTERM goes with the process.
func (n *Node) retire(work context.Context) {
	n.ln.Close() // the successor has it too: what waits in its queue is not lost
	n.disc.halt()
	n.caller.releaseAll()
	n.clients.stopReading(n.closing.Add(stopSends))
	n.clients.turn(replaced)
	n.figures.open.Store(0)
	grace, end := context.WithDeadline(work, n.closing.Add(stopAll))
	defer end()
	served := make(chan struct{})
	go func() {
		n.clients.gone(grace)
		close(served)
	}()
	r := relay{n: n, s: n.after, packets: n.after.packets, waiting: map[int]chan<- string{}}
	for quiet := false; !quiet || len(r.waiting) > 0 || len(n.calls()) > 0; {
		select {
		case ev := <-n.events:
			r.pass(ev)
		case p, ok := <-r.packets:
			if !ok {
				n.log.Error("relay: the successor is gone")
				r.lost()
				continue
			}
			r.obey(p)
		case <-served:
			quiet, served = true, nil
		case <-grace.Done():
			n.log.Warn("replaced, with calls out", "calls", len(n.calls()))
			return
		}
	}
	n.log.Info("replaced")
}

// relay passes on what comes after the handover.
type relay struct {
	n       *Node
	s       *successor
	packets <-chan packet         // nil once the successor is gone
	waiting map[int]chan<- string // clients, by the number of their message
	count   int
}

// lost answers the clients whose messages the successor has taken with it: whether they were taken on is not known.
func (r *relay) lost() {
	for k, answer := range r.waiting {
		answer <- answerFailed
		delete(r.waiting, k)
	}
	r.packets = nil
}

// pass tells the successor what has come.
func (r *relay) pass(ev any) {
	var p packet
	switch ev := ev.(type) {
	case putEvent:
		if r.packets == nil {
			ev.answer <- busy(0)
			return
		}
		r.count++
		r.waiting[r.count] = ev.answer
		p.Put = &relayedPut{N: r.count, Msg: &ev.msg}
	case remoteEvent: // from a process before this one that still ends its calls
		for _, x := range ev.from.replies(ev) {
			r.pass(x)
		}
		return
	case replyEvent:
		c, x := ev.call, ev.result
		if h := r.n.held[c.id]; h != nil && h.call == c {
			r.n.landed(h)
		}
		p.Reply = &remoteReply{Call: callState(c), Outcome: x.outcome, Wait: x.wait, Over: x.over, Load: x.load, Idle: x.idle,
			Took: ev.took}
	case healthEvent:
		p.Health = &ev
	default: // news of the list or of notices: the successor hears of that itself
		return
	}
	if err := r.s.link.write(p); err != nil {
		r.n.log.Error("relay", "err", err) // and the reader of the link sees its end
	}
}

// obey does what the successor says.
func (r *relay) obey(p packet) {
	if p.Answer != nil {
		if answer := r.waiting[p.Answer.N]; answer != nil {
			answer <- p.Answer.Answer
			delete(r.waiting, p.Answer.N)
		}
	}
	if p.Cancel != nil {
		h := r.n.held[p.Cancel.ID]
		if h == nil || h.call == nil || h.call.attempt != p.Cancel.Attempt {
			return
		}
		if p.Cancel.State == callHeld {
			h.call.state.CompareAndSwap(callConnecting, callHeld)
		}
		h.stop()
	}
}

// shareWith bounds what this process uses to its part of the limits, with so many processes in all.
func (n *Node) shareWith(processes int) {
	limits := n.cfg.Limits.among(processes)
	limits.BindMemory()
	cfg := *n.cfg
	cfg.Limits = limits
	most := shareOut(&cfg)
	n.clients.setMost(most.clients)
	n.caller.setMost(most)
}
