package node

import (
	"errors"
	"time"
)

// The journal and what depends on it: nothing is taken on or sent
// before the journal has it.

// flushPause is the time before what could not be written is written again.
const flushPause = 50 * time.Millisecond

// record appends to the journal, and what it lacks before that.
func (n *Node) record(records []record) error {
	err := n.journal.Append(records)
	n.failing.note(err)
	if !n.journal.Settled() {
		n.flush.Reset(flushPause)
	}
	return err
}

// notWritten is the answer to a message that the journal could not take: refused only if it is sure that no later
// process finds it there.
func notWritten(err error) string {
	if errors.Is(err, errUncertain) {
		return answerFailed
	}
	return busy(0)
}
