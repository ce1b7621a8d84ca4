package node

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"rundeal/logic"
)

// maxBulkBody limits the body of a bulk call, in bytes.
const maxBulkBody = 64 << 10

// pendingCall is a call that the current step has decided on and not started yet.
type pendingCall struct {
	ctx context.Context
	*call
}

// bulkItem is one message in the body of a bulk request.
type bulkItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// bulkStatus is the outcome of one message in the body of a bulk response.
type bulkStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// bulkResultsByState are the results for the known values of bulkStatus.State. Any other value makes the result
// malformed.
var bulkResultsByState = map[string]callResult{
	"done":    {outcome: logic.Delivered},
	"failed":  {outcome: logic.Errored},
	"busy":    {outcome: logic.Refused},
	"void":    {outcome: logic.Skipped, messageEnded: true},
	"used_up": {outcome: logic.Skipped},
}

// maxBulkItems limits the total bulkItemSize of the messages in one bulk call. The rest of the body is one bracket, since
// the last message is followed by the other bracket in place of a comma.
const maxBulkItems = maxBulkBody - 1

// bulkItemSize returns how many bytes m adds to the body of a bulk request: its JSON object and a comma.
func bulkItemSize(m *Message) int {
	header, err := json.Marshal(bulkItem{ID: m.ID, Key: m.IdempotencyKey, Body: []byte{}})
	if err != nil { // cannot happen with strings
		return maxBulkItems
	}
	return len(header) + base64.StdEncoding.EncodedLen(len(m.Body)) + len(",")
}

// bulkCall is a call in flight with several messages. Each message gets exactly one result, when the call has ended, or
// as soon as it is certain that the message will not be written. The call is cancelled once no message waits for it.
type bulkCall struct {
	mu      sync.Mutex
	waiting map[*call]bool          // messages that wait for the response
	stopped map[*call]logic.Outcome // messages that do not wait any more, with their outcome if there is no response
	cancel  context.CancelFunc
	report  func(*call, callResult)
}

// resolve reports the result of cl, unless it already has one.
func (b *bulkCall) resolve(cl *call, res callResult) {
	b.mu.Lock()
	outcome, stopped := b.stopped[cl]
	pending := stopped || b.waiting[cl]
	delete(b.stopped, cl)
	delete(b.waiting, cl)
	b.mu.Unlock()
	if stopped && (res.outcome == logic.Cancelled || res.outcome == logic.TimedOut) {
		res.outcome = outcome
	}
	if pending {
		b.report(cl, res)
	}
}

// resolveAll resolves the given calls with the same result.
func (b *bulkCall) resolveAll(calls []*call, res callResult) {
	for _, cl := range calls {
		b.resolve(cl, res)
	}
}

// stopWaiting handles a message whose own context ended because of a timeout or a cancellation. If the request is not
// written yet, it will not contain the message. Otherwise the message gets its result when the call has ended: until
// then the endpoint may process it. The call ends early if no other message waits for the response.
func (b *bulkCall) stopWaiting(cl *call, cause error) {
	switch {
	case cl.state.CompareAndSwap(callConnecting, callAborted):
		b.resolve(cl, callResult{outcome: logic.ConnRefused})
	case cl.state.Load() == callAborted:
		b.resolve(cl, callResult{outcome: logic.Skipped})
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting[cl] {
		delete(b.waiting, cl)
		b.stopped[cl] = logic.Cancelled
		if errors.Is(cause, context.DeadlineExceeded) {
			b.stopped[cl] = logic.TimedOut
		}
	}
	if len(b.waiting) == 0 {
		b.cancel()
	}
}

// doBulk sends several messages in one call and reports the result of each. It returns when the call has ended.
func (c *endpointClient) doBulk(ctx context.Context, group []pendingCall, report func(*call, callResult)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	bc := &bulkCall{
		waiting: map[*call]bool{},
		stopped: map[*call]logic.Outcome{},
		cancel:  cancel,
		report:  report,
	}
	combined := call{endpoint: group[0].endpoint, addr: group[0].addr} // the bulk call as one
	for _, pc := range group {
		bc.waiting[pc.call] = true
		combined.timeout, combined.nonRetryable = max(combined.timeout, pc.timeout), combined.nonRetryable || pc.nonRetryable
	}
	for _, pc := range group {
		callCtx, stop := context.WithTimeout(pc.ctx, pc.timeout)
		defer stop()
		defer context.AfterFunc(callCtx, func() { bc.stopWaiting(pc.call, callCtx.Err()) })()
	}
	deadline := time.Now().Add(combined.timeout)
	conn, err := c.getConn(ctx, &combined, deadline)
	var sent []*call
	for _, pc := range group {
		if pc.claimWrite() {
			sent = append(sent, pc.call)
		} else {
			bc.resolve(pc.call, callResult{outcome: logic.Skipped})
		}
	}
	if err != nil {
		res := callResult{outcome: logic.ConnRefused}
		if isLocalError(err) {
			res = callResult{outcome: logic.LocalFailure, localFailure: true}
			sleepContext(ctx, jitter(attemptRetryDelay)) // for example, file descriptors may become free
		}
		bc.resolveAll(sent, res)
		return
	}
	if len(sent) == 0 {
		if !c.putIdle(combined.endpoint, conn) {
			c.closeConn(conn)
		}
		return
	}
	// The endpoint identifies the call by its first message. Once that message's deadline has passed, no response counts
	// for the others, so the latest deadline goes first.
	slices.SortStableFunc(sent, func(x, y *call) int { return cmp.Compare(y.msg.Deadline, x.msg.Deadline) })
	combined.request, err = newBulkRequest(sent, combined.addr, combined.timeout)
	if err != nil {
		c.closeConn(conn)
		bc.resolveAll(sent, callResult{outcome: logic.Skipped})
		return
	}
	combined.messageCount = len(sent)
	var body bytes.Buffer
	res := c.roundTrip(ctx, &combined, conn, deadline, &body)
	if res.outcome != logic.Delivered {
		bc.resolveAll(sent, res)
		return
	}
	for i, res := range parseBulkResponse(sent, body.Bytes(), res) {
		bc.resolve(sent[i], res)
	}
}

// parseBulkResponse returns the result of each call, in the order of sent. A message that is missing from the body, or
// whose state is malformed, may have been processed.
func parseBulkResponse(sent []*call, body []byte, response callResult) []callResult {
	var statuses []bulkStatus
	if err := json.Unmarshal(body, &statuses); err != nil {
		statuses = nil
	}
	states := map[string]string{}
	for _, status := range statuses {
		if previous, repeated := states[status.ID]; repeated && previous != status.State {
			status.State = "" // two different states: which one is right is unknown
		}
		states[status.ID] = status.State
	}
	results := make([]callResult, 0, len(sent))
	for _, cl := range sent {
		res, ok := bulkResultsByState[states[cl.id]]
		if !ok {
			res = callResult{outcome: logic.Unreadable}
		}
		res.retryAfter, res.loadReport, res.idleTime = response.retryAfter, response.loadReport, response.idleTime
		results = append(results, res)
	}
	return results
}

// newBulkRequest builds the request that delivers the messages of several calls to an endpoint.
func newBulkRequest(calls []*call, addr string, timeout time.Duration) (*http.Request, error) {
	items := make([]bulkItem, 0, len(calls))
	for _, cl := range calls {
		items = append(items, bulkItem{ID: cl.msg.ID, Key: cl.msg.IdempotencyKey, Body: append([]byte{}, cl.msg.Body...)})
	}
	body, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("bulk request to %s: %w", addr, err)
	}
	return newPostRequest(addr, "/inbox/bulk", body, timeout)
}
