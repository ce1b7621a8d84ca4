package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// testTimeout limits every wait for an event. It is reached only when a test fails.
const testTimeout = 20 * time.Second

// receive returns the next value of ch. It fails the test if ch is closed or testTimeout passes.
func receive[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v, ok := <-ch:
		if !ok {
			t.Fatalf("no more %s", what)
		}
		return v
	case <-time.After(testTimeout):
		t.Fatalf("no %s", what)
	}
	panic("unreachable")
}

// receivedCall is a complete request received by a test endpoint.
type receivedCall struct {
	req         *http.Request
	body        string
	at          time.Time
	conn        *net.TCPConn
	reader      *bufio.Reader
	keepReading chan bool // tells the endpoint whether to keep reading
}

func (c *receivedCall) id() string { return c.req.Header.Get("X-Trace-Id") }

// reply sends a response and keeps the connection open.
func (c *receivedCall) reply(status int, headers ...string) {
	var response strings.Builder
	fmt.Fprintf(&response, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n", status)
	for _, h := range headers {
		response.WriteString(h + "\r\n")
	}
	io.WriteString(c.conn, response.String()+"\r\n")
	c.keepReading <- true
}

// replyAndClose sends a response and closes the connection without announcing it in a header.
func (c *receivedCall) replyAndClose(status int) {
	fmt.Fprintf(c.conn, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
	c.conn.Close()
	c.keepReading <- false
}

// reset resets the connection.
func (c *receivedCall) reset() {
	c.conn.SetLinger(0)
	c.conn.Close()
	c.keepReading <- false
}

// awaitEnd waits until the sender has closed its side of the connection.
func (c *receivedCall) awaitEnd(t *testing.T) {
	t.Helper()
	c.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := c.reader.Read(make([]byte, 1)); n != 0 || isTimeout(err) {
		t.Fatalf("connection still open: %d bytes, %v", n, err)
	}
}

// testEndpoint is an endpoint that leaves the response to each call to the test.
type testEndpoint struct {
	ln    net.Listener
	calls chan *receivedCall
	conns chan net.Conn // accepted connections
}

func newEndpoint(t *testing.T) *testEndpoint {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	e := &testEndpoint{ln: ln, calls: make(chan *receivedCall, 64), conns: make(chan net.Conn, 64)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.conns <- conn
			go e.serve(conn.(*net.TCPConn))
		}
	}()
	return e
}

func (e *testEndpoint) serve(conn *net.TCPConn) {
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			conn.Close()
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			conn.Close()
			return
		}
		c := &receivedCall{
			req:         req,
			body:        string(body),
			at:          time.Now(),
			conn:        conn,
			reader:      r,
			keepReading: make(chan bool, 1),
		}
		e.calls <- c
		if !<-c.keepReading {
			return
		}
	}
}

func (e *testEndpoint) addr() string { return e.ln.Addr().String() }

// expectNoCall checks that no further call has arrived.
func (e *testEndpoint) expectNoCall(t *testing.T) {
	t.Helper()
	select {
	case c := <-e.calls:
		t.Fatalf("unexpected call with %s", c.id())
	default:
	}
}

// testPlatform stands in for discovery and for the service that receives notices.
type testPlatform struct {
	srv             *httptest.Server
	notices         chan Notice
	listRequests    chan string // query of each request for the list
	rejectedNotices chan int    // number of notices in each rejected request
	mu              sync.Mutex
	list            EndpointList
	changed         chan struct{} // closed when the list changes
	down            bool          // discovery responds 503 to all requests
	holdLists       bool          // requests for the list get no response
	rejectNotices   bool          // requests with notices are rejected
}

func newPlatform(t *testing.T) *testPlatform {
	t.Helper()
	p := &testPlatform{
		notices:         make(chan Notice, 64),
		listRequests:    make(chan string, 1024),
		rejectedNotices: make(chan int, 1024),
		changed:         make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/discovery/hosts", p.hosts)
	mux.HandleFunc("/v1/outcomes", p.outcomes)
	p.srv = httptest.NewServer(mux)
	t.Cleanup(func() { p.srv.CloseClientConnections(); p.srv.Close() })
	return p
}

// update changes the platform and wakes the requests that wait for a list.
func (p *testPlatform) update(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *testPlatform) hosts(w http.ResponseWriter, r *http.Request) {
	p.listRequests <- r.URL.RawQuery
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	for {
		p.mu.Lock()
		list, changed, down, holdLists := p.list, p.changed, p.down, p.holdLists
		p.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !holdLists && list.Generation > from {
			json.NewEncoder(w).Encode(list)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (p *testPlatform) outcomes(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	rejectNotices := p.rejectNotices
	p.mu.Unlock()
	var lines []Notice
	for dec := json.NewDecoder(r.Body); dec.More(); {
		var notice Notice
		if err := dec.Decode(&notice); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		lines = append(lines, notice)
	}
	if rejectNotices {
		p.rejectedNotices <- len(lines)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
	for _, notice := range lines {
		p.notices <- notice
	}
}

// instances returns list entries for endpoints of destination 1.
func instances(eps ...*testEndpoint) []Instance {
	var out []Instance
	for i, e := range eps {
		out = append(out, Instance{
			ID:          fmt.Sprintf("s-%d", i),
			HostPort:    e.addr(),
			Zone:        "a",
			MachineType: "std",
			Dest:        1,
			Lifecycle:   "up",
			Weight:      100,
		})
	}
	return out
}

// newSingleEndpoint returns a platform that lists one endpoint, that endpoint, a state folder for a sender, and the
// list for the sender's configuration.
func newSingleEndpoint(t *testing.T) (p *testPlatform, e *testEndpoint, dir string, known EndpointList) {
	t.Helper()
	p, e = newPlatform(t), newEndpoint(t)
	known = EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
	p.list = known
	return p, e, t.TempDir(), known
}

// testSettings are the settings of the tests, with one class of each idempotency.
const testSettings = `{"balancers":1,"me":0,"zone":0,"zones":["a","b"],"tick_s":0.005,"membership_mode":"on_request",
"weights":"nominal","over_share_worth":0.2,"machine_types":["std"],
"classes":[
{"name":"safe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"retryable","group":"all","window_s":5},
{"name":"keyed","aim_s":2,"deadline_s":24,"worth":1,"late_worth":0.4,"idempotency":"dedup","group":"all","window_s":25},
{"name":"unsafe","aim_s":2,"deadline_s":16,"worth":1,"late_worth":0.4,"idempotency":"fragile","group":"all","window_s":5}],
"tenants":[{"name":"acme","quota_rps":100}],
"limits":{"conn_idle_s":10,"connect_timeout_s":1.5,"max_attempts":3,"max_open":8,"max_retry_after_s":2,"multiplex":1,
"may_cancel":true,"probing":true,"retry_after":true,"second_copies":false},
"load_info":{"how":"off","names":[]},
"rules":{"cold_from":0.2,"drain_grace_s":2,"fall_multiple":2,"fall_s":3,"warm_after_s":14},
"specifics":{"batch_by_kind":[1],"call_slots":6,"late":"halves","separate_routes":[false]}}`

// configText returns the text of a configuration file.
func configText(p *testPlatform, known EndpointList) []byte {
	b, err := json.Marshal(map[string]any{
		"name":      "n0",
		"listen":    "127.0.0.1:0",
		"discovery": strings.TrimPrefix(p.srv.URL, "http://"),
		"seed":      "1f",
		"limits":    Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3},
		"known":     known,
		"settings":  json.RawMessage(testSettings),
	})
	if err != nil {
		panic(err)
	}
	return b
}

// newNode creates a sender with the given configuration and its own state folder, without running it.
func newNode(t *testing.T, text []byte) *Node {
	t.Helper()
	cfg, err := ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// testNode is a sender under test that runs in the test process.
type testNode struct {
	*Node
	addr string
	stop context.CancelFunc
	done chan error
}

// startNode starts a sender and waits until it serves clients.
func startNode(t *testing.T, p *testPlatform, dir string, known EndpointList, options ...func(*Node)) *testNode {
	t.Helper()
	return startNodeWithConfig(t, string(configText(p, known)), dir, options...)
}

// startNodeWithConfig is startNode with the text of a configuration file.
func startNodeWithConfig(t *testing.T, text, dir string, options ...func(*Node)) *testNode {
	t.Helper()
	cfg, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range options {
		f(n)
	}
	return runNode(t, n)
}

// runNode runs a sender and waits until it serves clients.
func runNode(t *testing.T, n *Node) *testNode {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	node := &testNode{Node: n, stop: stop, done: make(chan error, 1)}
	go func() { node.done <- n.Run(ctx) }()
	node.addr = receive(t, n.ready, "ready sender").String()
	t.Cleanup(stop)
	return node
}

// testClient is a client's connection.
type testClient struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dialClient(t *testing.T, addr string) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(2 * testTimeout))
	return &testClient{t, conn, bufio.NewReader(conn)}
}

// send sends a request without waiting for the reply.
func (c *testClient) send(args ...string) {
	c.t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		c.t.Fatal(err)
	}
}

// readLine reads one line of a reply. It returns "" once the sender has closed the connection.
func (c *testClient) readLine() string {
	c.t.Helper()
	s, err := c.r.ReadString('\n')
	if isTimeout(err) {
		c.t.Fatal("no reply")
	}
	return strings.TrimRight(s, "\r\n")
}

// do sends a request and returns the reply.
func (c *testClient) do(args ...string) string {
	c.t.Helper()
	c.send(args...)
	return c.readLine()
}

// put sends a message with a lifetime of 10 s and checks the reply.
func (c *testClient) put(id, class, want string) {
	c.t.Helper()
	c.putWithLifetime(id, class, 10000, want)
}

// putWithLifetime sends a message with a lifetime in milliseconds and checks the reply.
func (c *testClient) putWithLifetime(id, class string, ms int, want string) {
	c.t.Helper()
	opts := fmt.Sprintf("c=%s,t=acme,d=%d,k=key-%s,dest=1", class, ms, id)
	if got := c.do("MSG.PUT", "0000", id, opts, "body of "+id); got != want {
		c.t.Fatalf("put %s: got %q, want %q", id, got, want)
	}
}

// startNodeWithEndpoints starts a sender with a number of endpoints of destination 1, a connected client and a
// platform.
func startNodeWithEndpoints(
	t *testing.T, endpoints int, options ...func(*Node),
) (*testNode, *testClient, *testPlatform, []*testEndpoint) {
	t.Helper()
	p := newPlatform(t)
	var eps []*testEndpoint
	for range endpoints {
		eps = append(eps, newEndpoint(t))
	}
	known := EndpointList{Generation: 1, Reset: true, Instances: instances(eps...)}
	p.list = known
	n := startNode(t, p, t.TempDir(), known, options...)
	return n, dialClient(t, n.addr), p, eps
}

// testLog returns a log that the test prints if it fails.
func testLog(t *testing.T) *slog.Logger {
	return slog.New(slog.NewTextHandler(t.Output(), nil))
}
