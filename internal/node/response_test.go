package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rundeal/logic"
)

func newReader(s string) *bufio.Reader { return bufio.NewReader(strings.NewReader(s)) }

// malformedResponses are responses that cannot be parsed and leave the connection open.
var malformedResponses = map[string]string{
	"binary data":        "\x00\x17\x03 noise\r\n\r\n",
	"no version":         "HELLO 200 OK\r\n\r\n",
	"no status":          "HTTP/1.1 \r\n\r\n",
	"long status":        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
	"very long line":     strings.Repeat("x", 8192),
	"binary header":      "HTTP/1.1 503 x\r\n\x01\x02 noise\r\n\r\n",
	"unfinished header":  "HTTP/1.1 429 x\r\nX-Come-Back-Ms: 5\r\n",
	"short body":         "HTTP/1.1 503 x\r\nContent-Length: 10\r\n\r\nabc",
	"negative length":    "HTTP/1.1 429 x\r\nContent-Length: -5\r\n\r\n",
	"signed length":      "HTTP/1.1 503 x\r\nContent-Length: +0\r\n\r\n",
	"two lengths":        "HTTP/1.1 503 x\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\nabc",
	"length and chunked": "HTTP/1.1 504 x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"other encoding":     "HTTP/1.1 503 x\r\nTransfer-Encoding: gzip\r\n\r\nabc",
	"bad chunk":          "HTTP/1.1 410 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"3 GB":               "HTTP/1.1 503 x\r\nContent-Length: 3000000000\r\n\r\nabc",
	"endless body":       "HTTP/1.1 503 x\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 2*maxResponseSize),
	"endless interim":    strings.Repeat("HTTP/1.1 102 x\r\n\r\n", maxResponseSize/10),
	"interim, then text": "HTTP/1.1 100 Continue\r\n\r\nnoise\r\n\r\n",
}

// A message whose response is malformed may have been processed: this is neither a refusal nor an outage. The
// connection is closed.
func TestMalformedResponses(t *testing.T) {
	for name, text := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := newEndpoint(t), newTestEndpointClient()
			got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
			in := receive(t, e.calls, "call")
			io.WriteString(in.conn, text)
			if r := receive(t, got, "result"); r.outcome != logic.Unreadable || r.messageEnded {
				t.Errorf("got %+v, want the outcome of a malformed response", r)
			}
			in.awaitEnd(t)
			in.keepReading <- false
			if c.connCount != 0 {
				t.Errorf("%d connections still counted", c.connCount)
			}
		})
	}
}

// A status line of 200 is a delivery, whatever follows. The connection is not reused.
func TestMalformedAfterStatusOK(t *testing.T) {
	for name, rest := range map[string]string{
		"binary header":     "\x01\x02\r\n\r\n",
		"unfinished header": "A: b\r\n",
		"short body":        "Content-Length: 5\r\n\r\nab",
		"3 GB":              "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 1<<16),
		"negative length":   "Content-Length: -1\r\n\r\n",
		"two lengths":       "Content-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"second response":   "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, c := newEndpoint(t), newTestEndpointClient()
			got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
			in := receive(t, e.calls, "call")
			go io.WriteString(in.conn, "HTTP/1.1 200 OK\r\n"+rest)
			if r := receive(t, got, "result"); r.outcome != logic.Delivered {
				t.Errorf("got %+v, want a delivery", r)
			}
			in.awaitEnd(t)
			in.keepReading <- false
		})
	}
}

// An incomplete status line is not an outcome, even if it shows 200: a message counted as delivered because of it would
// be neither retried nor reported. A long but complete line counts.
func TestTruncatedStatusLine(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 200 OK\r",
		"HTTP/1.1 200 O",
		"HTTP/1.1 200 ",
		"HTTP/1.1 200",
		"HTTP/1.1 503 x\r",
		"HTTP/1.1 200 " + strings.Repeat("x", 8192),
		"HTTP/1.1 200 " + strings.Repeat("x", 8192) + "\n",
	} {
		for name, end := range map[string]func(*receivedCall){
			"silent": func(*receivedCall) {},
			"closed": func(in *receivedCall) { in.conn.CloseWrite() },
		} {
			want := map[string]logic.Outcome{"silent": logic.Unreadable, "closed": logic.ConnLost}[name]
			if strings.HasSuffix(line, "\n") {
				want = logic.Delivered
			}
			t.Run(fmt.Sprintf("%s, %d bytes %.16q", name, len(line), line), func(t *testing.T) {
				t.Parallel()
				e, c := newEndpoint(t), newTestEndpointClient()
				got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
				in := receive(t, e.calls, "call")
				io.WriteString(in.conn, line)
				end(in)
				if r := receive(t, got, "result"); r.outcome != want {
					t.Errorf("got %v, want %v", r.outcome, want)
				}
				in.awaitEnd(t)
				in.keepReading <- false
			})
		}
	}
}

// After a malformed response, messages of classes that permit retries are sent again, at once and possibly to another
// endpoint, and those of the unsafe class have failed. A status line of 200 ends the message in every class.
func TestMalformedResponseByClass(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			n, c, p, e := startNodeWithEndpoints(t, 1)
			c.put("a", class, "+OK")
			in := receive(t, e[0].calls, "call")
			key := in.req.Header.Get("Idempotency-Key")
			io.WriteString(in.conn, "noise\r\n\r\n")
			in.awaitEnd(t)
			in.keepReading <- false
			if class == "unsafe" {
				if x := receive(t, p.notices, "notice"); x != (Notice{ID: "a", State: "failed"}) {
					t.Errorf("notice %+v", x)
				}
			} else {
				in = receive(t, e[0].calls, "call again")
				if in.id() != "a" || in.req.Header.Get("Idempotency-Key") != key {
					t.Errorf("retried with header %v", in.req.Header)
				}
				in.reply(200)
			}
			c.put("b", class, "+OK")
			in = receive(t, e[0].calls, "call")
			io.WriteString(in.conn, "HTTP/1.1 200 OK\r\n\x01\r\n\r\n")
			in.awaitEnd(t)
			in.keepReading <- false
			stopAndCheckEmpty(t, n)
			if len(p.notices) != 0 {
				t.Errorf("notice %+v", <-p.notices)
			}
		})
	}
}

// An unsolicited second response must never be taken for the response to the next call. A connection whose response has
// just arrived is not reused yet, and one with unsolicited data is closed.
func TestUnsolicitedResponse(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	c.reuseDelay = time.Hour
	got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	first := receive(t, e.calls, "call")
	first.reply(200)
	receive(t, got, "result")
	got = doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	second := receive(t, e.calls, "call")
	if second.conn == first.conn {
		t.Fatal("the connection was reused before the reuse delay was over")
	}
	io.WriteString(first.conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	second.reply(500)
	if r := receive(t, got, "result"); r.outcome != logic.Errored {
		t.Errorf("got %+v, want the outcome of an error response", r)
	}
	for stop := time.Now().Add(testTimeout); ; { // until the unsolicited response has arrived
		c.mu.Lock()
		reusable := c.reusable(c.idle[1][0])
		c.mu.Unlock()
		if !reusable {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the connection is still considered reusable")
		}
	}
	c.reuseDelay = 0
	got = doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	third := receive(t, e.calls, "call")
	if third.conn == first.conn {
		t.Error("a connection with unsolicited data was reused")
	}
	third.reply(429)
	if r := receive(t, got, "result"); r.outcome != logic.Refused {
		t.Errorf("got %+v, want the outcome of a refusal", r)
	}
}

// After an interim response the call keeps its own deadline, and can still be cancelled.
func TestDeadlineAfterInterimResponse(t *testing.T) {
	for _, x := range []struct {
		name string
		time time.Duration
		end  func(cancel func(), in *receivedCall)
		want logic.Outcome
	}{
		{"late", testTimeout, func(_ func(), in *receivedCall) {
			time.Sleep(headTimeout + headTimeout/4) // longer than the timeout for the rest of a header
			in.reply(200)
		}, logic.Delivered},
		{"cancelled", testTimeout, func(cancel func(), in *receivedCall) {
			cancel()
			in.awaitEnd(t)
			in.reset()
		}, logic.Cancelled},
		{"silent", 100 * time.Millisecond, func(_ func(), in *receivedCall) {
			in.awaitEnd(t)
			in.reset()
		}, logic.TimedOut},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			e, c := newEndpoint(t), newTestEndpointClient()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			got := doAsync(ctx, c, newTestCall(t, e.addr(), "hello", x.time))
			in := receive(t, e.calls, "call")
			io.WriteString(in.conn, "HTTP/1.1 102 Processing\r\nA: b\r\n\r\n")
			x.end(cancel, in)
			if r := receive(t, got, "result"); r.outcome != x.want {
				t.Errorf("got %+v, want %v", r, x.want)
			}
		})
	}
}

// A call that gets no file descriptor was never sent and says nothing about the endpoint. Idle connections are closed
// to make room.
func TestNoFreeDescriptor(t *testing.T) {
	e, c := newEndpoint(t), newEndpointClient(
		time.Second, time.Hour, 4, socketBudget{calls: 1, idle: 1}, new(atomic.Int64),
	)
	got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	in := receive(t, e.calls, "call")
	if r := c.do(t.Context(), newTestCall(t, e.addr(), "hello", testTimeout)); r.outcome != logic.LocalFailure ||
		!r.localFailure {
		t.Errorf("got %+v, want a local failure", r)
	}
	in.reply(200)
	receive(t, got, "result")
	other := newEndpoint(t)
	call := newTestCall(t, other.addr(), "hello", testTimeout)
	call.endpoint = 2
	got = doAsync(t.Context(), c, call)
	receive(t, other.calls, "call after an idle connection was closed").reply(200)
	receive(t, got, "result")
	c.closeIdleTo(2)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { return syscall.EMFILE }
	if r := c.do(t.Context(), newTestCall(t, e.addr(), "hello", testTimeout)); r.outcome != logic.LocalFailure ||
		!r.localFailure {
		t.Errorf("got %+v, want a local failure", r)
	}
	if c.connCount != 0 || c.idleCount != 0 {
		t.Errorf("%d connections, %d idle ones still counted", c.connCount, c.idleCount)
	}
}

// Endpoints are added and removed all the time. Those removed long ago are deleted, and no endpoint number is used
// twice.
func TestDirectoryChurn(t *testing.T) {
	cfg, err := ParseConfig(configText(newPlatform(t), EndpointList{}))
	if err != nil {
		t.Fatal(err)
	}
	d := NewDirectory(cfg)
	seen := map[logic.EndpointID]bool{}
	now := time.Now()
	keptInUse := false
	for i := range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", 1+i%3) // the address of a removed endpoint
		list := EndpointList{Instances: []Instance{{ID: fmt.Sprint("s-", i), HostPort: addr, Dest: 1, Lifecycle: "up"}}}
		if i > 0 {
			list.Instances = append(list.Instances, Instance{ID: fmt.Sprint("s-", i-1), Dest: 1, Lifecycle: "removed"})
		}
		entries := d.Apply(list, time.Now())
		if seen[entries[0].Endpoint] {
			t.Fatalf("number %d is used twice", entries[0].Endpoint)
		}
		seen[entries[0].Endpoint] = true
		if d.listedCount() != 1 {
			t.Fatalf("%d endpoints are listed, want 1", d.listedCount())
		}
		d.purgeRemoved(now, nil)
		if i%10 == 9 {
			now = now.Add(2 * removedRetention)
			for id := range d.removedAt {
				keptInUse = true
				d.purgeRemoved(now, map[logic.EndpointID]bool{id: true})
				if _, ok := d.endpoints[id]; !ok {
					t.Fatal("an endpoint with a call in flight is deleted")
				}
				break
			}
			d.purgeRemoved(now, nil)
		}
		if !d.hasDest(1) || d.hasDest(2) {
			t.Fatal("the wrong destinations are known")
		}
	}
	if !keptInUse {
		t.Error("no removed endpoint had a call in flight")
	}
	d.Apply(EndpointList{Reset: true}, time.Now())
	d.purgeRemoved(time.Now().Add(2*removedRetention), nil)
	if len(d.endpoints)+len(d.ids)+len(d.destCounts)+len(d.removedAt) != 0 {
		t.Errorf("left: %d endpoints, %d ids, %d destinations, %d removal times",
			len(d.endpoints), len(d.ids), len(d.destCounts), len(d.removedAt))
	}
}

// Endpoints are added, removed and added again, by incremental and by full lists. The directory knows which ones are
// listed at any time, also after a handover, and deletes none of those.
func TestDirectoryListedCount(t *testing.T) {
	n := newStoppedNode(t, t.TempDir())
	rnd := rand.New(rand.NewPCG(3, 1))
	present := map[string]bool{}
	for i := range 500 {
		list := EndpointList{Reset: rnd.IntN(10) == 0}
		if list.Reset {
			clear(present)
		}
		for range rnd.IntN(5) {
			inst := Instance{ID: fmt.Sprint("s-", rnd.IntN(8)), HostPort: "127.0.0.1:1", Dest: 1,
				Lifecycle: []string{"up", "draining", "removed"}[rnd.IntN(3)]}
			if delete(present, inst.ID); inst.Lifecycle != "removed" {
				present[inst.ID] = true
			}
			list.Instances = append(list.Instances, inst)
		}
		n.directory.Apply(list, time.Now())
		state, err := n.collectHandoverState()
		if err != nil {
			t.Fatal(err)
		}
		successor := NewDirectory(n.cfg)
		successor.restore(state, n.clock)
		for who, d := range map[string]*Directory{"this process": n.directory, "the successor": successor} {
			if d.listedCount() != len(present) {
				t.Fatalf("list %d: %s has %d endpoints, want %d", i, who, d.listedCount(), len(present))
			}
			if who == "the successor" || rnd.IntN(20) == 0 {
				d.purgeRemoved(time.Now().Add(2*removedRetention), nil)
				if len(d.endpoints) != len(present) || len(d.removedAt) != 0 {
					t.Fatalf("list %d: %s keeps %d endpoints, want %d", i, who, len(d.endpoints), len(present))
				}
			}
		}
	}
}

func FuzzReadResponse(f *testing.F) {
	for _, text := range malformedResponses {
		if len(text) < 1000 {
			f.Add(text)
		}
	}
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		conn, peer := net.Pipe()
		defer conn.Close()
		defer peer.Close()
		r, reusable := readResponse(newReader(text), &callDeadline{conn: conn, deadline: time.Now().Add(testTimeout)})
		if r.outcome == logic.Delivered && !(strings.Contains(text, "HTTP/1.") && strings.Contains(text, " 200")) {
			t.Errorf("%q counts as a delivery", text)
		}
		if reusable && r.outcome == logic.Unreadable {
			t.Errorf("%q: the connection is kept", text)
		}
	})
}

// Connections to an endpoint that is removed from the list are closed. A new endpoint at the same address gets new
// connections.
func TestRemovedEndpoint(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	c.put("a", "safe", "+OK")
	first := receive(t, e[0].calls, "call")
	first.reply(200)
	for stop := time.Now().Add(testTimeout); ; { // until the connection is idle
		n.endpointClient.mu.Lock()
		idle := n.endpointClient.idleCount
		n.endpointClient.mu.Unlock()
		if idle == 1 {
			break
		}
		if time.Now().After(stop) {
			t.Fatal("the connection is not kept")
		}
	}
	again := instances(e[0])
	again[0].ID = "new at the old address"
	p.update(func() { p.list = EndpointList{Generation: 2, Reset: true, Instances: again} })
	awaitListGeneration(t, p, 2)
	c.put("b", "safe", "+OK")
	second := receive(t, e[0].calls, "call")
	if second.conn == first.conn {
		t.Error("the new endpoint is called over a connection of the old one")
	}
	second.reply(200)
	n.endpointClient.mu.Lock()
	if len(n.endpointClient.idle[1]) != 0 {
		t.Errorf("%d connections to the old endpoint are kept", len(n.endpointClient.idle[1]))
	}
	n.endpointClient.mu.Unlock()
	stopAndCheckEmpty(t, n)
}

// After a reused connection broke, a non-retryable call, which a reset would fail for good, uses a new connection.
func TestNonRetryableAvoidsFailingConnections(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	c.reuseDelay = 0
	call := func(nonRetryable bool, end func(*receivedCall)) (*receivedCall, callResult) {
		t.Helper()
		in := newTestCall(t, e.addr(), "hello", testTimeout)
		in.nonRetryable = nonRetryable
		got := doAsync(t.Context(), c, in)
		out := receive(t, e.calls, "call")
		end(out)
		return out, receive(t, got, "result")
	}
	ok := func(in *receivedCall) { in.reply(200) }
	first, _ := call(true, ok)
	if second, _ := call(true, ok); second.conn != first.conn {
		t.Error("no connection is reused although none broke")
	}
	if _, r := call(false, (*receivedCall).reset); r.outcome != logic.ConnLost {
		t.Errorf("got %+v, want the outcome of a broken connection", r)
	}
	third, _ := call(false, ok)
	if fourth, _ := call(true, ok); fourth.conn == third.conn {
		t.Error("a non-retryable call reused a connection after one broke")
	}
}

// Package logic limits its rate by the load that endpoints report, so it must receive the report with any outcome.
func TestLoadReportReachesLogic(t *testing.T) {
	for _, status := range []int{200, 503, 500} {
		n, e := newBulkNode(t, map[string]string{"a": "x"})
		n.cfg.Deployment.LoadMetricNames = []string{"x0", "x1"}
		n.sendPendingCalls(t.Context())
		receive(t, e.calls, "call").reply(status, "Endpoint-Load-Metrics: x0=0.4,x1=25")
		n.handleAttemptResult(receive(t, n.events, "outcome").(attemptResultEvent))
		if got := n.pendingEvents[0].(logic.AttemptResult).Load; !slices.Equal(got, []float64{0.4, 25}) {
			t.Errorf("%d: load %v", status, got)
		}
	}
}

func TestParseLoadReport(t *testing.T) {
	names := []string{"x0", "x1"}
	for report, want := range map[string][]float64{
		"x1=25,x0=0.4": {0.4, 25}, "x1=25": {0, 25}, " x0=1, x1=2,more=3": {1, 2},
		"": nil, "x0": nil, "x0=much,x1=2": nil, "x1=NaN": nil, "x1=+Inf": nil, "x1=-3": nil,
	} {
		if got := parseLoadReport(report, names); !slices.Equal(got, want) {
			t.Errorf("%q: %v, want %v", report, got, want)
		}
	}
	if got := parseLoadReport("x1=25", nil); got != nil {
		t.Errorf("values that the settings do not name: %v", got)
	}
}
