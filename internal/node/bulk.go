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
type outgoing struct {
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
type bulkEnd struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// bulkOutcomes are the outcomes of the states that a bulkEnd may have. Any other state can't be read.
var bulkOutcomes = map[string]result{
	"done":    {outcome: logic.Completed},
	"failed":  {outcome: logic.Errored},
	"busy":    {outcome: logic.Full},
	"void":    {outcome: logic.Moot, over: true},
	"used_up": {outcome: logic.Moot},
}

// bulkSize is what m adds to the body of a bulk call, or a little less than that.
func bulkSize(m *Message) int {
	return len(`{"id":"","key":"","body":""},`) + len(m.ID) + len(m.Key) + (len(m.Body)+2)/3*4
}

// together splits off the calls at the head of list that go as one: to one endpoint, as many as its kind allows
// and a body holds.
func together(list []outgoing, most int) (group, rest []outgoing) {
	size := 2
	for _, o := range list {
		n := bulkSize(o.msg)
		if o.ep == list[0].ep && len(group) < max(most, 1) && (len(group) == 0 || size+n <= maxBulkBody) {
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
type bulk struct {
	mu     sync.Mutex
	open   map[*call]bool // without a result; false once given up
	copies bool
	end    context.CancelFunc
	tell   func(*call, result)
}

// settle gives in its result, unless it has one. The last one ends the call.
func (b *bulk) settle(in *call, r result) {
	b.mu.Lock()
	_, waits := b.open[in]
	delete(b.open, in)
	last := len(b.open) == 0
	b.mu.Unlock()
	if waits {
		b.tell(in, r)
	}
	if last {
		b.end()
	}
}

// settleAll gives r to all that have no result.
func (b *bulk) settleAll(list []*call, r result) {
	for _, in := range list {
		b.settle(in, r)
	}
}

// giveUp settles a message whose own context is over, by its time-out or by a cancel.
func (b *bulk) giveUp(in *call, why error) {
	r := result{outcome: logic.Recalled}
	switch {
	case in.state.CompareAndSwap(callConnecting, callHeld):
		r.outcome = logic.RefusedConn
	case in.state.Load() == callHeld:
		r.outcome = logic.Moot
	case !b.copies:
		b.leave(in)
		return
	case errors.Is(why, context.DeadlineExceeded):
		r.outcome = logic.Overdue
	}
	b.settle(in, r)
}

// leave notes that nothing waits for a message any more, and ends the call if it was the last one.
func (b *bulk) leave(in *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open[in] {
		b.open[in] = false
	}
	for _, waits := range b.open {
		if waits {
			return
		}
	}
	b.end()
}

// doBulk makes one call of several and tells each one's result. It returns when the call is over.
func (c *caller) doBulk(ctx context.Context, group []outgoing, tell func(*call, result)) {
	ctx, end := context.WithCancel(ctx)
	defer end()
	b := &bulk{open: map[*call]bool{}, copies: c.copies, end: end, tell: tell}
	first := *group[0].call // stands for all: where it goes, how long it waits, which connection it may use
	for _, o := range group {
		b.open[o.call] = true
		first.giveUp, first.fragile = max(first.giveUp, o.giveUp), first.fragile || o.fragile
	}
	for _, o := range group {
		own, stop := context.WithTimeout(o.ctx, o.giveUp)
		defer stop()
		defer context.AfterFunc(own, func() { b.giveUp(o.call, own.Err()) })()
	}
	deadline := time.Now().Add(first.giveUp)
	conn, err := c.connect(ctx, &first, deadline)
	var sent []*call
	for _, o := range group {
		if o.claimWrite() {
			sent = append(sent, o.call)
		} else {
			b.settle(o.call, result{outcome: logic.Moot})
		}
	}
	if err != nil {
		r := result{outcome: logic.RefusedConn}
		if ownFault(err) {
			r = result{outcome: logic.Unsent, local: true}
			sleepContext(ctx, jitter(attemptRetryDelay)) // descriptors, say: room may come
		}
		b.settleAll(sent, r)
		return
	}
	if len(sent) == 0 {
		if !c.put(first.ep, conn) {
			c.drop(conn)
		}
		return
	}
	// The call is known by its first message: once that one's time is up, no answer counts for the others.
	slices.SortStableFunc(sent, func(a, b *call) int { return cmp.Compare(b.msg.Deadline, a.msg.Deadline) })
	first.request, err = bulkRequest(sent, first.addr, first.giveUp)
	if err != nil {
		c.drop(conn)
		b.settleAll(sent, result{outcome: logic.Moot})
		return
	}
	first.carries = len(sent)
	var body bytes.Buffer
	r := c.exchange(ctx, &first, conn, deadline, &body)
	if r.outcome != logic.Completed {
		b.settleAll(sent, r)
		return
	}
	for i, r := range bulkEnds(sent, body.Bytes(), r) {
		b.settle(sent[i], r)
	}
}

// bulkEnds reads the body of an answer, for each call in turn. A message that it does not name, or not in a way
// that can be read, may have run.
func bulkEnds(sent []*call, body []byte, answer result) []result {
	var ends []bulkEnd
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
	out := make([]result, 0, len(sent))
	for _, in := range sent {
		r, ok := bulkOutcomes[states[in.id]]
		if !ok {
			r = result{outcome: logic.Spoilt}
		}
		r.wait, r.load, r.idle = answer.wait, answer.load, answer.idle
		out = append(out, r)
	}
	return out
}

// bulkRequest is the request that hands the messages of several calls to an endpoint.
func bulkRequest(list []*call, addr string, giveUp time.Duration) (*http.Request, error) {
	items := make([]bulkItem, 0, len(list))
	for _, in := range list {
		items = append(items, bulkItem{ID: in.msg.ID, Key: in.msg.Key, Body: append([]byte{}, in.msg.Body...)})
	}
	body, err := json.Marshal(items)
	if err != nil {
		return nil, fmt.Errorf("bulk to %s: %w", addr, err)
	}
	return postRequest(addr, "/inbox/bulk", body, giveUp)
}
