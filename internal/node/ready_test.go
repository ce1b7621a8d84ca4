package node

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// readyTime is within how long nine in ten restarted processes have to be ready.
const readyTime = 10 * time.Second

// withDisk is a configuration with so much room for the journal.
func withDisk(t *testing.T, p *testPlatform, known List, mb float64) []byte {
	t.Helper()
	var text map[string]any
	if err := json.Unmarshal(configText(p, known), &text); err != nil {
		t.Fatal(err)
	}
	text["limits"].(map[string]any)["disk_mb"] = mb
	out, err := json.Marshal(text)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// fillJournal takes on as many messages as the journal has room for, and lets its file grow to its limit.
func fillJournal(t *testing.T, dir string, mb float64) {
	t.Helper()
	j := openJournal(t, dir, int64(mb*1e6))
	deadline := time.Now().Add(2 * testTimeout).UnixMicro()
	for i := 0; j.Room(300); i++ {
		rec := accept(fmt.Sprint("m-", i), 300)
		rec.Entry.Deadline = deadline
		mustAppend(t, j, rec)
	}
	for i := 0; j.size+4000 < j.limit; i++ { // and what is over
		id := fmt.Sprint("over-", i)
		mustAppend(t, j, accept(id, 300), record{Op: opSend, ID: id, At: 1}, record{Op: opDone, ID: id})
	}
}

// Clients of a restarted process wait until it is ready: not for discovery, whatever the journal holds, and also where
// many start at one time. The log says what the time went into.
func TestReadyInTime(t *testing.T) {
	for _, x := range []struct {
		name      string
		disk      float64
		processes int
		leave     func(t *testing.T, dir string, p *testPlatform) // what the start finds
		served    string                                          // a message that it has to send, if any
	}{
		{"nothing", 3, 1, func(*testing.T, string, *testPlatform) {}, ""},
		{"full journal", 3, 1, func(t *testing.T, dir string, _ *testPlatform) { fillJournal(t, dir, 3) }, "m-"},
		{"full journal of the most that is used", 40, 1, func(t *testing.T, dir string, _ *testPlatform) { fillJournal(t, dir, 40) }, "m-"},
		{"torn journal", 3, 1, func(t *testing.T, dir string, _ *testPlatform) {
			fillJournal(t, dir, 3)
			path := filepath.Join(dir, journalName)
			info, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(path, info.Size()-3); err != nil {
				t.Fatal(err)
			}
		}, "m-"},
		{"discovery down", 3, 1, func(_ *testing.T, _ string, p *testPlatform) { p.update(func() { p.holdLists = true }) }, ""},
		{"discovery down, 16 at once with full journals", 3, 16, func(t *testing.T, dir string, p *testPlatform) {
			p.update(func() { p.holdLists = true })
			fillJournal(t, dir, 3)
		}, "m-"},
	} {
		t.Run(x.name, func(t *testing.T) {
			p, e := newPlatform(t), newEndpoint(t)
			known := List{Generation: 1, Reset: true, Instances: instances(e)}
			p.list = known
			text := withDisk(t, p, known, x.disk)
			var dirs []string
			for range x.processes {
				dir := t.TempDir()
				dirs = append(dirs, dir)
				first := execProcess(t, p, dir, text)
				receive(t, first.ready, "ready program")
				first.kill()
				x.leave(t, dir, p)
			}
			var all []*process
			for _, dir := range dirs {
				all = append(all, execProcess(t, p, dir, text))
			}
			var took []time.Duration
			for _, y := range all {
				y.addr = receive(t, y.ready, "ready program")
				took = append(took, y.took)
				if got := dialClient(t, y.addr).do("PING"); got != "+PONG" {
					t.Errorf("ready, and PING gets %q", got)
				}
			}
			if x.served != "" {
				if in := receive(t, e.calls, "call"); !strings.HasPrefix(in.id(), x.served) {
					t.Errorf("call with %s", in.id())
				}
			}
			slices.Sort(took)
			worst := took[len(took)*9/10] // of nine in ten; of a few, the last
			for line := range all[0].lines() {
				if strings.Contains(line, "msg=ready ") {
					_, spent, _ := strings.Cut(line, "held=")
					t.Logf("%d starts: nine in ten ready within %v, all within %v; the first: held=%s", len(took), worst, took[len(took)-1], spent)
				}
			}
			if worst > readyTime {
				t.Errorf("ready after %v", worst)
			}
			for _, y := range all {
				y.kill()
			}
		})
	}
}
