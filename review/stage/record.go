package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// recorder writes the record of a case, a line for each thing that was sent, answered or run, with the time since the
// start of the case.
type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{start: time.Now(), file: file}, err
}

// elapsed returns the time since the start of the case.
func (r *recorder) elapsed() time.Duration { return time.Since(r.start) }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// copyLogs appends the logs of the senders, without the lines that only report messages.
func (r *recorder) copyLogs(pattern string) {
	paths, _ := filepath.Glob(pattern)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		fmt.Fprintf(r.file, "\nlog %s\n", filepath.Base(path))
		for line := range strings.Lines(string(text)) {
			if !strings.Contains(line, "msg=message ") {
				fmt.Fprint(r.file, line)
			}
		}
	}
}

func (r *recorder) close() { r.file.Close() }
