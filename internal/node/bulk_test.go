package node

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"rundeal/logic"
)

// newBulkNode returns a sender that is not running and has decided to send each message to an endpoint whose machine
// type accepts batches.
func newBulkNode(t *testing.T, bodies map[string]string) (*Node, *testEndpoint) {
	t.Helper()
	e, p := newEndpoint(t), newPlatform(t)
	cfg, err := ParseConfig(configText(p, EndpointList{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	cfg.Deployment.Settings.Kinds[0].MaxBatch = 10
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.journal.Close() })
	entries := n.directory.Apply(EndpointList{Generation: 1, Reset: true, Instances: instances(e)}, time.Now())
	for _, id := range slices.Sorted(maps.Keys(bodies)) {
		m := Message{ID: id, Class: "safe", Dest: 1, Body: []byte(bodies[id])}
		n.active[id] = addJournaledMessage(t, n, m)
		n.startAttempt(t.Context(), logic.Send{ID: id, Timeout: toMicros(testTimeout), Endpoint: entries[0].Endpoint}, true)
	}
	return n, e
}

// addJournaledMessage records a message in the journal, with time left until its deadline.
func addJournaledMessage(t *testing.T, n *Node, m Message) *activeMessage {
	t.Helper()
	m.Deadline = n.clock.Now() + (2 * testTimeout).Microseconds()
	mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: &m}})
	return &activeMessage{msg: n.journal.Entry(m.ID).Message, log: attemptLog{receivedAt: time.Now()}}
}

// collectOutcomes returns the outcomes of the next count calls, by message id.
func collectOutcomes(t *testing.T, n *Node, count int) map[string]logic.Outcome {
	t.Helper()
	out := map[string]logic.Outcome{}
	for range count {
		ev := receive(t, n.events, "outcome").(attemptResultEvent)
		out[ev.call.id] = ev.result.outcome
	}
	return out
}

// replyWithBody responds with status 200 and a body.
func replyWithBody(c *receivedCall, body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c.keepReading <- true
}

// All messages that one step sends to one endpoint go in one call, since package logic counts slots, rate and budget
// that way.
func TestBulkIsOneCall(t *testing.T) {
	bodies := map[string]string{"a": "body of a", "b": "\x00\xff", "c": ""}
	n, e := newBulkNode(t, bodies)
	n.sendPendingCalls(t.Context())
	in := receive(t, e.calls, "call")
	if in.req.URL.Path != "/inbox/bulk" || in.req.Header.Get("X-Expires-In-Ms") != "20000" {
		t.Fatalf("call to %s with %v", in.req.URL.Path, in.req.Header)
	}
	if got := receivedBodies(t, in); !maps.Equal(got, bodies) {
		t.Errorf("sent %q", got)
	}
	replyWithBody(in, `[{"id":"a","state":"done"},{"id":"b","state":"busy"},{"id":"c","state":"failed"}]`)
	want := map[string]logic.Outcome{"a": logic.Delivered, "b": logic.Refused, "c": logic.Errored}
	if got := collectOutcomes(t, n, 3); !maps.Equal(got, want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
	e.expectNoCall(t)
	if len(e.conns) != 1 {
		t.Errorf("%d connections", len(e.conns))
	}
}

// The endpoint identifies a bulk call by its first message. If that message's deadline passed before the others', their
// responses would not count either.
func TestBulkLatestDeadlineFirst(t *testing.T) {
	n, e := newBulkNode(t, map[string]string{"a": "x", "b": "y", "c": "z"})
	deadlines := map[string]int64{"a": 2, "b": 1, "c": 3}
	for _, pending := range n.pendingCalls {
		m := *pending.msg
		m.Deadline = deadlines[m.ID]
		pending.msg = &m
	}
	n.sendPendingCalls(t.Context())
	in := receive(t, e.calls, "call")
	var items []bulkItem
	if err := json.Unmarshal([]byte(in.body), &items); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, x := range items {
		got = append(got, x.ID)
	}
	if !slices.Equal(got, []string{"c", "a", "b"}) {
		t.Errorf("sent in the order %v", got)
	}
	replyWithBody(in, `[{"id":"c","state":"failed"},{"id":"a","state":"done"},{"id":"b","state":"busy"}]`)
	want := map[string]logic.Outcome{"a": logic.Delivered, "b": logic.Refused, "c": logic.Errored}
	if got := collectOutcomes(t, n, 3); !maps.Equal(got, want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
}

// A response to the whole call applies to each message. If it is malformed, any message may have been processed.
func TestBulkResponses(t *testing.T) {
	for name, x := range map[string]struct {
		response string
		a, b     logic.Outcome
	}{
		"refused":   {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", logic.Refused, logic.Refused},
		"no slot":   {"HTTP/1.1 503 x\r\nX-Line-Busy: 1\r\nContent-Length: 0\r\n\r\n", logic.Skipped, logic.Skipped},
		"error":     {"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", logic.Errored, logic.Errored},
		"malformed": {"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nnot JSON!", logic.Unreadable, logic.Unreadable},
		"cut short": {"HTTP/1.1 200 x\r\nContent-Length: 99\r\n\r\n[]", logic.ConnLost, logic.ConnLost},
		"one absent": {
			"HTTP/1.1 200 x\r\nContent-Length: 27\r\n\r\n[{\"id\":\"a\",\"state\":\"done\"}]",
			logic.Delivered,
			logic.Unreadable,
		},
	} {
		t.Run(name, func(t *testing.T) {
			n, e := newBulkNode(t, map[string]string{"a": "x", "b": "y"})
			n.sendPendingCalls(t.Context())
			in := receive(t, e.calls, "call")
			io.WriteString(in.conn, x.response)
			if name == "cut short" {
				in.conn.Close()
			}
			in.keepReading <- false
			if got := collectOutcomes(t, n, 2); got["a"] != x.a || got["b"] != x.b {
				t.Errorf("outcomes %v", got)
			}
		})
	}
}

// Guards against a cancelled message that counts as over while the endpoint still holds its call: whether second copies
// are allowed or not, it gets its result from the response, like the other messages.
func TestBulkCancelOne(t *testing.T) {
	for _, copies := range []bool{true, false} {
		n, e := newBulkNode(t, map[string]string{"a": "x", "b": "y", "c": "z"})
		n.cfg.Deployment.Settings.SecondCopies = copies
		n.sendPendingCalls(t.Context())
		in := receive(t, e.calls, "call")
		n.cancelAttempt(n.active["a"], 0, false)
		select {
		case ev := <-n.events:
			t.Fatalf("copies %v: result %v before the end of the call", copies, ev)
		case <-time.After(4 * abortGracePeriod):
		}
		replyWithBody(in, `[{"id":"a","state":"failed"},{"id":"b","state":"done"},{"id":"c","state":"busy"}]`)
		want := map[string]logic.Outcome{"a": logic.Errored, "b": logic.Delivered, "c": logic.Refused}
		if got := collectOutcomes(t, n, len(want)); !maps.Equal(got, want) {
			t.Errorf("copies %v: outcomes %v, want %v", copies, got, want)
		}
	}
}

// Once all messages are cancelled, the connection is closed, which tells the endpoint.
func TestBulkCancelAll(t *testing.T) {
	n, e := newBulkNode(t, map[string]string{"a": "x", "b": "y"})
	n.sendPendingCalls(t.Context())
	in := receive(t, e.calls, "call")
	n.cancelAttempt(n.active["a"], 0, false)
	n.cancelAttempt(n.active["b"], 0, false)
	if got := collectOutcomes(t, n, 2); got["a"] != logic.Cancelled || got["b"] != logic.Cancelled {
		t.Errorf("outcomes %v", got)
	}
	in.awaitEnd(t)
	in.conn.Close()
	in.keepReading <- false
}

// Guards against calls that package logic does not count: it knew the number of messages that fit in one call but not
// their sizes, and the network code divided what was over 64 KiB into further calls.
func TestBulkBodyLimit(t *testing.T) {
	for _, test := range []struct {
		size, count int
		calls       int
	}{
		{40 << 10, 3, 3},
		{20 << 10, 4, 2},
		{maxBulkBytes, 2, 2},
		{6 << 10, 8, 2},
		{5 << 10, 8, 1},
		{0, 8, 1},
	} {
		e := newEndpoint(t)
		list := EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
		cfg := bulkConfig(t, newPlatform(t), list, t.TempDir())
		cfg.Deployment.Settings.Weights = logic.WeightsOff // else the rate limit delays the first calls
		n := newNodeWith(t, cfg)
		n.pendingEvents = append(n.pendingEvents,
			logic.EndpointUpdate{Kind: logic.UpdateFull, Entries: n.directory.Apply(list, time.Now())})
		for i := range test.count {
			addPut(t, n, fmt.Sprint("m", i), strings.Repeat("x", test.size))
		}
		n.step(t.Context())
		counted := map[int]bool{}
		for c := range n.inFlight {
			counted[c.number] = true
		}
		if len(counted) != test.calls || len(n.inFlight) != test.count {
			t.Errorf("%+v: %d messages in %d calls", test, len(n.inFlight), len(counted))
		}
		for range test.calls {
			in := receive(t, e.calls, "call")
			if in.req.URL.Path == "/inbox/bulk" && len(in.body) > 64<<10 {
				t.Errorf("%+v: a body of %d bytes", test, len(in.body))
			}
			in.reply(503)
		}
		for range test.count {
			receive(t, n.events, "result")
		}
		e.expectNoCall(t)
	}
}

// Guards against a body over the limit: the size that package logic gets for each message must be exact.
func TestBulkItemSize(t *testing.T) {
	for _, ids := range []string{"m", `<&>"\`, strings.Repeat(">", maxIDLen)} {
		for _, key := range []string{"", "k", `"<`} {
			var calls []*call
			want := 1
			for i := range 5 {
				m := &Message{ID: fmt.Sprint(ids, i), IdempotencyKey: key, Body: []byte(strings.Repeat("\xff", 7*i))}
				calls = append(calls, &call{msg: m})
				want += bulkItemSize(m)
				req, err := newBulkRequest(calls, "h:1", time.Second)
				if err != nil {
					t.Fatal(err)
				}
				if req.ContentLength != int64(want) {
					t.Errorf("id %q, key %q, %d messages: %d bytes, want %d", m.ID, key, i+1, req.ContentLength, want)
				}
			}
		}
	}
}
