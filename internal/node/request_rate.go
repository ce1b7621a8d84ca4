package node

import "time"

// One client must not take the processor time that the replies to all others need.

const (
	requestRate  = 1000 // requests per second that one connection may send for long
	requestBurst = 256  // requests at once
)

// requestLimiter is a token bucket for the requests of one connection. It is not safe for concurrent use.
type requestLimiter struct {
	tokens     float64
	refilledAt time.Time
}

func newRequestLimiter(now time.Time) requestLimiter { return requestLimiter{requestBurst, now} }

// take takes a token and returns how long to wait before the next request is read.
func (l *requestLimiter) take(now time.Time) time.Duration {
	l.tokens = min(l.tokens+now.Sub(l.refilledAt).Seconds()*requestRate, requestBurst) - 1
	l.refilledAt = now
	if l.tokens >= 0 {
		return 0
	}
	return time.Duration(-l.tokens / requestRate * float64(time.Second))
}
