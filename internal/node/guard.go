package node

import (
	"log/slog"
	"time"

	"rundeal/logic"
)

// protocolGuard checks every send, repeat, write, end, close and start of service against the rules of the protocol. It
// is independent of package logic: it relies only on what the sender has recorded and been told. Everything that leaves
// this process passes through it. What it denies is not done. Having to deny something, or an end that comes too late,
// is a violation, which is counted and logged with the id of the message; see allowSend for the one exception.
//
// All methods belong to the event loop, except call.claimWrite.
type protocolGuard struct {
	node      *Node
	waitUntil map[waitScope]time.Time // end of each wait that an endpoint has requested
}

// waitScope is what a requested wait applies to: a destination, or one of its routes where routes are limited
// separately.
type waitScope struct {
	dest  int64
	route logic.EndpointID // 0 for the whole destination
}

// violation names a rule of the protocol that was, or would have been, broken.
type violation string

// The rules of the protocol that a sender can check by itself.
const (
	violationNotAccepted         violation = "not-taken-on"  // send or end of a message that is not in the journal
	violationAlreadyEnded        violation = "already-over"  // send or second end after the end
	violationAlreadyInFlight     violation = "already-out"   // send while another is in flight, unless second copies are allowed
	violationWrongDestination    violation = "other-place"   // send to an endpoint of another destination
	violationEndpointUnavailable violation = "endpoint-shut" // send to an endpoint that is draining or removed
	violationWaitNotOver         violation = "wait-told"     // send before the end of a requested wait
	violationRepeatUnsafe        violation = "repeat-unsafe" // repeat of a non-idempotent message that may have run
	violationRepeatLate          violation = "repeat-late"   // repeat after the deduplication window
	violationRepeatOtherZone     violation = "repeat-else"   // repeat in a zone other than the one that deduplicates it
	violationAttemptsUsedUp      violation = "tries-used-up" // send beyond the maximum number of attempts
	violationDeadlinePassed      violation = "time-up"       // send after the message's deadline
	violationReturnedMayHaveRun  violation = "returned-run"  // message returned as not delivered although it may have run
	violationRejectedAccepted    violation = "refused-taken" // rejection of a message that is in the journal
	violationOverdue             violation = "overdue"       // no end by the message's deadline
	violationClosedWithRequests  violation = "closed-open"   // client connection closed with requests without a reply
	violationNotOwner            violation = "not-owner"     // service without the state lock or the journal
	noViolation                  violation = ""
)

var allViolations = []violation{
	violationNotAccepted,
	violationAlreadyEnded,
	violationAlreadyInFlight,
	violationWrongDestination,
	violationEndpointUnavailable,
	violationWaitNotOver,
	violationRepeatUnsafe,
	violationRepeatLate,
	violationRepeatOtherZone,
	violationAttemptsUsedUp,
	violationDeadlinePassed,
	violationReturnedMayHaveRun,
	violationRejectedAccepted,
	violationOverdue,
	violationClosedWithRequests,
	violationNotOwner,
}

// overdueGrace is how long after its deadline a message that has not ended counts as overdue. The protocol allows
// 300 ms for its notice.
const overdueGrace = 300 * time.Millisecond

func newProtocolGuard(n *Node) *protocolGuard {
	return &protocolGuard{node: n, waitUntil: map[waitScope]time.Time{}}
}

// reportViolation counts and logs a violation.
func reportViolation(log *slog.Logger, metrics *metrics, v violation, id string, attrs ...any) {
	metrics.violations.inc(string(v))
	log.Error("violation", append([]any{"rule", string(v), "id", id}, attrs...)...)
}

// allowSend reports whether a message may be sent to an endpoint. A send that was correct when it was decided, but has
// become too late since, for example because of a slow journal write, is denied without being a violation.
func (g *protocolGuard) allowSend(m *activeMessage, ep logic.EndpointID) bool {
	if v := g.checkSend(m, ep, g.node.stepTime); v != noViolation {
		reportViolation(g.node.log, g.node.metrics, v, m.msg.ID, "endpoint", ep, "attempt", m.attempts)
		return false
	}
	v := g.checkSend(m, ep, g.node.clock.Now())
	if v != noViolation {
		g.node.log.Info("not sent", "id", m.msg.ID, "endpoint", ep, "why", string(v))
	}
	return v == noViolation
}

// checkSend returns the rule that a send at the time now would break, or noViolation.
func (g *protocolGuard) checkSend(m *activeMessage, ep logic.EndpointID, now int64) violation {
	n := g.node
	info, known := n.directory.endpoints[ep]
	entry := n.journal.Entry(m.msg.ID)
	settings := &n.cfg.Deployment.Settings
	switch {
	case n.stateLock == nil:
		return violationNotOwner
	case m.ended:
		return violationAlreadyEnded
	case entry == nil:
		return violationNotAccepted
	case entry.End != nil:
		return violationAlreadyEnded
	case m.call != nil && !n.mayHaveSecondCopy(m):
		return violationAlreadyInFlight
	case !known || info.dest != m.msg.Dest:
		return violationWrongDestination
	case !n.directory.available(ep):
		return violationEndpointUnavailable
	case time.Now().Before(g.waitUntil[g.waitScopeOf(ep)]):
		return violationWaitNotOver
	case settings.MaxAttempts > 0 && m.attempts >= settings.MaxAttempts:
		return violationAttemptsUsedUp
	case now >= m.msg.Deadline:
		return violationDeadlinePassed
	}
	return g.checkRepeat(entry, info.zone, now)
}

// mayHaveSecondCopy reports whether a message may be sent while its latest attempt is in flight: the settings allow a
// second copy, and that attempt is the only one in flight.
func (n *Node) mayHaveSecondCopy(m *activeMessage) bool {
	return n.cfg.Deployment.Settings.SecondCopies && m.abandoned == nil
}

// checkRepeat returns the rule that a further attempt would break because an earlier one may have run, or noViolation.
func (g *protocolGuard) checkRepeat(entry *Entry, zone int, now int64) violation {
	class := g.node.cfg.classOf(entry.Message)
	switch {
	case !entry.MayHaveRun:
		return noViolation
	case class.Idempotency == logic.NonIdempotent:
		return violationRepeatUnsafe
	case class.Idempotency == logic.IdempotentByKey && class.DedupPerZone && zone != entry.FirstMayRunZone:
		return violationRepeatOtherZone
	case class.Idempotency == logic.IdempotentByKey && now > entry.FirstMayRunAt+int64(class.DedupWindow):
		return violationRepeatLate
	}
	return noViolation
}

// noteWait records a wait that an endpoint has requested.
func (g *protocolGuard) noteWait(ep logic.EndpointID, wait time.Duration) {
	until := time.Now().Add(wait)
	if scope := g.waitScopeOf(ep); until.After(g.waitUntil[scope]) {
		g.waitUntil[scope] = until
	}
}

// waitScopeOf returns the scope of a wait requested by an endpoint.
func (g *protocolGuard) waitScopeOf(ep logic.EndpointID) waitScope {
	info := g.node.directory.endpoints[ep]
	if g.node.directory.separateRoute(ep) {
		return waitScope{info.dest, ep}
	}
	return waitScope{dest: info.dest}
}

// expireWaits removes waits that have ended.
func (g *protocolGuard) expireWaits() {
	now := time.Now()
	for scope, until := range g.waitUntil {
		if now.After(until) {
			delete(g.waitUntil, scope)
		}
	}
}

// checkEnd checks an end decided by package logic. It only reports violations: the notice is sent in any case, because
// a message without an end would be lost.
func (g *protocolGuard) checkEnd(m *activeMessage, notice Notice) {
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

// returnUnsafe reports whether it would be wrong to return a message: that tells its client that it may be submitted
// again.
func (g *protocolGuard) returnUnsafe(entry *Entry) bool {
	class := g.node.cfg.classOf(entry.Message)
	return (entry.MayHaveRun || entry.InFlight) &&
		(class.Idempotency == logic.NonIdempotent || class.Idempotency == logic.IdempotentByKey && class.DedupPerZone)
}

// checkReject checks that a rejected message is not in the journal.
func (g *protocolGuard) checkReject(id string) {
	if g.node.journal.Entry(id) != nil {
		reportViolation(g.node.log, g.node.metrics, violationRejectedAccepted, id)
	}
}

// checkOverdue reports messages that have not ended although their deadline has passed.
func (g *protocolGuard) checkOverdue() {
	cutoff := g.node.clock.Now() - overdueGrace.Microseconds()
	for id, m := range g.node.active {
		if !m.ended && m.msg.Deadline < cutoff && !m.overdueReported {
			m.overdueReported = true
			reportViolation(g.node.log, g.node.metrics, violationOverdue, id)
		}
	}
}

// claimWrite decides, right before the write, whether a call may be written. If it returns true the call may have run.
func (c *call) claimWrite() bool {
	if !c.writeBy.IsZero() && time.Now().After(c.writeBy) {
		c.state.CompareAndSwap(callConnecting, callAborted)
	}
	return c.state.CompareAndSwap(callConnecting, callWritten)
}
