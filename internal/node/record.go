package node

import (
	"errors"
	"time"
)

// Writes to the journal and what depends on them: no message is accepted, sent or given up before the journal has the
// record of it.

// flushRetryDelay is the time after which records that could not be written are tried again.
const flushRetryDelay = 50 * time.Millisecond

// writeRecords appends records to the journal, after those that are still pending there. Then it queues the notices
// that were waiting for the journal.
func (n *Node) writeRecords(records []record) error {
	if len(records) == 0 && n.journal.Flushed() {
		return nil
	}
	err := n.journal.Append(records)
	n.journalFailures.observe(err)
	n.queueDelayedNotices()
	return err
}

// queueNotice queues a notice for the platform, at once if the journal has no pending records. Otherwise the notice is
// delayed: if this process died, the next one might send a message that has been reported as returned. The delay ends
// shortly before the message's deadline, after which no process sends it.
func (n *Node) queueNotice(notice Notice, deadline int64) {
	if n.journal.Flushed() || n.clock.Now() >= deadline-delayedNoticeMargin.Microseconds() {
		n.notices.add(notice)
		return
	}
	n.delayedNotices = append(n.delayedNotices, delayedNotice{notice, deadline})
}

// delayedNotice is a notice whose record is not in the journal yet.
type delayedNotice struct {
	notice   Notice
	deadline int64 // of the message, on the persistent clock
}

// delayedNoticeMargin is how long before the message's deadline its notice is sent in any case.
const delayedNoticeMargin = 100 * time.Millisecond

// queueDelayedNotices queues the delayed notices that need not wait any longer, and schedules another write of the
// journal if records are still pending.
func (n *Node) queueDelayedNotices() {
	waiting := n.delayedNotices
	n.delayedNotices = nil
	for _, delayed := range waiting {
		n.queueNotice(delayed.notice, delayed.deadline)
	}
	if !n.journal.Flushed() {
		n.flushTimer.Reset(flushRetryDelay)
	}
}

// notJournaledReply returns the reply to a message that could not be written to the journal. It is a rejection only if
// no later process can find the message in the file.
func notJournaledReply(err error) string {
	if errors.Is(err, errTruncateFailed) {
		return replyFailed
	}
	return busyReply(0)
}
