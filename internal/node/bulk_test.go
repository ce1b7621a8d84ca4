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

// bulkStep is a sender that is not running and has decided to send each message to an endpoint of a kind that
// takes batches.
func bulkStep(t *testing.T, bodies map[string]string) (*Node, *testEndpoint) {
	t.Helper()
	e, p := newEndpoint(t), newPlatform(t)
	cfg, err := ParseConfig(configText(p, List{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	cfg.Deploy.Settings.Kinds[0].Batch = 10
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.journal.Close() })
	rows := n.directory.Take(List{Generation: 1, Reset: true, Instances: instances(e)}, time.Now())
	for _, id := range slices.Sorted(maps.Keys(bodies)) {
		m := Message{ID: id, Class: "safe", Dest: 1, Body: []byte(bodies[id])}
		n.active[id] = takenOn(t, n, m)
		n.startAttempt(t.Context(), logic.CallOut{ID: id, GiveUp: toMicros(testTimeout), Endpoint: rows[0].Endpoint}, true)
	}
	return n, e
}

// takenOn puts a message on the books, with time left.
func takenOn(t *testing.T, n *Node, m Message) *activeMessage {
	t.Helper()
	m.Deadline = n.clock.Now() + (2 * testTimeout).Microseconds()
	mustAppend(t, n.journal, record{Op: opAccept, Entry: &Entry{Message: m}})
	return &activeMessage{msg: &n.journal.Entry(m.ID).Message, log: attemptLog{receivedAt: time.Now()}}
}

// ends collects the outcomes of so many calls.
func ends(t *testing.T, n *Node, count int) map[string]logic.Outcome {
	t.Helper()
	out := map[string]logic.Outcome{}
	for range count {
		ev := receive(t, n.events, "outcome").(attemptResultEvent)
		out[ev.call.id] = ev.result.outcome
	}
	return out
}

// bulkBody answers 200 with a body.
func bulkBody(c *receivedCall, body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	c.keepReading <- true
}

// What one step sends to one endpoint is one call: so the module counts slots, pace and budget.
func TestBulkIsOneCall(t *testing.T) {
	bodies := map[string]string{"a": "body of a", "b": "\x00\xff", "c": ""}
	n, e := bulkStep(t, bodies)
	n.sendPendingCalls(t.Context())
	in := receive(t, e.calls, "call")
	if in.req.URL.Path != "/inbox/bulk" || in.req.Header.Get("X-Expires-In-Ms") != "20000" {
		t.Fatalf("call to %s with %v", in.req.URL.Path, in.req.Header)
	}
	var items []bulkItem
	if err := json.Unmarshal([]byte(in.body), &items); err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, x := range items {
		got[x.ID] = string(x.Body)
	}
	if !maps.Equal(got, bodies) {
		t.Errorf("sent %q", got)
	}
	bulkBody(in, `[{"id":"a","state":"done"},{"id":"b","state":"busy"},{"id":"c","state":"failed"}]`)
	want := map[string]logic.Outcome{"a": logic.Completed, "b": logic.Full, "c": logic.Errored}
	if got := ends(t, n, 3); !maps.Equal(got, want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
	e.expectNoCall(t)
	if len(e.conns) != 1 {
		t.Errorf("%d connections", len(e.conns))
	}
}

// A call is known by its first message: one that is out of time before the others would take their answers with it.
func TestBulkLastDeadlineFirst(t *testing.T) {
	n, e := bulkStep(t, map[string]string{"a": "x", "b": "y", "c": "z"})
	for id, deadline := range map[string]int64{"a": 2, "b": 1, "c": 3} {
		n.active[id].msg.Deadline = deadline
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
	bulkBody(in, `[{"id":"c","state":"failed"},{"id":"a","state":"done"},{"id":"b","state":"busy"}]`)
	want := map[string]logic.Outcome{"a": logic.Completed, "b": logic.Full, "c": logic.Errored}
	if got := ends(t, n, 3); !maps.Equal(got, want) {
		t.Errorf("outcomes %v, want %v", got, want)
	}
}

// An answer for all holds for each; of one that can't be read, any message may have run.
func TestBulkAnswers(t *testing.T) {
	for name, x := range map[string]struct {
		answer string
		a, b   logic.Outcome
	}{
		"full":       {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", logic.Full, logic.Full},
		"no slot":    {"HTTP/1.1 503 x\r\nX-Line-Busy: 1\r\nContent-Length: 0\r\n\r\n", logic.Moot, logic.Moot},
		"error":      {"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", logic.Errored, logic.Errored},
		"spoilt":     {"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nnot JSON!", logic.Spoilt, logic.Spoilt},
		"cut short":  {"HTTP/1.1 200 x\r\nContent-Length: 99\r\n\r\n[]", logic.Severed, logic.Severed},
		"one absent": {"HTTP/1.1 200 x\r\nContent-Length: 27\r\n\r\n[{\"id\":\"a\",\"state\":\"done\"}]", logic.Completed, logic.Spoilt},
	} {
		t.Run(name, func(t *testing.T) {
			n, e := bulkStep(t, map[string]string{"a": "x", "b": "y"})
			n.sendPendingCalls(t.Context())
			in := receive(t, e.calls, "call")
			io.WriteString(in.conn, x.answer)
			if name == "cut short" {
				in.conn.Close()
			}
			in.keepReading <- false
			if got := ends(t, n, 2); got["a"] != x.a || got["b"] != x.b {
				t.Errorf("outcomes %v", got)
			}
		})
	}
}

// One message that is called off ends at once where it may be sent again beside the call, else with the call; the
// others have their answer.
func TestBulkCancelOne(t *testing.T) {
	for _, copies := range []bool{true, false} {
		n, e := bulkStep(t, map[string]string{"a": "x", "b": "y", "c": "z"})
		n.caller.copies = copies
		n.sendPendingCalls(t.Context())
		in := receive(t, e.calls, "call")
		n.active["a"].cancel()
		if copies {
			if got := ends(t, n, 1); got["a"] != logic.Recalled {
				t.Fatalf("outcomes %v", got)
			}
		}
		bulkBody(in, `[{"id":"a","state":"failed"},{"id":"b","state":"done"},{"id":"c","state":"busy"}]`)
		want := map[string]logic.Outcome{"b": logic.Completed, "c": logic.Full}
		if !copies {
			want["a"] = logic.Errored
		}
		if got := ends(t, n, len(want)); !maps.Equal(got, want) {
			t.Errorf("copies %v: outcomes %v, want %v", copies, got, want)
		}
	}
}

// Once all are called off, the endpoint is told by the end of the connection.
func TestBulkCancelAll(t *testing.T) {
	n, e := bulkStep(t, map[string]string{"a": "x", "b": "y"})
	n.sendPendingCalls(t.Context())
	in := receive(t, e.calls, "call")
	n.active["a"].cancel()
	n.active["b"].cancel()
	if got := ends(t, n, 2); got["a"] != logic.Recalled || got["b"] != logic.Recalled {
		t.Errorf("outcomes %v", got)
	}
	in.awaitEnd(t)
	in.conn.Close()
	in.keepReading <- false
}

// A body holds 64 KiB: messages that would not fit go in a call of their own.
func TestBulkBody(t *testing.T) {
	n, e := bulkStep(t, map[string]string{"a": strings.Repeat("x", 40<<10), "b": strings.Repeat("y", 40<<10), "c": "z"})
	n.sendPendingCalls(t.Context())
	for range 2 {
		in := receive(t, e.calls, "call")
		if len(in.body) > 64<<10 {
			t.Errorf("a body of %d bytes", len(in.body))
		}
		in.reply(503)
	}
	ends(t, n, 3)
	e.expectNoCall(t)
}
