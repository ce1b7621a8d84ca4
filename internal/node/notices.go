package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	maxNoticeTimeout   = time.Second            // for the platform's answer, at most ...
	firstNoticeTimeout = 150 * time.Millisecond // ... and at first: it comes at once if it comes, and an end may be 0.3 s late
	noticeRetryDelay   = 100 * time.Millisecond // before notices that were not confirmed are sent again
	maxNoticeBody      = 64 << 10               // bytes in one body
)

// noticedEvent says that the platform has confirmed the ends of these messages.
type noticesConfirmedEvent struct{ ids []string }

// notices tells the platform of ends, in order, until it confirms them. What waits is
// bounded by the journal, which holds every message whose notice is owed.
type noticeQueue struct {
	client *http.Client
	log    *slog.Logger
	events chan<- any
	wake   chan struct{} // holds one token while there may be something new to do

	mu         sync.Mutex
	addr       string
	lines      [][]byte // the lines that are not confirmed
	ids        []string // of queue
	cancelPost context.CancelFunc
}

func newNoticeQueue(addr string, log *slog.Logger, events chan<- any) *noticeQueue {
	return &noticeQueue{addr: addr, log: log, events: events, wake: make(chan struct{}, 1), cancelPost: func() {},
		client: &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: maxNoticeTimeout}).DialContext,
			MaxConnsPerHost: 1, IdleConnTimeout: 30 * time.Second}}}
}

// add queues a notice. It does not wait, and may be called before run.
func (q *noticeQueue) add(x Notice) {
	line, err := json.Marshal(x)
	if err != nil {
		q.log.Error("notice", "id", x.ID, "err", err)
		return
	}
	q.mu.Lock()
	q.lines, q.ids = append(q.lines, append(line, '\n')), append(q.ids, x.ID)
	q.mu.Unlock()
	q.signal()
}

// move turns to another address, with what the old one has not confirmed too.
func (q *noticeQueue) setAddr(addr string) {
	q.mu.Lock()
	q.addr = addr
	q.cancelPost()
	q.mu.Unlock()
	q.client.CloseIdleConnections()
	q.signal()
}

func (q *noticeQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends what is queued, a body at a time, until ctx is over.
func (q *noticeQueue) run(ctx context.Context) {
	defer q.client.CloseIdleConnections()
	failing := false // logged once for a row of failures
	patience := firstNoticeTimeout
	for {
		n, err := q.post(ctx, patience)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !failing {
				q.log.Warn("notices", "err", err)
			}
			failing = true
			patience = min(2*patience, maxNoticeTimeout)
			if !errors.Is(err, context.DeadlineExceeded) { // that was pause enough
				pause(ctx, jitter(noticeRetryDelay))
			}
			continue
		case n > 0:
			failing, patience = false, firstNoticeTimeout
			ids := q.dequeue(n)
			select {
			case q.events <- noticesConfirmedEvent{ids}:
			case <-ctx.Done():
				return
			}
			continue
		}
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
	}
}

// send posts the oldest notices, as many as a body holds, and says how many that were. It waits so long for the answer.
func (q *noticeQueue) post(ctx context.Context, patience time.Duration) (int, error) {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	q.mu.Lock()
	var body []byte
	n := 0
	for n < len(q.lines) && (n == 0 || len(body)+len(q.lines[n]) <= maxNoticeBody) {
		body = append(body, q.lines[n]...)
		n++
	}
	url := "http://" + q.addr + "/v1/outcomes"
	q.cancelPost = stop // move ends a post that is under way
	q.mu.Unlock()
	if n == 0 {
		return 0, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	// Whatever the body says, the status has told; it is read so that the connection can serve again.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticeBody)); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusNoContent {
		return 0, fmt.Errorf("platform answered %s", resp.Status)
	}
	return n, nil
}

// confirmed takes the oldest n notices off the queue.
func (q *noticeQueue) dequeue(n int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	ids := slices.Clone(q.ids[:n])
	clear(q.lines[:n]) // the array stays until the next one is made; what it holds does not
	clear(q.ids[:n])
	q.lines, q.ids = q.lines[n:], q.ids[n:]
	return ids
}
