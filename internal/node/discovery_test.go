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

// A list may arrive in chunks of any size. One that stalls costs the timeout for a body, not the whole time of a watch.
func TestListInChunks(t *testing.T) {
	for _, complete := range []bool{true, false} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, err := json.Marshal(EndpointList{Generation: 3, Reset: true})
			if err != nil {
				t.Error(err)
			}
			if !complete {
				text = text[:len(text)/2]
			}
			for i := range text {
				w.Write(text[i : i+1])
				w.(http.Flusher).Flush()
			}
			if !complete {
				<-r.Context().Done()
			}
		}))
		d := newDiscoveryClient("", 1, slog.New(slog.DiscardHandler), nil)
		if !complete {
			d.bodyTimeout = 50 * time.Millisecond
		}
		at := time.Now()
		list, err := d.fetch(t.Context(), srv.URL, testTimeout)
		if complete && (err != nil || list.Generation != 3) {
			t.Errorf("%+v, %v", list, err)
		}
		if took := time.Since(at); !complete && (err == nil || took > testTimeout/2) {
			t.Errorf("after %v: %+v, %v", took, list, err)
		}
		srv.Close()
	}
}

// The start delay must grow with the number of senders: 56 senders that started at once all called discovery within
// 0.3 s, and half of them were rejected.
func TestStartSpreadGrowsWithSenders(t *testing.T) {
	for senders, want := range map[int]time.Duration{1: minStartSpread, 80: 2 * time.Second, 10000: maxStartSpread} {
		d := newDiscoveryClient("", senders, slog.New(slog.DiscardHandler), nil)
		if got := d.fleetStartSpread(); got != want {
			t.Errorf("%d senders: within %v, want %v", senders, got, want)
		}
	}
}

// newScriptedDiscovery serves calls for the list with the given handlers, one after the other. Later calls get no
// response. The queries of all calls are sent to the returned channel.
func newScriptedDiscovery(t *testing.T, handlers ...http.HandlerFunc) (*discoveryClient, <-chan any, <-chan string) {
	t.Helper()
	queries, events, i := make(chan string, 64), make(chan any, 64), new(atomic.Int32)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		call := int(i.Add(1))
		if call > len(handlers) {
			<-r.Context().Done()
			return
		}
		handlers[call-1](w, r)
	}))
	t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	d := newDiscoveryClient(strings.TrimPrefix(srv.URL, "http://"), 1, slog.New(slog.DiscardHandler), events)
	d.watchHold, d.bodyTimeout, d.randN = 10*time.Millisecond, 50*time.Millisecond, func(int64) int64 { return 0 }
	return d, events, queries
}

func respondWithList(list EndpointList, indent string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		enc := json.NewEncoder(w)
		enc.SetIndent("", indent)
		enc.Encode(list)
	}
}

// A watch that gets no response, stalls in a list, breaks or returns malformed data is retried without notifying
// package logic: the sender must act on a missed change within 6 s, and package logic waits longer before each further
// watch. If discovery rejects the next call too, package logic is notified in on-request mode. A local agent is called
// until it responds.
func TestFailedWatchIsRetried(t *testing.T) {
	one, two := EndpointList{Generation: 1, Reset: true}, EndpointList{
		Generation: 2,
		Reset:      true,
		Instances:  []Instance{{ID: "s-1"}},
	}
	for name, failure := range map[string]http.HandlerFunc{
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
				unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
				d, events, queries := newScriptedDiscovery(
					t,
					respondWithList(one, ""),
					failure,
					respondWithList(two, "  "),
					unavailable,
					respondWithList(one, ""),
				)
				d.pushed = pushed
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				d.startWatch(ctx)
				for _, want := range []EndpointList{one, two} {
					ev := receive(t, events, "list event").(listEvent)
					if ev.err != nil || ev.list.Generation != want.Generation || len(ev.list.Instances) != len(want.Instances) {
						t.Fatalf("got %+v, want %+v", ev, want)
					}
				}
				for i, want := range []string{"", "from=1&hold_ms=10", "from=1&hold_ms=10"} {
					if q := receive(t, queries, "call"); q != want {
						t.Errorf("call %d: %q, want %q", i, q, want)
					}
				}
				if ev := receive(t, events, "event after the error status").(listEvent); (ev.err == nil) != pushed {
					t.Errorf("after the error status: %+v", ev)
				}
			})
		}
	}
}

// In pushed mode a sender must act on what the local agent has from its start, so the first watch is not delayed,
// however many senders there are. When it was, senders called removed endpoints 1.2 to 1.8 s after restarts.
func TestFirstWatchOfPushedListStartsAtOnce(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		d := newDiscoveryClient("", 300, slog.New(slog.DiscardHandler), nil)
		d.pushed, d.hasList = pushed, true
		if spread := d.watchStartSpread(); (spread == 0) != pushed {
			t.Errorf("pushed %v: the first watch begins within %v", pushed, spread)
		}
		if d.receivedList = true; d.watchStartSpread() != 0 {
			t.Error("a later watch is delayed")
		}
	}
}

// Only the first watch of a process has a start delay. One after a failed call has already waited, and a further delay
// would exceed the time within which a change must take effect.
func TestOnlyFirstWatchIsDelayed(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	stop()
	d := newDiscoveryClient("", 300, slog.New(slog.DiscardHandler), make(chan any, 1))
	d.hasList = true
	if d.watchStartSpread() == 0 {
		t.Error("the first watch is not delayed")
	}
	d.startWatch(ctx)
	d.accept(listEvent{err: io.EOF})
	if spread := d.watchStartSpread(); spread != 0 {
		t.Errorf("the next watch begins within %v", spread)
	}
}
