package node

import (
	"errors"
	"time"
)

// The journal and what depends on it: nothing is taken on, sent or given up
// before the journal has it.

// flushPause is the time before what could not be written is written again.
const flushRetryDelay = 50 * time.Millisecond

// record appends to the journal, and what it lacks before that. Then ends that waited for it are told.
func (n *Node) writeRecords(records []record) error {
	if len(records) == 0 && n.journal.Flushed() {
		return nil
	}
	err := n.journal.Append(records)
	n.failing.observe(err)
	n.queueDelayedNotices()
	return err
}

// say has the platform told of an end: at once if the journal has it. Else the next process, if this one dies, might
// send what has been returned; so the notice waits, but not past the message's time, after which nothing is sent.
func (n *Node) queueNotice(x Notice, deadline int64) {
	if n.journal.Flushed() || n.clock.Now() >= deadline-delayedNoticeMargin.Microseconds() {
		n.notices.add(x)
		return
	}
	n.unsaid = append(n.unsaid, delayedNotice{x, deadline})
}

// unsaid is an end that the journal has not got yet.
type delayedNotice struct {
	notice   Notice
	deadline int64 // of the message, on the lasting clock
}

// lastWait is how long before a message's time its notice is sent in any case.
const delayedNoticeMargin = 100 * time.Millisecond

// tell tells the ends that need not wait any more, and sees that the others are looked at again.
func (n *Node) queueDelayedNotices() {
	waiting := n.unsaid
	n.unsaid = nil
	for _, x := range waiting {
		n.queueNotice(x.notice, x.deadline)
	}
	if !n.journal.Flushed() {
		n.flush.Reset(flushRetryDelay)
	}
}

// notWritten is the answer to a message that the journal could not take: refused only if it is sure that no later
// process finds it there.
func answerNotJournaled(err error) string {
	if errors.Is(err, errTruncateFailed) {
		return answerFailed
	}
	return busy(0)
}
