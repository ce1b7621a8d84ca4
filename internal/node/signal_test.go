package node

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"
)

// holdLock takes the lock on a state folder, as a process that owns it would, and gives it back when f is called.
func lockStateDir(t *testing.T, dir string) (f func()) {
	t.Helper()
	lock, err := tryLock(dir)
	if err != nil || lock == nil {
		t.Fatalf("lock %v, %v", lock, err)
	}
	return func() { lock.Close() }
}

// half sends a request but for its last bytes, and returns those.
func (c *testClient) sendPartialPut(id, class string) string {
	c.t.Helper()
	opts := fmt.Sprintf("c=%s,t=acme,d=10000,k=key-%s,dest=1", class, id)
	text := fmt.Sprintf("*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$4\r\nbody\r\n", len(id), id, len(opts), opts)
	if _, err := io.WriteString(c.conn, text[:len(text)-3]); err != nil {
		c.t.Fatal(err)
	}
	return text[len(text)-3:]
}

// A signal may come between any two steps. SIGHUP and SIGTERM end nothing that has begun, SIGTERM ends the process
// without an error, and after SIGKILL the next process goes on from the folder.
func TestSignalAtEachStep(t *testing.T) {
	signals := []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGKILL}
	// Each step leaves the sender in the middle of something, calls hit, and goes on if the process lives.
	steps := map[string]func(t *testing.T, w *signalCase, hit func(*process)){
		"start, not the owner yet": func(t *testing.T, w *signalCase, hit func(*process)) {
			release := lockStateDir(t, w.dir)
			x := launchProcess(t, w.p, w.dir, w.known)
			x.says("waits for the owner's end")
			hit(x)
			release()
			if w.survives {
				x.addr = receive(t, x.ready, "ready program")
			}
		},
		"start, with a journal": func(t *testing.T, w *signalCase, hit func(*process)) {
			x := startProcess(t, w.p, w.dir, w.known)
			dialClient(t, x.addr).put("m", "safe", "+OK")
			receive(t, w.e.calls, "call")
			x.kill()
			x = launchProcess(t, w.p, w.dir, w.known)
			hit(x)
			if w.sig != syscall.SIGKILL {
				receive(t, w.e.calls, "call from the journal").reply(200)
			}
			w.pendingID = "m"
		},
		"half a request": func(t *testing.T, w *signalCase, hit func(*process)) {
			x := startProcess(t, w.p, w.dir, w.known)
			c, watch := dialClient(t, x.addr), dialClient(t, x.addr)
			watch.do("PING")
			rest := c.sendPartialPut("m", "safe")
			hit(x)
			if w.sig == syscall.SIGKILL {
				return
			}
			for w.sig == syscall.SIGTERM && watch.do("PING") != "-ERR stopping" { // until it is known
			}
			io.WriteString(c.conn, rest)
			if got := c.readLine(); got != "+OK" {
				t.Errorf("got %q", got)
			}
			receive(t, w.e.calls, "call").reply(200)
		},
		"a call": func(t *testing.T, w *signalCase, hit func(*process)) {
			x := startProcess(t, w.p, w.dir, w.known)
			dialClient(t, x.addr).put("m", "safe", "+OK")
			in := receive(t, w.e.calls, "call")
			hit(x)
			in.reply(200)
			w.pendingID = "m"
		},
		"half a line of an answer": func(t *testing.T, w *signalCase, hit func(*process)) {
			x := startProcess(t, w.p, w.dir, w.known)
			watch := dialClient(t, x.addr)
			watch.put("m", "safe", "+OK")
			in := receive(t, w.e.calls, "call")
			io.WriteString(in.conn, "HTTP/1.1 20")
			hit(x)
			for w.sig == syscall.SIGTERM && watch.do("PING") != "-ERR stopping" { // until it is known
			}
			io.WriteString(in.conn, "0 OK\r\nContent-Length: 0\r\n\r\n")
			in.keepReading <- false
			w.pendingID = "m"
		},
		"a stop, with a call": func(t *testing.T, w *signalCase, hit func(*process)) {
			x := startProcess(t, w.p, w.dir, w.known)
			c := dialClient(t, x.addr)
			c.put("m", "safe", "+OK")
			in := receive(t, w.e.calls, "call")
			x.term()
			for c.readLine() != "" { // until it sends its clients away
			}
			w.survives = false
			hit(x)
			in.reply(200)
			w.pendingID = "m"
		},
	}
	for name, step := range steps {
		for _, sig := range signals {
			t.Run(fmt.Sprintf("%s, %v", name, sig), func(t *testing.T) {
				t.Parallel()
				w := &signalCase{p: newPlatform(t), e: newEndpoint(t), dir: t.TempDir(), sig: sig, survives: sig == syscall.SIGHUP}
				w.known = List{Generation: 1, Reset: true, Instances: instances(w.e)}
				w.p.list = w.known
				var x *process
				step(t, w, func(y *process) {
					x = y
					if sig == syscall.SIGKILL { // gone before anything else happens
						x.kill()
						return
					}
					if err := x.cmd.Process.Signal(sig); err != nil {
						t.Fatal(err)
					}
				})
				switch {
				case sig == syscall.SIGKILL && w.pendingID == "":
				case sig == syscall.SIGKILL:
					y := startProcess(t, w.p, w.dir, w.known)
					if in := receive(t, w.e.calls, "call again"); in.id() != w.pendingID {
						t.Errorf("call with %s", in.id())
					} else {
						in.reply(200)
					}
					y.term()
					y.end()
				case w.survives:
					x.term()
					x.end()
				default:
					x.end()
				}
				if ids := pendingMessageIDs(t, w.dir); ids != nil {
					t.Errorf("still owed: %v", ids)
				}
				if len(w.p.notices) != 0 {
					t.Errorf("notice %+v", <-w.p.notices)
				}
			})
		}
	}
}

// crossing is a sender that a signal meets in the middle of something.
type signalCase struct {
	p         *testPlatform
	e         *testEndpoint
	dir       string
	known     List
	sig       syscall.Signal
	survives  bool   // the process goes on after the signal
	pendingID string // the message that a kill leaves in the journal
}

// A client that sends much at once and goes has handed in what came whole; the sender delivers that and serves on.
func TestClientSendsAndDisconnects(t *testing.T) {
	n, c, _, e := startNodeWithEndpoints(t, 1)
	var b strings.Builder
	for i := range 5 {
		id := fmt.Sprint("m-", i)
		fmt.Fprintf(&b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n", len(id), id)
	}
	gone := dialClient(t, n.addr)
	io.WriteString(gone.conn, b.String()+"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$4\r\nha")
	gone.conn.Close()
	for got := map[string]bool{}; len(got) < 5; {
		in := receive(t, e[0].calls, "call")
		got[in.id()] = true
		in.reply(200)
	}
	c.put("next", "safe", "+OK")
	in := receive(t, e[0].calls, "call")
	if in.id() != "next" {
		t.Errorf("call with %s", in.id())
	}
	in.reply(200)
	stopAndCheckEmpty(t, n)
}

// Many clients that send much at once and go by a reset, with their answers unread, leave nothing behind: no place, no
// memory of large requests, nothing that was taken on and has no end. Beside them others are served.
func TestFloodsLeakNothing(t *testing.T) {
	n, c, p, e := startNodeWithEndpoints(t, 1)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case in := <-e[0].calls:
				in.reply(200)
			case <-p.notices: // what there was no room for is returned
			case <-stop:
				return
			}
		}
	}()
	large := strings.Repeat("x", 2*smallRequestBytes)
	for i := range 20 {
		gone := dialClient(t, n.addr)
		var b strings.Builder
		for k := range 50 {
			id := fmt.Sprintf("%04d-%04d", i, k)
			fmt.Fprintf(&b, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$9\r\n%s\r\n$20\r\nc=safe,d=3000,dest=1\r\n$%d\r\n%s\r\n", id, len(large), large)
		}
		io.WriteString(gone.conn, b.String()[:b.Len()-100*(i%2)]) // every second one stops within a request; one may be cut short
		gone.conn.(*net.TCPConn).SetLinger(0)
		gone.conn.Close()
		if got := c.do("PING"); got != "+PONG" {
			t.Fatalf("after %d floods PING gets %q", i+1, got)
		}
	}
	for stop := time.Now().Add(testTimeout); ; {
		n.clients.mu.Lock()
		left := len(n.clients.sessions)
		n.clients.mu.Unlock()
		if left <= 1 && len(n.clients.largeSlots) == 0 { // that of c, at most
			break
		}
		if time.Now().After(stop) {
			t.Fatalf("%d sessions and %d large requests are left", left, len(n.clients.largeSlots))
		}
	}
	stopAndCheckEmpty(t, n)
}

// What a class may do comes from its settings, not from its name, and holds beside a class of the other effect.
func TestEffectComesFromTheSettings(t *testing.T) {
	for _, swapped := range []bool{false, true} {
		p, e := newPlatform(t), newEndpoint(t)
		p.list = List{Generation: 1, Reset: true, Instances: instances(e)}
		text := string(configText(p, p.list))
		if swapped {
			text = strings.NewReplacer(`"retryable"`, `"fragile"`, `"fragile"`, `"retryable"`).Replace(text)
		}
		n := startNodeWithConfig(t, text, t.TempDir())
		c := dialClient(t, n.addr)
		repeats, ends := "safe", "unsafe"
		if swapped {
			repeats, ends = ends, repeats
		}
		c.put("r", repeats, "+OK")
		first := receive(t, e.calls, "call")
		c.put("f", ends, "+OK")
		second := receive(t, e.calls, "call")
		second.reset()
		if x := receive(t, p.notices, "notice"); x != (Notice{ID: "f", State: "failed"}) {
			t.Errorf("swapped %v: notice %+v", swapped, x)
		}
		first.reset()
		if in := receive(t, e.calls, "call again"); in.id() != "r" {
			t.Errorf("swapped %v: call with %s", swapped, in.id())
		} else {
			in.reply(200)
		}
		stopAndCheckEmpty(t, n)
	}
}

// A client may send on and on until its connection is closed, also while the sender shuts down. Each request that is read
// has its answer, and what is sent on, or left for the next start, has been taken on by that answer.
func TestFloodAcrossShutdown(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	x := startProcess(t, p, dir, known)
	sent := make(chan string, 1<<16)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case in := <-e.calls:
				sent <- in.id()
				in.reply(200)
			case <-stop:
				return
			}
		}
	}()
	c := dialClient(t, x.addr)
	go func() {
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(c.conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$8\r\n%08d\r\n$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n", i); err != nil {
				return // the sender has closed the connection
			}
		}
	}()
	taken := map[string]bool{}
	answers := 0
	for {
		line, err := c.r.ReadString('\n')
		if err == io.EOF && line == "" { // in good order: a reset may come in the middle of what was read
			break
		} else if err != nil {
			t.Fatalf("after %d answers: %v", answers, err)
		}
		switch line = strings.TrimRight(line, "\r\n"); {
		case line == "+OK":
			taken[fmt.Sprintf("%08d", answers)] = true
		case !strings.HasPrefix(line, "-"):
			t.Fatalf("answer %d: %q", answers, line)
		}
		if answers++; answers == 100 {
			x.term()
		}
	}
	x.end()
	ids := pendingMessageIDs(t, dir)
	for len(sent) > 0 {
		ids = append(ids, <-sent)
	}
	for _, id := range ids {
		if !taken[id] {
			t.Errorf("%s went on, and its client has no answer", id)
		}
	}
	if len(ids) == 0 {
		t.Error("nothing was sent on")
	}
	t.Logf("%d answers, %d taken on, %d sent on or owed", answers, len(taken), len(ids))
}
