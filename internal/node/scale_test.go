package node

import (
	"bytes"
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
		d.rest = patience
		var list List
		var err error
		each := allocated(func() { list, err = d.get(t.Context(), srv.URL, patience) }) / uint64(n)
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
	x.list(listEvent{list: list})
	x.step(tb.Context())
	return x
}

func emptyNode(tb testing.TB, dir string) *Node {
	tb.Helper()
	cfg, err := ParseConfig(configText(&platform{srv: &httptest.Server{URL: "http://127.0.0.1:1"}}, List{}))
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
		x.lock.Close()
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

// flat checks that what is to cost the same with any list does: the walk over a list a hundred times as long takes
// about a hundred times as long.
func flat(t *testing.T, what string, took map[int]time.Duration) {
	t.Helper()
	t.Logf("%s: %v", what, took)
	first, last := took[listSizes[0]], took[listSizes[len(listSizes)-1]]
	if last > 20*first {
		t.Errorf("%s: %v with %d endpoints, %v with %d", what, first, listSizes[0], last, listSizes[len(listSizes)-1])
	}
}

// The change of one endpoint, and the look each second for those long gone, cost the same with any list.
func TestListChangeScale(t *testing.T) {
	changed, swept := map[int]time.Duration{}, map[int]time.Duration{}
	for _, size := range listSizes {
		n := listedNode(t, size)
		changed[size] = least(50, func(i int) {
			n.list(change(i))
			n.step(t.Context())
		})
		swept[size] = least(50, func(int) { n.dir.forget(time.Now(), nil) })
		if n.dir.listed() != size {
			t.Errorf("%d endpoints are listed, want %d", n.dir.listed(), size)
		}
	}
	flat(t, "a change", changed)
	flat(t, "a look for those long gone", swept)
}
