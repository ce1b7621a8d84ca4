package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"rundeal/internal/faultinject"
)

// faultyProgram is the program with fault injection, built once for all tests.
var faultyProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "faulty")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "cometrack")
	return path, faultinject.Build(context.Background(), "../..", "./cmd/cometrack", path)
})

// startFaulty starts the program with a plan and waits until operators can ask it, if it gets that far.
func startFaulty(t *testing.T, p *platform, dir string, text []byte, plan faultinject.Plan) *process {
	t.Helper()
	path, err := faultyProgram()
	if err != nil {
		t.Fatal(err)
	}
	plan.StateDir = dir
	file := filepath.Join(t.TempDir(), "plan")
	if err := plan.Save(file); err != nil {
		t.Fatal(err)
	}
	return execProgram(t, path, p, dir, text, faultinject.EnvPlan+"="+file)
}

// faultsBegin is when faults begin that must not meet the start of a process, which a busy machine makes long.
const faultsBegin = 4 * time.Second

// planTime is the time that plans count from: now, and the program is built.
func planTime() time.Duration {
	faultyProgram() // startFaulty tells of its error
	return faultinject.Now()
}

// faultsFor makes calls on the state folder fail from now on for a while.
func faultsFor(span time.Duration, errno syscall.Errno, calls ...string) (faults []faultinject.Fault) {
	now := planTime()
	for _, call := range calls {
		faults = append(faults, faultinject.Fault{Call: call, Target: faultinject.StateFiles, Errno: errno, From: now, To: now + span, Probability: 1})
	}
	return faults
}

// takeOn has a sender take on messages that it holds back, since its only endpoint has told it to wait.
func takeOn(t *testing.T, x *process, e *endpoint, ms, many int) (ids map[string]bool) {
	t.Helper()
	c := dial(t, x.addr)
	c.putFor("first", "safe", ms, "+OK")
	await(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	ids = map[string]bool{"first": true}
	for i := range many {
		id := fmt.Sprint("held-", i)
		c.putFor(id, []string{"safe", "unsafe"}[i%2], ms, "+OK")
		ids[id] = true
	}
	return ids
}

// delivers checks that calls with all of ids come, and nothing else does.
func delivers(t *testing.T, p *platform, e *endpoint, ids map[string]bool) {
	t.Helper()
	for left := len(ids); left > 0; left-- {
		select {
		case in := <-e.calls:
			if !ids[in.id()] {
				t.Fatalf("call with %s", in.id())
			}
			in.reply(200)
		case n := <-p.notices:
			t.Fatalf("%d messages are left, and %s is %s", left, n.ID, n.State)
		case <-time.After(patience):
			t.Fatalf("%d messages are neither sent nor ended", left)
		}
	}
}

// Deadlines are spans of real time: a wall clock that is stepped while no process runs changes nothing for what was
// taken on. Seen before: stepped forward all of it was given up with no call, stepped back some was never ended.
func TestWallClockStepsOverARestart(t *testing.T) {
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := oneEndpoint(t)
			x := startProcess(t, p, dir, known)
			ids := takeOn(t, x, e, 16000, 6)
			x.kill()
			step := faultinject.Plan{ClockSteps: []faultinject.ClockStep{{At: planTime(), Offset: offset}}}
			x = startFaulty(t, p, dir, configText(p, known), step)
			x.addr = await(t, x.ready, "ready program")
			delivers(t, p, e, ids)
			x.kill()
			e.none(t)
			// What has no endpoint ends in its time.
			step.ClockSteps[0].Offset = -offset
			at := time.Now()
			p.set(func() {
				p.list = List{Generation: 2, Instances: append(instances(e), Instance{ID: "drains", HostPort: "127.0.0.1:1", Zone: "a",
					Kind: "std", Dest: 2, Lifecycle: "draining"})}
			})
			x = startFaulty(t, p, dir, configText(p, p.list), step)
			x.addr = await(t, x.ready, "ready program")
			if got := dial(t, x.addr).do("MSG.PUT", "0", "short", "c=unsafe,d=2500,dest=2", "x"); got != "+OK" {
				t.Fatalf("got %q", got)
			}
			x.kill()
			step.ClockSteps[0].Offset = 0
			x = startFaulty(t, p, dir, configText(p, p.list), step)
			await(t, x.ready, "ready program")
			n := await(t, p.notices, "notice")
			for n.ID != "short" { // a kill just behind an answer leaves open whether what may not be repeated has run
				n = await(t, p.notices, "notice")
			}
			if took := time.Since(at); took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
			x.kill()
		})
	}
}

// A read that fails for a moment is no torn end: what stands behind it is owed all the same.
func TestReadErrorAtAStartLosesNothing(t *testing.T) {
	p, e, dir, known := oneEndpoint(t)
	x := startProcess(t, p, dir, known)
	ids := takeOn(t, x, e, 16000, 6)
	x.kill()
	x = startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: faultsFor(1200*time.Millisecond, syscall.EIO, "read", "pread")})
	x.addr = await(t, x.ready, "ready program")
	delivers(t, p, e, ids)
	x.kill()
	e.none(t)
}

// What fails for a moment at a start keeps it from being ready for so long, and does not end the process.
func TestStartOutlivesTrouble(t *testing.T) {
	const span = 1500 * time.Millisecond
	for name, make := range map[string]func() []faultinject.Fault{
		"folder full":        func() []faultinject.Fault { return faultsFor(span, syscall.ENOSPC, "open", "pwrite", "truncate") },
		"folder fails":       func() []faultinject.Fault { return faultsFor(span, syscall.EIO, "open", "unlink", "truncate") },
		"truncation fails":   func() []faultinject.Fault { return faultsFor(span, syscall.EIO, "truncate") },
		"lock interrupted":   func() []faultinject.Fault { return faultsFor(span, syscall.EINTR, "lock") },
		"no socket":          func() []faultinject.Fault { return anywhere(span, syscall.ENOBUFS, "socket") },
		"address in use":     func() []faultinject.Fault { return anywhere(span, syscall.EADDRINUSE, "bind") },
		"no descriptor left": func() []faultinject.Fault { return anywhere(span, syscall.ENFILE, "open", "socket") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := oneEndpoint(t)
			x := startProcess(t, p, dir, known)
			ids := takeOn(t, x, e, 16000, 2)
			x.kill()
			begun := time.Now()
			x = startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: make()})
			select {
			case x.addr = <-x.ready:
			case err := <-x.done:
				t.Fatalf("ended with %v after %v", err, time.Since(begun))
			case <-time.After(span + 3*time.Second):
				t.Fatal("not ready after the trouble")
			}
			delivers(t, p, e, ids)
			x.kill()
		})
	}
}

// anywhere makes calls fail from now on for a while, whatever they are about.
func anywhere(span time.Duration, errno syscall.Errno, calls ...string) []faultinject.Fault {
	faults := faultsFor(span, errno, calls...)
	for i := range faults {
		faults[i].Target = faultinject.AnyTarget
	}
	return faults
}

// A write that fails says nothing of the next one: appends go on as soon as they work, though files can't be made yet.
func TestAppendsGoOnAfterAFailure(t *testing.T) {
	p, e, dir, known := oneEndpoint(t)
	now := planTime()
	later := now + faultsBegin
	var faults []faultinject.Fault
	for _, call := range []string{"open", "rename"} {
		faults = append(faults, faultinject.Fault{Call: call, Target: faultinject.StateFiles, Errno: syscall.EIO, From: later, To: now + time.Minute, Probability: 1})
	}
	faults = append(faults, faultinject.Fault{Call: "pwrite", Target: faultinject.StateFiles, Errno: syscall.ENOSPC, From: later, To: later + time.Second, Probability: 1})
	x := startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: faults})
	x.addr = await(t, x.ready, "ready program")
	c := dial(t, x.addr)
	go func() {
		for in := range e.calls {
			in.reply(200)
		}
	}()
	for i := 0; c.do("MSG.PUT", "0", fmt.Sprint("early-", i), "c=safe,d=9000,dest=1", "x") == "+OK"; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	for faultinject.Now() < later+1300*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	for i := range 5 {
		c.put(fmt.Sprint("later-", i), "safe", "+OK")
	}
	x.kill()
}

// A configuration that cannot be read for a moment is read again: the signal does not come twice.
func TestReloadOutlivesAReadThatFails(t *testing.T) {
	old, fresh, e, dir := newPlatform(t), newPlatform(t), newEndpoint(t), t.TempDir()
	known := List{Generation: 5, Reset: true, Instances: instances(e)}
	old.list, fresh.list = known, known
	now := planTime()
	x := startFaulty(t, old, dir, configText(old, known), faultinject.Plan{Faults: []faultinject.Fault{{Call: "open",
		Errno: syscall.ENFILE, From: now + 800*time.Millisecond, To: now + 1800*time.Millisecond, Probability: 1}}})
	await(t, x.ready, "ready program")
	for faultinject.Now() < now+time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	x.hup(configText(fresh, known))
	select {
	case <-fresh.asked:
	case <-time.After(3 * time.Second):
		t.Error("discovery has not moved")
	}
	x.kill()
}

// What is returned may be handed in again, so no later process may send it: the journal has its end before the platform
// is told, or its time is up.
func TestReturnedIsNeverSentByTheNextProcess(t *testing.T) {
	p, e, dir, known := oneEndpoint(t)
	now := planTime()
	x := startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{{Call: "pwrite", Target: faultinject.StateFiles,
		Errno: syscall.EIO, From: now + faultsBegin, To: now + time.Minute, Probability: 1}}})
	x.addr = await(t, x.ready, "ready program")
	c := dial(t, x.addr)
	const usual = time.Second // what a call takes: with less than that left a message is returned
	for i := range 5 {
		c.put(fmt.Sprint("usual-", i), "safe", "+OK")
	}
	for range 5 {
		in := await(t, e.calls, "call")
		time.AfterFunc(usual-time.Since(in.at), func() { in.reply(200) })
	}
	time.Sleep(usual + 50*time.Millisecond)
	c.put("told-to-wait", "safe", "+OK")
	await(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	const span = faultsBegin + time.Second // it is returned after they have begun
	taken := time.Now()
	c.putFor("held", "safe", int(span.Milliseconds()), "+OK")
	returned := false
	select {
	case n := <-p.notices:
		returned = n == Notice{ID: "held", State: "returned", AfterMS: n.AfterMS}
	case <-time.After(span - usual/2 - time.Since(taken)):
	}
	x.kill()
	x = startProcess(t, p, dir, known)
	for wait := time.After(span - time.Since(taken)); ; {
		select {
		case in := <-e.calls:
			in.reply(200)
			if in.id() == "held" && returned {
				t.Error("sent after it was returned")
			}
			continue
		case <-wait:
		}
		break
	}
	x.kill()
}

// A wait that a signal interrupts says nothing of the connection: it stays, and what comes on it is answered.
func TestInterruptedWaitsCloseNothing(t *testing.T) {
	p, e, dir, known := oneEndpoint(t)
	now := planTime()
	x := startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{{Call: "receive",
		Errno: syscall.EINTR, From: now, To: now + time.Minute, Probability: 0.5}}})
	x.addr = await(t, x.ready, "ready program")
	c := dial(t, x.addr)
	for i := range 40 {
		c.put(fmt.Sprint("m-", i), "safe", "+OK")
		await(t, e.calls, "call").reply(200)
	}
	x.kill()
}

// What keeps a new connection from being accepted is no reason to close one that rests.
func TestFailedAcceptsCloseNothing(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EHOSTUNREACH, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := oneEndpoint(t)
			now := planTime()
			x := startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{{Call: "accept",
				Errno: errno, From: now + 700*time.Millisecond, To: now + 1700*time.Millisecond, Probability: 0.9}}})
			x.addr = await(t, x.ready, "ready program")
			resting := dial(t, x.addr)
			resting.put("before", "safe", "+OK")
			await(t, e.calls, "call").reply(200)
			for faultinject.Now() < now+700*time.Millisecond {
				time.Sleep(10 * time.Millisecond)
			}
			for i := range 3 {
				dial(t, x.addr).put(fmt.Sprint("new-", i), "safe", "+OK")
				await(t, e.calls, "call").reply(200)
			}
			resting.put("after", "safe", "+OK")
			await(t, e.calls, "call").reply(200)
			x.kill()
		})
	}
}

// Whoever reads the log may stall or go away: the sender goes on.
func TestLogThatNobodyReads(t *testing.T) {
	for name, closed := range map[string]bool{"reader stalls": false, "reader is gone": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, _, dir, known := oneEndpoint(t)
			path, err := program()
			if err != nil {
				t.Fatal(err)
			}
			config := filepath.Join(t.TempDir(), "config.json")
			if err := os.WriteFile(config, configText(p, known), 0o600); err != nil {
				t.Fatal(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			addr := ln.Addr().String()
			ln.Close()
			r, w, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer r.Close()
			cmd := exec.Command(path)
			cmd.Stderr = w
			cmd.Env = append(os.Environ(), "BALANCER_LISTEN="+addr, "BALANCER_STATE="+dir, "BALANCER_CONFIG="+config)
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer cmd.Process.Kill()
			w.Close()
			if closed {
				r.Close()
			}
			for stop := time.Now().Add(patience); ; time.Sleep(10 * time.Millisecond) {
				if conn, err := net.Dial("tcp", addr); err == nil {
					conn.Close()
					break
				}
				if time.Now().After(stop) {
					t.Fatal("does not serve")
				}
			}
			c := dial(t, addr)
			c.conn.SetDeadline(time.Now().Add(patience))
			for i := range 900 { // too late to be sent: a line for each, more than a pipe holds
				if got := c.do("MSG.PUT", "0", fmt.Sprint("m-", i), "c=safe,d=1,dest=1", "x"); !strings.HasPrefix(got, "-BUSY") {
					t.Fatalf("put %d: got %q", i, got)
				}
			}
		})
	}
}

// A write that stops half way may leave whole records behind: what was refused with it must not be among them.
func TestRefusedIsNotLeftInTheFile(t *testing.T) {
	for i := range 16 { // where the write stops is a matter of chance
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			refuseHalfWritten(t)
		})
	}
}

func refuseHalfWritten(t *testing.T) {
	p, e, dir, known := oneEndpoint(t)
	now := planTime()
	state := func(call string, errno syscall.Errno, most int, chance float64) faultinject.Fault {
		return faultinject.Fault{Call: call, Target: faultinject.StateFiles, Errno: errno, MaxBytes: most, Probability: chance,
			From: now + faultsBegin, To: now + time.Minute}
	}
	x := startFaulty(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{
		state("pwrite", 0, 400, 1), state("pwrite", syscall.ENOSPC, 0, 0.5), state("open", syscall.EIO, 0, 1)}})
	x.addr = await(t, x.ready, "ready program")
	c := dial(t, x.addr)
	c.putFor("first", "safe", 16000, "+OK")
	await(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	for faultinject.Now() < now+faultsBegin+100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	c = dial(t, x.addr) // the first one may have been idle for too long
	refused := map[string]bool{}
	var batch strings.Builder // sent at once: several records in one write
	const many = 6
	for i := range many {
		id := fmt.Sprint("m-", i)
		opts := "c=unsafe,d=16000,dest=1"
		fmt.Fprintf(&batch, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n", len(id), id, len(opts), opts)
	}
	io.WriteString(c.conn, batch.String())
	for i := range many {
		refused[fmt.Sprint("m-", i)] = strings.HasPrefix(c.line(), "-BUSY")
	}
	x.kill()
	j := openJournal(t, dir, 3e6)
	for id, busy := range refused {
		if busy && j.Entry(id) != nil {
			t.Errorf("%s was refused and stands in the file", id)
		}
	}
}

// A process that stood by and takes over without a handover is the same sender: what the one before was told of an
// endpoint holds for it, and its own list may be old.
func TestTakeOverWithoutHandoverHeedsTheList(t *testing.T) {
	p, dir := newPlatform(t), t.TempDir()
	stays, drains := newEndpoint(t), newEndpoint(t)
	old := List{Generation: 1, Reset: true, Instances: instances(stays, drains)}
	p.list = old
	text := []byte(strings.Replace(string(configText(p, old)), `"on_request"`, `"pushed"`, 1))
	x := execProcess(t, p, dir, text)
	x.admin, x.addr = await(t, x.asked, "operators' address"), await(t, x.ready, "ready program")
	p.set(func() {
		news := instances(stays, drains)
		news[1].Lifecycle = "draining"
		p.list = List{Generation: 2, Instances: news[1:]}
	})
	x.says("generation=2")
	ids := takeOn(t, x, stays, 16000, 6)
	next := execProcess(t, p, dir, text)
	next.says("stands by")
	p.set(func() { p.silent = true })
	x.kill()
	time.AfterFunc(200*time.Millisecond, func() { p.set(func() { p.silent = false }) })
	await(t, next.ready, "ready program")
	for left := len(ids); left > 0; {
		select {
		case in := <-stays.calls:
			in.reply(200)
			left--
		case in := <-drains.calls:
			t.Fatalf("%s sent to an endpoint that drains", in.id())
		case <-time.After(patience):
			t.Fatalf("%d messages are not sent", left)
		}
	}
	next.kill()
}
