package node

import (
	"log/slog"
	"time"

	"rundeal/logic"
)

// permits decides whether something may be sent, repeated, written, given up, closed or begun now. It goes by what
// the sender itself has recorded and been told, not by the module that asks: all that leaves this process passes it.
// What it denies is not done; that something had to be denied, or came too late, is a violation, which is counted and
// logged with the message's id.
//
// All but the write of a call belong to the loop.
type permits struct {
	node  *Node
	waits map[waitKey]time.Time // told waits, until when
}

// waitKey is what a told wait binds: a destination, or one route of it where routes are apart.
type waitKey struct {
	dest  int64
	route logic.EndpointID // 0 for the whole destination
}

// violation names a rule that something would have broken.
type violation string

// The rules of the protocol as far as a sender can see them by itself.
const (
	notTakenOn     violation = "not-taken-on"  // a send or an end of what the journal does not have
	alreadyOver    violation = "already-over"  // a send or a second end after the end
	alreadyOut     violation = "already-out"   // a send while a call with the message is out
	otherPlace     violation = "other-place"   // a send to an endpoint that is not of the destination
	endpointShut   violation = "endpoint-shut" // a send to an endpoint that drains or is gone
	waitTold       violation = "wait-told"     // a send before a told wait was over
	repeatUnsafe   violation = "repeat-unsafe" // a repeat of what may have run and may not be repeated
	repeatLate     violation = "repeat-late"   // a repeat after the window for it
	repeatElse     violation = "repeat-else"   // a repeat in another zone than that which drops it
	triesUsedUp    violation = "tries-used-up" // a send beyond the attempts that a message has
	timeUp         violation = "time-up"       // a send after the message's time
	returnedRun    violation = "returned-run"  // a promise of no effect for what may have run
	refusedTakenOn violation = "refused-taken" // a refusal of what the journal has
	overdue        violation = "overdue"       // no end in the message's time
	closedOpen     violation = "closed-open"   // a close over requests without an answer
	notOwner       violation = "not-owner"     // service without the lock and the journal
	noViolation    violation = ""
)

var violations = []violation{notTakenOn, alreadyOver, alreadyOut, otherPlace, endpointShut, waitTold, repeatUnsafe, repeatLate,
	repeatElse, triesUsedUp, timeUp, returnedRun, refusedTakenOn, overdue, closedOpen, notOwner}

// overdueAfter is how long after its time a message that is not over counts as overdue: its notice has 300 ms.
const overdueAfter = 300 * time.Millisecond

func newPermits(n *Node) *permits {
	return &permits{node: n, waits: map[waitKey]time.Time{}}
}

// report counts and logs a violation.
func report(log *slog.Logger, f *metrics, v violation, id string, more ...any) {
	f.violations.inc(string(v))
	log.Error("violation", append([]any{"rule", string(v), "id", id}, more...)...)
}

// send says whether a message may go to an endpoint. What was right when it was decided and has come too late since, by
// a slow write to the journal say, is denied and no violation.
func (p *permits) send(h *held, ep logic.EndpointID) bool {
	if v := p.checkSend(h, ep, p.node.decided); v != noViolation {
		report(p.node.log, p.node.figures, v, h.msg.ID, "endpoint", ep, "attempt", h.tries)
		return false
	}
	v := p.checkSend(h, ep, p.node.clock.Now())
	if v != noViolation {
		p.node.log.Info("not sent", "id", h.msg.ID, "endpoint", ep, "why", string(v))
	}
	return v == noViolation
}

// checkSend holds a send at a time against the rules.
func (p *permits) checkSend(h *held, ep logic.EndpointID, now int64) violation {
	n := p.node
	to, known := n.dir.endpoints[ep]
	e := n.journal.Entry(h.msg.ID)
	set := &n.cfg.Deployment.Settings
	switch {
	case n.lock == nil:
		return notOwner
	case h.over:
		return alreadyOver
	case e == nil:
		return notTakenOn
	case e.End != nil:
		return alreadyOver
	case h.call != nil:
		return alreadyOut
	case !known || to.dest != h.msg.Dest:
		return otherPlace
	case !n.dir.available(ep):
		return endpointShut
	case time.Now().Before(p.waits[p.lane(ep)]):
		return waitTold
	case set.MaxAttempts > 0 && h.tries >= set.MaxAttempts:
		return triesUsedUp
	case now >= h.msg.Deadline:
		return timeUp
	}
	return p.checkRepeat(e, to.zone, now)
}

// checkRepeat holds a further attempt against what an earlier one may have done.
func (p *permits) checkRepeat(e *Entry, zone int, now int64) violation {
	c := p.node.cfg.classOf(&e.Message)
	switch {
	case !e.MayHaveRun:
		return noViolation
	case c.Idempotency == logic.NonIdempotent:
		return repeatUnsafe
	case c.Idempotency == logic.IdempotentByKey && c.DedupPerZone && zone != e.FirstMayRunZone:
		return repeatElse
	case c.Idempotency == logic.IdempotentByKey && now > e.FirstMayRunAt+int64(c.DedupWindow):
		return repeatLate
	}
	return noViolation
}

// told notes a wait that an endpoint has told.
func (p *permits) told(ep logic.EndpointID, wait time.Duration) {
	until := time.Now().Add(wait)
	if key := p.lane(ep); until.After(p.waits[key]) {
		p.waits[key] = until
	}
}

// lane is what a wait told by an endpoint binds.
func (p *permits) lane(ep logic.EndpointID) waitKey {
	to := p.node.dir.endpoints[ep]
	if p.node.dir.separateRoute(ep) {
		return waitKey{to.dest, ep}
	}
	return waitKey{dest: to.dest}
}

// forget drops waits that are over.
func (p *permits) forget() {
	now := time.Now()
	for key, until := range p.waits {
		if now.After(until) {
			delete(p.waits, key)
		}
	}
}

// giveUp checks an end by our word. It is told all the same: a message without an end is lost.
func (p *permits) giveUp(h *held, x Notice) {
	e := p.node.journal.Entry(x.ID)
	v := noViolation
	switch {
	case e == nil:
		v = notTakenOn
	case x.State == noticeReturned && p.mayHaveRun(e):
		v = returnedRun
	}
	if v != noViolation {
		report(p.node.log, p.node.figures, v, x.ID, "state", x.State)
	}
}

// mayHaveRun says whether a promise that a message may be handed in again would be wrong.
func (p *permits) mayHaveRun(e *Entry) bool {
	c := p.node.cfg.classOf(&e.Message)
	return (e.MayHaveRun || e.InFlight) && (c.Idempotency == logic.NonIdempotent || c.Idempotency == logic.IdempotentByKey && c.DedupPerZone)
}

// refuse checks the answer to a message that is not taken on.
func (p *permits) refuse(id string) {
	if p.node.journal.Entry(id) != nil {
		report(p.node.log, p.node.figures, refusedTakenOn, id)
	}
}

// overdue looks for messages whose time is up and that have no end.
func (p *permits) overdue() {
	late := p.node.clock.Now() - overdueAfter.Microseconds()
	for id, h := range p.node.held {
		if !h.over && h.msg.Deadline < late && !h.overdue {
			h.overdue = true
			report(p.node.log, p.node.figures, overdue, id)
		}
	}
}

// write decides, at the last moment, whether a call may be written: from here on it may have run.
func (in *call) write() bool {
	if !in.writeBy.IsZero() && time.Now().After(in.writeBy) {
		in.state.CompareAndSwap(callConnecting, callAborted)
	}
	return in.state.CompareAndSwap(callConnecting, callWritten)
}
