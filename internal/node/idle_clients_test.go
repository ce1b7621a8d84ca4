package node

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// bound limits the descriptors of a process that runs.
func (x *process) limitDescriptors(descriptors int) {
	x.t.Helper()
	limit := syscall.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	if _, _, err := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(x.cmd.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0); err != 0 {
		x.t.Fatal(err)
	}
}

// descriptors counts those that a process has open.
func (x *process) openDescriptors() int {
	x.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", x.cmd.Process.Pid))
	if err != nil {
		x.t.Fatal(err)
	}
	return len(open)
}

// crowd has clients come that say nothing and stay, 200 a second up to the end of the test: within the 2 s and more
// that each of them may stay they are more than there are descriptors. It returns once one has been sent away.
func openIdleClients(t *testing.T, addr string) {
	t.Helper()
	stop, away := make(chan struct{}), make(chan struct{}, 1)
	var all sync.WaitGroup
	all.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				continue // the queue of the listener is full
			}
			all.Go(func() {
				defer conn.Close()
				conn.SetReadDeadline(time.Now().Add(testTimeout))
				io.Copy(io.Discard, conn) // up to its end, whoever ends it
				select {
				case away <- struct{}{}:
				default:
				}
			})
		}
	})
	t.Cleanup(func() { close(stop); all.Wait() })
	receive(t, away, "client that is sent away")
}

// Clients that say nothing fill the descriptors while discovery is down. When it is back the list is fetched, calls go
// out, notices reach the platform, and operators and new clients are answered, with the crowd still there.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	p, e, added := newPlatform(t), newEndpoint(t), newEndpoint(t)
	known := List{Generation: 1, Reset: true, Instances: instances(e)}
	p.list, p.holdLists = known, true
	x := startProcess(t, p, t.TempDir(), known)
	t.Cleanup(func() { x.kill() })
	const sockets = 256 // of the configuration
	x.limitDescriptors(sockets)
	receive(t, p.listRequests, "watch")
	dialClient(t, x.addr).put("fails", "unsafe", "+OK")
	fails := receive(t, e.calls, "call")

	openIdleClients(t, x.addr)
	places := newSocketBudget(&Config{Limits: Limits{Sockets: sockets}}).clients
	if n := x.openDescriptors(); n < places {
		t.Errorf("%d descriptors open, want %d at least", n, places)
	}
	for len(p.listRequests) > 0 {
		<-p.listRequests
	}
	p.srv.CloseClientConnections() // what comes next needs a new one
	receive(t, p.listRequests, "call for the list on a new connection")
	p.update(func() { p.holdLists, p.list = false, List{Generation: 2, Reset: true, Instances: instances(e, added)} })
	awaitListGeneration(t, p, 2)
	if got := ask(t, x.admin, "ready\n"); got != "+OK\n" {
		t.Errorf("operators get %q", got)
	}
	fails.reply(500)
	if n := receive(t, p.notices, "notice"); n != (Notice{ID: "fails", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	for i := 0; ; i++ { // the endpoint that the list has added gets its share
		dialClient(t, x.addr).put(fmt.Sprint("m-", i), "safe", "+OK")
		var in *receivedCall
		select {
		case in = <-e.calls:
		case in = <-added.calls:
		case <-time.After(testTimeout):
			t.Fatal("no call")
		}
		in.reply(200)
		if in.conn.LocalAddr().String() == added.addr() {
			break
		}
		if i == 20 {
			t.Fatal("the new list is not heeded")
		}
	}
	if got := ask(t, x.admin, "show-stat\n"); !strings.HasPrefix(got, "+OK\n") {
		t.Errorf("operators get %q", got)
	}
	if n := x.openDescriptors(); n < places || n > sockets {
		t.Errorf("%d descriptors at the end, want %d to %d", n, places, sockets)
	}
	for len(x.said) > 0 { // no side may take those of another
		if line := <-x.said; strings.Contains(line, "too many open files") {
			t.Fatal(line)
		}
	}
}
