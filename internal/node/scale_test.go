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

// listSizes are numbers of endpoints, up to the number expected within two years.
var listSizes = []int{700, 7000, 35000, 70000}

// instanceJSON returns the i-th entry of a list as discovery encodes it. Each destination has two endpoints.
func instanceJSON(i int) string {
	return fmt.Sprintf(`{"instanceId":"s-%08x","hostPort":"10.%d.%d.%d:6379","zone":"a","machineType":"std","cell":%d,`+
		`"lifecycle":"up","weight":4.5,"startedAtMs":1764646000000}`, i, i>>16, i>>8&255, i&255, i/2)
}

// listJSON returns an encoded full list of n endpoints.
func listJSON(n int) []byte {
	b := []byte(`{"generation":41,"reset":true,"instances":[`)
	for i := range n {
		if i > 0 {
			b = append(b, ',')
		}
		b = append(b, instanceJSON(i)...)
	}
	return append(b, "]}"...)
}

// allocatedBytes returns how many bytes f allocates.
func allocatedBytes(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Full lists up to the largest expected size can be read, and the allocation per endpoint is bounded at any size.
func TestFullListScale(t *testing.T) {
	for _, n := range listSizes {
		text := listJSON(n)
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(text) }))
		d := newDiscoveryClient("", 1, slog.New(slog.DiscardHandler), nil)
		d.bodyTimeout = testTimeout
		var list EndpointList
		var err error
		perEndpoint := allocatedBytes(func() { list, err = d.fetch(t.Context(), srv.URL, testTimeout) }) / uint64(n)
		srv.Close()
		if err != nil {
			t.Errorf("%d endpoints, %d bytes: %v", n, len(text), err)
			continue
		}
		if len(list.Instances) != n || list.Generation != 41 || !list.Reset || list.Instances[n-1].Dest != int64(n-1)/2 {
			t.Errorf("%d endpoints: got %d of generation %d", n, len(list.Instances), list.Generation)
		}
		t.Logf("%d endpoints: %d encoded bytes, %d bytes allocated per endpoint", n, len(text)/n, perEndpoint)
		if perEndpoint > 1000 {
			t.Errorf("%d endpoints: %d bytes allocated per endpoint", n, perEndpoint)
		}
	}
}

// repeatingReader yields a text over and over.
type repeatingReader struct{ text, rest string }

func (r *repeatingReader) Read(b []byte) (int, error) {
	if r.rest == "" {
		r.rest = r.text
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// An endless list is rejected at the size limit, which the error names. A truncated list is another error.
func TestTooLongListIsRejected(t *testing.T) {
	const start = `{"generation":41,"reset":true,"instances":[`
	_, err := readList(io.MultiReader(strings.NewReader(start), &repeatingReader{text: instanceJSON(1) + ","}))
	if !errors.Is(err, errListTooLong) || !strings.Contains(err.Error(), fmt.Sprint(maxListSize)) {
		t.Errorf("endless list: %v", err)
	}
	whole := listJSON(3)
	for i := range whole {
		if list, err := readList(bytes.NewReader(whole[:i])); err == nil || errors.Is(err, errListTooLong) {
			t.Fatalf("cut after %d bytes: %+v, %v", i, list, err)
		}
	}
}

// shortestRun returns the shortest duration of several runs of f, which gets the number of the run.
func shortestRun(runs int, f func(i int)) time.Duration {
	best := time.Duration(math.MaxInt64)
	for i := range runs {
		at := time.Now()
		f(i)
		best = min(best, time.Since(at))
	}
	return best
}

// newNodeWithList returns a sender that is not running and has a full list of size endpoints.
func newNodeWithList(tb testing.TB, size int) *Node {
	tb.Helper()
	n := newStoppedNode(tb, tb.TempDir())
	list, err := readList(bytes.NewReader(listJSON(size)))
	if err != nil {
		tb.Fatal(err)
	}
	n.handleList(listEvent{list: list})
	n.step(tb.Context())
	return n
}

func newStoppedNode(tb testing.TB, dir string) *Node {
	tb.Helper()
	cfg, err := ParseConfig(configText(&testPlatform{srv: &httptest.Server{URL: "http://127.0.0.1:1"}}, EndpointList{}))
	if err != nil {
		tb.Fatal(err)
	}
	cfg.StateDir, cfg.Limits.DiskMB = dir, 0
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		n.journal.Close()
		n.stateLock.Close()
	})
	return n
}

// endpointChange is a change of one endpoint, which alternately drains and is up again.
func endpointChange(i int) listEvent {
	text := fmt.Sprintf(`{"generation":42,"instances":[%s]}`, instanceJSON(3))
	if i%2 == 0 {
		text = strings.Replace(text, `"up"`, `"draining"`, 1)
	}
	list, err := readList(strings.NewReader(text))
	if err != nil {
		panic(err)
	}
	return listEvent{list: list}
}

// checkConstantCost checks that a duration does not grow with the size. If it were linear, it would be about a hundred
// times as long for the largest size.
func checkConstantCost(t *testing.T, what string, sizes []int, durations map[int]time.Duration) {
	t.Helper()
	t.Logf("%s: %v", what, durations)
	small, large := sizes[0], sizes[len(sizes)-1]
	if durations[large] > 20*durations[small] {
		t.Errorf("%s: %v with %d, %v with %d", what, durations[small], small, durations[large], large)
	}
}

// A change of one endpoint, and the purge of removed endpoints each second, take the same time with a list of any size.
func TestListChangeScale(t *testing.T) {
	changed, purged := map[int]time.Duration{}, map[int]time.Duration{}
	for _, size := range listSizes {
		n := newNodeWithList(t, size)
		changed[size] = shortestRun(50, func(i int) {
			n.handleList(endpointChange(i))
			n.step(t.Context())
		})
		purged[size] = shortestRun(50, func(int) { n.directory.purgeRemoved(time.Now(), nil) })
		if n.directory.listedCount() != size {
			t.Errorf("%d endpoints are listed, want %d", n.directory.listedCount(), size)
		}
	}
	checkConstantCost(t, "a change", listSizes, changed)
	checkConstantCost(t, "a purge of removed endpoints", listSizes, purged)
}

// backlogSizes are numbers of active messages.
var backlogSizes = []int{1000, 5000, 20000, 100000}

// newNodeWithBacklog returns a sender that is not running and has active messages, none with a call in flight.
func newNodeWithBacklog(tb testing.TB, size int) *Node {
	tb.Helper()
	n := newNodeWithList(tb, listSizes[0])
	for i := range size {
		n.active[fmt.Sprint(i)] = &activeMessage{msg: new(Message)}
	}
	return n
}

// A change of one endpoint, a wait that an endpoint requests, and the search for endpoints in use take the same time
// with a backlog of any size.
func TestListChangeWithBacklogScale(t *testing.T) {
	changed, waited, used := map[int]time.Duration{}, map[int]time.Duration{}, map[int]time.Duration{}
	for _, size := range backlogSizes {
		n := newNodeWithBacklog(t, size)
		changed[size] = shortestRun(50, func(i int) {
			n.handleList(endpointChange(i))
			n.pendingEvents = nil
		})
		waited[size] = shortestRun(50, func(int) { n.abortForWait(1) })
		used[size] = shortestRun(50, func(int) { n.calledEndpoints() })
	}
	checkConstantCost(t, "a change", backlogSizes, changed)
	checkConstantCost(t, "a requested wait", backlogSizes, waited)
	checkConstantCost(t, "a search for endpoints in use", backlogSizes, used)
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// journalSizes are numbers of messages in the journal. 0 stands for as many as the journal admits.
var journalSizes = []int{1000, 5000, 20000, 0}

// messageBodySize is the usual size of a message body, in bytes.
const messageBodySize = 200

// numberedAcceptRecord returns the record of the i-th message, for a destination without endpoints.
func numberedAcceptRecord(i int) record {
	rec := acceptRecord(fmt.Sprintf("%016x", i), messageBodySize)
	rec.Entry.IdempotencyKey, rec.Entry.Dest = fmt.Sprintf("key-%016x", i), -1
	rec.Entry.Deadline = time.Now().Add(time.Hour).UnixMicro()
	return rec
}

// filledJournal opens a journal in dir and fills it with count messages, or with as many as it admits if count is 0.
func filledJournal(tb testing.TB, dir string, count int) *Journal {
	tb.Helper()
	j, err := OpenJournal(dir, 0, false)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { j.Close() })
	for i := 0; count == 0 && j.HasRoom(messageBodySize) || i < count; i++ {
		if err := j.Append([]record{numberedAcceptRecord(i)}); err != nil {
			tb.Fatal(err)
		}
	}
	return j
}

func sizeName(n int) string {
	if n == 0 {
		return "admission-full"
	}
	return fmt.Sprint(n)
}

// A full list is decoded and passed to package logic by a process that has no list. Also reports the heap it keeps.
func BenchmarkFullList(b *testing.B) {
	for _, size := range listSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			text := listJSON(size)
			cfg := newStoppedNode(b, b.TempDir()).cfg
			load := func() (*Directory, *logic.Sender) {
				list, err := readList(bytes.NewReader(text))
				if err != nil {
					b.Fatal(err)
				}
				d := NewDirectory(cfg)
				s, err := logic.New(cfg.Deployment.Settings, 1)
				if err != nil {
					b.Fatal(err)
				}
				s.Step(0, []logic.Event{logic.EndpointUpdate{Kind: logic.UpdateFull, Entries: d.Apply(list, time.Now())}})
				return d, s
			}
			before := heapBytes()
			d, s := load()
			kept := heapBytes() - before
			runtime.KeepAlive(d)
			runtime.KeepAlive(s)
			b.ReportAllocs()
			for b.Loop() {
				load()
			}
			each := func(x float64, unit string) { b.ReportMetric(x/float64(size), unit+"/endpoint") }
			each(float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns")
			each(float64(kept), "heap-B")
			each(float64(len(text)), "wire-B")
		})
	}
}

// A full list is only decoded.
func BenchmarkReadList(b *testing.B) {
	for _, size := range listSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			text := listJSON(size)
			for b.Loop() {
				if _, err := readList(bytes.NewReader(text)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/endpoint")
		})
	}
}

// A change of one endpoint, by the size of the list and the number of active messages.
func BenchmarkListChange(b *testing.B) {
	run := func(name string, n *Node) {
		b.Run(name, func(b *testing.B) {
			i := 0
			for b.Loop() {
				n.handleList(endpointChange(i))
				n.pendingEvents = nil
				i++
			}
		})
	}
	for _, size := range listSizes {
		run(fmt.Sprintf("%dendpoints/0held", size), newNodeWithList(b, size))
	}
	for _, size := range backlogSizes {
		run(fmt.Sprintf("%dendpoints/%dheld", listSizes[0], size), newNodeWithBacklog(b, size))
	}
}

// A message is accepted, sent and delivered, with a number of others in the journal: the cost of its three records.
func BenchmarkJournalAppend(b *testing.B) {
	for _, size := range journalSizes {
		b.Run(sizeName(size), func(b *testing.B) {
			j := filledJournal(b, b.TempDir(), size)
			i := 1 << 32
			for b.Loop() {
				rec := numberedAcceptRecord(i)
				id := rec.Entry.ID
				if err := j.Append([]record{rec, {Op: opSend, ID: id, At: 1}, {Op: opDone, ID: id}}); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// A starting process replays a journal with a number of messages. Also reports the disk and heap space per message.
func BenchmarkJournalReplay(b *testing.B) {
	for _, size := range journalSizes {
		b.Run(sizeName(size), func(b *testing.B) {
			dir := b.TempDir()
			onDisk := filledJournal(b, dir, size).size
			before := heapBytes()
			j, err := OpenJournal(dir, 0, false)
			if err != nil {
				b.Fatal(err)
			}
			kept, messages := heapBytes()-before, len(j.entries)
			j.Close()
			for b.Loop() {
				j, err := OpenJournal(dir, 0, false)
				if err != nil {
					b.Fatal(err)
				}
				j.Close()
			}
			b.ReportMetric(float64(messages), "messages")
			b.ReportMetric(float64(onDisk)/float64(messages), "disk-B/message")
			b.ReportMetric(float64(kept)/float64(messages), "heap-B/message")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*messages), "ns/message")
		})
	}
}

// A journal with a number of messages is compacted, which blocks everything else.
func BenchmarkJournalCompact(b *testing.B) {
	for _, size := range journalSizes {
		b.Run(sizeName(size), func(b *testing.B) {
			j := filledJournal(b, b.TempDir(), size)
			for b.Loop() {
				if err := j.Compact(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// From start to ready, without sockets: the journal is replayed, the configured list and the unfinished messages are
// passed to package logic, and its first step runs.
func BenchmarkStart(b *testing.B) {
	start := func(b *testing.B, text []byte, dir string) *Node {
		cfg, err := ParseConfig(text)
		if err != nil {
			b.Fatal(err)
		}
		cfg.StateDir, cfg.Limits.DiskMB, cfg.Deployment.Settings.MaxOpen = dir, 0, 0
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
			list, err := readList(bytes.NewReader(listJSON(endpoints)))
			if err != nil {
				b.Fatal(err)
			}
			text := configText(&testPlatform{srv: &httptest.Server{URL: "http://127.0.0.1:1"}}, list)
			before := heapBytes()
			n := start(b, text, dir)
			kept, messages := heapBytes()-before, n.openCount
			n.journal.Close()
			n.stateLock.Close()
			for b.Loop() {
				n := start(b, text, dir)
				n.journal.Close()
				n.stateLock.Close()
			}
			b.ReportMetric(float64(kept), "heap-B")
			b.ReportMetric(float64(messages), "messages")
		})
	}
	for _, size := range listSizes {
		run(fmt.Sprintf("%dendpoints", size), size, b.TempDir())
	}
	for _, size := range journalSizes {
		dir := b.TempDir()
		filledJournal(b, dir, size)
		run("journal-"+sizeName(size), 2, dir)
	}
}

// The size of the state passed on in a handover, by the size of the list. More than maxFrameBytes is not sent.
func BenchmarkHandoverState(b *testing.B) {
	for _, size := range listSizes {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			n := newNodeWithList(b, size)
			var frame []byte
			for b.Loop() {
				state, err := n.collectHandoverState()
				if err != nil {
					b.Fatal(err)
				}
				if frame, err = json.Marshal(packet{State: state}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(frame)), "frame-B")
			b.ReportMetric(float64(len(frame))/maxFrameBytes, "frames")
		})
	}
}

// Confirmed notices, and only those, are removed from the queue, at the same cost for a queue of any length.
func TestNoticesScale(t *testing.T) {
	for _, size := range []int{1000, 5000, 20000, 80000} {
		q := newNoticeQueue("", slog.New(slog.DiscardHandler), nil)
		for i := range size {
			q.add(Notice{ID: fmt.Sprintf("%016x", i), State: "failed"})
		}
		var ids []string
		bytes := allocatedBytes(func() { ids = q.dequeue(10) })
		if len(ids) != 10 || ids[9] != fmt.Sprintf("%016x", 9) || len(q.ids) != size-10 || len(q.lines) != size-10 ||
			q.ids[0] != fmt.Sprintf("%016x", 10) || !strings.Contains(string(q.lines[0]), q.ids[0]) {
			t.Errorf("%d notices: confirmed %v, left %d and %d from %q on", size, ids, len(q.ids), len(q.lines), q.ids[0])
		}
		t.Logf("%d notices: %d bytes allocated to remove 10", size, bytes)
		if bytes > 4096 {
			t.Errorf("%d notices: %d bytes allocated", size, bytes)
		}
	}
}

// Notices wait for the platform: the heap that each takes, and the time to confirm a request with many of them.
func BenchmarkNotices(b *testing.B) {
	for _, size := range []int{1000, 5000, 20000, 80000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			before := heapBytes()
			q := newNoticeQueue("", slog.New(slog.DiscardHandler), nil)
			for i := range size {
				q.add(Notice{ID: fmt.Sprintf("%016x", i), State: "returned", AfterMS: 500})
			}
			kept := heapBytes() - before
			all, ids := q.lines, q.ids
			for b.Loop() {
				q.lines, q.ids = all, ids
				q.dequeue(1000)
			}
			b.ReportMetric(float64(kept)/float64(size), "heap-B/notice")
		})
	}
}
