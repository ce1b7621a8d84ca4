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
const toldAfter = 6 * time.Second

// movedAfter is when what a new address has counts as told, counted from the signal.
const movedAfter = 4 * time.Second

// station is discovery in memory. A fault strikes the call that is held, and each that comes while it lasts; what it
// has struck stays as it is when the fault is over.
type station struct {
	mu     sync.Mutex
	fault  string
	list   List
	turn   chan struct{} // closed when the list or the fault changes
	over   chan struct{} // closed at the end of the play
	calls  chan string   // each call that begins: its query
	struck chan struct{} // each call that a fault strikes
	told   time.Time     // when the list was last written
}

func newStation(list List, fault string) *station {
	return &station{fault: fault, list: list, turn: make(chan struct{}), over: make(chan struct{}),
		calls: make(chan string, 4096), struck: make(chan struct{}, 4096)}
}

// now changes the station in one step.
func (s *station) now(fault string, list List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.list = fault, list
	close(s.turn)
	s.turn = make(chan struct{})
}

func (s *station) look() (fault string, list List, turn <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.list, s.turn
}

// dial makes a connection, as the network would.
func (s *station) dial(ctx context.Context) (net.Conn, error) {
	here, there := net.Pipe()
	switch fault, _, _ := s.look(); fault {
	case "refuses":
		s.struck <- struct{}{}
		return nil, syscall.ECONNREFUSED
	case "vanishes":
		s.struck <- struct{}{}
		sleepContext(ctx, dialTime)
		return nil, errors.Join(os.ErrDeadlineExceeded, ctx.Err())
	case "creeps": // each step takes its time, and the last one does not come
		s.struck <- struct{}{}
		sleepContext(ctx, dialTime-100*time.Millisecond)
		go func() {
			defer there.Close()
			if _, err := http.ReadRequest(bufio.NewReader(there)); err == nil {
				s.strike(there, fault)
			}
		}()
		return here, nil
	}
	go s.serve(there)
	return here, nil
}

func (s *station) serve(conn net.Conn) {
	defer conn.Close()
	for r := bufio.NewReader(conn); ; {
		req, err := http.ReadRequest(r)
		if err != nil || !s.answer(conn, req) {
			return
		}
	}
}

// answer says whether the connection goes on.
func (s *station) answer(conn net.Conn, req *http.Request) bool {
	s.calls <- req.URL.RawQuery
	from, _ := strconv.ParseInt(req.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(req.URL.Query().Get("hold_ms"))
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	for {
		fault, list, turn := s.look()
		if fault != "" {
			s.struck <- struct{}{}
			return s.strike(conn, fault)
		}
		if list.Generation > from {
			s.mu.Lock()
			s.told = time.Now()
			s.mu.Unlock()
			return s.write(conn, list)
		}
		select {
		case <-turn:
		case <-end.C:
			return s.write(conn, List{Generation: from})
		case <-s.over:
			return false
		}
	}
}

func (s *station) strike(conn net.Conn, fault string) bool {
	switch fault {
	case "refuses", "resets":
		return false
	case "creeps":
		sleepContext(context.Background(), 300*time.Millisecond)
		fallthrough
	case "stops": // in the middle of a list
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":2,")
	case "turns away late":
		sleepContext(context.Background(), 2*time.Second)
		fallthrough
	case "turns away":
		_, err := io.WriteString(conn, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	<-s.over // it says nothing, for good
	return false
}

func (s *station) write(conn net.Conn, list List) bool {
	b, err := json.Marshal(list)
	if err == nil {
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
	}
	return err == nil
}

// noClients is a listener that nobody calls.
type noClients struct {
	closed chan struct{}
	once   sync.Once
}

func (l *noClients) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l *noClients) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *noClients) Addr() net.Addr { return &net.TCPAddr{} }

// play is a sender whose discovery fails in some way at some moment.
type play struct {
	pushed bool
	at     string // "first call", "watch" or "SIGHUP"
	fault  string
	calls  int // that the fault strikes before discovery can be reached, besides a watch that is held
	seed   int
}

// run returns how long after discovery could be reached again the change was written to the sender. Time is the
// bubble's. Every draw is the longest, but for the module's own.
func (p play) run(t *testing.T) (told time.Duration) {
	const oldAddr, freshAddr = "127.0.0.2:1", "127.0.0.3:1"
	row := func(id, addr, state string) Instance {
		return Instance{ID: id, HostPort: addr, Zone: "a", Kind: "std", Dest: 1, Lifecycle: state, Weight: 100}
	}
	before := List{Generation: 1, Reset: true, Instances: []Instance{row("old", oldAddr, "up"), row("fresh", freshAddr, "up")}}
	after := List{Generation: 2, Reset: true, Instances: []Instance{row("old", oldAddr, "draining"), row("fresh", freshAddr, "up")}}
	text := func(discovery string) string {
		deploy := strings.Replace(testSettings, `"balancers":1`, `"balancers":300`, 1)
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
	stations := map[string]*station{"127.0.0.4:1": newStation(before, ""), "127.0.0.5:1": newStation(before, p.fault)}
	first, hit := stations["127.0.0.4:1"], stations["127.0.0.4:1"]
	switch p.at {
	case "first call":
		first.fault = p.fault
	case "SIGHUP":
		hit = stations["127.0.0.5:1"]
	}

	dir := t.TempDir()
	if err := os.MkdirAll(filepath.Join(dir, socketName, "x"), 0o700); err != nil { // no Unix socket: its clock is not ours
		t.Fatal(err)
	}
	ln, signals := &noClients{closed: make(chan struct{})}, make(chan os.Signal)
	var mu sync.Mutex
	sent, toOld, start := map[string][]time.Time{}, make(chan struct{}, 4096), time.Now()
	n := startNodeWithConfig(t, text("127.0.0.4:1"), dir, func(n *Node) {
		n.listener = ln
		n.ReloadOn(signals, func() (*Config, error) { return ParseConfig([]byte(text("127.0.0.5:1"))) })
		n.discovery.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, addr string) (net.Conn, error) {
			return stations[addr].dial(ctx)
		}
		n.discovery.draw = func(most int64) int64 {
			if most == int64(watchHold/4) { // what is taken off the hold
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
		if err := receive(t, n.done, "end of the sender"); err != nil {
			t.Error(err)
		}
		for _, s := range stations {
			close(s.over)
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

	if p.at != "first call" {
		receive(t, toOld, "attempt at the old endpoint")
		for len(first.calls) > 0 {
			<-first.calls
		}
		for range 2 { // the one before is answered, so this is not the first
			if q := <-first.calls; !strings.HasPrefix(q, "from=1&") {
				t.Fatalf("call for %q, want a watch", q)
			}
		}
	}
	switch p.at {
	case "watch":
		hit.now(p.fault, before)
		receive(t, hit.struck, "held watch")
	case "SIGHUP":
		signals <- syscall.SIGHUP
	}
	for range p.calls {
		receive(t, hit.struck, "call that fails")
	}
	hit.now("", after)
	back := time.Now()
	time.Sleep(toldAfter + 4*time.Second)

	mu.Lock()
	defer mu.Unlock()
	hit.mu.Lock()
	defer hit.mu.Unlock()
	if hit.told.Before(back) {
		t.Fatalf("%+v: not told within %v", p, time.Since(back))
	}
	if back.Sub(start) > time.Second && (len(sent[oldAddr]) == 0 || sent[oldAddr][0].After(back)) {
		t.Errorf("%+v: nothing was sent to the old endpoint before", p)
	}
	late, served, within := 0, false, toldAfter
	if p.at == "SIGHUP" && p.calls == 1 { // it was back a moment after the signal
		within = movedAfter
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
			p, late, hit.told.Sub(back), served)
	}
	return hit.told.Sub(back)
}

// Whatever becomes of calls to discovery, and of however many in a row: what it had to tell from the moment from which
// it could be reached is heeded 6 s later, with the longest of all pauses and the call before it begun just then.
func TestChangeIsHeededAfterAnyFailure(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		for _, at := range []string{"first call", "watch", "SIGHUP"} {
			for _, fault := range []string{"refuses", "resets", "silent", "stops", "turns away", "turns away late", "vanishes", "creeps"} {
				t.Run(fmt.Sprintf("pushed %v, %s, %s", pushed, at, fault), func(t *testing.T) {
					t.Parallel()
					var longest time.Duration
					counts := map[string][]int{"first call": {1, 2, 6}, "watch": {0, 1, 2, 6}, "SIGHUP": {1, moveTries + 1, 3 * (moveTries + 1)}}
					for _, calls := range counts[at] {
						for seed := range map[bool]int{false: 2, true: 1}[pushed] { // only the module draws by it
							synctest.Test(t, func(t *testing.T) {
								longest = max(longest, play{pushed, at, fault, calls, seed}.run(t))
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
func fleet(t *testing.T, s *station, senders int) {
	t.Helper()
	for range senders {
		d := newDiscovery("127.0.0.4:1", senders, slog.New(slog.DiscardHandler), make(chan any, 64))
		d.client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) { return s.dial(ctx) }
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(func() { stop(); d.halt() })
		d.watch(ctx)
	}
	t.Cleanup(func() { close(s.over) })
	synctest.Wait()
	for range 2 * senders { // the list, and the watch
		receive(t, s.calls, "call")
	}
}

// fullest counts what comes through ch, for so many spans of time, and returns the most in one span, and all.
func fullest[T any](ch <-chan T, span time.Duration, spans int) (most, all int) {
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
func TestWatchesOfAFleetEndApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStation(List{Generation: 1, Reset: true}, "")
		fleet(t, s, 300)
		s.now("", List{Generation: 2, Reset: true})
		for range 300 {
			receive(t, s.calls, "watch after the news")
		}
		if most, all := fullest(s.calls, 100*time.Millisecond, 41); most > 100 || all != 300 {
			t.Errorf("%d watches, %d of them within 0.1 s", all, most)
		}
	})
}

// Discovery goes, and breaks all watches. Go's client tries a kept connection that broke once more at once; from then
// on the fleet comes back over some seconds, and not all at once.
func TestFleetComesBackApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStation(List{Generation: 1, Reset: true}, "")
		fleet(t, s, 300)
		s.now("refuses", List{Generation: 1, Reset: true})
		for range 600 {
			receive(t, s.struck, "watch that breaks")
		}
		if most, all := fullest(s.struck, time.Second, 6); most > 150 || all != 300 {
			t.Errorf("%d calls, %d of them within a second", all, most)
		}
	})
}

// Over real sockets: a watch falls silent, and the next call finds an endpoint that drains.
func TestSilentWatchOnSockets(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			old, fresh := newEndpoint(t), newEndpoint(t)
			known := List{Generation: 1, Reset: true, Instances: instances(old, fresh)}
			drains := instances(old, fresh)
			drains[0].Lifecycle = "draining"
			var calls atomic.Int32
			silent, heeded := make(chan time.Time, 1), make(chan struct{}, 64)
			p := &testPlatform{srv: httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch calls.Add(1) {
				case 1:
					silent <- time.Now()
				case 2:
					json.NewEncoder(w).Encode(List{Generation: 2, Instances: drains[:1]})
					return
				default:
					heeded <- struct{}{}
				}
				<-r.Context().Done()
			}))}
			t.Cleanup(func() { p.srv.CloseClientConnections(); p.srv.Close() })
			n := startNodeWithConfig(t, strings.Replace(string(configText(p, known)), "on_request", mode, 1), t.TempDir())
			at := receive(t, silent, "watch")
			receive(t, heeded, "watch from the new list")
			if took := time.Since(at); took > toldAfter+2*time.Second { // and the grace of a drain
				t.Errorf("heeded after %v", took)
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
