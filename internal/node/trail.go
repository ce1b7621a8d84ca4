package node

import (
	"fmt"
	"time"

	"rundeal/logic"
)

// outcomeNames are for the people on call.
var outcomeNames = map[logic.Outcome]string{logic.Delivered: "ok", logic.Errored: "error", logic.Refused: "full",
	logic.TimedOut: "timeout", logic.ConnRefused: "no-connection", logic.ConnLost: "reset", logic.Cancelled: "recalled",
	logic.Skipped: "not-sent", logic.LocalFailure: "held-here", logic.Unreadable: "unreadable"}

// trail is the course of a message: each attempt as the time of its send, its endpoint, its outcome and the
// time of that, in milliseconds from when the message came.
type trail struct {
	came time.Time
	text []byte
}

func (t *trail) ms() int64 { return time.Since(t.came).Milliseconds() }

func (t *trail) sent(ep logic.EndpointID) {
	if len(t.text) > 0 {
		t.text = append(t.text, ' ')
	}
	t.text = fmt.Appendf(t.text, "%d>%d", t.ms(), ep)
}

// heard notes an outcome, with the time for which a kept connection had been idle.
func (t *trail) heard(r callResult) {
	t.text = fmt.Appendf(t.text, ":%s@%d", outcomeNames[r.outcome], t.ms())
	if r.idleTime > 0 {
		t.text = fmt.Appendf(t.text, "(idle %d)", r.idleTime.Milliseconds())
	}
}
