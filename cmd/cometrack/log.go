package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024                   // lines that may be queued while the log reader is slow
	closeTimeout   = 200 * time.Millisecond // time limit for writing the queued lines when the process ends
)

// logWriter writes log lines in the background, because a stalled log reader must not block the sender. When the queue
// is full, lines are dropped; their number is logged after the next line that is written.
type logWriter struct {
	out     io.Writer
	queue   chan []byte
	closing chan struct{} // closed when the process ends
	flushed chan struct{} // closed once the lines queued by then have been written
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{
		out:     out,
		queue:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		flushed: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues a line. It never blocks and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.flushed)
	for {
		select {
		case line := <-w.queue:
			w.write(line)
		case <-w.closing:
			for len(w.queue) > 0 {
				w.write(<-w.queue)
			}
			return
		}
	}
}

func (w *logWriter) write(line []byte) {
	w.out.Write(line) // the error cannot be reported anywhere
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "%d log lines were dropped\n", n)
	}
}

// close waits until the queued lines are written, up to closeTimeout. Lines written later may be lost.
func (w *logWriter) close() {
	close(w.closing)
	select {
	case <-w.flushed:
	case <-time.After(closeTimeout):
	}
}
