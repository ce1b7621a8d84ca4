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
	// maxNoticeTimeout is the longest timeout for the platform's response.
	maxNoticeTimeout = time.Second
	// firstNoticeTimeout is the timeout of a first try. The platform responds at once or not at all, and a notice may be
	// 0.3 s late at most, so there must be time for a second try.
	firstNoticeTimeout = 150 * time.Millisecond
	noticeRetryDelay   = 100 * time.Millisecond // before notices that were not confirmed are sent again
	maxNoticeBody      = 64 << 10               // bytes in one request or response body
)

// noticesConfirmedEvent tells the event loop that the platform has confirmed the notices of these messages.
type noticesConfirmedEvent struct{ ids []string }

// noticeQueue sends notices to the platform, in order, until it confirms them. The journal bounds its length, since it
// holds every message whose notice is not confirmed.
type noticeQueue struct {
	client *http.Client
	log    *slog.Logger
	events chan<- any
	wake   chan struct{} // holds one token while there may be new work

	mu         sync.Mutex
	addr       string
	lines      [][]byte // encoded notices that are not confirmed
	ids        []string // message ids of lines
	cancelPost context.CancelFunc
}

func newNoticeQueue(addr string, log *slog.Logger, events chan<- any) *noticeQueue {
	return &noticeQueue{
		addr:       addr,
		log:        log,
		events:     events,
		wake:       make(chan struct{}, 1),
		cancelPost: func() {},
		client: &http.Client{Transport: &http.Transport{
			DialContext:     (&net.Dialer{Timeout: maxNoticeTimeout}).DialContext,
			MaxConnsPerHost: 1,
			IdleConnTimeout: 30 * time.Second,
		}},
	}
}

// add queues a notice. It does not block, and may be called before run.
func (q *noticeQueue) add(notice Notice) {
	line, err := json.Marshal(notice)
	if err != nil {
		q.log.Error("notice", "id", notice.ID, "err", err)
		return
	}
	q.mu.Lock()
	q.lines, q.ids = append(q.lines, append(line, '\n')), append(q.ids, notice.ID)
	q.mu.Unlock()
	q.signal()
}

// setAddr changes the platform's address. Notices that the old address has not confirmed go to the new one.
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

// run sends queued notices, one request at a time, until ctx is done.
func (q *noticeQueue) run(ctx context.Context) {
	defer q.client.CloseIdleConnections()
	failing := false // a failure has been logged since the last success
	timeout := firstNoticeTimeout
	for {
		n, err := q.post(ctx, timeout)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			if !failing {
				q.log.Warn("notices", "err", err)
			}
			failing = true
			timeout = min(2*timeout, maxNoticeTimeout)
			if !errors.Is(err, context.DeadlineExceeded) { // a timeout has been delay enough
				sleepContext(ctx, jitter(noticeRetryDelay))
			}
			continue
		case n > 0:
			failing, timeout = false, firstNoticeTimeout
			ids := q.dequeue(n)
			select {
			case q.events <- noticesConfirmedEvent{ids}:
			case <-ctx.Done():
				return
			}
			sleepContext(ctx, reuseDelay)
			continue
		}
		select {
		case <-q.wake:
		case <-ctx.Done():
			return
		}
	}
}

// post sends the oldest notices, as many as one body may hold, and returns their number. It waits for the response for
// the given timeout.
func (q *noticeQueue) post(ctx context.Context, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q.mu.Lock()
	var body []byte
	n := 0
	for n < len(q.lines) && (n == 0 || len(body)+len(q.lines[n]) <= maxNoticeBody) {
		body = append(body, q.lines[n]...)
		n++
	}
	url := "http://" + q.addr + "/v1/outcomes"
	q.cancelPost = cancel // so that setAddr can cancel a request in flight
	q.mu.Unlock()
	if n == 0 {
		return 0, nil
	}
	ctx, acknowledgeResponse := withAcknowledgment(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := q.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	// Only the status matters. The body is read so that the connection can be reused.
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxNoticeBody)); err != nil {
		return 0, err
	}
	acknowledgeResponse()
	if resp.StatusCode != http.StatusNoContent {
		return 0, fmt.Errorf("platform responded with %s", resp.Status)
	}
	return n, nil
}

// dequeue removes the oldest n notices and returns their message ids.
func (q *noticeQueue) dequeue(n int) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	ids := slices.Clone(q.ids[:n])
	clear(q.lines[:n]) // frees the lines now; the array itself stays until append allocates a new one
	clear(q.ids[:n])
	q.lines, q.ids = q.lines[n:], q.ids[n:]
	return ids
}
