package node

import (
	"fmt"
	"strings"
	"sync/atomic"
)

const figurePrefix = "edge_balancer."

// figures are what operators are shown. Each message is counted once, where it ends.
// Anybody may read them at any time.
type figures struct {
	classes []string
	ends    map[string]*tally // by class; the map itself never changes
	relayed atomic.Int64      // messages written whole to endpoints, each time

	// Set by the loop after each step.
	open    atomic.Int64 // messages taken and not ended
	entries atomic.Int64 // endpoints on the list
	avoided atomic.Int64 // of them, those that get no ordinary traffic
}

// tally counts the messages of a class by how they ended.
type tally struct{ fulfilled, throttled, faulted atomic.Int64 }

func newFigures(cfg *Config) *figures {
	f := &figures{ends: map[string]*tally{}}
	for _, c := range cfg.Deploy.Settings.Classes {
		f.classes = append(f.classes, c.Name)
		f.ends[c.Name] = new(tally)
	}
	return f
}

func (f *figures) fulfilled(class string) { f.ends[class].fulfilled.Add(1) }
func (f *figures) throttled(class string) { f.ends[class].throttled.Add(1) }
func (f *figures) faulted(class string)   { f.ends[class].faulted.Add(1) }

// told counts a message that ends with an answer or a notice of ours.
func (f *figures) told(class, said string) {
	switch {
	case said == answerFailed, said == answerUnknown, said == "failed":
		f.faulted(class)
	case strings.HasPrefix(said, "-BUSY"), said == "returned":
		f.throttled(class)
	}
}

// text is a line a figure.
func (f *figures) text() string {
	var b strings.Builder
	line := func(name string, n int64) { fmt.Fprintf(&b, "%s%s=%d\n", figurePrefix, name, n) }
	for _, class := range f.classes {
		e := f.ends[class]
		line("operations."+class+".fulfilled", e.fulfilled.Load())
		line("operations."+class+".throttled", e.throttled.Load())
		line("operations."+class+".faulted", e.faulted.Load())
	}
	line("relayed", f.relayed.Load())
	line("open_requests", f.open.Load())
	line("registry_entries", f.entries.Load())
	line("out_of_rotation", f.avoided.Load())
	return b.String()
}
