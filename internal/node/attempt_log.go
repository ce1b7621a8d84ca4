package node

import (
	"fmt"
	"time"

	"rundeal/logic"
)

// outcomeNames are for the people on call.
var outcomeNames = map[logic.Outcome]string{logic.Completed: "ok", logic.Errored: "error", logic.Full: "full",
	logic.Overdue: "timeout", logic.RefusedConn: "no-connection", logic.Severed: "reset", logic.Recalled: "recalled",
	logic.Moot: "not-sent", logic.Unsent: "held-here", logic.Spoilt: "unreadable"}

// trail is the course of a message: each attempt as the time of its send, its endpoint, its outcome and the
// time of that, in milliseconds from when the message came.
type attemptLog struct {
	receivedAt time.Time
	text       []byte
}

func (l *attemptLog) elapsedMS() int64 { return time.Since(l.receivedAt).Milliseconds() }

func (l *attemptLog) addSend(ep logic.EndpointID) {
	if len(l.text) > 0 {
		l.text = append(l.text, ' ')
	}
	l.text = fmt.Appendf(l.text, "%d>%d", l.elapsedMS(), ep)
}

// heard notes an outcome, with the time for which a kept connection had been idle.
func (l *attemptLog) addOutcome(r result) {
	l.text = fmt.Appendf(l.text, ":%s@%d", outcomeNames[r.outcome], l.elapsedMS())
	if r.idle > 0 {
		l.text = fmt.Appendf(l.text, "(idle %d)", r.idle.Milliseconds())
	}
}
