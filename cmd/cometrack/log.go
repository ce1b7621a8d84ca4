package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024                   // that may wait for whoever reads the log
	closeTimeout   = 200 * time.Millisecond // for them to be written at the end of the process
)

// logWriter writes log lines in the background: a reader that stalls must not stop the sender. Lines that find no room
// are dropped, and counted in the log once it is read again.
type logWriter struct {
	out     io.Writer
	queue   chan []byte
	closing chan struct{} // closed at the end of the process
	flushed chan struct{} // closed when what waited then has been written
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, queue: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails.
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
	w.out.Write(line) // there is nobody to tell of an error
	if n := w.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w.out, "%d log lines were dropped\n", n)
	}
}

// close writes what waits, for a short while at most. Lines that come later may be lost.
func (w *logWriter) close() {
	close(w.closing)
	select {
	case <-w.flushed:
	case <-time.After(closeTimeout):
	}
}
