package node

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
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
