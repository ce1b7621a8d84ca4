package node

import (
	"context"
	"sync/atomic"
	"time"

	"rundeal/logic"
)

// The event loop's part of attempts: starting them as package logic decides, cancelling them, and recording their results.
// How a call is made is in calls.go and bulk.go.

// attemptResultEvent reports the result of an attempt. Each attempt has exactly one.
type attemptResultEvent struct {
	call     *call
	result   callResult
	duration time.Duration
}

// probeResultEvent reports the outcome of a probe. Each probe has exactly one.
type probeResultEvent struct {
	Endpoint logic.EndpointID
	Outcome  logic.Outcome
}

// calledEndpoints returns the endpoints with a call in flight.
func (n *Node) calledEndpoints() map[logic.EndpointID]bool {
	endpoints := map[logic.EndpointID]bool{}
	for c := range n.inFlight {
		endpoints[c.endpoint] = true
	}
	return endpoints
}

// startAttempt prepares an attempt for sendPendingCalls. An attempt whose record could not be written to the journal,
// or that the guard denies, is not sent but reported to package logic as LocalFailure or Skipped.
func (n *Node) startAttempt(workCtx context.Context, a logic.Send, written bool) {
	m := n.active[a.ID]
	if m == nil { // not accepted; package logic still expects exactly one result
		n.pendingEvents = append(n.pendingEvents, logic.AttemptResult{
			ID:       a.ID,
			Final:    true,
			Endpoint: a.Endpoint,
			Outcome:  logic.Skipped,
		})
		return
	}
	permitted := !written || n.guard.allowSend(m, a.Endpoint)
	attempt := m.attempts
	m.attempts++
	m.log.addSend(a.Endpoint)
	info := n.directory.endpoints[a.Endpoint]
	c := &call{
		id:           a.ID,
		attempt:      attempt,
		endpoint:     a.Endpoint,
		addr:         info.addr,
		timeout:      toDuration(a.Timeout),
		msg:          m.msg,
		state:        new(atomic.Int32),
		messageCount: 1,
		number:       a.Call,
	}
	class := n.cfg.classOf(m.msg)
	c.nonRetryable = class.Idempotency == logic.NonIdempotent
	if entry := n.journal.Entry(a.ID); entry != nil && entry.MayHaveRun && class.Idempotency == logic.IdempotentByKey {
		// A repeat must be written by the end of the deduplication window.
		c.writeBy = n.clock.Time(entry.FirstMayRunAt).Add(toDuration(class.DedupWindow))
	}
	ctx, cancel := context.WithCancel(workCtx)
	n.attemptStarted(m, c, cancel)
	var err error
	c.journaled = written
	if c.request, err = newDeliveryRequest(m.msg, info.addr, c.timeout); err != nil || !written || !permitted {
		if err != nil {
			n.log.Error("cannot build the delivery request", "err", err)
		}
		ev := attemptResultEvent{c, callResult{outcome: logic.LocalFailure}, 0}
		if written { // a request that cannot be built, or that the guard denies, would fail again
			ev.result.outcome = logic.Skipped
		}
		// The delay gives the cause, such as a full disk, time to clear.
		time.AfterFunc(jitter(attemptRetryDelay), func() { n.events <- ev })
		return
	}
	n.pendingCalls = append(n.pendingCalls, pendingCall{ctx, c})
}

// sendPendingCalls sends the calls of the current step. Package logic decides which attempts travel in one call: slots,
// pace and slow start count calls, both there and at the endpoint.
func (n *Node) sendPendingCalls(workCtx context.Context) {
	if len(n.pendingCalls) == 0 {
		return
	}
	groups := map[int][]pendingCall{}
	var order []int
	for _, pending := range n.pendingCalls {
		if groups[pending.number] == nil {
			order = append(order, pending.number)
		}
		groups[pending.number] = append(groups[pending.number], pending)
	}
	for _, number := range order {
		go n.sendCalls(workCtx, groups[number])
	}
	n.pendingCalls = nil
}

// sendCalls makes one call with the messages of all attempts in group and reports their results to the loop.
func (n *Node) sendCalls(workCtx context.Context, group []pendingCall) {
	startedAt := time.Now()
	if len(group) > 1 {
		n.endpointClient.doBulk(workCtx, group, func(c *call, r callResult) {
			n.events <- attemptResultEvent{c, r, time.Since(startedAt)}
		})
		return
	}
	r := n.endpointClient.do(group[0].ctx, group[0].call)
	duration := time.Since(startedAt)
	if r.localFailure {
		sleepContext(group[0].ctx, jitter(attemptRetryDelay)) // gives a local shortage, e.g. of descriptors, time to clear
	}
	n.events <- attemptResultEvent{group[0].call, r, duration}
}

// attemptStarted records an attempt in flight and how to cancel it.
func (n *Node) attemptStarted(m *activeMessage, c *call, cancel context.CancelFunc) {
	if m.call != nil {
		m.abandoned = m.call
	}
	m.call = c
	n.inFlight[c] = cancel
}

// attemptEnded records that an attempt in flight has ended.
func (n *Node) attemptEnded(m *activeMessage, c *call) {
	if cancel := n.inFlight[c]; cancel != nil {
		cancel()
	}
	delete(n.inFlight, c)
	switch c {
	case m.call:
		m.call = nil
	case m.abandoned:
		m.abandoned = nil
	}
}

// cancelAttempt cancels an attempt in flight of m. If abort is set, it is not written if it is still connecting.
func (n *Node) cancelAttempt(m *activeMessage, attempt int, abort bool) {
	for _, c := range []*call{m.call, m.abandoned} {
		if c == nil || c.attempt != attempt {
			continue
		}
		if abort {
			c.state.CompareAndSwap(callConnecting, callAborted)
		}
		n.inFlight[c]()
	}
}

// hasAttemptInFlight reports whether an attempt of the message has no result yet.
func (m *activeMessage) hasAttemptInFlight() bool { return m.call != nil || m.abandoned != nil }

// handleAttemptResult records the result of an attempt and passes it to package logic.
func (n *Node) handleAttemptResult(ev attemptResultEvent) {
	m := n.active[ev.call.id]
	if m == nil {
		return
	}
	overtaken := ev.call.attempt != m.attempts-1 // the message has been sent again meanwhile
	n.attemptEnded(m, ev.call)
	r := ev.result
	if r.outcome == logic.LocalFailure && !overtaken {
		m.attempts--
	}
	m.log.addOutcome(r)
	n.metrics.attempts.inc(outcomeNames[r.outcome])
	if r.retryAfter > 0 {
		n.guard.noteWait(ev.call.endpoint, r.retryAfter)
		n.abortForWait(ev.call.endpoint)
	}
	alreadyEnded := m.ended
	done := r.outcome == logic.Delivered || r.messageEnded
	switch {
	case alreadyEnded:
	case done:
		n.pendingRecords = append(n.pendingRecords, record{Op: opDone, ID: ev.call.id})
		if late := time.Since(m.log.receivedAt) > toDuration(n.cfg.classOf(m.msg).TargetLatency); late || r.messageEnded {
			n.logAttempts(m, map[bool]string{true: "over", false: "late"}[r.messageEnded])
		}
		if r.outcome == logic.Delivered {
			n.metrics.countFulfilled(m.msg.Class)
		}
		n.endMessage(ev.call.id, m)
	case r.outcome == logic.LocalFailure && !ev.call.journaled: // the attempt is not in the journal
	case overtaken: // its outcome was recorded when the message was sent again
	default:
		n.pendingRecords = append(n.pendingRecords, record{
			Op:           opOutcome,
			ID:           ev.call.id,
			MayHaveRun:   mayHaveRun(r.outcome),
			LocalFailure: r.outcome == logic.LocalFailure,
		})
	}
	if m.ended && !m.hasAttemptInFlight() {
		delete(n.active, ev.call.id)
	}
	n.pendingEvents = append(n.pendingEvents, logic.AttemptResult{
		ID:         ev.call.id,
		Final:      alreadyEnded || done,
		Endpoint:   ev.call.endpoint,
		Attempt:    ev.call.attempt,
		Outcome:    r.outcome,
		Latency:    toMicros(ev.duration),
		RetryAfter: toMicros(r.retryAfter),
		Load:       parseLoadReport(r.loadReport, n.cfg.Deployment.LoadMetricNames),
	})
}

// logAttempts logs the attempts of a message that was not delivered within the target time of its class.
func (n *Node) logAttempts(m *activeMessage, end string) {
	n.log.Info("message", "id", m.msg.ID, "class", m.msg.Class, "dest", m.msg.Dest, "end", end,
		"ms", m.log.elapsedMS(), "attempts", string(m.log.text))
}

// mayHaveRun reports whether the endpoint may have processed the message after an attempt with this outcome.
func mayHaveRun(o logic.Outcome) bool {
	return o != logic.Refused && o != logic.ConnRefused && o != logic.Skipped && o != logic.LocalFailure
}

// abortConnecting ends matching calls that are still connecting, so that they are never written. They were decided
// before package logic learned of the change and would reach the endpoint long after it. They end as Skipped.
func (n *Node) abortConnecting(match func(ep logic.EndpointID) bool) {
	for c, cancel := range n.inFlight {
		if match(c.endpoint) && c.state.CompareAndSwap(callConnecting, callAborted) {
			cancel()
		}
	}
}

// abortForWait aborts connecting calls that fall under a wait requested by ep: those to its whole destination, or only
// to ep where routes are limited separately.
func (n *Node) abortForWait(ep logic.EndpointID) {
	info, separateRoute := n.directory.endpoints[ep], n.directory.separateRoute(ep)
	n.abortConnecting(func(other logic.EndpointID) bool {
		return other == ep || !separateRoute && n.directory.endpoints[other].dest == info.dest
	})
}

// probe checks the health of an endpoint in the background and reports the outcome to the loop.
func (n *Node) probe(workCtx context.Context, ep logic.EndpointID) {
	addr := n.directory.endpoints[ep].addr
	go func() {
		outcome := logic.ConnRefused
		if req, err := newProbeRequest(addr); err == nil {
			outcome = n.endpointClient.do(workCtx, &call{
				endpoint: ep,
				addr:     addr,
				timeout:  probeTimeout,
				request:  req,
				state:    new(atomic.Int32),
			}).outcome
		}
		n.events <- probeResultEvent{ep, outcome}
	}()
}
