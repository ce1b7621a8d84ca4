package node

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"rundeal/logic"
)

// maxBulkBody bounds the body of a bulk call; one that would be longer goes as several.
const maxBulkBody = 64 << 10

// outgoing is a call that the step at hand has decided on.
type pendingCall struct {
	ctx context.Context
	*call
}

// bulkItem is one message of a bulk call.
type bulkItem struct {
	ID   string `json:"id"`
	Key  string `json:"key,omitempty"`
	Body []byte `json:"body"`
}

// bulkEnd is the end of one message of a bulk call.
type bulkStatus struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// bulkOutcomes are the outcomes of the states that a bulkEnd may have. Any other state can't be read.
var bulkResultsByState = map[string]callResult{
	"done":    {outcome: logic.Completed},
	"failed":  {outcome: logic.Errored},
	"busy":    {outcome: logic.Full},
	"void":    {outcome: logic.Moot, messageGone: true},
	"used_up": {outcome: logic.Moot},
}

// bulkSize is what m adds to the body of a bulk call, or a little less than that.
func bulkItemSize(m *Message) int {
	return len(`{"id":"","key":"","body":""},`) + len(m.ID) + len(m.Key) + (len(m.Body)+2)/3*4
}

// together splits off the calls at the head of list that go as one: to one endpoint, as many as its kind allows
// and a body holds.
func splitBulk(list []pendingCall, most int) (group, rest []pendingCall) {
	size := 2
	for _, o := range list {
		n := bulkItemSize(o.msg)
		if o.endpoint == list[0].endpoint && len(group) < max(most, 1) && (len(group) == 0 || size+n <= maxBulkBody) {
			group = append(group, o)
			size += n
		} else {
			rest = append(rest, o)
		}
	}
	return group, rest
}

// bulk is a call with several messages. Each has its one result: with the answer, or before that if it is given up
// while others still wait for the answer. Where no second copies are allowed a message stays with the call to its
// end, since the result lets it be sent again; a call that all have given up ends.
type bulkCall struct {
	mu                sync.Mutex
	pending           map[*call]bool // without a result; false once given up
	allowSecondCopies bool
	cancel            context.CancelFunc
	report            func(*call, callResult)
}

// settle gives in its result, unless it has one. The last one ends the call.
func (b *bulkCall) resolve(in *call, r callResult) {
	b.mu.Lock()
	_, waits := b.pending[in]
	delete(b.pending, in)
	last := len(b.pending) == 0
	b.mu.Unlock()
	if waits {
		b.report(in, r)
	}
	if last {
		b.cancel()
	}
}

// settleAll gives r to all that have no result.
func (b *bulkCall) resolveAll(list []*call, r callResult) {
	for _, in := range list {
		b.resolve(in, r)
	}
}

// giveUp settles a message whose own context is over, by its time-out or by a cancel.
func (b *bulkCall) abandon(in *call, why error) {
	r := callResult{outcome: logic.Recalled}
	switch {
	case in.state.CompareAndSwap(callConnecting, callAborted):
		r.outcome = logic.RefusedConn
	case in.state.Load() == callAborted:
		r.outcome = logic.Moot
	case !b.allowSecondCopies:
		b.detach(in)
		return
	case errors.Is(why, context.DeadlineExceeded):
		r.outcome = logic.Overdue
	}
	b.resolve(in, r)
}

// leave notes that nothing waits for a message any more, and ends the call if it was the last one.
func (b *bulkCall) detach(in *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending[in] {
		b.pending[in] = false
	}
	for _, waits := range b.pending {
		if waits {
			return
		}
	}
	b.cancel()
}

// doBulk makes one call of several and tells each one's result. It returns when the call is over.
func (c *endpointClient) doBulk(ctx context.Context, group []pendingCall, tell func(*call, callResult)) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	b := &bulkCall{pending: map[*call]bool{}, allowSecondCopies: c.allowSecondCopies, cancel: end, report: tell}
	first := *group[0].call // stands for all: where it goes, how long it waits, which connection it may use
	for _, o := range group {
		b.pending[o.call] = true
		first.timeout, first.nonRetryable = max(first.timeout, o.timeout), first.nonRetryable || o.nonRetryable
	}
	for _, o := range group {
		own, stop := context.WithTimeout(o.ctx, o.timeout)
		defer stop()
		defer context.AfterFunc(own, func() { b.abandon(o.call, own.Err()) })()
	}
	deadline := time.Now().Add(first.timeout)
	conn, err := c.getConn(ctx, &first, deadline)
	var sent []*call
	for _, o := range group {
		if o.write() {
			sent = append(sent, o.call)
		} else {
			b.resolve(o.call, callResult{outcome: logic.Moot})
		}
	}
	if err != nil {
		r := callResult{outcome: logic.RefusedConn}
		if isLocalError(err) {
			r = callResult{outcome: logic.Unsent, localFailure: true}
			pause(ctx, jitter(retryPause)) // descriptors, say: room may come
		}
		b.resolveAll(sent, r)
		return
	}
	if len(sent) == 0 {
		if !c.putIdle(first.endpoint, conn) {
			c.closeConn(conn)
		}
		return
	}
	// The call is known by its first message: once that one's time is up, no answer counts for the others.
	slices.SortStableFunc(sent, func(a, b *call) int { return cmp.Compare(b.msg.Deadline, a.msg.Deadline) })
	first.request, err = newBulkRequest(sent, first.addr, first.timeout)
	if err != nil {
		c.closeConn(conn)
		b.resolveAll(sent, callResult{outcome: logic.Moot})
		return
	}
	first.messageCount = len(sent)
	var body bytes.Buffer
	r := c.roundTrip(ctx, &first, conn, deadline, &body)
	if r.outcome != logic.Completed {
		b.resolveAll(sent, r)
		return
	}
	for i, r := range parseBulkResponse(sent, body.Bytes(), r) {
		b.resolve(sent[i], r)
	}
}

// bulkEnds reads the body of an answer, for each call in turn. A message that it does not name, or not in a way
// that can be read, may have run.
func parseBulkResponse(sent []*call, body []byte, answer callResult) []callResult {
	var ends []bulkStatus
	if err := json.Unmarshal(body, &ends); err != nil {
		ends = nil
	}
	states := map[string]string{}
	for _, x := range ends {
		if was, twice := states[x.ID]; twice && was != x.State {
			x.State = "" // which of the two holds can't be known
		}
		states[x.ID] = x.State
	}
	out := make([]callResult, 0, len(sent))
	for _, in := range sent {
		r, ok := bulkResultsByState[states[in.id]]
		if !ok {
			r = callResult{outcome: logic.Spoilt}
		}
		r.retryAfter, r.loadReport, r.idleTime = answer.retryAfter, answer.loadReport, answer.idleTime
		out = append(out, r)
	}
	return out
}

// bulkRequest is the request that hands the messages of several calls to an endpoint.
func newBulkRequest(list []*call, addr string, giveUp time.Duration) (*http.Request, error) {
	items := make([]bulkItem, 0, len(list))
	for _, in := range list {
		items = append(items, bulkItem{ID: in.msg.ID, Key: in.msg.Key, Body: append([]byte{}, in.msg.Body...)})
	}
	body, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("bulk to %s: %w", addr, err)
	}
	return newPostRequest(addr, "/inbox/bulk", body, giveUp)
}
