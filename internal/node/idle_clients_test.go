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

// limitDescriptors sets the descriptor limit of a running process.
func (p *process) limitDescriptors(descriptors int) {
	p.t.Helper()
	limit := syscall.Rlimit{Cur: uint64(descriptors), Max: uint64(descriptors)}
	if _, _, err := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.cmd.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0); err != 0 {
		p.t.Fatal(err)
	}
}

// openDescriptors returns the number of descriptors that a process has open.
func (p *process) openDescriptors() int {
	p.t.Helper()
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return len(open)
}

// openIdleClients connects clients that send nothing and stay connected, 200 per second until the end of the test. Each
// may stay for more than 2 s, so that there are more of them than descriptors. It returns once one has been
// disconnected.
func openIdleClients(t *testing.T, addr string) {
	t.Helper()
	stop, closed := make(chan struct{}), make(chan struct{}, 1)
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				continue // the listener's backlog is full
			}
			clients.Go(func() {
				defer conn.Close()
				conn.SetReadDeadline(time.Now().Add(testTimeout))
				io.Copy(io.Discard, conn) // until either side closes the connection
				select {
				case closed <- struct{}{}:
				default:
				}
			})
		}
	})
	t.Cleanup(func() { close(stop); clients.Wait() })
	receive(t, closed, "client that is disconnected")
}

// Silent clients use up the client connections while discovery is down. They must not starve the rest of the process:
// when discovery is back, and with the silent clients still connected, the list is fetched, calls are made, notices
// reach the platform, and operators and new clients get replies.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	p, e, added := newPlatform(t), newEndpoint(t), newEndpoint(t)
	known := EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
	p.list, p.holdLists = known, true
	proc := startProcess(t, p, t.TempDir(), known)
	t.Cleanup(func() { proc.kill() })
	const sockets = 256 // as in the configuration
	proc.limitDescriptors(sockets)
	receive(t, p.listRequests, "watch")
	dialClient(t, proc.addr).put("fails", "unsafe", "+OK")
	failing := receive(t, e.calls, "call")

	openIdleClients(t, proc.addr)
	maxClients := newSocketBudget(&Config{Limits: Limits{Sockets: sockets}}).clients
	if n := proc.openDescriptors(); n < maxClients {
		t.Errorf("%d descriptors open, want %d at least", n, maxClients)
	}
	for len(p.listRequests) > 0 {
		<-p.listRequests
	}
	p.srv.CloseClientConnections() // the next request needs a new connection
	receive(t, p.listRequests, "call for the list on a new connection")
	p.update(func() {
		p.holdLists, p.list = false, EndpointList{Generation: 2, Reset: true, Instances: instances(e, added)}
	})
	awaitListGeneration(t, p, 2)
	if got := adminCommand(t, proc.adminAddr, "ready\n"); got != "+OK\n" {
		t.Errorf("operators get %q", got)
	}
	failing.reply(500)
	if n := receive(t, p.notices, "notice"); n != (Notice{ID: "fails", State: "failed"}) {
		t.Errorf("notice %+v", n)
	}
	for i := 0; ; i++ { // until the endpoint added by the new list gets a call
		dialClient(t, proc.addr).put(fmt.Sprint("m-", i), "safe", "+OK")
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
			t.Fatal("the endpoint of the new list gets no calls")
		}
	}
	if got := adminCommand(t, proc.adminAddr, "show-stat\n"); !strings.HasPrefix(got, "+OK\n") {
		t.Errorf("operators get %q", got)
	}
	if n := proc.openDescriptors(); n < maxClients || n > sockets {
		t.Errorf("%d descriptors at the end, want %d to %d", n, maxClients, sockets)
	}
	for len(proc.logLines) > 0 { // neither side may use up the descriptors of the other
		if line := <-proc.logLines; strings.Contains(line, "too many open files") {
			t.Fatal(line)
		}
	}
}
