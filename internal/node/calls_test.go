package node

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rundeal/logic"
)

func newTestCall(t *testing.T, addr, body string, timeout time.Duration) *call {
	t.Helper()
	m := &Message{ID: "m1", IdempotencyKey: "k1", Body: []byte(body)}
	req, err := newDeliveryRequest(m, addr, timeout)
	if err != nil {
		t.Fatal(err)
	}
	return &call{id: m.ID, endpoint: 1, addr: addr, timeout: timeout, request: req, state: new(atomic.Int32)}
}

func newTestEndpointClient() *endpointClient {
	return newEndpointClient(time.Second, 10*time.Second, 4, socketBudget{calls: 16, idle: 16}, new(atomic.Int64))
}

// doAsync makes a call in the background.
func doAsync(ctx context.Context, c *endpointClient, cl *call) <-chan callResult {
	ch := make(chan callResult, 1)
	go func() { ch <- c.do(ctx, cl) }()
	return ch
}

// If a response were mapped to the wrong outcome, a message that may have been processed would be sent again, or one
// that never was would be given up.
func TestOutcomeOfResponse(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	c.reuseDelay = 0
	for _, x := range []struct {
		status  int
		headers []string
		want    callResult
	}{
		{200, nil, callResult{outcome: logic.Delivered}},
		{500, nil, callResult{outcome: logic.Errored}},
		{400, nil, callResult{outcome: logic.Errored}},
		{429, []string{"X-Come-Back-Ms: 250"}, callResult{outcome: logic.Refused, retryAfter: 250 * time.Millisecond}},
		{429, []string{"X-Come-Back-Ms: -1"}, callResult{outcome: logic.Refused}},
		{429, []string{"X-Come-Back-Ms: soon"}, callResult{outcome: logic.Refused}},
		{503, nil, callResult{outcome: logic.Refused}},
		{503, []string{"X-Line-Busy: 1"}, callResult{outcome: logic.Skipped}},
		{504, nil, callResult{outcome: logic.Skipped}},
		{410, nil, callResult{outcome: logic.Skipped, messageEnded: true}},
	} {
		got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
		in := receive(t, e.calls, "call")
		if in.body != "hello" || in.id() != "m1" || in.req.Header.Get("Idempotency-Key") != "k1" ||
			in.req.Header.Get("X-Expires-In-Ms") != "20000" || in.req.URL.Path != "/inbox" {
			t.Fatalf("unexpected request: %+v %q", in.req, in.body)
		}
		in.reply(x.status, x.headers...)
		r := receive(t, got, "result")
		r.idleTime = 0 // only for the log
		if r != x.want {
			t.Errorf("%d %v: got %+v, want %+v", x.status, x.headers, r, x.want)
		}
	}
	if n := len(e.conns); n != 1 {
		t.Errorf("%d connections for sequential calls, want 1", n)
	}
}

// A connection that breaks before the last byte of the request is written proves that the endpoint never processed the
// call.
func TestBreakBeforeLastByte(t *testing.T) {
	small := func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096)
		})
	}
	lc := net.ListenConfig{Control: small}
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c := newTestEndpointClient()
	c.dialer.Control = small
	// Far more than both socket buffers hold, so that the last byte cannot have been written.
	got := doAsync(t.Context(), c, newTestCall(t, ln.Addr().String(), strings.Repeat("x", 8<<20), testTimeout))
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	if r := receive(t, got, "result"); r.outcome != logic.ConnRefused {
		t.Errorf("got %+v, want the outcome of a refused connection", r)
	}
}

// Once the last byte of the request is written the call may have been processed, however the connection ends.
func TestBreakAfterLastByte(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	receive(t, e.calls, "call").reset()
	if r := receive(t, got, "result"); r.outcome != logic.ConnLost {
		t.Errorf("reset: got %+v, want the outcome of a broken connection", r)
	}
	got = doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	in := receive(t, e.calls, "call")
	io.WriteString(in.conn, "HTTP/1.1 2")
	in.conn.Close()
	in.keepReading <- false
	if r := receive(t, got, "result"); r.outcome != logic.ConnLost {
		t.Errorf("partial response: got %+v, want the outcome of a broken connection", r)
	}
}

func TestConnectionRefused(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	e.ln.Close()
	if r := c.do(t.Context(), newTestCall(t, e.addr(), "hello", testTimeout)); r.outcome != logic.ConnRefused {
		t.Errorf("got %+v, want the outcome of a refused connection", r)
	}
}

// Reusing a connection that the endpoint has closed, or will soon close as idle, ends the next call with a reset, after
// which a non-idempotent message has failed.
func TestUnusableConnectionIsNotReused(t *testing.T) {
	e, c := newEndpoint(t), newEndpointClient(
		time.Second, time.Hour, 4, socketBudget{calls: 16, idle: 16}, new(atomic.Int64),
	)
	c.reuseDelay = 0
	call := func(end func(*receivedCall)) {
		t.Helper()
		got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
		end(receive(t, e.calls, "call"))
		if r := receive(t, got, "result"); r.outcome != logic.Delivered {
			t.Fatalf("got %+v, want a delivery", r)
		}
	}
	call(func(in *receivedCall) { in.replyAndClose(200) })
	for limit := time.Now().Add(testTimeout); ; { // until the client has noticed the close
		c.mu.Lock()
		unusable := len(c.idle[1]) == 0 || !c.reusable(c.idle[1][0])
		c.mu.Unlock()
		if unusable {
			break
		}
		if time.Now().After(limit) {
			t.Fatal("the closed connection is still considered reusable")
		}
	}
	call(func(in *receivedCall) { in.reply(200) })
	if n := len(e.conns); n != 2 {
		t.Fatalf("%d connections, want a second after the first was closed", n)
	}
	c.mu.Lock()
	c.idle[1][0].idleSince = time.Now().Add(200*time.Millisecond - time.Hour)
	c.mu.Unlock()
	call(func(in *receivedCall) { in.reply(200) })
	if n := len(e.conns); n != 3 {
		t.Fatalf("%d connections, want a third after the second reached its idle timeout", n)
	}
	c.mu.Lock()
	c.idle[1][0].idleSince = time.Now().Add(-2 * time.Hour)
	c.mu.Unlock()
	c.closeUnusable()
	if c.idleCount != 0 || len(c.idle) != 0 {
		t.Errorf("an expired connection is kept after closeUnusable")
	}
}

// If a call is cancelled while it gets its connection, nothing may be written: the message may already have ended.
func TestCancelledBeforeWrite(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	c.reuseDelay = 0
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 30 {
		got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "first", testTimeout)) // leaves an idle connection
		receive(t, e.calls, "call").reply(200)
		receive(t, got, "result")
		if r := c.do(ctx, newTestCall(t, e.addr(), "over", testTimeout)); r.outcome != logic.ConnRefused {
			t.Fatalf("got %+v, want the outcome of a refused connection", r)
		}
	}
	e.expectNoCall(t)
}

// The endpoint must have seen the end of an aborted call before the outcome is reported. Otherwise the next attempt
// would be a second copy.
func TestAbort(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	c.abortGrace = 2 * testTimeout // so only the endpoint can end the call earlier
	ctx, cancel := context.WithCancel(t.Context())
	got := doAsync(ctx, c, newTestCall(t, e.addr(), "hello", testTimeout))
	in := receive(t, e.calls, "call")
	cancel()
	in.awaitEnd(t)
	in.reset()
	if r := receive(t, got, "result"); r.outcome != logic.Cancelled {
		t.Errorf("cancelled: got %+v, want the outcome of a cancelled call", r)
	}
	got = doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", 30*time.Millisecond))
	in = receive(t, e.calls, "call")
	in.awaitEnd(t)
	in.reset()
	if r := receive(t, got, "result"); r.outcome != logic.TimedOut {
		t.Errorf("timed out: got %+v, want the outcome of a timeout", r)
	}
	ctx, cancel = context.WithCancel(t.Context())
	got = doAsync(ctx, c, newTestCall(t, e.addr(), "hello", testTimeout))
	in = receive(t, e.calls, "call")
	cancel()
	in.awaitEnd(t)
	in.reply(200)
	if r := receive(t, got, "result"); r.outcome != logic.Delivered {
		t.Errorf("response during the grace period: got %+v, want a delivery", r)
	}
	c.abortGrace = time.Millisecond // an endpoint that does not react
	got = doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", 30*time.Millisecond))
	in = receive(t, e.calls, "call")
	if r := receive(t, got, "result"); r.outcome != logic.TimedOut {
		t.Errorf("silent: got %+v, want the outcome of a timeout", r)
	}
	in.awaitEnd(t)
	if c.idleCount != 0 {
		t.Errorf("%d connections kept after aborted calls", c.idleCount)
	}
}

// A call that is cancelled while connecting was never processed.
func TestCancelWhileConnecting(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	ctx, cancel := context.WithCancel(t.Context())
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error { cancel(); return nil }
	if r := c.do(ctx, newTestCall(t, e.addr(), "hello", testTimeout)); r.outcome != logic.ConnRefused {
		t.Errorf("got %+v, want the outcome of a refused connection", r)
	}
	e.expectNoCall(t)
}

// If the destination requests a wait, or the endpoint starts to drain, while a call is still connecting, the request
// must not be written.
func TestAbortedWhileConnecting(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	in := newTestCall(t, e.addr(), "hello", testTimeout)
	c.dialer.Control = func(_, _ string, _ syscall.RawConn) error {
		in.state.CompareAndSwap(callConnecting, callAborted)
		return nil
	}
	if r := c.do(t.Context(), in); r.outcome != logic.Skipped {
		t.Errorf("got %+v, want the outcome of a call that was never sent", r)
	}
	e.expectNoCall(t)
}

// Connecting takes time. A retry must not be written after the destination has forgotten the idempotency key.
func TestWriteBy(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	in := newTestCall(t, e.addr(), "hello", testTimeout)
	in.writeBy = time.Now().Add(-time.Millisecond)
	if r := c.do(t.Context(), in); r.outcome != logic.Skipped {
		t.Errorf("got %+v, want the outcome of a call that was never sent", r)
	}
	e.expectNoCall(t)
}

// An interim (1xx) response is not the outcome.
func TestInterimResponse(t *testing.T) {
	e, c := newEndpoint(t), newTestEndpointClient()
	got := doAsync(t.Context(), c, newTestCall(t, e.addr(), "hello", testTimeout))
	in := receive(t, e.calls, "call")
	io.WriteString(in.conn, "HTTP/1.1 102 Processing\r\n\r\n")
	in.reply(200)
	if r := receive(t, got, "result"); r.outcome != logic.Delivered {
		t.Errorf("got %+v, want a delivery", r)
	}
}
