package node

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// reload replaces the configuration file and sends SIGHUP.
func (p *process) reload(text []byte) {
	p.t.Helper()
	p.replaceConfig(text)
	p.cmd.Process.Signal(syscall.SIGHUP)
}

// replaceConfig replaces the configuration file.
func (p *process) replaceConfig(text []byte) {
	p.t.Helper()
	if err := os.WriteFile(p.configPath+".new", text, 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(p.configPath+".new", p.configPath); err != nil {
		p.t.Fatal(err)
	}
}

// awaitLog waits for a log line that contains a text.
func (p *process) awaitLog(part string) {
	p.t.Helper()
	for !strings.Contains(receive(p.t, p.logLines, "line with "+part), part) {
	}
}

// SIGHUP with traffic, first with invalid configurations and then with a valid one: messages must be sent throughout,
// and discovery and notices must switch to the new address, with a notice that the old address has not confirmed. The
// environment still names the old address.
func TestReload(t *testing.T) {
	old, fresh, e, added := newPlatform(t), newPlatform(t), newEndpoint(t), newEndpoint(t)
	known := EndpointList{Generation: 5, Reset: true, Instances: instances(e)}
	old.list = known
	proc := startProcess(t, old, t.TempDir(), known)
	receive(t, old.listRequests, "watch")
	c := dialClient(t, proc.addr)
	c.put("in-flight", "safe", "+OK")
	inFlight := receive(t, e.calls, "call")

	for i, bad := range []string{
		"{",
		"{}",
		strings.Replace(string(configText(fresh, known)), `"discovery":"`, `"discovery":"no address `, 1),
	} {
		proc.reload([]byte(strings.ReplaceAll(bad, "no address 127.0.0.1:", "no address ")))
		proc.awaitLog("old configuration stands")
		id := fmt.Sprint("bad-", i)
		c.put(id, "safe", "+OK")
		in := receive(t, e.calls, "call")
		if in.id() != id {
			t.Errorf("call with %s", in.id())
		}
		in.reply(200)
	}

	old.update(func() { old.rejectNotices = true })
	c.put("fails", "unsafe", "+OK")
	receive(t, e.calls, "call").reply(500)
	receive(t, old.rejectedNotices, "notice")
	// The new address has its own generation numbers: a watch from the old generation would wait forever.
	fresh.list = EndpointList{Generation: 2, Reset: true, Instances: instances(e, added)}
	proc.reload(configText(fresh, known))
	if notice := receive(t, fresh.notices, "notice at the new address"); notice != (Notice{ID: "fails", State: "failed"}) {
		t.Errorf("notice %+v", notice)
	}
	if q := receive(t, fresh.listRequests, "call at the new address"); q != "" {
		t.Errorf("requested %q, want the full list", q)
	}
	receive(t, fresh.listRequests, "watch at the new address") // the list has been read by then
	old.srv.CloseClientConnections()
	inFlight.reply(200)
	for i := 0; ; i++ { // until the endpoint that only the new address lists gets a call
		c.put(fmt.Sprint("m-", i), "safe", "+OK")
		var in *receivedCall
		select {
		case in = <-e.calls:
		case in = <-added.calls:
		}
		in.reply(200)
		if in.conn.LocalAddr().String() == added.addr() {
			break
		}
		if i == 20 {
			t.Fatal("the endpoint on the new list gets no call")
		}
	}
	proc.terminate()
	proc.awaitExit()
}

// A predecessor that has itself a predecessor passes a reload on, whichever of the two was signalled.
func TestRelayForwardsReload(t *testing.T) {
	dir := t.TempDir()
	ln, err := listenHandover(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, err := dialOwner(dir)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := ln.AcceptUnix()
	if err != nil {
		t.Fatal(err)
	}
	received := &link{conn: conn}
	defer received.close()
	r := relay{node: newStoppedNode(t, t.TempDir()), successor: &successor{link: l}}
	defer l.close()
	for _, ev := range []any{
		reloadEvent{},
		predecessorEvent{from: &predecessor{calls: map[attemptKey]*call{}}, packet: packet{Reload: true}},
	} {
		r.forward(ev)
		var p packet
		if err := received.read(&p, time.Now().Add(testTimeout)); err != nil || !p.Reload {
			t.Errorf("%T: forwarded %+v, %v", ev, p, err)
		}
	}
}

// Guards against a configuration that replaces a newer one: a process that takes over reads its file itself, while an
// earlier reload still waits for the event loop.
func TestEarlierReloadIsIgnored(t *testing.T) {
	n := newStoppedNode(t, t.TempDir())
	earlier, later := *n.cfg, *n.cfg
	earlier.DiscoveryAddr, later.DiscoveryAddr = "127.0.0.1:2", "127.0.0.1:3"
	waiting := reloadEvent{&earlier, time.Now()}
	n.loadConfig = func() (*Config, error) { return &later, nil }
	n.reloadAfterTakeover()
	if n.applyReload(t.Context(), waiting); n.discovery.addr != later.DiscoveryAddr {
		t.Errorf("discovery at %s, want %s", n.discovery.addr, later.DiscoveryAddr)
	}
	earlier.DiscoveryAddr = "127.0.0.1:4"
	if n.setDiscovery(reloadEvent{&earlier, time.Now()}); n.discovery.addr != earlier.DiscoveryAddr {
		t.Errorf("after another reload: discovery at %s, want %s", n.discovery.addr, earlier.DiscoveryAddr)
	}
}
