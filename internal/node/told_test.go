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

// toldAfter is when a change counts as told, counted from the moment from which discovery had it and could be reached.
const changeDeadline = 6 * time.Second

// movedAfter is when what a new address has counts as told, counted from the signal.
const addressChangeDeadline = 4 * time.Second

// station is discovery in memory. A fault strikes the call that is held, and each that comes while it lasts; what it
// has struck stays as it is when the fault is over.
type fakeDiscovery struct {
	mu       sync.Mutex
	fault    string
	list     EndpointList
	changed  chan struct{} // closed when the list or the fault changes
	closed   chan struct{} // closed at the end of the play
	requests chan string   // each call that begins: its query
	faulted  chan struct{} // each call that a fault strikes
	lastSent time.Time     // when the list was last written
}

func newFakeDiscovery(list EndpointList, fault string) *fakeDiscovery {
	return &fakeDiscovery{fault: fault, list: list, changed: make(chan struct{}), closed: make(chan struct{}),
		requests: make(chan string, 4096), faulted: make(chan struct{}, 4096)}
}

// now changes the station in one step.
func (s *fakeDiscovery) set(fault string, list EndpointList) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.list = fault, list
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeDiscovery) state() (fault string, list EndpointList, turn <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.list, s.changed
}

// dial makes a connection, as the network would.
func (s *fakeDiscovery) dial(ctx context.Context) (net.Conn, error) {
	here, there := net.Pipe()
	switch fault, _, _ := s.state(); fault {
	case "refuses":
		s.faulted <- struct{}{}
		return nil, syscall.ECONNREFUSED
	case "vanishes":
		s.faulted <- struct{}{}
		pause(ctx, discoveryDialTimeout)
		return nil, errors.Join(os.ErrDeadlineExceeded, ctx.Err())
	case "creeps": // each step takes its time, and the last one does not come
		s.faulted <- struct{}{}
		pause(ctx, discoveryDialTimeout-100*time.Millisecond)
		go func() {
			defer there.Close()
			if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				s.applyFault(there, fault)
			}
		}()
		return here, nil
	}
	go s.serve(there)
	return here, nil
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

// answer says whether the connection goes on.
func (s *fakeDiscovery) respond(conn net.Conn, req *http.Request) bool {
	s.requests <- req.URL.RawQuery
	from, _ := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	for {
		fault, list, turn := s.state()
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
		case <-turn:
		case <-end.C:
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
	case "creeps":
		pause(context.Background(), 300*time.Millisecond)
		fallthrough
	case "stops": // in the middle of a list
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,")
	case "turns away late":
		pause(context.Background(), 2*time.Second)
		fallthrough
	case "turns away":
		_, err := io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	<-s.closed // it says nothing, for good
	return false
}

func (s *fakeDiscovery) writeList(conn net.Conn, list EndpointList) bool {
	b, err := json.Marshal(list)
	if err == nil {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	return err == nil
}

// noClients is a listener that nobody calls.
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

// play is a sender whose discovery fails in some way at some moment.
type discoveryFailure struct {
	pushed      bool
	phase       string // "first call", "watch" or "SIGHUP"
	fault       string
	failedCalls int // that the fault strikes before discovery can be reached, besides a watch that is held
	seed        int
}

// run returns how long after discovery could be reached again the change was written to the sender. Time is the
// bubble's. Every draw is the longest, but for the module's own.
func (p discoveryFailure) run(t *testing.T) (told time.Duration) {
	const oldAddr, freshAddr = "127.0.0.2:1", "127.0.0.3:1"
	row := func(id, addr, state string) Instance {
		return Instance{ID: id, HostPort: addr, Zone: "a", MachineType: "std", Dest: 1, Lifecycle: state, Weight: 100}
	}
	before := EndpointList{Generation: 1, Reset: true, Instances: []Instance{row("old", oldAddr, "up"), row("fresh", freshAddr, "up")}}
	after := EndpointList{Generation: 2, Reset: true, Instances: []Instance{row("old", oldAddr, "draining"), row("fresh", freshAddr, "up")}}
	text := func(discovery string) string {
		deploy := strings.Replace(settings, `"balancers":1`, `"balancers":300`, 1)
		if p.pushed {
			deploy = strings.Replace(deploy, "on_request", "pushed", 1)
		}
		b, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": strconv.Itoa(p.seed),
			"limits": Limits{Cores: 1, MemoryMB: 192, Sockets: 256, DiskMB: 3}, "known": before, "settings": json.RawMessage(deploy)})
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	stations := map[string]*fakeDiscovery{"127.0.0.4:1": newFakeDiscovery(before, ""), "127.0.0.5:1": newFakeDiscovery(before, p.fault)}
	first, hit := stations["127.0.0.4:1"], stations["127.0.0.4:1"]
	switch p.phase {
	case "first call":
		first.fault = p.fault
	case "SIGHUP":
		hit = stations["127.0.0.5:1"]
	}

	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, socketName, "x"), 0o700); err != nil { // no Unix socket: its clock is not ours
		t.Fatal(err)
	}
	ln, signals := &idleListener{closed: make(chan struct{})}, make(chan os.Signal)
	var mu sync.Mutex
	sent, toOld, start := map[string][]time.Time{}, make(chan struct{}, 4096), time.Now()
	n := startWith(t, text("127.0.0.4:1"), dir, func(n *Node) {
		n.ln = ln
		n.ReloadOn(signals, func() (*Config, error) { return ParseConfig([]byte(text("127.0.0.5:1"))) })
		n.disc.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return stations[addr].dial(ctx)
		}
		n.disc.randN = func(most int64) int64 {
			if most == int64(maxWatchHold/4) { // what is taken off the hold
				return 0
			}
			return most - 1
		}
		n.notices.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, syscall.ECONNREFUSED
		}
		// Each attempt ends here, for want of a descriptor, and is made again elsewhere: where it went is on record.
		n.caller.dialer.Control = func(_, addr string, _ syscall.RawConn) error {
			mu.Lock()
			defer mu.Unlock()
			if sent[addr] = append(sent[addr], time.Now()); addr == oldAddr {
				toOld <- struct{}{}
			}
			return syscall.EMFILE
		}
	})
	gone := make(chan struct{})
	t.Cleanup(func() { // all of it, also after a failure: the bubble's time stands still after this
		close(gone)
		n.stop()
		if err := await(t, n.done, "end of the sender"); err != nil {
			t.Error(err)
		}
		for _, s := range stations {
			close(s.closed)
		}
	})
	go func() { // a client; its messages come to the loop as a session hands them on
		for i := 0; ; i++ {
			time.Sleep(200 * time.Millisecond)
			id, answer := fmt.Sprintf("%06d", i), make(chan string, 1)
			m := Message{ID: id, Key: id, Class: "keyed", Tenant: "acme", Dest: 1, Body: []byte("x"),
				Deadline: time.Now().Add(3 * time.Second).UnixMicro()}
			select {
			case n.events <- putEvent{m, answer}:
			case <-gone:
				return
			}
			select {
			case <-answer:
			case <-gone:
				return
			}
		}
	}()

	if p.phase != "first call" {
		await(t, toOld, "attempt at the old endpoint")
		for len(first.requests) > 0 {
			<-first.requests
		}
		for range 2 { // the one before is answered, so this is not the first
			if q := <-first.requests; !strings.HasPrefix(q, "from=1&") {
				t.Fatalf("call for %q, want a watch", q)
			}
		}
	}
	switch p.phase {
	case "watch":
		hit.set(p.fault, before)
		await(t, hit.faulted, "held watch")
	case "SIGHUP":
		signals <- syscall.SIGHUP
	}
	for range p.failedCalls {
		await(t, hit.faulted, "call that fails")
	}
	hit.set("", after)
	back := time.Now()
	time.Sleep(changeDeadline + 4*time.Second)

	mu.Lock()
	defer mu.Unlock()
	hit.mu.Lock()
	defer hit.mu.Unlock()
	if hit.lastSent.Before(back) {
		t.Fatalf("%+v: not told within %v", p, time.Since(back))
	}
	if back.Sub(start) > time.Second && (len(sent[oldAddr]) == 0 || sent[oldAddr][0].After(back)) {
		t.Errorf("%+v: nothing was sent to the old endpoint before", p)
	}
	late, served, within := 0, false, changeDeadline
	if p.phase == "SIGHUP" && p.failedCalls == 1 { // it was back a moment after the signal
		within = addressChangeDeadline
	}
	for _, at := range sent[oldAddr] {
		if at.Sub(back) > within {
			late++
		}
	}
	for _, at := range sent[freshAddr] {
		served = served || at.Sub(back) > within
	}
	if late > 0 || !served {
		t.Errorf("%+v: %d attempts at an endpoint that drains, after the change counted as told (the list came at %v); attempts elsewhere: %v",
			p, late, hit.lastSent.Sub(back), served)
	}
	return hit.lastSent.Sub(back)
}

// Whatever becomes of calls to discovery, and of however many in a row: what it had to tell from the moment from which
// it could be reached is heeded 6 s later, with the longest of all pauses and the call before it begun just then.
func TestChangeTakesEffectAfterAnyFailure(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, at := range []string{"first call", "watch", "SIGHUP"} {
			for _, fault := range []string{"refuses", "resets", "silent", "stops", "turns away", "turns away late", "vanishes", "creeps"} {
				t.Run(fmt.Sprintf("pushed %v, %s, %s", pushed, at, fault), func(t *testing.T) {
					t.Parallel()
					var longest time.Duration
					counts := map[string][]int{"first call": {1, 2, 6}, "watch": {0, 1, 2, 6}, "SIGHUP": {1, addressChangeRetries + 1, 3 * (addressChangeRetries + 1)}}
					for _, calls := range counts[at] {
						for seed := range map[bool]int{false: 2, true: 1}[pushed] { // only the module draws by it
							synctest.Test(t, func(t *testing.T) {
								longest = max(longest, discoveryFailure{pushed, at, fault, calls, seed}.run(t))
							})
						}
					}
					t.Logf("told %v after discovery could be reached, at most", longest)
				})
			}
		}
	}
}

// fleet is many senders that ask one discovery, each with a watch held there.
func startWatchers(t *testing.T, s *fakeDiscovery, senders int) {
	t.Helper()
	for range senders {
		d := newDiscoveryClient("127.0.0.4:1", senders, slog.New(slog.DiscardHandler), make(chan any, 64))
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return s.dial(ctx) }
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(func() { stop(); d.close() })
		d.startWatch(ctx)
	}
	t.Cleanup(func() { close(s.closed) })
	synctest.Wait()
	for range 2 * senders { // the list, and the watch
		await(t, s.requests, "call")
	}
}

// fullest counts what comes through ch, for so many spans of time, and returns the most in one span, and all.
func countPerInterval[T any](ch <-chan T, span time.Duration, spans int) (most, all int) {
	for range spans {
		time.Sleep(span)
		synctest.Wait()
		n := len(ch)
		for range n {
			<-ch
		}
		most, all = max(most, n), all+n
	}
	return most, all
}

// News ends all watches of a fleet at one moment, and the next ones begin in step. They do not end in step.
func TestWatchExpiryIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeDiscovery(EndpointList{Generation: 1, Reset: true}, "")
		startWatchers(t, s, 300)
		s.set("", EndpointList{Generation: 2, Reset: true})
		for range 300 {
			await(t, s.requests, "watch after the news")
		}
		if most, all := countPerInterval(s.requests, 100*time.Millisecond, 41); most > 100 || all != 300 {
			t.Errorf("%d watches, %d of them within 0.1 s", all, most)
		}
	})
}

// Discovery goes, and breaks all watches. Go's client tries a kept connection that broke once more at once; from then
// on the fleet comes back over some seconds, and not all at once.
func TestRetriesOfManySendersAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeDiscovery(EndpointList{Generation: 1, Reset: true}, "")
		startWatchers(t, s, 300)
		s.set("refuses", EndpointList{Generation: 1, Reset: true})
		for range 600 {
			await(t, s.faulted, "watch that breaks")
		}
		if most, all := countPerInterval(s.faulted, time.Second, 6); most > 150 || all != 300 {
			t.Errorf("%d calls, %d of them within a second", all, most)
		}
	})
}

// Over real sockets: a watch falls silent, and the next call finds an endpoint that drains.
func TestSilentWatchOverTCP(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			old, fresh := newEndpoint(t), newEndpoint(t)
			known := EndpointList{Generation: 1, Reset: true, Instances: instances(old, fresh)}
			drains := instances(old, fresh)
			drains[0].Lifecycle = "draining"
			var calls atomic.Int32
			silent, heeded := make(chan time.Time, 1), make(chan struct{}, 64)
			p := &platform{srv: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch calls.Add(1) {
				case 1:
					silent <- time.Now()
				case 2:
					json.NewEncoder(w).Encode(EndpointList{Generation: 2, Instances: drains[:1]})
					return
				default:
					heeded <- struct{}{}
				}
				<-r.Context().Done()
			}))}
			t.Cleanup(func() { p.srv.CloseClientConnections(); p.srv.Close() })
			n := startWith(t, strings.Replace(string(configText(p, known)), "on_request", mode, 1), t.TempDir())
			at := await(t, silent, "watch")
			await(t, heeded, "watch from the new list")
			if took := time.Since(at); took > changeDeadline+2*time.Second { // and the grace of a drain
				t.Errorf("heeded after %v", took)
			}
			c := dial(t, n.addr)
			for i := range 4 {
				c.put(fmt.Sprint("m-", i), "safe", "+OK")
				await(t, fresh.calls, "call").reply(200)
			}
			old.none(t)
			stopClean(t, n)
		})
	}
}
