package node

import (
	"errors"
	"time"
)

// The journal and what depends on it: nothing is taken on, sent or given up
// before the journal has it.

// flushPause is the time before what could not be written is written again.
const flushPause = 50 * time.Millisecond

// record appends to the journal, and what it lacks before that. Then ends that waited for it are told.
func (n *Node) record(records []record) error {
	if len(records) == 0 && n.journal.Settled() {
		return nil
	}
	err := n.journal.Append(records)
	n.journalFailures.note(err)
	n.tell()
	return err
}

// say has the platform told of an end: at once if the journal has it. Else the next process, if this one dies, might
// send what has been returned; so the notice waits, but not past the message's time, after which nothing is sent.
func (n *Node) say(x Notice, deadline int64) {
	if n.journal.Settled() || n.clock.Now() >= deadline-lastWait.Microseconds() {
		n.notices.add(x)
		return
	}
	n.deferredNotices = append(n.deferredNotices, unsaid{x, deadline})
}

// unsaid is an end that the journal has not got yet.
type unsaid struct {
	notice   Notice
	deadline int64 // of the message, on the lasting clock
}

// lastWait is how long before a message's time its notice is sent in any case.
const lastWait = 100 * time.Millisecond

// tell tells the ends that need not wait any more, and sees that the others are looked at again.
func (n *Node) tell() {
	waiting := n.deferredNotices
	n.deferredNotices = nil
	for _, x := range waiting {
		n.say(x.notice, x.deadline)
	}
	if !n.journal.Settled() {
		n.flushTimer.Reset(flushPause)
	}
}

// notWritten is the answer to a message that the journal could not take: refused only if it is sure that no later
// process finds it there.
func notWritten(err error) string {
	if errors.Is(err, errUncertain) {
		return replyFailed
	}
	return busyReply(0)
}
