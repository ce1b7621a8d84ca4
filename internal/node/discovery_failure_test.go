package node

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// changeDeadline is the time within which a sender must act on a change, counted from the moment at which discovery had
// it and was reachable.
const changeDeadline = 6 * time.Second

// addressChangeDeadline is the time within which a sender must act on the list at a new discovery address, counted from
// the signal to reload.
const addressChangeDeadline = 4 * time.Second

// fakeDiscovery is an in-memory discovery server. A fault affects the watch that is held and each call that arrives
// while it lasts. Affected calls do not recover when the fault ends.
type fakeDiscovery struct {
	mu       sync.Mutex
	fault    string
	list     EndpointList
	changed  chan struct{} // closed when the list or the fault changes
	closed   chan struct{} // closed at the end of the scenario
	requests chan string   // the query of each call that arrives
	faulted  chan struct{} // one value for each call that a fault affects
	lastSent time.Time     // when a list was last sent
}

func newFakeDiscovery(list EndpointList, fault string) *fakeDiscovery {
	return &fakeDiscovery{
		fault:    fault,
		list:     list,
		changed:  make(chan struct{}),
		closed:   make(chan struct{}),
		requests: make(chan string, 4096),
		faulted:  make(chan struct{}, 4096),
	}
}

// set changes fault and list atomically.
func (s *fakeDiscovery) set(fault string, list EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.list = fault, list
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeDiscovery) state() (fault string, list EndpointList, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.list, s.changed
}

// dial simulates connecting over the network.
func (s *fakeDiscovery) dial(ctx context.Context) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	switch fault, _, _ := s.state(); fault {
	case "refuses":
		s.faulted <- struct{}{}
		return nil, syscall.ECONNREFUSED
	case "unreachable":
		s.faulted <- struct{}{}
		sleepContext(ctx, discoveryDialTimeout)
		return nil, errors.Join(os.ErrDeadlineExceeded, ctx.Err())
	case "slow and stalls": // each step is slow, and the last one never completes
		s.faulted <- struct{}{}
		sleepContext(ctx, discoveryDialTimeout-100*time.Millisecond)
		go func() {
			defer serverConn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(serverConn)); err == nil {
				s.applyFault(serverConn, fault)
			}
		}()
		return clientConn, nil
	}
	go s.serve(serverConn)
	return clientConn, nil
}

func (s *fakeDiscovery) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil || !s.respond(conn, req) {
			return
		}
	}
}

// respond serves one request and reports whether the connection stays open.
func (s *fakeDiscovery) respond(conn net.Conn, req *http.Request) bool {
	s.requests <- req.URL.RawQuery
	from, _ := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	expiry := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer expiry.Stop()
	for {
		fault, list, changed := s.state()
		if fault != "" {
			s.faulted <- struct{}{}
			return s.applyFault(conn, fault)
		}
		if list.Generation > from {
			s.mu.Lock()
			s.lastSent = time.Now()
			s.mu.Unlock()
			return s.writeList(conn, list)
		}
		select {
		case <-changed:
		case <-expiry.C:
			return s.writeList(conn, EndpointList{Generation: from})
		case <-s.closed:
			return false
		}
	}
}

func (s *fakeDiscovery) applyFault(conn net.Conn, fault string) bool {
	switch fault {
	case "refuses", "resets":
		return false
	case "slow and stalls":
		sleepContext(context.Background(), 300*time.Millisecond)
		fallthrough
	case "stalls": // in the middle of a list
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,")
	case "late error status":
		sleepContext(context.Background(), 2*time.Second)
		fallthrough
	case "error status":
		_, err := io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	<-s.closed // no response at all
	return false
}

func (s *fakeDiscovery) writeList(conn net.Conn, list EndpointList) bool {
	b, err := json.Marshal(list)
	if err == nil {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	return err == nil
}

// idleListener is a listener without connections.
type idleListener struct {
	closed chan struct{}
	once   sync.Once
}

func (l *idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *idleListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *idleListener) Addr() net.Addr { return &net.TCPAddr{} }

// discoveryFailure is a scenario in which discovery fails in a given way and phase.
type discoveryFailure struct {
	pushed      bool
	phase       string // "first call", "watch" or "SIGHUP"
	fault       string
	failedCalls int // calls that fail before discovery is reachable again, not counting a watch that is held
	seed        int
}

// run returns how long after discovery was reachable again the change was sent to the sender. It must run in a synctest
// bubble. Every random delay is the longest possible, except those of package logic.
func (p discoveryFailure) run(t *testing.T) (delay time.Duration) {
	const oldAddr, freshAddr = "127.0.0.2:1", "127.0.0.3:1"
	instance := func(id, addr, state string) Instance {
		return Instance{ID: id, HostPort: addr, Zone: "a", MachineType: "std", Dest: 1, Lifecycle: state, Weight: 100}
	}
	oldList := EndpointList{Generation: 1, Reset: true, Instances: []Instance{
		instance("old", oldAddr, "up"),
		instance("fresh", freshAddr, "up"),
	}}
	newList := EndpointList{Generation: 2, Reset: true, Instances: []Instance{
		instance("old", oldAddr, "draining"),
		instance("fresh", freshAddr, "up"),
	}}
	text := func(discovery string) string {
		deploy := strings.Replace(testSettings, `"balancers":1`, `"balancers":300`, 1)
		if p.pushed {
			deploy = strings.Replace(deploy, "on_request", "pushed", 1)
		}
		b, err := json.Marshal(map[string]any{
			"name":      "n0",
			"listen":    "127.0.0.1:0",
			"discovery": discovery,
			"seed":      strconv.Itoa(p.seed),
			"limits":    Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3},
			"known":     oldList,
			"settings":  json.RawMessage(deploy),
		})
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	servers := map[string]*fakeDiscovery{
		"127.0.0.4:1": newFakeDiscovery(oldList, ""),
		"127.0.0.5:1": newFakeDiscovery(oldList, p.fault),
	}
	initial, failing := servers["127.0.0.4:1"], servers["127.0.0.4:1"]
	switch p.phase {
	case "first call":
		initial.fault = p.fault
	case "SIGHUP":
		failing = servers["127.0.0.5:1"]
	}

	dir := t.TempDir()
	// A folder in place of the handover socket: a real Unix socket would not run on the bubble's clock.
	if err := os.MkdirAll(filepath.Join(dir, handoverSocket, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	ln, signals := &idleListener{closed: make(chan struct{})}, make(chan os.Signal)
	var mu sync.Mutex
	sent, toOld, start := map[string][]time.Time{}, make(chan struct{}, 4096), time.Now()
	n := startNodeWithConfig(t, text("127.0.0.4:1"), dir, func(n *Node) {
		n.listener = ln
		n.ReloadOn(signals, func() (*Config, error) { return ParseConfig([]byte(text("127.0.0.5:1"))) })
		n.discovery.client.Transport.(*http.Transport).DialContext = func(
			ctx context.Context, _, addr string,
		) (net.Conn, error) {
			return servers[addr].dial(ctx)
		}
		n.discovery.randN = func(n int64) int64 {
			if n == int64(maxWatchHold/4) { // the reduction of the hold time
				return 0
			}
			return n - 1
		}
		n.notices.client.Transport.(*http.Transport).DialContext = func(
			context.Context, string, string,
		) (net.Conn, error) {
			return nil, syscall.ECONNREFUSED
		}
		// Each attempt is recorded and fails here, as if there were no free descriptor, and is retried elsewhere.
		n.endpointClient.dialer.Control = func(_, addr string, _ syscall.RawConn) error {
			mu.Lock()
			defer mu.Unlock()
			if sent[addr] = append(sent[addr], time.Now()); addr == oldAddr {
				toOld <- struct{}{}
			}
			return syscall.EMFILE
		}
	})
	stopClient := make(chan struct{})
	t.Cleanup(func() { // everything must end here, also after a failure: the bubble's clock stops afterwards
		close(stopClient)
		n.stop()
		if err := receive(t, n.done, "end of the sender"); err != nil {
			t.Error(err)
		}
		for _, s := range servers {
			close(s.closed)
		}
	})
	go func() { // a client, whose messages reach the event loop as a session would pass them on
		for i := 0; ; i++ {
			time.Sleep(200 * time.Millisecond)
			id, reply := fmt.Sprintf("%06d", i), make(chan string, 1)
			m := &Message{ID: id, IdempotencyKey: id, Class: "keyed", Tenant: "acme", Dest: 1, Body: []byte("x"),
				Deadline: time.Now().Add(3 * time.Second).UnixMicro()}
			select {
			case n.events <- putEvent{m, reply}:
			case <-stopClient:
				return
			}
			select {
			case <-reply:
			case <-stopClient:
				return
			}
		}
	}()

	if p.phase != "first call" {
		receive(t, toOld, "attempt at the old endpoint")
		for len(initial.requests) > 0 {
			<-initial.requests
		}
		for range 2 { // the second one begins after the response to the first
			if q := <-initial.requests; !strings.HasPrefix(q, "from=1&") {
				t.Fatalf("call for %q, want a watch", q)
			}
		}
	}
	switch p.phase {
	case "watch":
		failing.set(p.fault, oldList)
		receive(t, failing.faulted, "held watch")
	case "SIGHUP":
		signals <- syscall.SIGHUP
	}
	for range p.failedCalls {
		receive(t, failing.faulted, "failing call")
	}
	failing.set("", newList)
	recovered := time.Now()
	time.Sleep(changeDeadline + 4*time.Second)

	mu.Lock()
	defer mu.Unlock()
	failing.mu.Lock()
	defer failing.mu.Unlock()
	if failing.lastSent.Before(recovered) {
		t.Fatalf("%+v: the change was not sent within %v", p, time.Since(recovered))
	}
	if recovered.Sub(start) > time.Second && (len(sent[oldAddr]) == 0 || sent[oldAddr][0].After(recovered)) {
		t.Errorf("%+v: nothing was sent to the old endpoint before the change", p)
	}
	lateAttempts, freshUsed, within := 0, false, changeDeadline
	if p.phase == "SIGHUP" && p.failedCalls == 1 { // the new address was reachable right after the signal
		within = addressChangeDeadline
	}
	for _, at := range sent[oldAddr] {
		if at.Sub(recovered) > within {
			lateAttempts++
		}
	}
	for _, at := range sent[freshAddr] {
		freshUsed = freshUsed || at.Sub(recovered) > within
	}
	if lateAttempts > 0 || !freshUsed {
		t.Errorf("%+v: %d late attempts at a draining endpoint (list sent after %v); attempts elsewhere: %v",
			p, lateAttempts, failing.lastSent.Sub(recovered), freshUsed)
	}
	return failing.lastSent.Sub(recovered)
}

// However calls to discovery fail, and however many in a row: the sender acts on a change at most 6 s after discovery
// had it and was reachable, even with the longest pauses and with a call that began just before that moment.
func TestChangeTakesEffectAfterAnyFailure(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, phase := range []string{"first call", "watch", "SIGHUP"} {
			for _, fault := range []string{
				"refuses", "resets", "silent", "stalls", "error status", "late error status", "unreachable", "slow and stalls",
			} {
				t.Run(fmt.Sprintf("pushed %v, %s, %s", pushed, phase, fault), func(t *testing.T) {
					t.Parallel()
					var longest time.Duration
					counts := map[string][]int{
						"first call": {1, 2, 6},
						"watch":      {0, 1, 2, 6},
						"SIGHUP":     {1, addressChangeRetries + 1, 3 * (addressChangeRetries + 1)},
					}
					for _, calls := range counts[phase] {
						for seed := range map[bool]int{false: 2, true: 1}[pushed] { // only package logic uses the seed
							synctest.Test(t, func(t *testing.T) {
								longest = max(longest, discoveryFailure{pushed, phase, fault, calls, seed}.run(t))
							})
						}
					}
					t.Logf("sent at most %v after discovery was reachable", longest)
				})
			}
		}
	}
}

// startWatchers starts the discovery clients of many senders and waits until each has a watch at the server.
func startWatchers(t *testing.T, s *fakeDiscovery, senders int) {
	t.Helper()
	for range senders {
		d := newDiscoveryClient("127.0.0.4:1", senders, slog.New(slog.DiscardHandler), make(chan any, 64))
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return s.dial(ctx)
		}
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(func() { stop(); d.close() })
		d.startWatch(ctx)
	}
	t.Cleanup(func() { close(s.closed) })
	synctest.Wait()
	for range 2 * senders { // for each, the first list and the watch
		receive(t, s.requests, "call")
	}
}

// countPerInterval counts the values from ch over a number of intervals, and returns the highest count in one interval
// and the total.
func countPerInterval[T any](ch <-chan T, interval time.Duration, intervals int) (peak, total int) {
	for range intervals {
		time.Sleep(interval)
		synctest.Wait()
		n := len(ch)
		for range n {
			<-ch
		}
		peak, total = max(peak, n), total+n
	}
	return peak, total
}

// A change ends the watches of all senders at once, so that the next ones begin together. They must not all expire
// together.
func TestWatchExpiryIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeDiscovery(EndpointList{Generation: 1, Reset: true}, "")
		startWatchers(t, s, 300)
		s.set("", EndpointList{Generation: 2, Reset: true})
		for range 300 {
			receive(t, s.requests, "watch after the change")
		}
		if peak, total := countPerInterval(s.requests, 100*time.Millisecond, 41); peak > 100 || total != 300 {
			t.Errorf("%d watches, %d of them within 0.1 s", total, peak)
		}
	})
}

// Discovery fails and all watches break. Go's HTTP client retries once at once after a reused connection broke. The
// retries after that must be spread over some seconds.
func TestRetriesOfManySendersAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeDiscovery(EndpointList{Generation: 1, Reset: true}, "")
		startWatchers(t, s, 300)
		s.set("refuses", EndpointList{Generation: 1, Reset: true})
		for range 600 {
			receive(t, s.faulted, "broken watch")
		}
		if peak, total := countPerInterval(s.faulted, time.Second, 6); peak > 150 || total != 300 {
			t.Errorf("%d calls, %d of them within a second", total, peak)
		}
	})
}

// Over real TCP connections: a watch gets no response, and the next call reports a draining endpoint.
func TestSilentWatchOverTCP(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			old, fresh := newEndpoint(t), newEndpoint(t)
			known := EndpointList{Generation: 1, Reset: true, Instances: instances(old, fresh)}
			draining := instances(old, fresh)
			draining[0].Lifecycle = "draining"
			var calls atomic.Int32
			silent, applied := make(chan time.Time, 1), make(chan struct{}, 64)
			p := &testPlatform{srv: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch calls.Add(1) {
				case 1:
					silent <- time.Now()
				case 2:
					json.NewEncoder(w).Encode(EndpointList{Generation: 2, Instances: draining[:1]})
					return
				default:
					applied <- struct{}{}
				}
				<-r.Context().Done()
			}))}
			t.Cleanup(func() { p.srv.CloseClientConnections(); p.srv.Close() })
			n := startNodeWithConfig(t, strings.Replace(string(configText(p, known)), "on_request", mode, 1), t.TempDir())
			at := receive(t, silent, "watch")
			receive(t, applied, "watch after the new list")
			if took := time.Since(at); took > changeDeadline+2*time.Second { // plus the grace period of a drain
				t.Errorf("the change took effect after %v", took)
			}
			c := dialClient(t, n.addr)
			for i := range 4 {
				c.put(fmt.Sprint("m-", i), "safe", "+OK")
				receive(t, fresh.calls, "call").reply(200)
			}
			old.expectNoCall(t)
			stopAndCheckEmpty(t, n)
		})
	}
}
