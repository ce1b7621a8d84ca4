package node

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// shortWindowConfig returns a configuration whose keyed class drops duplicates for one second, separately in each zone.
func shortWindowConfig(p *testPlatform, known EndpointList) string {
	return strings.Replace(string(configText(p, known)), `"group":"all","window_s":25`, `"group":"zone","window_s":1`, 1)
}

// twoZoneList returns a list with one endpoint in each of two zones.
func twoZoneList(a, b *testEndpoint) EndpointList {
	list := EndpointList{Generation: 1, Reset: true, Instances: instances(a, b)}
	list.Instances[1].Zone = "b"
	return list
}

// The deduplication window continues while no process runs. A message that may have been processed is retried only
// within the rest of the window and in the zone of its first send. After the window it has failed, and the platform is
// notified at once. Messages that were certainly not processed are sent in any case.
func TestDedupWindowContinuesAcrossRestart(t *testing.T) {
	p, a, b, dir := newPlatform(t), newEndpoint(t), newEndpoint(t), t.TempDir()
	p.list = twoZoneList(a, b)
	j := openJournal(t, dir, 3e6)
	now := time.Now()
	accepted := func(id, class string) record {
		return record{Op: opAccept, Entry: &Entry{Message: &Message{
			ID:             id,
			IdempotencyKey: "key-" + id,
			Class:          class,
			Dest:           1,
			Deadline:       now.Add(2 * testTimeout).UnixMicro(),
		}}}
	}
	sent := func(id string, at time.Time) record {
		return record{Op: opSend, ID: id, At: at.UnixMicro(), Zone: 1}
	}
	firstSend := now.Add(testTimeout) // in the future, so that the window is open however long the start takes
	mustAppend(t, j, accepted("open", "keyed"), accepted("over", "keyed"), accepted("late outcome", "keyed"),
		accepted("never ran", "keyed"),
		accepted("untried", "keyed"), accepted("unsafe", "unsafe"),
		sent("open", firstSend), sent("over", now.Add(-1001*time.Millisecond)),
		sent("late outcome", now.Add(-2*time.Second)), record{Op: opOutcome, ID: "late outcome", MayHaveRun: true},
		sent("late outcome", now.Add(-500*time.Millisecond)), // the window counts from the first send
		sent("never ran", now.Add(-2*time.Second)), record{Op: opOutcome, ID: "never ran"},
		sent("unsafe", now.Add(-time.Millisecond)))
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	n := startNodeWithConfig(t, shortWindowConfig(p, p.list), dir)
	failed := map[string]bool{"over": true, "late outcome": true, "unsafe": true}
	for len(failed) > 0 { // before any call has a response, and long before the deadlines
		x := receive(t, p.notices, "notice")
		if !failed[x.ID] || x.State != "failed" {
			t.Fatalf("notice %+v", x)
		}
		delete(failed, x.ID)
	}
	expected := map[string]bool{"open": true, "never ran": true, "untried": true}
	for len(expected) > 0 {
		var in *receivedCall
		select {
		case in = <-a.calls:
			if in.id() == "open" {
				t.Error("retried in another zone than the first send")
			}
		case in = <-b.calls:
		case <-time.After(testTimeout):
			t.Fatalf("not sent: %v", expected)
		}
		if !expected[in.id()] {
			t.Errorf("call with %s", in.id())
		}
		delete(expected, in.id())
		in.reply(200)
	}
	stopAndCheckEmpty(t, n)
	a.expectNoCall(t)
	b.expectNoCall(t)
}

// A retry must be written by the end of the window that began before the restart; the restart does not begin a new
// one. If that window is over, the first step ends the message without an attempt.
func TestRestartKeepsFirstDedupWindow(t *testing.T) {
	p, a, b := newPlatform(t), newEndpoint(t), newEndpoint(t)
	cfg, err := ParseConfig([]byte(shortWindowConfig(p, twoZoneList(a, b))))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	j := openJournal(t, cfg.StateDir, 3e6)
	first := time.Now().Add(testTimeout)
	mustAppend(t, j,
		record{Op: opAccept, Entry: &Entry{Message: &Message{
			ID:             "m",
			IdempotencyKey: "k",
			Class:          "keyed",
			Dest:           1,
			Deadline:       first.Add(testTimeout).UnixMicro(),
		}}},
		record{Op: opSend, ID: "m", At: first.UnixMicro()},
		record{Op: opAccept, Entry: &Entry{Message: &Message{
			ID:             "over",
			IdempotencyKey: "l",
			Class:          "keyed",
			Dest:           1,
			Deadline:       first.UnixMicro(),
		}}},
		record{Op: opSend, ID: "over", At: time.Now().Add(-1001 * time.Millisecond).UnixMicro()},
	)
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.stateLock.Close()
	defer n.journal.Close()
	n.resumeFromJournal()
	n.step(t.Context())
	if e := n.journal.Entry("over"); e.Attempts != 1 || e.End == nil || e.End.State != "failed" {
		t.Errorf("window over, after the first step: %+v", e)
	}
	for n.active["m"].call == nil { // the rate limit admits it shortly after the start
		n.step(t.Context())
		if time.Since(n.logicEpoch) > testTimeout {
			t.Fatal("not retried")
		}
	}
	receive(t, a.calls, "call").reply(200)
	if got, want := n.active["m"].call.writeBy, n.clock.Time(first.UnixMicro()).Add(time.Second); !got.Equal(want) {
		t.Errorf("to be written by %v, want %v", got, want)
	}
	if e := n.journal.Entry("m"); e.Attempts != 2 || e.FirstMayRunAt != first.UnixMicro() {
		t.Errorf("the journal has %+v", e)
	}
}

// The process is killed with a keyed call in flight and restarted at once. The retry comes within the window and in the
// zone of the first send or, if the machine is too slow for that, the message has failed. Never both, and never late.
func TestKillWithinShortDedupWindow(t *testing.T) {
	for range 3 {
		p, a, b, dir := newPlatform(t), newEndpoint(t), newEndpoint(t), t.TempDir()
		p.list = twoZoneList(a, b)
		text := []byte(shortWindowConfig(p, p.list))
		killed := execProcess(t, p, dir, text)
		dialClient(t, receive(t, killed.ready, "ready program")).put("m", "keyed", "+OK")
		var first *receivedCall
		calls, others := a.calls, b.calls
		select {
		case first = <-calls:
		case first = <-others:
			calls, others = others, calls
		case <-time.After(testTimeout):
			t.Fatal("no call")
		}
		killed.kill()
		firstSend := openJournal(t, dir, 3e6).Entry("m").FirstMayRunAt
		restarted := execProcess(t, p, dir, text)
		receive(t, restarted.ready, "ready program")
		select {
		case in := <-calls:
			e := openJournal(t, copyJournal(t, dir), 3e6).Entry("m")
			if in.id() != first.id() || e.Attempts != 2 || e.FirstMayRunAt != firstSend {
				t.Errorf("call with %s, journal %+v", in.id(), e)
			}
			in.reply(200)
		case n := <-p.notices:
			t.Logf("too slow for a retry: %+v", n)
			if n != (Notice{ID: "m", State: "failed"}) || time.Since(time.UnixMicro(firstSend)) < 900*time.Millisecond {
				t.Errorf("notice %+v", n)
			}
		case <-others:
			t.Error("retried in another zone than the first send")
		case <-time.After(testTimeout):
			t.Fatal("neither retried nor failed")
		}
		restarted.terminate()
		restarted.awaitExit()
		if ids := journaledMessageIDs(t, dir); ids != nil {
			t.Errorf("unfinished messages: %v", ids)
		}
		if len(calls)+len(others)+len(p.notices) != 0 {
			t.Error("another call or notice after the end")
		}
	}
}

// copyJournal copies the current journal of dir to a new folder. Opening the original would truncate a record that is
// being written.
func copyJournal(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	text, err := os.ReadFile(filepath.Join(dir, journalFile))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(to, journalFile), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return to
}
