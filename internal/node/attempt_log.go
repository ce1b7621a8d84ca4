package node

import (
	"fmt"
	"time"

	"rundeal/logic"
)

// outcomeNames are the names of outcomes in logs and metrics.
var outcomeNames = map[logic.Outcome]string{
	logic.Delivered:    "ok",
	logic.Errored:      "error",
	logic.Refused:      "full",
	logic.TimedOut:     "timeout",
	logic.ConnRefused:  "no-connection",
	logic.ConnLost:     "reset",
	logic.Cancelled:    "recalled",
	logic.Skipped:      "not-sent",
	logic.LocalFailure: "held-here",
	logic.Unreadable:   "unreadable",
}

// attemptLog lists the attempts of a message as text. Each attempt has the time of its send, its endpoint, its outcome
// and the time of that, in milliseconds since the message arrived.
type attemptLog struct {
	receivedAt time.Time
	text       []byte
}

func (l *attemptLog) elapsedMS() int64 { return time.Since(l.receivedAt).Milliseconds() }

// addSend records the start of an attempt.
func (l *attemptLog) addSend(ep logic.EndpointID) {
	if len(l.text) > 0 {
		l.text = append(l.text, ' ')
	}
	l.text = fmt.Appendf(l.text, "%d>%d", l.elapsedMS(), ep)
}

// addOutcome records the outcome of an attempt, and how long its connection had been idle if it was a kept one.
func (l *attemptLog) addOutcome(r callResult) {
	l.text = fmt.Appendf(l.text, ":%s@%d", outcomeNames[r.outcome], l.elapsedMS())
	if r.idleTime > 0 {
		l.text = fmt.Appendf(l.text, "(idle %d)", r.idleTime.Milliseconds())
	}
}
