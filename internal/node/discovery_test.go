package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A list may come in pieces of any size. One that stops coming costs a deadline, not the whole time of a watch.
func TestListInPieces(t *testing.T) {
	for _, whole := range []bool{true, false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, err := json.Marshal(List{Generation: 3, Reset: true})
			if err != nil {
				t.Error(err)
			}
			if !whole {
				text = text[:len(text)/2]
			}
			for i := range text {
				w.Write(text[i : i+1])
				w.(http.Flusher).Flush()
			}
			if !whole {
				<-r.Context().Done()
			}
		}))
		d := newDiscovery("", 1, slog.New(slog.DiscardHandler), nil)
		if !whole {
			d.rest = 50 * time.Millisecond
		}
		at := time.Now()
		list, err := d.get(t.Context(), srv.URL, testTimeout)
		if whole && (err != nil || list.Generation != 3) {
			t.Errorf("%+v, %v", list, err)
		}
		if took := time.Since(at); !whole && (err == nil || took > testTimeout/2) {
			t.Errorf("after %v: %+v, %v", took, list, err)
		}
		srv.Close()
	}
}

// Found on the day of a large herd: 56 senders that started at once all asked within 0.3 s, and half were turned away.
func TestFirstWatchesSpreadWithTheSenders(t *testing.T) {
	for senders, want := range map[int]time.Duration{1: firstWatch, 80: 2 * time.Second, 10000: lastWatch} {
		d := newDiscovery("", senders, slog.New(slog.DiscardHandler), nil)
		if got := d.firstSpread(); got != want {
			t.Errorf("%d senders: within %v, want %v", senders, got, want)
		}
	}
}

// agent answers calls for the list as a test says, one after the other, and passes on what was asked.
func agent(t *testing.T, answers ...http.HandlerFunc) (*discovery, <-chan any, <-chan string) {
	t.Helper()
	asked, events, i := make(chan string, 64), make(chan any, 64), new(atomic.Int32)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		k := int(i.Add(1))
		if k > len(answers) {
			<-r.Context().Done()
			return
		}
		answers[k-1](w, r)
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	d := newDiscovery(strings.TrimPrefix(srv.URL, "http://"), 1, slog.New(slog.DiscardHandler), events)
	d.hold, d.rest, d.draw = 10*time.Millisecond, 50*time.Millisecond, func(int64) int64 { return 0 }
	return d, events, asked
}

func sends(list List, indent string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		enc := json.NewEncoder(w)
		enc.SetIndent("", indent)
		enc.Encode(list)
	}
}

// A watch that falls silent, stalls in a list, breaks or can't be read is opened anew, before the module need hear of
// it: what it misses counts as told 6 s later, and the module asks again later each time. Where discovery is asked and
// turns the next call away as well, the module is told; an agent of our own is asked until it answers.
func TestBrokenWatchIsOpenedAnew(t *testing.T) {
	one, two := List{Generation: 1, Reset: true}, List{Generation: 2, Reset: true, Instances: []Instance{{ID: "s-1"}}}
	for name, breaks := range map[string]http.HandlerFunc{
		"silent":     func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"unreadable": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "{]") },
		"reset":      func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"stalls": func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, `{"generation":2,"reset":true,`)
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		},
	} {
		for _, pushed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pushed %v", name, pushed), func(t *testing.T) {
				t.Parallel()
				away := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
				d, events, asked := agent(t, sends(one, ""), breaks, sends(two, "  "), away, sends(one, ""))
				d.pushed = pushed
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				d.watch(ctx)
				for _, want := range []List{one, two} {
					ev := receive(t, events, "news").(listEvent)
					if ev.err != nil || ev.list.Generation != want.Generation || len(ev.list.Instances) != len(want.Instances) {
						t.Fatalf("got %+v, want %+v", ev, want)
					}
				}
				for i, want := range []string{"", "from=1&hold_ms=10", "from=1&hold_ms=10"} {
					if q := receive(t, asked, "call"); q != want {
						t.Errorf("call %d: %q, want %q", i, q, want)
					}
				}
				if ev := receive(t, events, "what follows").(listEvent); (ev.err == nil) != pushed {
					t.Errorf("turned away: %+v", ev)
				}
			})
		}
	}
}

// What the agent has counts as told from the first moment of a process: many senders must not wait for each other.
// Found on roll: calls to endpoints that had gone, 1.2 to 1.8 s after restarts.
func TestFirstWatchOfPushedListIsAtOnce(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		d := newDiscovery("", 300, slog.New(slog.DiscardHandler), nil)
		d.pushed, d.started = pushed, true
		if at := d.begin(); (at == 0) != pushed {
			t.Errorf("pushed %v: the first watch begins within %v", pushed, at)
		}
		if d.heard = true; d.begin() != 0 {
			t.Error("a later one waits")
		}
	}
}

// Only the first watch of a process waits for its turn: one after a failed call has waited by then, and news would
// count as told before it.
func TestOnlyTheFirstWatchWaits(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	d := newDiscovery("", 300, slog.New(slog.DiscardHandler), make(chan any, 1))
	d.started = true
	if d.begin() == 0 {
		t.Error("the first one does not wait")
	}
	d.watch(ctx)
	d.takes(listEvent{err: io.EOF})
	if at := d.begin(); at != 0 {
		t.Errorf("the next one begins within %v", at)
	}
}
