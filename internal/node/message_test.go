package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"syscall"
	"testing"
	"time"

	"rundeal/logic"
)

// How a process came by the messages that it sends.
const (
	fromClient   = "client"
	fromJournal  = "journal"
	fromHandover = "handover"
)

// bulkConfig returns the configuration of a sender whose endpoints accept bulk calls.
func bulkConfig(t *testing.T, p *testPlatform, known EndpointList, dir string) *Config {
	t.Helper()
	cfg, err := ParseConfig(configText(p, known))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	cfg.Deployment.Settings.Kinds[0].MaxBatch = 10
	return cfg
}

// newNodeWith creates a sender without running it.
func newNodeWith(t *testing.T, cfg *Config) *Node {
	t.Helper()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.journal.Close() })
	return n
}

// newNodeHolding returns a sender that is not running and has accepted the messages in bodies: from clients, from the
// journal of an earlier process, or from a predecessor.
func newNodeHolding(t *testing.T, source string, bodies map[string]string) (*Node, *testEndpoint) {
	t.Helper()
	e, p := newEndpoint(t), newPlatform(t)
	known := EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
	owner := newNodeWith(t, bulkConfig(t, p, known, t.TempDir()))
	owner.directory.Apply(known, time.Now())
	for _, id := range slices.Sorted(maps.Keys(bodies)) {
		addPut(t, owner, id, bodies[id])
	}
	owner.step(t.Context())
	owner.pendingCalls = nil
	if source == fromClient {
		return owner, e
	}
	var handed []byte // a handover passes the state through a socket
	if source == fromHandover {
		state, err := owner.collectHandoverState()
		if err != nil {
			t.Fatal(err)
		}
		if handed, err = json.Marshal(state); err != nil {
			t.Fatal(err)
		}
	}
	owner.journal.Close()
	owner.stateLock.Close()
	n := newNodeWith(t, bulkConfig(t, p, known, owner.cfg.StateDir))
	if source == fromJournal {
		n.resumeFromJournal()
		return n, e
	}
	state := new(handoverState)
	if err := json.Unmarshal(handed, state); err != nil {
		t.Fatal(err)
	}
	n.predecessor = &predecessor{link: &link{conn: new(net.UnixConn)}, calls: map[attemptKey]*call{}}
	if err := n.restoreHandover(state); err != nil {
		t.Fatal(err)
	}
	return n, e
}

// addPut queues a message of a client for the next step.
func addPut(t *testing.T, n *Node, id, body string) {
	t.Helper()
	args := [][]byte{[]byte("0"), []byte(id), []byte("c=safe,d=9000,dest=1"), []byte(body)}
	msg, err := n.clients.parsePut(args, n.clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	n.handlePut(putEvent{msg, make(chan string, 1)})
}

// blockDials makes new connections wait. It returns a channel that reports each dial, and a function that lets all
// connections be established.
func blockDials(n *Node) (dials <-chan struct{}, release func()) {
	begun, released := make(chan struct{}, 64), make(chan struct{})
	n.endpointClient.dialer.Control = func(string, string, syscall.RawConn) error {
		begun <- struct{}{}
		<-released
		return nil
	}
	return begun, func() { close(released) }
}

// receivedBodies returns the messages of a single or a bulk call.
func receivedBodies(t *testing.T, in *receivedCall) map[string]string {
	t.Helper()
	if in.req.URL.Path == "/inbox" {
		return map[string]string{in.id(): in.body}
	}
	var items []bulkItem
	if err := json.Unmarshal([]byte(in.body), &items); err != nil {
		t.Fatal(err)
	}
	got := map[string]string{}
	for _, item := range items {
		got[item.ID] = string(item.Body)
	}
	return got
}

// Guards against a message going out with an empty body: it was given up while its bulk call was still connecting, and
// the journal shared the message with the call.
func TestGivenUpMessageIsSentUnchanged(t *testing.T) {
	for _, source := range []string{fromClient, fromJournal, fromHandover} {
		for _, bodies := range []map[string]string{{"a": "body of a"}, {"a": "body of a", "b": "body of b"}} {
			t.Run(fmt.Sprint(source, " ", len(bodies)), func(t *testing.T) {
				n, e := newNodeHolding(t, source, bodies)
				dials, release := blockDials(n)
				for id := range bodies {
					n.active[id].call = nil
					n.startAttempt(t.Context(), logic.Send{ID: id, Timeout: toMicros(testTimeout), Endpoint: 1}, true)
				}
				n.sendPendingCalls(t.Context())
				receive(t, dials, "dial")
				for id := range bodies {
					notice := Notice{ID: id, State: noticeFailed}
					if err := n.writeRecords([]record{{Op: opGiveUp, ID: id, Notice: &notice}}); err != nil {
						t.Fatal(err)
					}
				}
				release()
				in := receive(t, e.calls, "call")
				if got := receivedBodies(t, in); !maps.Equal(got, bodies) {
					t.Errorf("sent %q, want %q", got, bodies)
				}
				in.reply(500)
			})
		}
	}
}

// Guards against unsynchronized access, which the race detector reports: after a restart, connections come up late, and
// the event loop ends messages while their bulk calls are built, written or wait for the response.
func TestMessagesEndDuringBulkCalls(t *testing.T) {
	const messages = 40
	const connectTime = 300 * time.Millisecond
	e, p := newEndpoint(t), newPlatform(t)
	known := EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
	p.list = known
	cfg := bulkConfig(t, p, known, t.TempDir())
	bodies := map[string]string{}
	j := openJournal(t, cfg.StateDir, 3e6)
	// One deadline for all: what is exchanged with the platform would synchronize the goroutines, for the race detector.
	deadline := j.clock.Now() + (3 * connectTime).Microseconds()
	for i := range messages {
		id := fmt.Sprint("m-", i)
		bodies[id] = "body of " + id
		rec := acceptRecord(id, 0)
		rec.Entry.Body = []byte(bodies[id])
		rec.Entry.Deadline = deadline
		mustAppend(t, j, rec)
	}
	j.Close()
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.endpointClient.dialer.Control = func(string, string, syscall.RawConn) error {
		time.Sleep(connectTime)
		return nil
	}
	node := runNode(t, n)
	sent := 0
	for ended := 0; ended < messages; {
		select {
		case in := <-e.calls: // gets no response
			for id, body := range receivedBodies(t, in) {
				sent++
				if body != bodies[id] {
					t.Errorf("%s was sent with the body %q", id, body)
				}
			}
		case <-p.notices:
			ended++
		case <-time.After(testTimeout):
			t.Fatalf("%d of %d messages have ended", ended, messages)
		}
	}
	if sent == 0 {
		t.Error("no message was sent")
	}
	stopAndCheckEmpty(t, node)
}

// A message is immutable once it is accepted: no record of the journal, and no rewrite of it, may change a message that
// others hold.
func TestJournalDoesNotChangeMessages(t *testing.T) {
	j := openJournal(t, t.TempDir(), 3e6)
	accepted := acceptRecord("a", 9)
	mustAppend(t, j, accepted)
	held := j.Entry("a").Message
	before := *held
	before.Body = bytes.Clone(held.Body)
	for _, change := range []func() error{
		func() error { return j.Append([]record{{Op: opSend, ID: "a", At: 100, Zone: 1}}) },
		func() error { return j.Append([]record{{Op: opOutcome, ID: "a", MayHaveRun: true}}) },
		j.Compact,
		func() error {
			return j.Append([]record{{Op: opGiveUp, ID: "a", Notice: &Notice{ID: "a", State: noticeFailed}}})
		},
		j.Compact,
		func() error { return j.Append([]record{{Op: opNoticeConfirmed, ID: "a"}}) },
	} {
		if err := change(); err != nil {
			t.Fatal(err)
		}
		if fmt.Sprint(*held) != fmt.Sprint(before) {
			t.Fatalf("the message is now %+v, was %+v", *held, before)
		}
	}
}
