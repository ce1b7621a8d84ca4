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
func reportViolation(log *slog.Logger, metrics *figures, v violation, id string, attrs ...any) {
	metrics.violations.add(string(v))
	log.Error("violation", append([]any{"rule", string(v), "id", id}, attrs...)...)
}

// send says whether a message may go to an endpoint. What was right when it was decided and has come too late since, by
// a slow write to the journal say, is denied and no violation.
func (g *protocolGuard) allowSend(h *activeMessage, ep logic.EndpointID) bool {
	if v := g.checkSend(h, ep, g.node.stepTime); v != noViolation {
		reportViolation(g.node.log, g.node.metrics, v, h.msg.ID, "endpoint", ep, "attempt", h.attempts)
		return false
	}
	v := g.checkSend(h, ep, g.node.clock.Now())
	if v != noViolation {
		g.node.log.Info("not sent", "id", h.msg.ID, "endpoint", ep, "why", string(v))
	}
	return v == noViolation
}

// checkSend holds a send at a time against the rules.
func (g *protocolGuard) checkSend(h *activeMessage, ep logic.EndpointID, now int64) violation {
	n := g.node
	target, known := n.directory.eps[ep]
	entry := n.journal.Entry(h.msg.ID)
	settings := &n.cfg.Deploy.Settings
	switch {
	case n.stateLock == nil:
		return violationNotOwner
	case h.ended:
		return violationAlreadyEnded
	case entry == nil:
		return violationNotAccepted
	case entry.End != nil:
		return violationAlreadyEnded
	case h.call != nil:
		return violationAlreadyInFlight
	case !known || target.dest != h.msg.Dest:
		return violationWrongDestination
	case !n.directory.ready(ep):
		return violationEndpointUnavailable
	case time.Now().Before(g.waitUntil[g.waitScopeOf(ep)]):
		return violationWaitNotOver
	case settings.MaxTries > 0 && h.attempts >= settings.MaxTries:
		return violationAttemptsUsedUp
	case now >= h.msg.Deadline:
		return violationDeadlinePassed
	}
	return g.checkRepeat(entry, target.zone, now)
}

// checkRepeat holds a further attempt against what an earlier one may have done.
func (g *protocolGuard) checkRepeat(entry *Entry, zone int, now int64) violation {
	class := g.node.cfg.classOf(&entry.Message)
	switch {
	case !entry.MayRun:
		return noViolation
	case class.Effect == logic.Unsafe:
		return violationRepeatUnsafe
	case class.Effect == logic.Keyed && class.ByZone && zone != entry.FirstZone:
		return violationRepeatOtherZone
	case class.Effect == logic.Keyed && now > entry.FirstMay+int64(class.Window):
		return violationRepeatLate
	}
	return noViolation
}

// told notes a wait that an endpoint has told.
func (g *protocolGuard) noteWait(ep logic.EndpointID, wait time.Duration) {
	until := time.Now().Add(wait)
	if key := g.waitScopeOf(ep); until.After(g.waitUntil[key]) {
		g.waitUntil[key] = until
	}
}

// lane is what a wait told by an endpoint binds.
func (g *protocolGuard) waitScopeOf(ep logic.EndpointID) waitScope {
	target := g.node.directory.eps[ep]
	if g.node.directory.apart(ep) {
		return waitScope{target.dest, ep}
	}
	return waitScope{dest: target.dest}
}

// forget drops waits that are over.
func (g *protocolGuard) expireWaits() {
	now := time.Now()
	for key, until := range g.waitUntil {
		if now.After(until) {
			delete(g.waitUntil, key)
		}
	}
}

// giveUp checks an end by our word. It is told all the same: a message without an end is lost.
func (g *protocolGuard) checkEnd(h *activeMessage, notice Notice) {
	entry := g.node.journal.Entry(notice.ID)
	v := noViolation
	switch {
	case entry == nil:
		v = violationNotAccepted
	case notice.State == noticeReturned && g.returnUnsafe(entry):
		v = violationReturnedMayHaveRun
	}
	if v != noViolation {
		reportViolation(g.node.log, g.node.metrics, v, notice.ID, "state", notice.State)
	}
}

// mayHaveRun says whether a promise that a message may be handed in again would be wrong.
func (g *protocolGuard) returnUnsafe(entry *Entry) bool {
	class := g.node.cfg.classOf(&entry.Message)
	return (entry.MayRun || entry.Open) && (class.Effect == logic.Unsafe || class.Effect == logic.Keyed && class.ByZone)
}

// refuse checks the answer to a message that is not taken on.
func (g *protocolGuard) checkRefusal(id string) {
	if g.node.journal.Entry(id) != nil {
		reportViolation(g.node.log, g.node.metrics, violationRefusedAccepted, id)
	}
}

// overdue looks for messages whose time is up and that have no end.
func (g *protocolGuard) checkOverdue() {
	cutoff := g.node.clock.Now() - overdueGrace.Microseconds()
	for id, h := range g.node.active {
		if !h.ended && h.msg.Deadline < cutoff && !h.overdueReported {
			h.overdueReported = true
			reportViolation(g.node.log, g.node.metrics, violationOverdue, id)
		}
	}
}

// write decides, at the last moment, whether a call may be written: from here on it may have run.
func (c *call) claimWrite() bool {
	if !c.writeBy.IsZero() && time.Now().After(c.writeBy) {
		c.state.CompareAndSwap(callConnecting, callHeld)
	}
	return c.state.CompareAndSwap(callConnecting, callWritten)
}
