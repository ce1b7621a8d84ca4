package node

import (
	"bufio"
	"bytes"
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

// Notices that exceed the limit of 64 KiB for one body must be sent in several, in order, and each confirmed once.
func TestNoticesBody(t *testing.T) {
	bodies := make(chan []byte, 64)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		bodies <- b
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	events := make(chan any, 64)
	q := newNoticeQueue(strings.TrimPrefix(srv.URL, "http://"), slog.New(slog.DiscardHandler), events)
	const count = 2000
	for i := range count {
		q.add(Notice{ID: fmt.Sprintf("%064d", i), State: "failed"})
	}
	go q.run(t.Context())
	confirmed := 0
	for confirmed < count {
		for _, id := range receive(t, events, "confirmation").(noticesConfirmedEvent).ids {
			if want := fmt.Sprintf("%064d", confirmed); id != want {
				t.Fatalf("confirmed %s, want %s", id, want)
			}
			confirmed++
		}
		b := receive(t, bodies, "body")
		if len(b) > 64<<10 {
			t.Errorf("body of %d bytes", len(b))
		}
		for lines := bufio.NewScanner(bytes.NewReader(b)); lines.Scan(); {
			var notice Notice
			if err := json.Unmarshal(lines.Bytes(), &notice); err != nil {
				t.Error(err)
			}
		}
	}
}

// When the address changes while a request to the old one has no response yet, the notices must go to the new address
// at once.
func TestNoticesMoveFromSilentAddress(t *testing.T) {
	requested := make(chan struct{}, 1)
	silent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Read completely, so that the server notices when the connection is closed.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Error(err)
		}
		requested <- struct{}{}
		<-r.Context().Done()
	}))
	defer silent.Close()
	p := newPlatform(t)
	q := newNoticeQueue(strings.TrimPrefix(silent.URL, "http://"), slog.New(slog.DiscardHandler), make(chan any, 1))
	go q.run(t.Context())
	q.add(Notice{ID: "a", State: "failed"})
	receive(t, requested, "post")
	q.setAddr(strings.TrimPrefix(p.srv.URL, "http://"))
	if notice := receive(t, p.notices, "notice"); notice.ID != "a" {
		t.Errorf("notice %+v", notice)
	}
}

// A notice may be at most 0.3 s late, even if the first request gets no response.
func TestNoticeOverSilentConnection(t *testing.T) {
	var first atomic.Bool
	received := make(chan time.Time, 8)
	silent := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if first.CompareAndSwap(false, true) {
			<-silent
			return
		}
		received <- time.Now()
		w.WriteHeader(http.StatusNoContent)
	}))
	defer srv.Close()
	defer close(silent)
	events := make(chan any, 8)
	q := newNoticeQueue(strings.TrimPrefix(srv.URL, "http://"), slog.New(slog.DiscardHandler), events)
	go q.run(t.Context())
	addedAt := time.Now()
	q.add(Notice{ID: "a", State: noticeFailed})
	if took := receive(t, received, "notice").Sub(addedAt); took > 300*time.Millisecond {
		t.Errorf("notice arrived after %v", took)
	}
	receive(t, events, "confirmation")
}
