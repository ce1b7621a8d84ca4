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
type protocolGuard struct {
	node      *Node
	waitUntil map[waitScope]time.Time // told waits, until when
}

// waitKey is what a told wait binds: a destination, or one route of it where routes are apart.
type waitScope struct {
	dest  int64
	route logic.EndpointID // 0 for the whole destination
}

// violation names a rule that something would have broken.
type violation string

// The rules of the protocol as far as a sender can see them by itself.
const (
	violationNotAccepted         violation = "not-taken-on"  // a send or an end of what the journal does not have
	violationAlreadyEnded        violation = "already-over"  // a send or a second end after the end
	violationAlreadyInFlight     violation = "already-out"   // a send while a call with the message is out
	violationWrongDestination    violation = "other-place"   // a send to an endpoint that is not of the destination
	violationEndpointUnavailable violation = "endpoint-shut" // a send to an endpoint that drains or is gone
	violationWaitNotOver         violation = "wait-told"     // a send before a told wait was over
	violationRepeatUnsafe        violation = "repeat-unsafe" // a repeat of what may have run and may not be repeated
	violationRepeatLate          violation = "repeat-late"   // a repeat after the window for it
	violationRepeatOtherZone     violation = "repeat-else"   // a repeat in another zone than that which drops it
	violationAttemptsUsedUp      violation = "tries-used-up" // a send beyond the attempts that a message has
	violationDeadlinePassed      violation = "time-up"       // a send after the message's time
	violationReturnedMayHaveRun  violation = "returned-run"  // a promise of no effect for what may have run
	violationRefusedAccepted     violation = "refused-taken" // a refusal of what the journal has
	violationOverdue             violation = "overdue"       // no end in the message's time
	violationClosedWithRequests  violation = "closed-open"   // a close over requests without an answer
	violationNotOwner            violation = "not-owner"     // service without the lock and the journal
	noViolation                  violation = ""
)

var allViolations = []violation{violationNotAccepted, violationAlreadyEnded, violationAlreadyInFlight, violationWrongDestination, violationEndpointUnavailable, violationWaitNotOver, violationRepeatUnsafe, violationRepeatLate,
	violationRepeatOtherZone, violationAttemptsUsedUp, violationDeadlinePassed, violationReturnedMayHaveRun, violationRefusedAccepted, violationOverdue, violationClosedWithRequests, violationNotOwner}

// overdueAfter is how long after its time a message that is not over counts as overdue: its notice has 300 ms.
const overdueGrace = 300 * time.Millisecond

func newProtocolGuard(n *Node) *protocolGuard {
	return &protocolGuard{node: n, waitUntil: map[waitScope]time.Time{}}
}

// report counts and logs a violation.
func reportViolation(log *slog.Logger, f *figures, v violation, id string, more ...any) {
	f.violations.add(string(v))
	log.Error("violation", append([]any{"rule", string(v), "id", id}, more...)...)
}

// send says whether a message may go to an endpoint. What was right when it was decided and has come too late since, by
// a slow write to the journal say, is denied and no violation.
func (p *protocolGuard) allowSend(h *activeMessage, ep logic.EndpointID) bool {
	if v := p.checkSend(h, ep, p.node.stepTime); v != noViolation {
		reportViolation(p.node.log, p.node.metrics, v, h.msg.ID, "endpoint", ep, "attempt", h.attempts)
		return false
	}
	v := p.checkSend(h, ep, p.node.clock.Now())
	if v != noViolation {
		p.node.log.Info("not sent", "id", h.msg.ID, "endpoint", ep, "why", string(v))
	}
	return v == noViolation
}

// checkSend holds a send at a time against the rules.
func (p *protocolGuard) checkSend(h *activeMessage, ep logic.EndpointID, now int64) violation {
	n := p.node
	to, known := n.directory.eps[ep]
	e := n.journal.Entry(h.msg.ID)
	set := &n.cfg.Deploy.Settings
	switch {
	case n.stateLock == nil:
		return violationNotOwner
	case h.ended:
		return violationAlreadyEnded
	case e == nil:
		return violationNotAccepted
	case e.End != nil:
		return violationAlreadyEnded
	case h.call != nil:
		return violationAlreadyInFlight
	case !known || to.dest != h.msg.Dest:
		return violationWrongDestination
	case !n.directory.ready(ep):
		return violationEndpointUnavailable
	case time.Now().Before(p.waitUntil[p.waitScopeOf(ep)]):
		return violationWaitNotOver
	case set.MaxTries > 0 && h.attempts >= set.MaxTries:
		return violationAttemptsUsedUp
	case now >= h.msg.Deadline:
		return violationDeadlinePassed
	}
	return p.checkRepeat(e, to.zone, now)
}

// checkRepeat holds a further attempt against what an earlier one may have done.
func (p *protocolGuard) checkRepeat(e *Entry, zone int, now int64) violation {
	c := p.node.cfg.classOf(&e.Message)
	switch {
	case !e.MayRun:
		return noViolation
	case c.Effect == logic.Unsafe:
		return violationRepeatUnsafe
	case c.Effect == logic.Keyed && c.ByZone && zone != e.FirstZone:
		return violationRepeatOtherZone
	case c.Effect == logic.Keyed && now > e.FirstMay+int64(c.Window):
		return violationRepeatLate
	}
	return noViolation
}

// told notes a wait that an endpoint has told.
func (p *protocolGuard) noteWait(ep logic.EndpointID, wait time.Duration) {
	until := time.Now().Add(wait)
	if key := p.waitScopeOf(ep); until.After(p.waitUntil[key]) {
		p.waitUntil[key] = until
	}
}

// lane is what a wait told by an endpoint binds.
func (p *protocolGuard) waitScopeOf(ep logic.EndpointID) waitScope {
	to := p.node.directory.eps[ep]
	if p.node.directory.apart(ep) {
		return waitScope{to.dest, ep}
	}
	return waitScope{dest: to.dest}
}

// forget drops waits that are over.
func (p *protocolGuard) expireWaits() {
	now := time.Now()
	for key, until := range p.waitUntil {
		if now.After(until) {
			delete(p.waitUntil, key)
		}
	}
}

// giveUp checks an end by our word. It is told all the same: a message without an end is lost.
func (p *protocolGuard) checkEnd(h *activeMessage, x Notice) {
	e := p.node.journal.Entry(x.ID)
	v := noViolation
	switch {
	case e == nil:
		v = violationNotAccepted
	case x.State == noticeReturned && p.returnUnsafe(e):
		v = violationReturnedMayHaveRun
	}
	if v != noViolation {
		reportViolation(p.node.log, p.node.metrics, v, x.ID, "state", x.State)
	}
}

// mayHaveRun says whether a promise that a message may be handed in again would be wrong.
func (p *protocolGuard) returnUnsafe(e *Entry) bool {
	c := p.node.cfg.classOf(&e.Message)
	return (e.MayRun || e.Open) && (c.Effect == logic.Unsafe || c.Effect == logic.Keyed && c.ByZone)
}

// refuse checks the answer to a message that is not taken on.
func (p *protocolGuard) checkRefusal(id string) {
	if p.node.journal.Entry(id) != nil {
		reportViolation(p.node.log, p.node.metrics, violationRefusedAccepted, id)
	}
}

// overdue looks for messages whose time is up and that have no end.
func (p *protocolGuard) checkOverdue() {
	late := p.node.clock.Now() - overdueGrace.Microseconds()
	for id, h := range p.node.active {
		if !h.ended && h.msg.Deadline < late && !h.overdueReported {
			h.overdueReported = true
			reportViolation(p.node.log, p.node.metrics, violationOverdue, id)
		}
	}
}

// write decides, at the last moment, whether a call may be written: from here on it may have run.
func (in *call) claimWrite() bool {
	if !in.writeBy.IsZero() && time.Now().After(in.writeBy) {
		in.state.CompareAndSwap(callConnecting, callHeld)
	}
	return in.state.CompareAndSwap(callConnecting, callWritten)
}
