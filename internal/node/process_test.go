package node

import (
	"bufio"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// program is built once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "cometrack")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "cometrack")
	out, err := exec.Command("go", "build", "-o", path, "../../cmd/cometrack").CombinedOutput()
	os.Stderr.Write(out)
	return path, err
})

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	if path, err := faultyProgram(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

// process is the real program.
type process struct {
	t     *testing.T
	cmd   *exec.Cmd
	addr  string
	admin string // where operators call
	conf  string // its configuration file
	done  chan error
	said  chan string   // its log
	ready chan string   // the address of clients, once they are served
	asked chan string   // the address of operators
	took  time.Duration // from its start to ready; set before ready is sent
}

// startProcess starts it and waits until it serves.
func startProcess(t *testing.T, p *testPlatform, dir string, known List) *process {
	t.Helper()
	x := launchProcess(t, p, dir, known)
	x.addr = receive(t, x.ready, "ready program")
	return x
}

// launchProcess starts it with what the platform would tell it, and waits until it can be asked and signalled.
func launchProcess(t *testing.T, p *testPlatform, dir string, known List) *process {
	t.Helper()
	x := execProcess(t, p, dir, configText(p, known))
	x.admin = receive(t, x.asked, "operators' address")
	return x
}

// execProcess starts it with the text of a configuration, and does not wait.
func execProcess(t *testing.T, p *testPlatform, dir string, text []byte) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return execProgram(t, path, p, dir, text)
}

// execProgram starts a build of the program, with more in its environment.
func execProgram(t *testing.T, path string, p *testPlatform, dir string, text []byte, env ...string) *process {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(append(os.Environ(), env...), "BALANCER_NAME=n0", "BALANCER_LISTEN=127.0.0.1:0", "BALANCER_ADMIN_ADDR=127.0.0.1:0",
		"BALANCER_DISCOVERY="+strings.TrimPrefix(p.srv.URL, "http://"), "BALANCER_STATE="+dir, "BALANCER_CONFIG="+config)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	x := &process{t: t, cmd: cmd, conf: config, done: make(chan error, 1), said: make(chan string, 4096),
		ready: make(chan string, 1), asked: make(chan string, 1)}
	t.Cleanup(func() { cmd.Process.Kill() })
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			x.said <- s.Text()
			_, rest, _ := strings.Cut(s.Text(), "addr=")
			addr, _, _ := strings.Cut(rest, " ")
			switch {
			case strings.Contains(s.Text(), "msg=ready "):
				x.took = time.Since(begun)
				x.ready <- addr
			case strings.Contains(s.Text(), "msg=operators "):
				x.asked <- addr
			}
		}
		x.done <- cmd.Wait()
	}()
	return x
}

func (x *process) kill() {
	x.t.Helper()
	x.cmd.Process.Kill()
	receive(x.t, x.done, "end of the program")
}

// term sends SIGTERM; end checks that the program ends by itself.
func (x *process) term() { x.cmd.Process.Signal(syscall.SIGTERM) }

func (x *process) end() {
	x.t.Helper()
	if err := receive(x.t, x.done, "end of the program"); err != nil {
		x.t.Errorf("ended with %v", err)
	}
}

// A crash with a call out: it may have run. Nothing is handed in again, so the sender itself must send it again
// where that is harmless, and must not where it is not.
func TestKillWithCallOut(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	x := startProcess(t, p, dir, known)
	c := dialClient(t, x.addr)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		c.put("m-"+class, class, "+OK")
		receive(t, e.calls, "call")
	}
	x.kill()
	x = startProcess(t, p, dir, known)
	again := map[string]string{}
	for range 2 {
		in := receive(t, e.calls, "call again")
		again[in.id()] = in.req.Header.Get("Idempotency-Key") + " " + in.body
		in.reply(200)
	}
	if again["m-safe"] != "key-m-safe body of m-safe" || again["m-keyed"] != "key-m-keyed body of m-keyed" {
		t.Errorf("sent again: %v", again)
	}
	if n := receive(t, p.notices, "notice"); n != (Notice{ID: "m-unsafe", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.term()
	x.end()
	e.expectNoCall(t)
	if ids := pendingMessageIDs(t, dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}

// Attempts before a crash count: a message that brings the process down each time must not come for ever.
func TestKillCountsAttempts(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	for i := range 3 { // max_attempts
		x := startProcess(t, p, dir, known)
		if i == 0 {
			dialClient(t, x.addr).putWithLifetime("a", "safe", 16000, "+OK")
		}
		receive(t, e.calls, "call")
		x.kill()
	}
	x := startProcess(t, p, dir, known)
	if n := receive(t, p.notices, "notice"); n != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.term()
	x.end()
	e.expectNoCall(t)
}

// What a restart finds taken on and untried is tried, all of it, by a process that knows nothing of latencies yet: after
// a kill and after a stop in good order, also where the first call is refused.
func TestRestartTriesTheUntried(t *testing.T) {
	for name, stop := range map[string]func(*process){"kill": (*process).kill, "term": func(x *process) { x.term(); x.end() }} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			x := startProcess(t, p, dir, known)
			c := dialClient(t, x.addr)
			c.putWithLifetime("first", "unsafe", 16000, "+OK")
			receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
			var want []string
			for i, class := range []string{"safe", "keyed", "unsafe", "safe", "unsafe", "keyed"} { // held back by the wait
				id := fmt.Sprintf("untried-%d", i)
				want = append(want, id)
				c.putWithLifetime(id, class, 16000, "+OK")
			}
			stop(x)
			e.expectNoCall(t)
			x = startProcess(t, p, dir, known)
			refused := false
			for got := map[string]bool{}; len(got) < len(want); {
				in := receive(t, e.calls, "call")
				if slices.Contains(want, in.id()) {
					got[in.id()] = true
				}
				if !refused {
					refused = true
					in.reply(503)
				} else {
					in.reply(200)
				}
			}
			x.kill()
			if n := len(p.notices); n != 0 {
				t.Errorf("%d given up: %+v", n, <-p.notices)
			}
		})
	}
}

// A journal that is damaged is read up to the damage; the log says so, and the sender serves.
func TestDamagedJournal(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	x := startProcess(t, p, dir, known)
	dialClient(t, x.addr).put("whole", "safe", "+OK")
	receive(t, e.calls, "call")
	x.kill()
	f, err := os.OpenFile(filepath.Join(dir, journalName), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString("no record of ours, and more than the head of one"); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	x = launchProcess(t, p, dir, known)
	x.says("the end cannot be read")
	x.addr = receive(t, x.ready, "ready program")
	if in := receive(t, e.calls, "call"); in.id() != "whole" {
		t.Errorf("call with %s", in.id())
	} else {
		in.reply(200)
	}
	dialClient(t, x.addr).put("next", "safe", "+OK")
	receive(t, e.calls, "call").reply(200)
	x.term()
	x.end()
}

// Without its lock the state folder may belong to another process, and what may not be repeated might go out twice: a
// sender that can't open it ends with a plain message and serves nobody.
func TestNoLockNoService(t *testing.T) {
	p, dir := newPlatform(t), t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, lockName), 0o700); err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig(configText(p, List{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	if _, err := New(cfg, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "state folder") {
		t.Errorf("got %v, want an error that names the state folder's lock", err)
	}
}

// What was not sent, or refused, before a crash is sent after it, an unsafe message too; what ran out of time
// meanwhile is returned, and a notice that nobody confirmed is sent again.
func TestKillWithoutCallOut(t *testing.T) {
	p, e, dir := newPlatform(t), newEndpoint(t), t.TempDir()
	known := List{Generation: 1, Reset: true, Instances: append(instances(e), Instance{ID: "drains", HostPort: "127.0.0.1:1",
		Zone: "a", Kind: "std", Dest: 2, Lifecycle: "draining"})}
	p.list, p.refuseNotices = known, true
	x := startProcess(t, p, dir, known)
	c := dialClient(t, x.addr)
	c.put("failed", "unsafe", "+OK")
	receive(t, e.calls, "call").reply(500)
	receive(t, p.refusedNotices, "notice")
	c.put("refused", "unsafe", "+OK")
	receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	if got := c.do("MSG.PUT", "0", "short", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	over := time.Now().Add(600 * time.Millisecond)
	for stop := time.Now().Add(testTimeout); ; {
		b, err := os.ReadFile(filepath.Join(dir, journalName))
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(b), `"op":3`) >= 2 { // both outcomes
			break
		}
		if time.Now().After(stop) {
			t.Fatal("no outcome in the journal")
		}
	}
	c.put("unsent", "unsafe", "+OK") // waits: the sender has been told to
	x.kill()
	time.Sleep(time.Until(over))
	p.update(func() { p.refuseNotices = false })
	x = startProcess(t, p, dir, known)
	got := map[string]bool{}
	for range 2 {
		in := receive(t, e.calls, "call")
		got[in.id()] = true
		in.reply(200)
	}
	if !got["refused"] || !got["unsent"] {
		t.Errorf("sent: %v", got)
	}
	ends := map[string]string{}
	for range 2 {
		n := receive(t, p.notices, "notice")
		ends[n.ID] = n.State
	}
	if ends["failed"] != "failed" || ends["short"] != "returned" {
		t.Errorf("notices: %v", ends)
	}
	x.term()
	x.end()
	e.expectNoCall(t)
}

// A planned restart: clients are served a while, connections are closed between requests, calls under way end and
// are journalled, and the next start owes nothing.
func TestTermWithCallOut(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			x := startProcess(t, p, dir, known)
			c := dialClient(t, x.addr)
			c.put("a", class, "+OK")
			in := receive(t, e.calls, "call")
			x.term()
			if got := c.readLine(); got != "" { // the connection is closed between requests
				t.Errorf("got %q", got)
			}
			in.reply(200)
			x.end()
			if ids := pendingMessageIDs(t, dir); ids != nil {
				t.Errorf("still owed: %v", ids)
			}
			if len(p.notices) != 0 {
				t.Errorf("notice %+v", <-p.notices)
			}
		})
	}
}

// A call that does not end must not keep the program from ending in time; it stays in the journal as open.
func TestTermWithSilentCall(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	x := startProcess(t, p, dir, known)
	dialClient(t, x.addr).put("a", "unsafe", "+OK")
	receive(t, e.calls, "call")
	at := time.Now()
	x.term()
	x.end()
	if d := time.Since(at); d > shutdownTimeout+2*time.Second {
		t.Errorf("ended after %v", d)
	}
	if ids := pendingMessageIDs(t, dir); len(ids) != 1 {
		t.Errorf("owed: %v", ids)
	}
	x = startProcess(t, p, dir, known)
	if n := receive(t, p.notices, "notice"); n != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.kill()
}

// lines are those that it has logged so far.
func (x *process) lines() func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for {
			select {
			case line := <-x.said:
				if !yield(line) {
					return
				}
			default:
				return
			}
		}
	}
}
