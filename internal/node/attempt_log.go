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

func (t *attemptLog) elapsedMS() int64 { return time.Since(t.receivedAt).Milliseconds() }

func (t *attemptLog) addSend(ep logic.EndpointID) {
	if len(t.text) > 0 {
		t.text = append(t.text, ' ')
	}
	t.text = fmt.Appendf(t.text, "%d>%d", t.elapsedMS(), ep)
}

// heard notes an outcome, with the time for which a kept connection had been idle.
func (t *attemptLog) addOutcome(r result) {
	t.text = fmt.Appendf(t.text, ":%s@%d", outcomeNames[r.outcome], t.elapsedMS())
	if r.idle > 0 {
		t.text = fmt.Appendf(t.text, "(idle %d)", r.idle.Milliseconds())
	}
}
