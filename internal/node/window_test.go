package node

import (
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// shortWindow is a configuration whose class keyed drops repeats for one second, each zone by itself.
func shortWindow(p *platform, known List) string {
	return strings.Replace(string(configText(p, known)), `"group":"all","window_s":25`, `"group":"zone","window_s":1`, 1)
}

// twoZones lists an endpoint in each of two zones.
func twoZones(a, b *endpoint) List {
	list := List{Generation: 1, Reset: true, Instances: instances(a, b)}
	list.Instances[1].Zone = "b"
	return list
}

// A window of a second goes on while no process runs: what may have run is sent again only in what is left of it, and
// where its first send went; once it is over the message has failed, and the platform hears so at once. What has surely
// not run is tried all the same.
func TestWindowGoesOnOverARestart(t *testing.T) {
	p, a, b, dir := newPlatform(t), newEndpoint(t), newEndpoint(t), t.TempDir()
	p.list = twoZones(a, b)
	j := openJournal(t, dir, 3e6)
	now := time.Now()
	taken := func(id, class string) record {
		return record{Op: opAccept, Entry: &Entry{Message: Message{ID: id, Key: "key-" + id, Class: class, Dest: 1,
			Deadline: now.Add(2 * patience).UnixMicro()}}}
	}
	sent := func(id string, at time.Time) record {
		return record{Op: opSend, ID: id, At: at.UnixMicro(), Zone: 1}
	}
	open := now.Add(patience) // by a clock that is ahead, so that the window is open however long the start takes
	mustAppend(t, j, taken("open", "keyed"), taken("over", "keyed"), taken("answered late", "keyed"), taken("never ran", "keyed"),
		taken("untried", "keyed"), taken("unsafe", "unsafe"),
		sent("open", open), sent("over", now.Add(-1001*time.Millisecond)),
		sent("answered late", now.Add(-2*time.Second)), record{Op: opOutcome, ID: "answered late", MayRun: true},
		sent("answered late", now.Add(-500*time.Millisecond)), // the first one counts
		sent("never ran", now.Add(-2*time.Second)), record{Op: opOutcome, ID: "never ran"},
		sent("unsafe", now.Add(-time.Millisecond)))
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	n := startWith(t, shortWindow(p, p.list), dir)
	failed := map[string]bool{"over": true, "answered late": true, "unsafe": true}
	for len(failed) > 0 { // before any call is answered, and long before their time is up
		x := await(t, p.notices, "notice")
		if !failed[x.ID] || x.State != "failed" {
			t.Fatalf("notice %+v", x)
		}
		delete(failed, x.ID)
	}
	tried := map[string]bool{"open": true, "never ran": true, "untried": true}
	for len(tried) > 0 {
		var in *inCall
		select {
		case in = <-a.calls:
			if in.id() == "open" {
				t.Error("sent again to a zone that does not know the first send")
			}
		case in = <-b.calls:
		case <-time.After(patience):
			t.Fatalf("not tried: %v", tried)
		}
		if !tried[in.id()] {
			t.Errorf("call with %s", in.id())
		}
		delete(tried, in.id())
		in.reply(200)
	}
	stopClean(t, n)
	a.none(t)
	b.none(t)
}

// A repeat must be written by the end of the window that began before the restart, not of one that the restart begins;
// where that is over, the first step ends the message and makes no attempt.
func TestRestartGoesOnInTheFirstWindow(t *testing.T) {
	p, a, b := newPlatform(t), newEndpoint(t), newEndpoint(t)
	cfg, err := ParseConfig([]byte(shortWindow(p, twoZones(a, b))))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = t.TempDir()
	j := openJournal(t, cfg.StateDir, 3e6)
	first := time.Now().Add(patience)
	mustAppend(t, j, record{Op: opAccept, Entry: &Entry{Message: Message{ID: "m", Key: "k", Class: "keyed", Dest: 1,
		Deadline: first.Add(patience).UnixMicro()}}}, record{Op: opSend, ID: "m", At: first.UnixMicro()},
		record{Op: opAccept, Entry: &Entry{Message: Message{ID: "over", Key: "l", Class: "keyed", Dest: 1,
			Deadline: first.UnixMicro()}}}, record{Op: opSend, ID: "over", At: time.Now().Add(-1001 * time.Millisecond).UnixMicro()})
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer n.lock.Close()
	defer n.journal.Close()
	n.resume()
	n.step(t.Context())
	if e := n.journal.Entry("over"); e.Tries != 1 || e.End == nil || e.End.State != "failed" {
		t.Errorf("out of its window, after the first step: %+v", e)
	}
	for n.held["m"].call == nil { // the pace lets it through a moment after the start
		n.step(t.Context())
		if time.Since(n.start) > patience {
			t.Fatal("not sent again")
		}
	}
	await(t, a.calls, "call").reply(200)
	if got, want := n.held["m"].call.writeBy, n.clock.Time(first.UnixMicro()).Add(time.Second); !got.Equal(want) {
		t.Errorf("to be written by %v, want %v", got, want)
	}
	if e := n.journal.Entry("m"); e.Tries != 2 || e.FirstMay != first.UnixMicro() {
		t.Errorf("the journal has %+v", e)
	}
}

// A kill with a keyed call out, and a start right behind it: the repeat is in the window and the zone of the first send,
// or, where the machine is too slow for that, the message has failed. Never both, and never late.
func TestKillInAShortWindow(t *testing.T) {
	for range 3 {
		p, a, b, dir := newPlatform(t), newEndpoint(t), newEndpoint(t), t.TempDir()
		p.list = twoZones(a, b)
		text := []byte(shortWindow(p, p.list))
		x := execProcess(t, p, dir, text)
		dial(t, await(t, x.ready, "ready program")).put("m", "keyed", "+OK")
		var first *inCall
		calls, others := a.calls, b.calls
		select {
		case first = <-calls:
		case first = <-others:
			calls, others = others, calls
		case <-time.After(patience):
			t.Fatal("no call")
		}
		x.kill()
		at := openJournal(t, dir, 3e6).Entry("m").FirstMay
		y := execProcess(t, p, dir, text)
		await(t, y.ready, "ready program")
		select {
		case in := <-calls:
			e := openJournal(t, copyOf(t, dir), 3e6).Entry("m")
			if in.id() != first.id() || e.Tries != 2 || e.FirstMay != at {
				t.Errorf("call with %s, journal %+v", in.id(), e)
			}
			in.reply(200)
		case n := <-p.notices:
			t.Logf("too slow to try again: %+v", n)
			if n != (Notice{ID: "m", State: "failed"}) || time.Since(time.UnixMicro(at)) < 900*time.Millisecond {
				t.Errorf("notice %+v", n)
			}
		case <-others:
			t.Error("sent again to a zone that does not know the first send")
		case <-time.After(patience):
			t.Fatal("neither sent again nor failed")
		}
		y.term()
		y.end()
		if ids := owed(t, dir); ids != nil {
			t.Errorf("still owed: %v", ids)
		}
		if len(calls)+len(others)+len(p.notices) != 0 {
			t.Error("an end, and something behind it")
		}
	}
}

// copyOf is a folder with the journal of dir as it is now: to open that itself would cut off what is being written.
func copyOf(t *testing.T, dir string) string {
	t.Helper()
	to := t.TempDir()
	text, err := os.ReadFile(filepath.Join(dir, journalName))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(to, journalName), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return to
}
