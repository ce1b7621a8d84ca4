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

// program returns the path of the program, which is built once for all tests.
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

// process is a running instance of the program.
type process struct {
	t           *testing.T
	cmd         *exec.Cmd
	addr        string
	adminAddr   string // address of the operators' interface
	configPath  string
	exited      chan error
	logLines    chan string   // lines of its log
	ready       chan string   // receives the address for clients once they are served
	adminReady  chan string   // receives the address of the operators' interface
	startupTime time.Duration // from its start to ready; set before ready is sent
}

// startProcess starts the program and waits until it serves clients.
func startProcess(t *testing.T, p *testPlatform, dir string, known EndpointList) *process {
	t.Helper()
	proc := launchProcess(t, p, dir, known)
	proc.addr = receive(t, proc.ready, "ready program")
	return proc
}

// launchProcess starts the program as the platform does, and waits until it serves operators and handles signals.
func launchProcess(t *testing.T, p *testPlatform, dir string, known EndpointList) *process {
	t.Helper()
	proc := execProcess(t, p, dir, configText(p, known))
	proc.adminAddr = receive(t, proc.adminReady, "operators' address")
	return proc
}

// execProcess starts the program with the text of a configuration. It does not wait.
func execProcess(t *testing.T, p *testPlatform, dir string, config []byte) *process {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return execProgram(t, path, p, dir, config)
}

// execProgram starts the program at path, with additional environment variables.
func execProgram(t *testing.T, path string, p *testPlatform, dir string, text []byte, env ...string) *process {
	t.Helper()
	config := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(path)
	cmd.Env = append(append(os.Environ(), env...), "BALANCER_NAME=n0",
		"BALANCER_LISTEN=127.0.0.1:0", "BALANCER_ADMIN_ADDR=127.0.0.1:0",
		"BALANCER_DISCOVERY="+strings.TrimPrefix(p.srv.URL, "http://"), "BALANCER_STATE="+dir, "BALANCER_CONFIG="+config)
	logs, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	proc := &process{
		t:          t,
		cmd:        cmd,
		configPath: config,
		exited:     make(chan error, 1),
		logLines:   make(chan string, 4096),
		ready:      make(chan string, 1),
		adminReady: make(chan string, 1),
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	go func() {
		for s := bufio.NewScanner(logs); s.Scan(); {
			proc.logLines <- s.Text()
			_, rest, _ := strings.Cut(s.Text(), "addr=")
			addr, _, _ := strings.Cut(rest, " ")
			switch {
			case strings.Contains(s.Text(), "msg=ready "):
				proc.startupTime = time.Since(startedAt)
				proc.ready <- addr
			case strings.Contains(s.Text(), "msg=operators "):
				proc.adminReady <- addr
			}
		}
		proc.exited <- cmd.Wait()
	}()
	return proc
}

func (p *process) kill() {
	p.t.Helper()
	p.cmd.Process.Kill()
	receive(p.t, p.exited, "end of the program")
}

// terminate sends SIGTERM.
func (p *process) terminate() { p.cmd.Process.Signal(syscall.SIGTERM) }

// awaitExit checks that the program exits without an error.
func (p *process) awaitExit() {
	p.t.Helper()
	if err := receive(p.t, p.exited, "end of the program"); err != nil {
		p.t.Errorf("ended with %v", err)
	}
}

// A call in flight at a crash may have run. Clients do not submit the message again, so the sender must repeat it after
// the restart if that is harmless, and must fail it otherwise.
func TestKillWithCallInFlight(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	proc := startProcess(t, p, dir, known)
	c := dialClient(t, proc.addr)
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		c.put("m-"+class, class, "+OK")
		receive(t, e.calls, "call")
	}
	proc.kill()
	proc = startProcess(t, p, dir, known)
	again := map[string]string{}
	for range 2 {
		in := receive(t, e.calls, "call again")
		again[in.id()] = in.req.Header.Get("Idempotency-Key") + " " + in.body
		in.reply(200)
	}
	if again["m-safe"] != "key-m-safe body of m-safe" || again["m-keyed"] != "key-m-keyed body of m-keyed" {
		t.Errorf("sent again: %v", again)
	}
	if notice := receive(t, p.notices, "notice"); notice != (Notice{ID: "m-unsafe", State: "failed"}) {
		t.Errorf("notice %+v", notice)
	}
	proc.terminate()
	proc.awaitExit()
	e.expectNoCall(t)
	if ids := journaledMessageIDs(t, dir); ids != nil {
		t.Errorf("still in the journal: %v", ids)
	}
}

// Attempts before a crash must count: otherwise a message that crashes the process would be sent forever.
func TestKillCountsAttempts(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	for i := range 3 { // max_attempts
		proc := startProcess(t, p, dir, known)
		if i == 0 {
			dialClient(t, proc.addr).putWithLifetime("a", "safe", 16000, "+OK")
		}
		receive(t, e.calls, "call")
		proc.kill()
	}
	proc := startProcess(t, p, dir, known)
	if notice := receive(t, p.notices, "notice"); notice != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", notice)
	}
	proc.terminate()
	proc.awaitExit()
	e.expectNoCall(t)
}

// A restarted process, which knows no latencies yet, must send all accepted messages that have not been tried: after a
// kill and after an orderly shutdown, even if the first call is refused.
func TestRestartSendsUntriedMessages(t *testing.T) {
	for name, stop := range map[string]func(*process){
		"kill": (*process).kill,
		"term": func(proc *process) { proc.terminate(); proc.awaitExit() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			proc := startProcess(t, p, dir, known)
			c := dialClient(t, proc.addr)
			c.putWithLifetime("first", "unsafe", 16000, "+OK")
			receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
			var want []string
			// These are not sent because of the wait.
			for i, class := range []string{"safe", "keyed", "unsafe", "safe", "unsafe", "keyed"} {
				id := fmt.Sprintf("untried-%d", i)
				want = append(want, id)
				c.putWithLifetime(id, class, 16000, "+OK")
			}
			stop(proc)
			e.expectNoCall(t)
			proc = startProcess(t, p, dir, known)
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
			proc.kill()
			if n := len(p.notices); n != 0 {
				t.Errorf("%d given up: %+v", n, <-p.notices)
			}
		})
	}
}

// A damaged journal must be replayed up to the damage. The sender logs this and serves clients.
func TestDamagedJournal(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	proc := startProcess(t, p, dir, known)
	dialClient(t, proc.addr).put("whole", "safe", "+OK")
	receive(t, e.calls, "call")
	proc.kill()
	f, err := os.OpenFile(filepath.Join(dir, journalFile), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.WriteString("not a valid record, and longer than the header of one"); err != nil {
		t.Fatal(err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	proc = launchProcess(t, p, dir, known)
	proc.awaitLog("the end cannot be read")
	proc.addr = receive(t, proc.ready, "ready program")
	if in := receive(t, e.calls, "call"); in.id() != "whole" {
		t.Errorf("call with %s", in.id())
	} else {
		in.reply(200)
	}
	dialClient(t, proc.addr).put("next", "safe", "+OK")
	receive(t, e.calls, "call").reply(200)
	proc.terminate()
	proc.awaitExit()
}

// Without the lock another process may own the state folder, and an unsafe message could be sent twice. A sender that
// cannot open the lock file must fail with a clear error.
func TestNewFailsWithoutLock(t *testing.T) {
	p, dir := newPlatform(t), t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, lockFile), 0o700); err != nil {
		t.Fatal(err)
	}
	cfg, err := ParseConfig(configText(p, EndpointList{}))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	if _, err := New(cfg, slog.New(slog.DiscardHandler)); err == nil || !strings.Contains(err.Error(), "state folder") {
		t.Errorf("got %v, want an error that names the state folder's lock", err)
	}
}

// Messages that were not sent or were refused before a crash must be sent after it, unsafe ones too. A message whose
// deadline has passed meanwhile is returned, and an unconfirmed notice is sent again.
func TestKillWithoutCallInFlight(t *testing.T) {
	p, e, dir := newPlatform(t), newEndpoint(t), t.TempDir()
	known := EndpointList{Generation: 1, Reset: true, Instances: append(instances(e), Instance{
		ID:          "drains",
		HostPort:    "127.0.0.1:1",
		Zone:        "a",
		MachineType: "std",
		Dest:        2,
		Lifecycle:   "draining",
	})}
	p.list, p.rejectNotices = known, true
	proc := startProcess(t, p, dir, known)
	c := dialClient(t, proc.addr)
	c.put("failed", "unsafe", "+OK")
	receive(t, e.calls, "call").reply(500)
	receive(t, p.rejectedNotices, "notice")
	c.put("refused", "unsafe", "+OK")
	receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	if got := c.do("MSG.PUT", "0", "short", "c=unsafe,d=600,dest=2", "x"); got != "+OK" {
		t.Fatalf("got %q", got)
	}
	deadline := time.Now().Add(600 * time.Millisecond)
	for stop := time.Now().Add(testTimeout); ; {
		b, err := os.ReadFile(filepath.Join(dir, journalFile))
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(b), `"op":3`) >= 2 { // the outcomes of both calls
			break
		}
		if time.Now().After(stop) {
			t.Fatal("no outcome in the journal")
		}
	}
	c.put("unsent", "unsafe", "+OK") // not sent: the endpoint has requested a wait
	proc.kill()
	time.Sleep(time.Until(deadline))
	p.update(func() { p.rejectNotices = false })
	proc = startProcess(t, p, dir, known)
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
		notice := receive(t, p.notices, "notice")
		ends[notice.ID] = notice.State
	}
	if ends["failed"] != "failed" || ends["short"] != "returned" {
		t.Errorf("notices: %v", ends)
	}
	proc.terminate()
	proc.awaitExit()
	e.expectNoCall(t)
}

// At SIGTERM the sender must close connections between requests, let calls in flight end and write their outcomes to
// the journal, so that the journal is empty at the next start.
func TestTermWithCallInFlight(t *testing.T) {
	for _, class := range []string{"safe", "keyed", "unsafe"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			proc := startProcess(t, p, dir, known)
			c := dialClient(t, proc.addr)
			c.put("a", class, "+OK")
			in := receive(t, e.calls, "call")
			proc.terminate()
			if got := c.readLine(); got != "" { // the connection is closed between requests
				t.Errorf("got %q", got)
			}
			in.reply(200)
			proc.awaitExit()
			if ids := journaledMessageIDs(t, dir); ids != nil {
				t.Errorf("still in the journal: %v", ids)
			}
			if len(p.notices) != 0 {
				t.Errorf("notice %+v", <-p.notices)
			}
		})
	}
}

// A call that does not end must not delay the exit after SIGTERM. It stays in the journal as in flight.
func TestTermWithSilentCall(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	proc := startProcess(t, p, dir, known)
	dialClient(t, proc.addr).put("a", "unsafe", "+OK")
	receive(t, e.calls, "call")
	at := time.Now()
	proc.terminate()
	proc.awaitExit()
	if d := time.Since(at); d > shutdownTimeout+2*time.Second {
		t.Errorf("ended after %v", d)
	}
	if ids := journaledMessageIDs(t, dir); len(ids) != 1 {
		t.Errorf("in the journal: %v", ids)
	}
	proc = startProcess(t, p, dir, known)
	if notice := receive(t, p.notices, "notice"); notice != (Notice{ID: "a", State: "failed"}) {
		t.Errorf("notice %+v", notice)
	}
	proc.kill()
}

// loggedLines yields the log lines so far that have not been read.
func (p *process) loggedLines() func(yield func(string) bool) {
	return func(yield func(string) bool) {
		for {
			select {
			case line := <-p.logLines:
				if !yield(line) {
					return
				}
			default:
				return
			}
		}
	}
}
