package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"rundeal/logic"
)

// listSizes are numbers of endpoints, up to those that are expected within two years.
var listSizes = []int{700, 7000, 35000, 70000}

// instanceText is the i-th entry of a list as discovery writes it. Two endpoints serve a destination.
func instanceText(i int) string {
	return fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.%d.%d.%d:6379","zone":"a","machineType":"std","cell":%d,`+
		`"lifecycle":"up","weight":4.5,"startedAtMs":1764646000000}`, i, i>>16, i>>8&255, i&255, i/2)
}

// listText is a whole list on the wire.
func listText(n int) []byte {
	b := []byte(`{"generation":41,"reset":true,"instances":[`)
	for i := range n {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, instanceText(i)...)
	}
	return append(b, "]}"...)
}

// allocated is what f allocates, in bytes.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// A whole list of the size that is expected arrives, and reading it allocates so much for each endpoint at any size.
func TestWholeListScale(t *testing.T) {
	for _, n := range listSizes {
		text := listText(n)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(text) }))
		d := newDiscovery("", 1, slog.New(slog.DiscardHandler), nil)
		d.rest = testTimeout
		var list List
		var err error
		each := allocated(func() { list, err = d.get(t.Context(), srv.URL, testTimeout) }) / uint64(n)
		srv.Close()
		if err != nil {
			t.Errorf("%d endpoints, %d bytes: %v", n, len(text), err)
			continue
		}
		if len(list.Instances) != n || list.Generation != 41 || !list.Reset || list.Instances[n-1].Dest != int64(n-1)/2 {
			t.Errorf("%d endpoints: got %d of generation %d", n, len(list.Instances), list.Generation)
		}
		t.Logf("%d endpoints: %d bytes on the wire, %d allocated, for each", n, len(text)/n, each)
		if each > 1000 {
			t.Errorf("%d endpoints: %d bytes allocated for each", n, each)
		}
	}
}

// endless repeats a text.
type endless struct{ text, rest string }

func (e *endless) Read(b []byte) (int, error) {
	if e.rest == "" {
		e.rest = e.text
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// A list without end is given up at the bound, which the error names; one that is cut short is no such list.
func TestLongListIsRefused(t *testing.T) {
	const start = `{"generation":41,"reset":true,"instances":[`
	_, err := readList(io.MultiReader(strings.NewReader(start), &endless{text: instanceText(1) + ","}))
	if !errors.Is(err, errLongList) || !strings.Contains(err.Error(), fmt.Sprint(maxList)) {
		t.Errorf("without end: %v", err)
	}
	whole := listText(3)
	for i := range whole {
		if list, err := readList(bytes.NewReader(whole[:i])); err == nil || errors.Is(err, errLongList) {
			t.Fatalf("cut after %d bytes: %+v, %v", i, list, err)
		}
	}
}

// least is the shortest time that f takes of some runs, each with a number of its own.
func least(runs int, f func(i int)) time.Duration {
	best := time.Duration(math.MaxInt64)
	for i := range runs {
		at := time.Now()
		f(i)
		best = min(best, time.Since(at))
	}
	return best
}

// listedNode is a sender that has a whole list of n endpoints, and is not run.
func listedNode(tb testing.TB, n int) *Node {
	tb.Helper()
	x := emptyNode(tb, tb.TempDir())
	list, err := readList(bytes.NewReader(listText(n)))
	if err != nil {
		tb.Fatal(err)
	}
	x.handleList(listEvent{list: list})
	x.step(tb.Context())
	return x
}

func emptyNode(tb testing.TB, dir string) *Node {
	tb.Helper()
	cfg, err := ParseConfig(configText(&testPlatform{srv: &httptest.Server{URL: "http://127.0.0.1:1"}}, List{}))
	if err != nil {
		tb.Fatal(err)
	}
	cfg.StateDir, cfg.Limits.DiskMB = dir, 0
	x, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		x.journal.Close()
		x.stateLock.Close()
	})
	return x
}

// change is news of one endpoint: it drains, or is up again.
func change(i int) listEvent {
	text := fmt.Sprintf(`{"generation":42,"instances":[%s]}`, instanceText(3))
	if i%2 == 0 {
		text = strings.Replace(text, `"up"`, `"draining"`, 1)
	}
	list, err := readList(strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	return listEvent{list: list}
}

// flat checks that what is to cost the same at any size does: a walk over a hundred times as many takes about a hundred
// times as long.
func flat(t *testing.T, what string, sizes []int, took map[int]time.Duration) {
	t.Helper()
	t.Logf("%s: %v", what, took)
	small, large := sizes[0], sizes[len(sizes)-1]
	if took[large] > 20*took[small] {
		t.Errorf("%s: %v with %d, %v with %d", what, took[small], small, took[large], large)
	}
}

// The change of one endpoint, and the look each second for those long gone, cost the same with any list.
func TestListChangeScale(t *testing.T) {
	changed, swept := map[int]time.Duration{}, map[int]time.Duration{}
	for _, size := range listSizes {
		n := listedNode(t, size)
		changed[size] = least(50, func(i int) {
			n.handleList(change(i))
			n.step(t.Context())
		})
		swept[size] = least(50, func(int) { n.directory.forget(time.Now(), nil) })
		if n.directory.listed() != size {
			t.Errorf("%d endpoints are listed, want %d", n.directory.listed(), size)
		}
	}
	flat(t, "a change", listSizes, changed)
	flat(t, "a look for those long gone", listSizes, swept)
}

// heldSizes are numbers of messages held.
var heldSizes = []int{1000, 5000, 20000, 100000}

// holding is a sender that holds so many messages with no call out, and is not run.
func holding(tb testing.TB, size int) *Node {
	tb.Helper()
	n := listedNode(tb, listSizes[0])
	for i := range size {
		n.active[fmt.Sprint(i)] = &activeMessage{msg: new(Message)}
	}
	return n
}

// The change of one endpoint, a wait that is told, and the look for endpoints in use cost the same with any backlog.
func TestListChangeBesideBacklogScale(t *testing.T) {
	changed, waited, used := map[int]time.Duration{}, map[int]time.Duration{}, map[int]time.Duration{}
	for _, size := range heldSizes {
		n := holding(t, size)
		changed[size] = least(50, func(i int) {
			n.handleList(change(i))
			n.pendingEvents = nil
		})
		waited[size] = least(50, func(int) { n.abortForWait(1) })
		used[size] = least(50, func(int) { n.calledEndpoints() })
	}
	flat(t, "a change", heldSizes, changed)
	flat(t, "a told wait", heldSizes, waited)
	flat(t, "a look for endpoints in use", heldSizes, used)
}

// heap is what the live objects take after a collection.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// messageSizes are numbers of messages in the journal. The last one is what the door lets in, see doorFull.
var messageSizes = []int{1000, 5000, 20000, 0}

// messageBody is the body of a message of the usual size.
const messageBody = 200

// accepted records the i-th message, for a destination that no endpoint serves.
func accepted(i int) record {
	rec := accept(fmt.Sprintf("%016x", i), messageBody)
	rec.Entry.Key, rec.Entry.Dest = fmt.Sprintf("key-%016x", i), -1
	rec.Entry.Deadline = time.Now().Add(time.Hour).UnixMicro()
	return rec
}

// filled is a journal in dir with n messages; with those that the door lets in if n is 0.
func filled(tb testing.TB, dir string, n int) *Journal {
	tb.Helper()
	j, err := OpenJournal(dir, 0, false)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { j.Close() })
	for i := 0; n == 0 && j.Room(messageBody) || i < n; i++ {
		if err := j.Append([]record{accepted(i)}); err != nil {
			tb.Fatal(err)
		}
	}
	return j
}

func sizeName(n int) string {
	if n == 0 {
		return "door-full"
	}
	return fmt.Sprint(n)
}

// A whole list from the wire to the module, of a process that has none, with what is kept of it.
func BenchmarkWholeList(b *testing.B) {
	for _, size := range listSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			text := listText(size)
			cfg := emptyNode(b, b.TempDir()).cfg
			take := func() (*Directory, *logic.Sender) {
				list, err := readList(bytes.NewReader(text))
				if err != nil {
					b.Fatal(err)
				}
				d := NewDirectory(cfg)
				s, err := logic.New(cfg.Deploy.Settings, 1)
				if err != nil {
					b.Fatal(err)
				}
				s.Step(0, []logic.Event{logic.Endpoints{Form: logic.ListFull, Entries: d.Take(list, time.Now())}})
				return d, s
			}
			before := heap()
			d, s := take()
			kept := heap() - before
			runtime.KeepAlive(d)
			runtime.KeepAlive(s)
			b.ReportAllocs()
			for b.Loop() {
				take()
			}
			each := func(x float64, unit string) { b.ReportMetric(x/float64(size), unit+"/endpoint") }
			each(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns")
			each(float64(kept), "heap-B")
			each(float64(len(text)), "wire-B")
		})
	}
}

// Only the reading of a whole list.
func BenchmarkReadList(b *testing.B) {
	for _, size := range listSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			text := listText(size)
			for b.Loop() {
				if _, err := readList(bytes.NewReader(text)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/endpoint")
		})
	}
}

// News of one endpoint, by the list and by the messages held.
func BenchmarkListChange(b *testing.B) {
	run := func(name string, n *Node) {
		b.Run(name, func(b *testing.B) {
			i := 0
			for b.Loop() {
				n.handleList(change(i))
				n.pendingEvents = nil
				i++
			}
		})
	}
	for _, size := range listSizes {
		run(fmt.Sprintf("%dendpoints/0held", size), listedNode(b, size))
	}
	for _, size := range heldSizes {
		run(fmt.Sprintf("%dendpoints/%dheld", listSizes[0], size), holding(b, size))
	}
}

// A message taken on, sent and delivered, beside so many others in the journal: the cost of its three records.
func BenchmarkJournalAppend(b *testing.B) {
	for _, size := range messageSizes {
		b.Run(sizeName(size), func(b *testing.B) {
			j := filled(b, b.TempDir(), size)
			i := 1 << 32
			for b.Loop() {
				rec := accepted(i)
				id := rec.Entry.ID
				if err := j.Append([]record{rec, {Op: opSend, ID: id, At: 1}, {Op: opDone, ID: id}}); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// The start of a process that finds so many messages in the journal, with what each takes of the disk and of memory.
func BenchmarkJournalReplay(b *testing.B) {
	for _, size := range messageSizes {
		b.Run(sizeName(size), func(b *testing.B) {
			dir := b.TempDir()
			onDisk := filled(b, dir, size).size
			before := heap()
			j, err := OpenJournal(dir, 0, false)
			if err != nil {
				b.Fatal(err)
			}
			kept, owed := heap()-before, len(j.entries)
			j.Close()
			for b.Loop() {
				j, err := OpenJournal(dir, 0, false)
				if err != nil {
					b.Fatal(err)
				}
				j.Close()
			}
			b.ReportMetric(float64(owed), "messages")
			b.ReportMetric(float64(onDisk)/float64(owed), "disk-B/message")
			b.ReportMetric(float64(kept)/float64(owed), "heap-B/message")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*owed), "ns/message")
		})
	}
}

// The rewrite of a journal with so many messages, for which everything else waits.
func BenchmarkJournalCompact(b *testing.B) {
	for _, size := range messageSizes {
		b.Run(sizeName(size), func(b *testing.B) {
			j := filled(b, b.TempDir(), size)
			for b.Loop() {
				if err := j.Compact(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// From a start to ready, but for sockets: the journal is replayed, the list of the configuration and what is owed go
// to the module, and its first step is made.
func BenchmarkStart(b *testing.B) {
	start := func(b *testing.B, text []byte, dir string) *Node {
		cfg, err := ParseConfig(text)
		if err != nil {
			b.Fatal(err)
		}
		cfg.StateDir, cfg.Limits.DiskMB, cfg.Deploy.Settings.MaxOpen = dir, 0, 0
		n, err := New(cfg, slog.New(slog.DiscardHandler))
		if err != nil {
			b.Fatal(err)
		}
		if err := n.takeOwnership(b.Context()); err != nil {
			b.Fatal(err)
		}
		n.step(b.Context())
		return n
	}
	run := func(name string, endpoints int, dir string) {
		b.Run(name, func(b *testing.B) {
			list, err := readList(bytes.NewReader(listText(endpoints)))
			if err != nil {
				b.Fatal(err)
			}
			text := configText(&testPlatform{srv: &httptest.Server{URL: "http://127.0.0.1:1"}}, list)
			before := heap()
			n := start(b, text, dir)
			kept, owed := heap()-before, n.openCount
			n.journal.Close()
			n.stateLock.Close()
			for b.Loop() {
				n := start(b, text, dir)
				n.journal.Close()
				n.stateLock.Close()
			}
			b.ReportMetric(float64(kept), "heap-B")
			b.ReportMetric(float64(owed), "messages")
		})
	}
	for _, size := range listSizes {
		run(fmt.Sprintf("%dendpoints", size), size, b.TempDir())
	}
	for _, size := range messageSizes {
		dir := b.TempDir()
		filled(b, dir, size)
		run("journal-"+sizeName(size), 2, dir)
	}
}

// The state that a handover passes on, by the list: more than maxFrame is not sent.
func BenchmarkHandoverState(b *testing.B) {
	for _, size := range listSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := listedNode(b, size)
			var frame []byte
			for b.Loop() {
				st, err := n.handoverState()
				if err != nil {
					b.Fatal(err)
				}
				if frame, err = json.Marshal(packet{State: st}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "frame-B")
			b.ReportMetric(float64(len(frame))/maxFrame, "frames")
		})
	}
}

// What the platform has confirmed is taken off the queue at the same cost however long that is, and nothing else is.
func TestNoticesScale(t *testing.T) {
	for _, size := range []int{1000, 5000, 20000, 80000} {
		q := newNotices("", slog.New(slog.DiscardHandler), nil)
		for i := range size {
			q.add(Notice{ID: fmt.Sprintf("%016x", i), State: "failed"})
		}
		var ids []string
		each := allocated(func() { ids = q.confirmed(10) })
		if len(ids) != 10 || ids[9] != fmt.Sprintf("%016x", 9) || len(q.ids) != size-10 || len(q.queue) != size-10 ||
			q.ids[0] != fmt.Sprintf("%016x", 10) || !strings.Contains(string(q.queue[0]), q.ids[0]) {
			t.Errorf("%d notices: confirmed %v, left %d and %d from %q on", size, ids, len(q.ids), len(q.queue), q.ids[0])
		}
		t.Logf("%d notices: %d bytes allocated to take 10 off", size, each)
		if each > 4096 {
			t.Errorf("%d notices: %d bytes allocated", size, each)
		}
	}
}

// Notices that wait for the platform: what each takes, and what it costs to confirm a body of them.
func BenchmarkNotices(b *testing.B) {
	for _, size := range []int{1000, 5000, 20000, 80000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := heap()
			q := newNotices("", slog.New(slog.DiscardHandler), nil)
			for i := range size {
				q.add(Notice{ID: fmt.Sprintf("%016x", i), State: "returned", AfterMS: 500})
			}
			kept := heap() - before
			all, ids := q.queue, q.ids
			for b.Loop() {
				q.queue, q.ids = all, ids
				q.confirmed(1000)
			}
			b.ReportMetric(float64(kept)/float64(size), "heap-B/notice")
		})
	}
}
