package node

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rundeal/logic"
)

// upgradeWorld is a program with an endpoint, and where the next one is to start.
type upgradeWorld struct {
	t     *testing.T
	p     *testPlatform
	e     *testEndpoint
	dir   string
	known List
}

func newUpgradeWorld(t *testing.T) *upgradeWorld {
	p, e := newPlatform(t), newEndpoint(t)
	w := &upgradeWorld{t: t, p: p, e: e, dir: t.TempDir(), known: List{Generation: 1, Reset: true, Instances: instances(e)}}
	p.list = w.known
	return w
}

func (w *upgradeWorld) start() *process { return startProcess(w.t, w.p, w.dir, w.known) }

// beside starts the program while another serves, and waits for its yes.
func (w *upgradeWorld) beside() *process {
	w.t.Helper()
	x := launchProcess(w.t, w.p, w.dir, w.known)
	x.says("stands by")
	if got := ask(w.t, x.admin, "ready\n"); got != "+OK\n" {
		w.t.Fatalf("ready: %q", got)
	}
	return x
}

// takeOver waits until x serves.
func (x *process) takeOver() {
	x.t.Helper()
	x.addr = receive(x.t, x.ready, "ready program")
}

// The old process keeps its clients and calls until they are done, and the new one owns what becomes of them: no
// charge fails, none runs twice, and clients see no break. Twice in a row.
func TestUpgrade(t *testing.T) {
	w := newUpgradeWorld(t)
	x := w.start()
	for round := range 2 {
		c := dialClient(t, x.addr)
		id := func(s string) string { return fmt.Sprint(s, round) }
		c.put(id("charge"), "unsafe", "+OK")
		charge := receive(t, w.e.calls, "call")
		half := dialClient(t, x.addr)
		io.WriteString(half.conn, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$5\r\n"+id("half")+"\r\n")
		next := w.beside()
		if got := ask(t, next.admin, "resume\n"); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("a process that stands by can be brought to serve: %q", got)
		}
		x.term()
		next.takeOver()
		if next.addr != x.addr {
			t.Fatalf("serves at %s, want %s", next.addr, x.addr)
		}
		if got := ask(t, x.admin, "ready\n"); !strings.HasPrefix(got, "-ERR ") {
			t.Errorf("the old process is ready: %q", got)
		}
		io.WriteString(half.conn, "$20\r\nc=safe,d=9000,dest=1\r\n$1\r\nx\r\n") // read by the old process, taken by the new
		if got := half.readLine(); got != "+OK" {
			t.Errorf("relayed: %q", got)
		}
		in := receive(t, w.e.calls, "call for the relayed message")
		if in.id() != id("half") {
			t.Errorf("call with %s", in.id())
		}
		in.reply(200)
		if got := c.readLine(); got != "" {
			t.Errorf("an idle connection of the old process gets %q", got)
		}
		c = dialClient(t, next.addr)
		if got := c.do("PING"); got != "+PONG" {
			t.Errorf("PING: %q", got)
		}
		c.put(id("charge"), "unsafe", "+OK") // the new process knows that it has it
		c.put(id("new"), "unsafe", "+OK")
		receive(t, w.e.calls, "call").reply(200)
		text := ask(t, next.admin, "show-stat\n")
		if n := figure(t, text, "edge_balancer.open_requests"); n < 1 || n > 3 {
			t.Errorf("open_requests=%d", n)
		}
		charge.reply(200)
		x.end()
		x = next
		for stop := time.Now().Add(testTimeout); figure(t, text, "edge_balancer.operations.unsafe.fulfilled") < 2; {
			if time.Now().After(stop) {
				t.Fatalf("the charge is not told to be delivered:\n%s", text)
			}
			text = ask(t, x.admin, "show-stat\n")
		}
	}
	x.term()
	x.end()
	w.e.expectNoCall(t)
	if len(w.p.notices) != 0 {
		t.Errorf("notice %+v", <-w.p.notices)
	}
	if ids := pendingMessageIDs(t, w.dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}

// What the rules need remembered goes over: a told wait, and the attempts made.
func TestUpgradeKeepsWaits(t *testing.T) {
	w := newUpgradeWorld(t)
	x := w.start()
	dialClient(t, x.addr).put("a", "unsafe", "+OK")
	in := receive(t, w.e.calls, "call")
	next := w.beside()
	in.reply(429, "X-Come-Back-Ms: 1500")
	told := time.Now()
	waitForOp(t, w.dir, `"op":3`)
	x.term()
	next.takeOver()
	c := dialClient(t, next.addr)
	c.put("b", "unsafe", "+OK")
	for range 2 {
		in := receive(t, w.e.calls, "call")
		if d := in.at.Sub(told); d < 1500*time.Millisecond {
			t.Errorf("%s was sent %v after a wait of 1.5 s", in.id(), d)
		}
		in.reply(200)
	}
	x.end()
	next.term()
	next.end()
}

// waitForOp waits until the journal holds an operation.
func waitForOp(t *testing.T, dir, op string) {
	t.Helper()
	for stop := time.Now().Add(testTimeout); ; {
		b, err := os.ReadFile(dir + "/" + journalName)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(b), op) {
			return
		}
		if time.Now().After(stop) {
			t.Fatalf("no %s in the journal", op)
		}
	}
}

// A call that the old process takes with it at its SIGKILL may have run.
func TestUpgradeThenKill(t *testing.T) {
	w := newUpgradeWorld(t)
	x := w.start()
	c := dialClient(t, x.addr)
	c.put("u", "unsafe", "+OK")
	receive(t, w.e.calls, "call")
	c.put("s", "safe", "+OK")
	receive(t, w.e.calls, "call")
	next := w.beside()
	x.term()
	next.takeOver()
	x.kill()
	if n := receive(t, w.p.notices, "notice"); n != (Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	if in := receive(t, w.e.calls, "call again"); in.id() != "s" {
		t.Errorf("call with %s", in.id())
	} else {
		in.reply(200)
	}
	next.term()
	next.end()
	w.e.expectNoCall(t)
}

// A successor that dies before its turn changes nothing, and SIGTERM is then a plain end.
func TestSuccessorDies(t *testing.T) {
	w := newUpgradeWorld(t)
	x := w.start()
	w.beside().kill()
	x.says("the successor is gone")
	c := dialClient(t, x.addr)
	c.put("a", "unsafe", "+OK")
	receive(t, w.e.calls, "call").reply(200)
	x.term()
	x.end()
	if ids := pendingMessageIDs(t, w.dir); ids != nil {
		t.Errorf("still owed: %v", ids)
	}
}

// An owner that is killed: the process that stands by replays the journal, and the clients' socket outlives the kill.
func TestOwnerDies(t *testing.T) {
	w := newUpgradeWorld(t)
	x := w.start()
	c := dialClient(t, x.addr)
	c.put("u", "unsafe", "+OK")
	receive(t, w.e.calls, "call")
	next := w.beside()
	x.kill()
	late := dialClient(t, x.addr) // nobody may be serving yet
	next.takeOver()
	late.put("b", "safe", "+OK")
	receive(t, w.e.calls, "call").reply(200)
	if n := receive(t, w.p.notices, "notice"); n != (Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	next.term()
	next.end()
}

// SIGHUP while two processes are there: the one that stands by follows discovery, and so does its word of what is owed.
func TestReloadDuringUpgrade(t *testing.T) {
	w := newUpgradeWorld(t)
	fresh := newPlatform(t)
	fresh.list = List{Generation: 7, Reset: true, Instances: instances(w.e)}
	x := w.start()
	c := dialClient(t, x.addr)
	c.put("u", "unsafe", "+OK")
	in := receive(t, w.e.calls, "call")
	next := w.beside()
	next.hup(configText(fresh, w.known))
	x.term()
	next.takeOver()
	if q := receive(t, fresh.listRequests, "call at the new address"); q != "" {
		t.Errorf("asked %q, want the whole list", q)
	}
	in.reply(500)
	if n := receive(t, fresh.notices, "notice at the new address"); n != (Notice{ID: "u", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	x.end()
	next.term()
	next.end()
}

// fakeOwner holds the lock as an owner would, and hands over as a test says.
func fakeOwner(t *testing.T, dir string) (lock *os.File, accept func() *link) {
	t.Helper()
	lock, err := tryLock(dir)
	if err != nil || lock == nil {
		t.Fatal(lock, err)
	}
	ln, err := listenForSuccessor(dir)
	if err != nil {
		t.Fatal(err)
	}
	clients, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lock.Close(); ln.Close(); clients.Close() })
	return lock, func() *link {
		t.Helper()
		ln.SetDeadline(time.Now().Add(testTimeout))
		conn, err := ln.AcceptUnix()
		if err != nil {
			t.Fatal(err)
		}
		l := &link{conn: conn}
		if err := l.hear(); err != nil {
			t.Fatal(err)
		}
		if err := l.welcome("127.0.0.1:0", clients.(*net.TCPListener)); err != nil {
			t.Fatal(err)
		}
		return l
	}
}

// A handover that is torn, or that makes no sense, is refused, and what the journal holds is served from there.
func TestTornHandover(t *testing.T) {
	whole := []byte(`{"State":{"Module":"e30="}}`)
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(whole)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.ChecksumIEEE(whole))
	frame = append(frame, whole...)
	spoilt := append([]byte{}, frame...)
	spoilt[len(spoilt)-4] ^= 1
	for name, b := range map[string][]byte{"nothing": nil, "a byte": frame[:1], "half a head": frame[:5], "a head": frame[:8],
		"all but one byte": frame[:len(frame)-1], "spoilt": spoilt, "no module": frame,
		"too long": {255, 255, 255, 255, 0, 0, 0, 0}} {
		t.Run(name, func(t *testing.T) {
			w := newUpgradeWorld(t)
			lock, accept := fakeOwner(t, w.dir)
			j := openJournal(t, w.dir, 3e6)
			m := Message{ID: "kept", Class: "unsafe", Dest: 1, Deadline: time.Now().Add(time.Minute).UnixMicro(), Body: []byte("x")}
			if err := j.Append([]record{{Op: opAccept, Entry: &Entry{Message: m}}}); err != nil {
				t.Fatal(err)
			}
			x := launchProcess(t, w.p, w.dir, w.known)
			l := accept()
			l.conn.Write(b)
			l.close()
			x.says("no handover")
			lock.Close()
			x.takeOver()
			if in := receive(t, w.e.calls, "call"); in.id() != "kept" {
				t.Errorf("call with %s", in.id())
			} else {
				in.reply(200)
			}
			x.term()
			x.end()
		})
	}
}

// A successor that takes the state and then dies, or does not understand it, leaves the owner what it was: it ends as
// without one, and owes nothing more than before.
func TestHandoverNotTaken(t *testing.T) {
	for name, say := range map[string]func(*link) error{
		"dies":    func(*link) error { return nil },
		"refuses": func(l *link) error { return l.write(packet{Refused: "no"}) },
		"babbles": func(l *link) error { _, err := l.conn.Write([]byte("+OK\r\n+OK\r\n+OK\r\n")); return err },
	} {
		t.Run(name, func(t *testing.T) {
			w := newUpgradeWorld(t)
			x := w.start()
			dialClient(t, x.addr).put("u", "unsafe", "+OK")
			in := receive(t, w.e.calls, "call")
			l, err := dialOwner(w.dir)
			if err != nil {
				t.Fatal(err)
			}
			ln, err := l.greet("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			ln.Close()
			x.says("a successor stands by")
			x.term()
			var p packet
			if err := l.read(&p, time.Now().Add(testTimeout)); err != nil || p.State == nil {
				t.Fatal(p, err)
			}
			if err := say(l); err != nil {
				t.Fatal(err)
			}
			l.close()
			x.says("the handover failed")
			in.reply(200)
			x.end()
			if ids := pendingMessageIDs(t, w.dir); ids != nil {
				t.Errorf("still owed: %v", ids)
			}
		})
	}
}

// refusing is a listener that fails so many times, and is then closed.
type refusing int

func (f *refusing) AcceptUnix() (*net.UnixConn, error) {
	if *f--; *f >= 0 {
		return nil, syscall.ENOSYS
	}
	return nil, net.ErrClosed
}

func (f *refusing) Close() error { return nil }

// Where the platform refuses Unix sockets, the log has one line of it, not one every few milliseconds.
func TestRefusedHandoverIsLoggedOnce(t *testing.T) {
	var log strings.Builder
	n := &Node{log: slog.New(slog.NewTextHandler(&log, nil))}
	ln := refusing(4)
	n.awaitSuccessors(context.Background(), &ln, nil)
	if got := strings.Count(log.String(), "\n"); got != 1 {
		t.Errorf("%d lines:\n%s", got, log.String())
	}
}

// A state folder in which the handover's socket cannot be made is one that a sender serves from all the same.
func TestServesWithoutTheHandoverSocket(t *testing.T) {
	w := newUpgradeWorld(t)
	if err := os.MkdirAll(filepath.Join(w.dir, socketName, "foreign"), 0o700); err != nil {
		t.Fatal(err)
	}
	x := w.start()
	dialClient(t, x.addr).put("m1", "safe", "+OK")
	receive(t, w.e.calls, "call").reply(200)
	x.term()
	x.end()
}

// A call of the process before is out for this one too: a wait holds it back while it connects there, and its
// endpoint is in use until it ends.
func TestCallOfTheProcessBeforeIsOut(t *testing.T) {
	old, n := emptyNode(t, t.TempDir()), emptyNode(t, t.TempDir())
	rec := accept("a", 10)
	mustAppend(t, n.journal, rec)
	old.active["a"] = &activeMessage{msg: &rec.Entry.Message}
	old.attemptStarted(old.active["a"], &call{id: "a", ep: 7, state: new(atomic.Int32)}, func() {})
	st, err := old.handoverState()
	if err != nil {
		t.Fatal(err)
	}
	n.predecessor = &predecessor{link: &link{conn: new(net.UnixConn)}, out: map[string]*call{}}
	if err := n.adopt(st); err != nil {
		t.Fatal(err)
	}
	c := n.predecessor.out["a"]
	if c == nil || !n.calledEndpoints()[7] {
		t.Fatalf("call %v, endpoints in use %v", c, n.calledEndpoints())
	}
	if n.abortForWait(7); c.state.Load() != callHeld {
		t.Errorf("a wait leaves the call in state %d", c.state.Load())
	}
	n.handleAttemptResult(attemptResultEvent{call: c, result: result{outcome: logic.Moot}})
	if len(n.calledEndpoints()) != 0 {
		t.Errorf("endpoints in use after the end: %v", n.calledEndpoints())
	}
}
