package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// operators serves a sender's calls from operators and returns the address.
func operators(t *testing.T, n *Node) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { n.admin.serve(ctx, ln); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return ln.Addr().String()
}

// ask makes a call and returns the whole answer.
func ask(t *testing.T, addr, call string) string {
	t.Helper()
	c := dialClient(t, addr)
	if _, err := io.WriteString(c.conn, call); err != nil {
		t.Fatal(err)
	}
	return c.readToEnd()
}

// figure reads one of the figures; it must be there once.
func figure(t *testing.T, text, name string) (n int) {
	t.Helper()
	if strings.Count(text, "\n"+name+"=") != 1 {
		t.Fatalf("%s is not there once:\n%s", name, text)
	}
	_, rest, _ := strings.Cut(text, "\n"+name+"=")
	fmt.Sscan(rest, &n)
	return n
}

func TestAdminCalls(t *testing.T) {
	n, _, _, _ := startNodeWithEndpoints(t, 1)
	addr := operators(t, n.Node)
	for call, want := range map[string]string{
		"ready\r\n":                        "+OK\n",
		"ready\n":                          "+OK\n",
		"ready\nshow-stat\n":               "+OK\n", // one call a connection
		"\r\n":                             "-ERR ",
		"READY\n":                          "-ERR ",
		"ready now\n":                      "-ERR ",
		"drain \n":                         "-ERR ",
		strings.Repeat("x", 60<<10) + "\n": "-ERR ",
	} {
		if got := ask(t, addr, call); !strings.HasPrefix(got, want) || strings.Count(got, "\n") != 1 {
			t.Errorf("%.20q: %q", call, got)
		}
	}
	c := dialClient(t, addr)
	for _, b := range []byte("ready\r\n") { // in pieces
		if _, err := c.conn.Write([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	if got := c.readToEnd(); got != "+OK\n" {
		t.Errorf("in pieces: %q", got)
	}
	c = dialClient(t, addr)
	io.WriteString(c.conn, "rea")
	c.conn.(*net.TCPConn).CloseWrite()
	if got := c.readToEnd(); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("half a call: %q", got)
	}
	if got := n.clients.currentPhase(); got != serving {
		t.Errorf("a call that is none left the sender %v", got)
	}
}

// Callers without a whole call block nobody, however many they are, and a deadline ends them. The loop is not asked:
// here nothing runs it.
func TestAdminBesideHalfCalls(t *testing.T) {
	n := newNode(t, configText(newPlatform(t), List{}))
	defer n.journal.Close()
	n.clients.setPhase(serving)
	addr := operators(t, n)
	var half []*testClient
	for range 2 * adminPlaces {
		c := dialClient(t, addr)
		io.WriteString(c.conn, "show-")
		half = append(half, c)
	}
	for range adminPlaces / 2 {
		if got := ask(t, addr, "ready\n"); got != "+OK\n" {
			t.Fatalf("got %q", got)
		}
	}
	for _, c := range half {
		if got := c.readLine(); got != "" && !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("half a call: %q", got)
		}
	}
}

// Each message counts once, where it ends, and every figure is there from the start.
func TestFigures(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 2)
	addr := operators(t, n.Node)
	names := func(text string) (out []string) {
		for _, line := range strings.Split(text, "\n") {
			name, _, _ := strings.Cut(line, "=")
			out = append(out, name)
		}
		return out
	}
	start := ask(t, addr, "show-stat\n")
	want := []string{"+OK"}
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		for _, end := range []string{"fulfilled", "throttled", "faulted"} {
			want = append(want, "edge_balancer.operations."+class+"."+end)
		}
	}
	want = append(want, "edge_balancer.relayed", "edge_balancer.open_requests", "edge_balancer.registry_entries",
		"edge_balancer.out_of_rotation", "edge_balancer.violations")
	for _, v := range allViolations {
		want = append(want, "edge_balancer.violation."+string(v))
	}
	for _, reason := range refusals {
		want = append(want, "edge_balancer.refused."+string(reason))
	}
	for _, reason := range closings {
		want = append(want, "edge_balancer.closed."+string(reason))
	}
	for _, outcome := range []string{"ok", "error", "full", "timeout", "no-connection", "reset", "recalled", "not-sent", "unreadable", "held-here"} {
		want = append(want, "edge_balancer.attempts."+outcome)
	}
	want = append(want, ".", "")
	if got := names(start); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("names %q, want %q", got, want)
	}
	calls := make(chan *receivedCall, 8)
	for _, x := range e {
		go func() {
			for in := range x.calls {
				calls <- in
			}
		}()
	}
	c.put("a", "safe", "+OK")
	receive(t, calls, "call").reply(503) // refused, then delivered: two calls, one end
	c2 := receive(t, calls, "second call")
	open := figure(t, ask(t, addr, "show-stat\n"), "edge_balancer.open_requests")
	if open != 1 {
		t.Errorf("%d open, want 1", open)
	}
	c2.reply(200)
	c.putWithLifetime("late", "safe", 1, "-BUSY 2000") // refused at the door
	c.put("b", "unsafe", "+OK")
	receive(t, calls, "call").reply(500)
	receive(t, p.notices, "notice") // failed
	if got := c.do("MSG.PUT", "0", "x", "c=keyed,k=1,d=9000,dest=7", "x"); got+"\r\n" != replyUnknownDestination {
		if got != "-BUSY 1000" { // discovery has not told yet
			t.Errorf("got %q", got)
		}
	}
	var text string
	for stop := time.Now().Add(testTimeout); ; { // until the last outcome is in
		text = ask(t, addr, "show-stat\n")
		if figure(t, text, "edge_balancer.operations.safe.fulfilled") == 1 || time.Now().After(stop) {
			break
		}
	}
	for name, want := range map[string]int{"operations.safe.fulfilled": 1, "operations.safe.throttled": 1,
		"operations.safe.faulted": 0, "operations.unsafe.fulfilled": 0, "operations.unsafe.faulted": 1, "relayed": 3,
		"open_requests": 0, "registry_entries": 2} {
		if got := figure(t, text, "edge_balancer."+name); got != want {
			t.Errorf("%s=%d, want %d", name, got, want)
		}
	}
	keyed := figure(t, text, "edge_balancer.operations.keyed.throttled") + figure(t, text, "edge_balancer.operations.keyed.faulted")
	if keyed != 1 {
		t.Errorf("%d ends of the class keyed, want 1", keyed)
	}
	stopAndCheckEmpty(t, n)
}

// A drain says no at once and serves those that still come; kept connections end between requests, never in one,
// and what is owed is delivered. The end of the drain says yes at once.
func TestDrainAndResume(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	addr := operators(t, n.Node)
	half := dialClient(t, n.addr)
	io.WriteString(half.conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nhalf\r\n")
	c.put("a", "unsafe", "+OK")
	in := receive(t, e[0].calls, "call")
	for range 2 { // it may be said again
		if got := ask(t, addr, "drain\n"); got != "+OK\n" {
			t.Fatalf("drain: %q", got)
		}
	}
	late := dialClient(t, n.addr)
	if got := late.do("PING"); !strings.HasPrefix(got, "-ERR") {
		t.Errorf("PING while draining: %q", got)
	}
	if got := ask(t, addr, "ready\n"); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("ready while draining: %q", got)
	}
	late.put("b", "safe", "+OK")
	inB := receive(t, e[0].calls, "call")
	if got := c.readToEnd() + late.readToEnd(); got != "" {
		t.Errorf("kept connections end with %q", got)
	}
	io.WriteString(half.conn, "$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n")
	if got := half.readToEnd(); got != "+OK\r\n" {
		t.Errorf("the request that was on its way got %q", got)
	}
	in.reply(200)
	inB.reply(200)
	receive(t, e[0].calls, "call").reply(200)
	later := dialClient(t, n.addr)
	later.put("d", "safe", "+OK") // still served, should one come
	receive(t, e[0].calls, "call").reply(200)
	later.readToEnd()
	for range 2 {
		if got := ask(t, addr, "resume\n"); got != "+OK\n" {
			t.Fatalf("resume: %q", got)
		}
	}
	back := dialClient(t, n.addr)
	if got := back.do("PING"); got != "+PONG" {
		t.Errorf("PING after the drain: %q", got)
	}
	back.put("c", "safe", "+OK")
	receive(t, e[0].calls, "call").reply(200)
	back.put("e", "safe", "+OK") // the connection is kept again
	receive(t, e[0].calls, "call").reply(200)
	stopAndCheckEmpty(t, n)
	if got := ask(t, addr, "resume\n"); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("resume of a sender that stops: %q", got)
	}
}
