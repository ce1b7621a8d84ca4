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

// startWithFaults starts the program with a fault plan. It does not wait.
func startWithFaults(t *testing.T, p *testPlatform, dir string, config []byte, plan faultinject.Plan) *process {
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
	return execProgram(t, path, p, dir, config, faultinject.EnvPlan+"="+file)
}

// faultDelay is the delay of faults that must not begin before a process has started, which takes long on a busy
// machine.
const faultDelay = 4 * time.Second

// faultTime returns the current time as used in fault plans. It builds the program first, so that this takes no time
// afterwards.
func faultTime() time.Duration {
	faultyProgram() // startWithFaults reports the error
	return faultinject.Now()
}

// faultsFor returns faults that make system calls on the state folder fail from now on for a time span.
func faultsFor(span time.Duration, errno syscall.Errno, calls ...string) (faults []faultinject.Fault) {
	now := faultTime()
	for _, call := range calls {
		faults = append(faults, faultinject.Fault{
			Call:        call,
			Target:      faultinject.StateFiles,
			Errno:       errno,
			From:        now,
			To:          now + span,
			Probability: 1,
		})
	}
	return faults
}

// acceptUnsent has a sender accept messages that it does not send yet, because its only endpoint has requested a wait.
// It returns the ids of all messages that have not ended.
func acceptUnsent(t *testing.T, proc *process, e *testEndpoint, ms, many int) (ids map[string]bool) {
	t.Helper()
	c := dialClient(t, proc.addr)
	c.putWithLifetime("first", "safe", ms, "+OK")
	receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	ids = map[string]bool{"first": true}
	for i := range many {
		id := fmt.Sprint("unsent-", i)
		c.putWithLifetime(id, []string{"safe", "unsafe"}[i%2], ms, "+OK")
		ids[id] = true
	}
	return ids
}

// expectDelivered checks that all messages in ids are sent, no others, and that none is given up.
func expectDelivered(t *testing.T, p *testPlatform, e *testEndpoint, ids map[string]bool) {
	t.Helper()
	for left := len(ids); left > 0; left-- {
		select {
		case in := <-e.calls:
			if !ids[in.id()] {
				t.Fatalf("call with %s", in.id())
			}
			in.reply(200)
		case notice := <-p.notices:
			t.Fatalf("with %d messages left, %s is %s", left, notice.ID, notice.State)
		case <-time.After(testTimeout):
			t.Fatalf("%d messages are neither sent nor ended", left)
		}
	}
}

// Deadlines are spans of real time, so stepping the wall clock while no process runs must not affect accepted messages.
// Earlier, after a step forward all of them were given up without a call, and after a step back some never ended.
func TestWallClockStepAcrossRestart(t *testing.T) {
	if _, err := faultyProgram(); err != nil { // built first, so that no message waits for it
		t.Fatal(err)
	}
	for _, offset := range []time.Duration{time.Hour, -time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			proc := startProcess(t, p, dir, known)
			ids := acceptUnsent(t, proc, e, 16000, 6)
			proc.kill()
			step := faultinject.Plan{ClockSteps: []faultinject.ClockStep{{At: faultTime(), Offset: offset}}}
			proc = startWithFaults(t, p, dir, configText(p, known), step)
			proc.addr = receive(t, proc.ready, "ready program")
			expectDelivered(t, p, e, ids)
			proc.kill()
			e.expectNoCall(t)
			// A message without a usable endpoint must end by its deadline.
			step.ClockSteps[0].Offset = -offset
			at := time.Now()
			p.update(func() {
				p.list = EndpointList{Generation: 2, Instances: append(instances(e), Instance{
					ID:          "drains",
					HostPort:    "127.0.0.1:1",
					Zone:        "a",
					MachineType: "std",
					Dest:        2,
					Lifecycle:   "draining",
				})}
			})
			proc = startWithFaults(t, p, dir, configText(p, p.list), step)
			proc.addr = receive(t, proc.ready, "ready program")
			if got := dialClient(t, proc.addr).do("MSG.PUT", "0", "short", "c=unsafe,d=2500,dest=2", "x"); got != "+OK" {
				t.Fatalf("got %q", got)
			}
			proc.kill()
			step.ClockSteps[0].Offset = 0
			proc = startWithFaults(t, p, dir, configText(p, p.list), step)
			receive(t, proc.ready, "ready program")
			notice := receive(t, p.notices, "notice")
			for notice.ID != "short" { // after a kill right after a reply, unsafe messages may have run and fail
				notice = receive(t, p.notices, "notice")
			}
			if took := time.Since(at); took > 4*time.Second {
				t.Errorf("ended after %v", took)
			}
			proc.kill()
		})
	}
}

// A transient read error must not be taken for the end of the journal: the messages in the records after it would be
// lost.
func TestReadErrorAtStartLosesNothing(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	proc := startProcess(t, p, dir, known)
	ids := acceptUnsent(t, proc, e, 16000, 6)
	proc.kill()
	proc = startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{
		Faults: faultsFor(1200*time.Millisecond, syscall.EIO, "read", "pread"),
	})
	proc.addr = receive(t, proc.ready, "ready program")
	expectDelivered(t, p, e, ids)
	proc.kill()
	e.expectNoCall(t)
}

// A transient error at the start may delay readiness for as long as it lasts, but must not end the process.
func TestStartSurvivesTransientErrors(t *testing.T) {
	const span = 1500 * time.Millisecond
	for name, makeFaults := range map[string]func() []faultinject.Fault{
		"state folder full": func() []faultinject.Fault {
			return faultsFor(span, syscall.ENOSPC, "open", "pwrite", "truncate")
		},
		"state folder fails": func() []faultinject.Fault {
			return faultsFor(span, syscall.EIO, "open", "unlink", "truncate")
		},
		"truncation fails":   func() []faultinject.Fault { return faultsFor(span, syscall.EIO, "truncate") },
		"lock interrupted":   func() []faultinject.Fault { return faultsFor(span, syscall.EINTR, "lock") },
		"no socket":          func() []faultinject.Fault { return faultsAnywhere(span, syscall.ENOBUFS, "socket") },
		"address in use":     func() []faultinject.Fault { return faultsAnywhere(span, syscall.EADDRINUSE, "bind") },
		"no descriptor left": func() []faultinject.Fault { return faultsAnywhere(span, syscall.ENFILE, "open", "socket") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			proc := startProcess(t, p, dir, known)
			ids := acceptUnsent(t, proc, e, 16000, 2)
			proc.kill()
			startedAt := time.Now()
			proc = startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{Faults: makeFaults()})
			select {
			case proc.addr = <-proc.ready:
			case err := <-proc.exited:
				t.Fatalf("ended with %v after %v", err, time.Since(startedAt))
			case <-time.After(span + 3*time.Second):
				t.Fatal("not ready after the errors have ended")
			}
			expectDelivered(t, p, e, ids)
			proc.kill()
		})
	}
}

// faultsAnywhere is faultsFor without the restriction to the state folder.
func faultsAnywhere(span time.Duration, errno syscall.Errno, calls ...string) []faultinject.Fault {
	faults := faultsFor(span, errno, calls...)
	for i := range faults {
		faults[i].Target = faultinject.AnyTarget
	}
	return faults
}

// After a failed write, appends to the journal must resume as soon as writing works again, even if no new file can be
// created.
func TestAppendsResumeAfterFailure(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	now := faultTime()
	later := now + faultDelay
	var faults []faultinject.Fault
	for _, call := range []string{"open", "rename"} {
		faults = append(faults, faultinject.Fault{
			Call:        call,
			Target:      faultinject.StateFiles,
			Errno:       syscall.EIO,
			From:        later,
			To:          now + time.Minute,
			Probability: 1,
		})
	}
	faults = append(faults, faultinject.Fault{
		Call:        "pwrite",
		Target:      faultinject.StateFiles,
		Errno:       syscall.ENOSPC,
		From:        later,
		To:          later + time.Second,
		Probability: 1,
	})
	proc := startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{Faults: faults})
	proc.addr = receive(t, proc.ready, "ready program")
	c := dialClient(t, proc.addr)
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
	proc.kill()
}

// If the configuration cannot be read for a moment, the reload must be retried, because the signal is not repeated.
func TestReloadRetriesFailedRead(t *testing.T) {
	old, fresh, e, dir := newPlatform(t), newPlatform(t), newEndpoint(t), t.TempDir()
	known := EndpointList{Generation: 5, Reset: true, Instances: instances(e)}
	old.list, fresh.list = known, known
	now := faultTime()
	proc := startWithFaults(t, old, dir, configText(old, known), faultinject.Plan{Faults: []faultinject.Fault{{
		Call:        "open",
		Errno:       syscall.ENFILE,
		From:        now + 800*time.Millisecond,
		To:          now + 1800*time.Millisecond,
		Probability: 1,
	}}})
	receive(t, proc.ready, "ready program")
	for faultinject.Now() < now+time.Second {
		time.Sleep(10 * time.Millisecond)
	}
	proc.reload(configText(fresh, known))
	select {
	case <-fresh.listRequests:
	case <-time.After(3 * time.Second):
		t.Error("discovery has not switched to the new address")
	}
	proc.kill()
}

// A returned message may be submitted again, so no later process may send it. The platform must therefore be notified
// only after the journal has the record, or when the message's deadline has come.
func TestReturnedIsNotSentAfterRestart(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	now := faultTime()
	proc := startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{{
		Call:        "pwrite",
		Target:      faultinject.StateFiles,
		Errno:       syscall.EIO,
		From:        now + faultDelay,
		To:          now + time.Minute,
		Probability: 1,
	}}})
	proc.addr = receive(t, proc.ready, "ready program")
	c := dialClient(t, proc.addr)
	const callTime = time.Second // duration of a call; a message with less time left is returned
	for i := range 5 {
		c.put(fmt.Sprint("early-", i), "safe", "+OK")
	}
	for range 5 {
		in := receive(t, e.calls, "call")
		time.AfterFunc(callTime-time.Since(in.at), func() { in.reply(200) })
	}
	time.Sleep(callTime + 50*time.Millisecond)
	c.put("wait-requested", "safe", "+OK")
	receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	const span = faultDelay + time.Second // the message is returned after the faults have begun
	submitted := time.Now()
	c.putWithLifetime("late", "safe", int(span.Milliseconds()), "+OK")
	returned := false
	select {
	case notice := <-p.notices:
		returned = notice == Notice{ID: "late", State: "returned", AfterMS: notice.AfterMS}
	case <-time.After(span - callTime/2 - time.Since(submitted)):
	}
	proc.kill()
	proc = startProcess(t, p, dir, known)
	for wait := time.After(span - time.Since(submitted)); ; {
		select {
		case in := <-e.calls:
			in.reply(200)
			if in.id() == "late" && returned {
				t.Error("sent after it was returned")
			}
			continue
		case <-wait:
		}
		break
	}
	proc.kill()
}

// A read interrupted by a signal must not close the connection: it stays open, and requests on it get replies.
func TestInterruptedReadKeepsConnection(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	now := faultTime()
	proc := startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{{
		Call:        "receive",
		Errno:       syscall.EINTR,
		From:        now,
		To:          now + time.Minute,
		Probability: 0.5,
	}}})
	proc.addr = receive(t, proc.ready, "ready program")
	c := dialClient(t, proc.addr)
	for i := range 40 {
		c.put(fmt.Sprint("m-", i), "safe", "+OK")
		receive(t, e.calls, "call").reply(200)
	}
	proc.kill()
}

// An error in accepting a new connection must not close an idle one.
func TestFailedAcceptKeepsIdleConnection(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EHOSTUNREACH, syscall.ECONNABORTED} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			p, e, dir, known := newSingleEndpoint(t)
			now := faultTime()
			proc := startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{{
				Call:        "accept",
				Errno:       errno,
				From:        now + 700*time.Millisecond,
				To:          now + 1700*time.Millisecond,
				Probability: 0.9,
			}}})
			proc.addr = receive(t, proc.ready, "ready program")
			idle := dialClient(t, proc.addr)
			idle.put("before", "safe", "+OK")
			receive(t, e.calls, "call").reply(200)
			for faultinject.Now() < now+700*time.Millisecond {
				time.Sleep(10 * time.Millisecond)
			}
			for i := range 3 {
				dialClient(t, proc.addr).put(fmt.Sprint("new-", i), "safe", "+OK")
				receive(t, e.calls, "call").reply(200)
			}
			idle.put("after", "safe", "+OK")
			receive(t, e.calls, "call").reply(200)
			proc.kill()
		})
	}
}

// The sender must keep serving if the reader of its log stalls or exits.
func TestUnreadLogDoesNotBlock(t *testing.T) {
	for name, closed := range map[string]bool{"reader stalls": false, "reader exits": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, _, dir, known := newSingleEndpoint(t)
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
			for stop := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
				if conn, err := net.Dial("tcp", addr); err == nil {
					conn.Close()
					break
				}
				if time.Now().After(stop) {
					t.Fatal("does not serve")
				}
			}
			c := dialClient(t, addr)
			c.conn.SetDeadline(time.Now().Add(testTimeout))
			for i := range 900 { // too late to be sent; each logs a line, together more than a pipe holds
				if got := c.do("MSG.PUT", "0", fmt.Sprint("m-", i), "c=safe,d=1,dest=1", "x"); !strings.HasPrefix(got, "-BUSY") {
					t.Fatalf("put %d: got %q", i, got)
				}
			}
		})
	}
}

// A write that fails halfway may leave complete records in the file. No message that was rejected because of it may be
// among them.
func TestRejectedIsNotLeftInJournal(t *testing.T) {
	for i := range 16 { // the position of the failure is random
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			testRejectedPartialWrite(t)
		})
	}
}

func testRejectedPartialWrite(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	now := faultTime()
	fault := func(call string, errno syscall.Errno, maxBytes int, probability float64) faultinject.Fault {
		return faultinject.Fault{
			Call:        call,
			Target:      faultinject.StateFiles,
			Errno:       errno,
			MaxBytes:    maxBytes,
			Probability: probability,
			From:        now + faultDelay,
			To:          now + time.Minute,
		}
	}
	proc := startWithFaults(t, p, dir, configText(p, known), faultinject.Plan{Faults: []faultinject.Fault{
		fault("pwrite", 0, 400, 1),
		fault("pwrite", syscall.ENOSPC, 0, 0.5),
		fault("open", syscall.EIO, 0, 1),
	}})
	proc.addr = receive(t, proc.ready, "ready program")
	c := dialClient(t, proc.addr)
	c.putWithLifetime("first", "safe", 16000, "+OK")
	receive(t, e.calls, "call").reply(429, "X-Come-Back-Ms: 60000")
	for faultinject.Now() < now+faultDelay+100*time.Millisecond {
		time.Sleep(10 * time.Millisecond)
	}
	c = dialClient(t, proc.addr) // the first connection may have been closed as idle
	rejected := map[string]bool{}
	var batch strings.Builder // sent together, so that one write has several records
	const many = 6
	for i := range many {
		id := fmt.Sprint("m-", i)
		opts := "c=unsafe,d=16000,dest=1"
		fmt.Fprintf(&batch, "*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n$1\r\nx\r\n",
			len(id), id, len(opts), opts)
	}
	io.WriteString(c.conn, batch.String())
	for i := range many {
		rejected[fmt.Sprint("m-", i)] = strings.HasPrefix(c.readLine(), "-BUSY")
	}
	proc.kill()
	j := openJournal(t, dir, 3e6)
	for id, busy := range rejected {
		if busy && j.Entry(id) != nil {
			t.Errorf("%s was rejected and is in the file", id)
		}
	}
}

// A standby process that takes over without a handover continues for the same sender. Changes of the list that the
// previous owner has received must apply to it too, although its own list may be older.
func TestTakeoverWithoutHandoverUsesNewList(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		t.Run(mode, func(t *testing.T) { checkTakeoverWithoutHandover(t, mode) })
	}
}

func checkTakeoverWithoutHandover(t *testing.T, mode string) {
	t.Helper()
	p, dir := newPlatform(t), t.TempDir()
	available, draining := newEndpoint(t), newEndpoint(t)
	old := EndpointList{Generation: 1, Reset: true, Instances: instances(available, draining)}
	p.list = old
	text := []byte(strings.Replace(string(configText(p, old)), `"on_request"`, fmt.Sprintf("%q", mode), 1))
	proc := execProcess(t, p, dir, text)
	proc.adminAddr, proc.addr = receive(t, proc.adminReady, "operators' address"), receive(t, proc.ready, "ready program")
	p.update(func() {
		changed := instances(available, draining)
		changed[1].Lifecycle = "draining"
		p.list = EndpointList{Generation: 2, Instances: changed[1:]}
	})
	proc.awaitLog("generation=2")
	ids := acceptUnsent(t, proc, available, 16000, 6)
	next := execProcess(t, p, dir, text)
	next.awaitLog("stands by")
	p.update(func() { p.holdLists = true })
	proc.kill()
	time.AfterFunc(200*time.Millisecond, func() { p.update(func() { p.holdLists = false }) })
	receive(t, next.ready, "ready program")
	for left := len(ids); left > 0; {
		select {
		case in := <-available.calls:
			in.reply(200)
			left--
		case in := <-draining.calls:
			t.Fatalf("%s sent to a draining endpoint", in.id())
		case <-time.After(testTimeout):
			t.Fatalf("%d messages are not sent", left)
		}
	}
	next.kill()
}
