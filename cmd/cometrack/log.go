package main

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	logLines = 1024                   // that may wait for whoever reads the log
	logEnd   = 200 * time.Millisecond // for them to be written at the end of the process
)

// logWriter writes log lines in the background: a reader that stalls must not stop the sender. Lines that find no room
// are dropped, and counted in the log once it is read again.
type logWriter struct {
	out     io.Writer
	lines   chan []byte
	closing chan struct{} // closed at the end of the process
	written chan struct{} // closed when what waited then has been written
	dropped atomic.Int64
}

func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{out: out, lines: make(chan []byte, logLines), closing: make(chan struct{}), written: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line. It never waits and never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *logWriter) run() {
	defer close(w.written)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			for len(w.lines) > 0 {
				w.write(<-w.lines)
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
	case <-w.written:
	case <-time.After(logEnd):
	}
}
