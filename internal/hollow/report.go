package hollow

import (
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"rundeal/logic"
)

const (
	samples    = 20                  // of the course of a run
	mostMicros = int64(3600_000_000) // longest latency that is told apart
)

// Counts are what happened, counted over the run.
type Counts struct {
	Offered     int64 `json:"offered"` // events
	Delivered   int64 `json:"delivered"`
	Returned    int64 `json:"returned"` // refused, at the door or later
	Failed      int64 `json:"failed"`
	Late        int64 `json:"late"`    // of those delivered, after the aim
	Held        int64 `json:"held"`    // not ended when the run did
	Repeats     int64 `json:"repeats"` // runs at an endpoint beyond the first of an event
	Calls       int64 `json:"calls"`
	OverLimit   int64 `json:"over_limit"`   // calls that a limit turned away
	NoPlace     int64 `json:"no_place"`     // connections that an endpoint did not take
	IntoOutages int64 `json:"into_outages"` // calls made while their endpoint served nothing
	Connections int64 `json:"connections"`  // opened
	Outages     int64 `json:"outages"`      // of destinations, falls counted
	Falls       int64 `json:"falls"`        // of cold destinations
	Blamed      int64 `json:"blamed"`       // falls of which over two thirds came from senders that had an outcome of the outage
	Unnoticed   int64 `json:"unnoticed"`    // outages times senders that sent into them and never took an endpoint out
	Restarts    int64 `json:"restarts"`     // of processes
	Losses      int64 `json:"losses"`       // of senders' machines
	Steps       int64 `json:"steps"`        // of modules
}

// Quantiles are latencies of delivered events in milliseconds, from their birth to their end.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Notice is the time in seconds from a sender's first send into an outage to its having one of the endpoints sent to
// out, from when on it tries the destination singly.
type Notice struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_s"`
	Worst float64 `json:"worst_s"`
}

// InForce is the time in seconds from a change at discovery until the last sender that is up acts on it.
type InForce struct {
	Changes int     `json:"changes"`
	Open    int     `json:"open"` // not in force everywhere when the run ended
	Mean    float64 `json:"mean_s"`
	Worst   float64 `json:"worst_s"`
}

// Sample is the state at one time.
type Sample struct {
	At        Span  `json:"at"`
	Offered   int64 `json:"offered"`
	Delivered int64 `json:"delivered"`
	Held      int64 `json:"held"`
	Down      int   `json:"down"` // destinations
	Up        int   `json:"up"`   // senders
}

// Machine is what the run cost this machine. It differs from run to run.
type Machine struct {
	HeapPerSender int64   `json:"heap_per_sender_bytes"` // module, directory and the model's share, after the start
	CPU           float64 `json:"cpu_s"`                 // of the whole process
	Wall          float64 `json:"wall_s"`
	Step          float64 `json:"step_us"`  // mean time of a module's step, but for a start's first, on this machine's clock
	Take          float64 `json:"take_us"`  // of the directory's taking a change of the list
	Start         float64 `json:"start_us"` // of a process taking the whole list and its journal
}

// stopwatch adds up what parts of the real program take on this machine.
type stopwatch struct {
	n    int64
	time time.Duration
}

func (s *stopwatch) add(began time.Time) {
	s.n++
	s.time += time.Since(began)
}

// mean is in microseconds.
func (s *stopwatch) mean() float64 { return float64(s.time.Nanoseconds()) / 1e3 / float64(max(s.n, 1)) }

// Report is what a run measured. All but Machine is the same for the same scenario and seed.
type Report struct {
	Title        string `json:"title"`
	Seed         uint64 `json:"seed"`
	Senders      int    `json:"senders"`
	Destinations int    `json:"destinations"`
	Until        Span   `json:"until"` // virtual time that was played
	Cut          bool   `json:"cut"`   // it ended before its time
	Counts
	Latency   Quantiles  `json:"latency_ms"`
	Notice    Notice     `json:"notice"`
	Cold      ColdWindow `json:"cold_worst_window"`
	List      ListBytes  `json:"list_bytes_per_sender"`
	ListWorst int64      `json:"list_bytes_worst_sender"`
	ListRate  float64    `json:"list_bytes_per_sender_second"` // without the whole list of the start
	InForce   InForce    `json:"in_force"`
	PeakHeld  int64      `json:"peak_held"`
	PeakAt    Span       `json:"peak_at"`
	Course    []Sample   `json:"course"`
	Digest    string     `json:"digest"` // of the trace of events
	Machine   Machine    `json:"machine"`
}

// record is what a run notes as it goes.
type record struct {
	Counts
	waiting int64 // events with clients
	latency *hdrhistogram.Histogram
	noticed int64
	notices logic.Micros
	longest logic.Micros
	cold    ColdWindow
	peak    int64
	peakAt  logic.Micros
	course  []Sample
	heap    int64

	steps, takes, starts stopwatch
}

func newRecord() *record { return &record{latency: hdrhistogram.New(1, mostMicros, 3)} }

// end counts an event that has ended, so long after its birth.
func (r *record) end(took logic.Micros, e ending, c *ClassPart) {
	switch e {
	case returned:
		r.Returned++
	case failed:
		r.Failed++
	case delivered:
		r.Delivered++
		if took > c.Aim.Micros {
			r.Late++
		}
		_ = r.latency.RecordValue(min(max(int64(took), 1), mostMicros)) // within its bounds
	}
}

// open is the number of events that have not ended.
func (r *record) open() int64 { return r.Offered - r.Delivered - r.Returned - r.Failed }

func (r *record) notice(d logic.Micros) {
	r.noticed++
	r.notices += d
	r.longest = max(r.longest, d)
}

// window takes the worst window of one cold return.
func (r *record) window(w ColdWindow) {
	if w.part() > r.cold.part() {
		r.cold = w
	}
}

// sample notes the course of the run.
func (f *fleet) sample() {
	x := Sample{At: Span{f.now}, Offered: f.rec.Offered, Delivered: f.rec.Delivered, Held: f.rec.open()}
	for _, d := range f.dests {
		if d.down != nil {
			x.Down++
		}
	}
	for _, s := range f.senders {
		if s.up {
			x.Up++
		}
	}
	f.rec.course = append(f.rec.course, x)
}

func (f *fleet) report(cut bool, wall, cpu time.Duration) *Report {
	r := f.rec
	r.Held = f.held()
	for _, d := range f.dests {
		r.window(d.worst)
	}
	out := &Report{Title: f.sc.Title, Seed: f.sc.Seed, Senders: len(f.senders), Destinations: len(f.dests), Until: Span{f.now},
		Cut: cut, Counts: r.Counts, Cold: r.cold, InForce: f.disc.inForceFigures(), PeakHeld: r.peak, PeakAt: Span{r.peakAt},
		Course: r.course, Digest: fmt.Sprintf("%016x", f.digest.Sum64())}
	out.Latency = quantilesOf(r.latency)
	if r.noticed > 0 {
		out.Notice = Notice{r.noticed, float64(r.notices) / float64(r.noticed) / 1e6, float64(r.longest) / 1e6}
	}
	n := int64(len(f.senders))
	for _, s := range f.senders {
		out.List.Whole += s.bytes.Whole
		out.List.Changes += s.bytes.Changes
		out.List.Empty += s.bytes.Empty
		out.ListWorst = max(out.ListWorst, s.bytes.total())
	}
	out.List = ListBytes{out.List.Whole / n, out.List.Changes / n, out.List.Empty / n}
	if f.now > 0 {
		out.ListRate = float64(out.List.Changes+out.List.Empty) / (float64(f.now) / 1e6)
	}
	out.Machine = Machine{HeapPerSender: r.heap / n, CPU: cpu.Seconds(), Wall: wall.Seconds(), Step: r.steps.mean(),
		Take: r.takes.mean(), Start: r.starts.mean()}
	return out
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Quantiles{ms(50), ms(90), ms(99), float64(h.Max()) / 1e3}
}

// cpuTime is the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteText writes the report for people.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(t, name+"\t"+format+"\n", args...) }
	if r.Cut {
		line("CUT SHORT", "what follows was measured up to then")
	}
	line("scenario", "%s, seed %d", r.Title, r.Seed)
	line("size", "%d senders, %d destinations, %s played", r.Senders, r.Destinations, r.Until)
	line("events", "%d offered, %d delivered (%d late), %d returned, %d failed, %d held", r.Offered, r.Delivered, r.Late, r.Returned,
		r.Failed, r.Held)
	line("latency", "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms", r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.Max)
	line("calls", "%d, %d over a limit, %d with no place, %d into outages; %d connections, %d repeats", r.Calls, r.OverLimit, r.NoPlace,
		r.IntoOutages, r.Connections, r.Repeats)
	line("outages", "%d, of them %d falls, %d of senders that were told", r.Outages, r.Falls, r.Blamed)
	line("notice", "mean %.3f s, worst %.3f s, over %d; %d never noticed", r.Notice.Mean, r.Notice.Worst, r.Notice.Count, r.Unnoticed)
	line("cold return", "worst window %d calls, %.1f allowed", r.Cold.Calls, r.Cold.Allowed)
	line("senders", "%d restarts, %d machines lost", r.Restarts, r.Losses)
	line("list", "a sender: %d bytes whole, %d of changes, %d empty; %.1f bytes a second; worst sender %d bytes", r.List.Whole,
		r.List.Changes, r.List.Empty, r.ListRate, r.ListWorst)
	line("in force", "mean %.3f s, worst %.3f s, of %d changes; %d not everywhere at the end", r.InForce.Mean, r.InForce.Worst,
		r.InForce.Changes, r.InForce.Open)
	line("backlog", "peak %d at %s", r.PeakHeld, r.PeakAt)
	line("modules", "%d steps; digest %s", r.Steps, r.Digest)
	m := &r.Machine
	line("machine", "%.1f s CPU, %.1f s; a step %.1f us, a change of the list %.1f us, a start %.0f us; %d bytes of heap a sender", m.CPU,
		m.Wall, m.Step, m.Take, m.Start, m.HeapPerSender)
	return t.Flush()
}
