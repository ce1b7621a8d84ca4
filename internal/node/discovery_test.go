package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
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
		list, err := d.get(t.Context(), srv.URL, patience)
		if whole && (err != nil || list.Generation != 3) {
			t.Errorf("%+v, %v", list, err)
		}
		if took := time.Since(at); !whole && (err == nil || took > patience/2) {
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
