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

// maxReadyTime is the time within which nine of ten restarted processes must be ready.
const maxReadyTime = 10 * time.Second

// configWithDisk returns a configuration with a disk limit of mb megabytes.
func configWithDisk(t *testing.T, p *testPlatform, known EndpointList, mb float64) []byte {
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

// fillJournal adds as many messages as the journal accepts, and lets the file grow to its size limit.
func fillJournal(t *testing.T, dir string, mb float64) {
	t.Helper()
	j := openJournal(t, dir, int64(mb*1e6))
	deadline := time.Now().Add(2 * testTimeout).UnixMicro()
	for i := 0; j.HasRoom(300); i++ {
		rec := acceptRecord(fmt.Sprint("m-", i), 300)
		rec.Entry.Deadline = deadline
		mustAppend(t, j, rec)
	}
	for i := 0; j.size+4000 < j.maxBytes; i++ { // messages that have ended
		id := fmt.Sprint("over-", i)
		mustAppend(t, j, acceptRecord(id, 300), record{Op: opSend, ID: id, At: 1}, record{Op: opDone, ID: id})
	}
}

// Clients of a restarted process wait until it is ready, so it must be ready in time: without a response of discovery,
// with any journal, and when many processes start at once. The ready log line breaks the time down.
func TestReadyInTime(t *testing.T) {
	for _, test := range []struct {
		name      string
		disk      float64
		processes int
		prepare   func(t *testing.T, dir string, p *testPlatform) // changes the state folder or the platform
		served    string                                          // id prefix of a message that must be sent; empty for none
	}{
		{"empty journal", 3, 1, func(*testing.T, string, *testPlatform) {}, ""},
		{"full journal", 3, 1, func(t *testing.T, dir string, _ *testPlatform) { fillJournal(t, dir, 3) }, "m-"},
		{"full journal of the maximum size", 40, 1, func(t *testing.T, dir string, _ *testPlatform) {
			fillJournal(t, dir, 40)
		}, "m-"},
		{"truncated journal", 3, 1, func(t *testing.T, dir string, _ *testPlatform) {
			fillJournal(t, dir, 3)
			path := filepath.Join(dir, journalFile)
			info, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.Truncate(path, info.Size()-3); err != nil {
				t.Fatal(err)
			}
		}, "m-"},
		{"discovery down", 3, 1, func(_ *testing.T, _ string, p *testPlatform) {
			p.update(func() { p.holdLists = true })
		}, ""},
		{"discovery down, 16 at once with full journals", 3, 16, func(t *testing.T, dir string, p *testPlatform) {
			p.update(func() { p.holdLists = true })
			fillJournal(t, dir, 3)
		}, "m-"},
	} {
		t.Run(test.name, func(t *testing.T) {
			p, e := newPlatform(t), newEndpoint(t)
			known := EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
			p.list = known
			config := configWithDisk(t, p, known, test.disk)
			var dirs []string
			for range test.processes {
				dir := t.TempDir()
				dirs = append(dirs, dir)
				first := execProcess(t, p, dir, config)
				receive(t, first.ready, "ready program")
				first.kill()
				test.prepare(t, dir, p)
			}
			var procs []*process
			for _, dir := range dirs {
				procs = append(procs, execProcess(t, p, dir, config))
			}
			var times []time.Duration
			for _, proc := range procs {
				proc.addr = receive(t, proc.ready, "ready program")
				times = append(times, proc.startupTime)
				if got := dialClient(t, proc.addr).do("PING"); got != "+PONG" {
					t.Errorf("PING to a ready process: %q", got)
				}
			}
			if test.served != "" {
				if in := receive(t, e.calls, "call"); !strings.HasPrefix(in.id(), test.served) {
					t.Errorf("call with %s", in.id())
				}
			}
			slices.Sort(times)
			worst := times[len(times)*9/10] // of the fastest nine in ten; with fewer than ten processes, of all
			for line := range procs[0].loggedLines() {
				if strings.Contains(line, "msg=ready ") {
					_, spent, _ := strings.Cut(line, "held=")
					t.Logf("%d starts: nine in ten ready within %v, all within %v; the first: held=%s",
						len(times), worst, times[len(times)-1], spent)
				}
			}
			if worst > maxReadyTime {
				t.Errorf("ready after %v", worst)
			}
			for _, proc := range procs {
				proc.kill()
			}
		})
	}
}
