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
	sampleCount      = 20                  // of the course of a run
	maxLatencyMicros = int64(3600_000_000) // longest latency that is told apart
)

// Counts are what happened, counted over the run.
type Counts struct {
	Offered          int64 `json:"offered"` // events
	Delivered        int64 `json:"delivered"`
	Returned         int64 `json:"returned"` // refused, at the door or later
	Failed           int64 `json:"failed"`
	Late             int64 `json:"late"`    // of those delivered, after the aim
	Held             int64 `json:"held"`    // not ended when the run did
	Repeats          int64 `json:"repeats"` // runs at an endpoint beyond the first of an event
	Calls            int64 `json:"calls"`
	OverLimit        int64 `json:"over_limit"`   // calls that a limit turned away
	ConnsRejected    int64 `json:"no_place"`     // connections that an endpoint did not take
	IntoOutages      int64 `json:"into_outages"` // calls made while their endpoint served nothing
	Connections      int64 `json:"connections"`  // opened
	Outages          int64 `json:"outages"`      // of destinations, falls counted
	Relapses         int64 `json:"falls"`        // of cold destinations
	InformedRelapses int64 `json:"blamed"`       // falls of which over two thirds came from senders that had an outcome of the outage
	Undetected       int64 `json:"unnoticed"`    // outages times senders that sent into them and never took an endpoint out
	Restarts         int64 `json:"restarts"`     // of processes
	Losses           int64 `json:"losses"`       // of senders' machines
	Steps            int64 `json:"steps"`        // of modules
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
type Detection struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_s"`
	Max   float64 `json:"worst_s"`
}

// InForce is the time in seconds from a change at discovery until the last sender that is up acts on it.
type Propagation struct {
	Changes int     `json:"changes"`
	Pending int     `json:"open"` // not in force everywhere when the run ended
	Mean    float64 `json:"mean_s"`
	Max     float64 `json:"worst_s"`
}

// Sample is the state at one time.
type Sample struct {
	At               Span  `json:"at"`
	Offered          int64 `json:"offered"`
	Delivered        int64 `json:"delivered"`
	Held             int64 `json:"held"`
	DownDestinations int   `json:"down"` // destinations
	UpSenders        int   `json:"up"`   // senders
}

// Machine is what the run cost this machine. It differs from run to run.
type HostUsage struct {
	HeapPerSender    int64   `json:"heap_per_sender_bytes"` // module, directory and the model's share, after the start
	CPUSeconds       float64 `json:"cpu_s"`                 // of the whole process
	WallSeconds      float64 `json:"wall_s"`
	StepMicros       float64 `json:"step_us"`  // mean time of a module's step, but for a start's first, on this machine's clock
	ListUpdateMicros float64 `json:"take_us"`  // of the directory's taking a change of the list
	StartMicros      float64 `json:"start_us"` // of a process taking the whole list and its journal
}

// stopwatch adds up what parts of the real program take on this machine.
type stopwatch struct {
	count int64
	total time.Duration
}

func (s *stopwatch) add(began time.Time) {
	s.count++
	s.total += time.Since(began)
}

// mean is in microseconds.
func (s *stopwatch) meanMicros() float64 {
	return float64(s.total.Nanoseconds()) / 1e3 / float64(max(s.count, 1))
}

// Report is what a run measured. All but Machine is the same for the same scenario and seed.
type Report struct {
	Title        string `json:"title"`
	Seed         uint64 `json:"seed"`
	Senders      int    `json:"senders"`
	Destinations int    `json:"destinations"`
	VirtualTime  Span   `json:"until"` // virtual time that was played
	Interrupted  bool   `json:"cut"`   // it ended before its time
	Counts
	Latency            Quantiles   `json:"latency_ms"`
	Detection          Detection   `json:"notice"`
	WorstColdWindow    ColdWindow  `json:"cold_worst_window"`
	ListBytes          ListBytes   `json:"list_bytes_per_sender"`
	MaxListBytes       int64       `json:"list_bytes_worst_sender"`
	ListBytesPerSecond float64     `json:"list_bytes_per_sender_second"` // without the whole list of the start
	Propagation        Propagation `json:"in_force"`
	PeakHeld           int64       `json:"peak_held"`
	PeakAt             Span        `json:"peak_at"`
	Samples            []Sample    `json:"course"`
	Digest             string      `json:"digest"` // of the trace of events
	Host               HostUsage   `json:"machine"`
}

// record is what a run notes as it goes.
type stats struct {
	Counts
	withClients     int64 // events with clients
	latency         *hdrhistogram.Histogram
	detections      int64
	detectionTotal  logic.Micros
	detectionMax    logic.Micros
	worstColdWindow ColdWindow
	peakHeld        int64
	peakAt          logic.Micros
	samples         []Sample
	heapBytes       int64

	stepTimes, listUpdateTimes, startTimes stopwatch
}

func newStats() *stats { return &stats{latency: hdrhistogram.New(1, maxLatencyMicros, 3)} }

// end counts an event that has ended, so long after its birth.
func (r *stats) countEnd(took logic.Micros, e endState, c *ClassConfig) {
	switch e {
	case returned:
		r.Returned++
	case failed:
		r.Failed++
	case delivered:
		r.Delivered++
		if took > c.LatencyTarget.Micros {
			r.Late++
		}
		_ = r.latency.RecordValue(min(max(int64(took), 1), maxLatencyMicros)) // within its bounds
	}
}

// open is the number of events that have not ended.
func (r *stats) open() int64 { return r.Offered - r.Delivered - r.Returned - r.Failed }

func (r *stats) recordDetection(d logic.Micros) {
	r.detections++
	r.detectionTotal += d
	r.detectionMax = max(r.detectionMax, d)
}

// window takes the worst window of one cold return.
func (r *stats) recordColdWindow(w ColdWindow) {
	if w.ratio() > r.worstColdWindow.ratio() {
		r.worstColdWindow = w
	}
}

// sample notes the course of the run.
func (f *fleet) sample() {
	x := Sample{At: Span{f.now}, Offered: f.stats.Offered, Delivered: f.stats.Delivered, Held: f.stats.open()}
	for _, d := range f.destinations {
		if d.outage != nil {
			x.DownDestinations++
		}
	}
	for _, s := range f.senders {
		if s.up {
			x.UpSenders++
		}
	}
	f.stats.samples = append(f.stats.samples, x)
}

func (f *fleet) report(cut bool, wall, cpu time.Duration) *Report {
	r := f.stats
	r.Held = f.heldCount()
	for _, d := range f.destinations {
		r.recordColdWindow(d.worstWindow)
	}
	out := &Report{Title: f.scenario.Title, Seed: f.scenario.Seed, Senders: len(f.senders), Destinations: len(f.destinations), VirtualTime: Span{f.now},
		Interrupted: cut, Counts: r.Counts, WorstColdWindow: r.worstColdWindow, Propagation: f.discovery.propagation(), PeakHeld: r.peakHeld, PeakAt: Span{r.peakAt},
		Samples: r.samples, Digest: fmt.Sprintf("%016x", f.digest.Sum64())}
	out.Latency = latencyQuantiles(r.latency)
	if r.detections > 0 {
		out.Detection = Detection{r.detections, float64(r.detectionTotal) / float64(r.detections) / 1e6, float64(r.detectionMax) / 1e6}
	}
	n := int64(len(f.senders))
	for _, s := range f.senders {
		out.ListBytes.Full += s.listBytes.Full
		out.ListBytes.Changes += s.listBytes.Changes
		out.ListBytes.Empty += s.listBytes.Empty
		out.MaxListBytes = max(out.MaxListBytes, s.listBytes.total())
	}
	out.ListBytes = ListBytes{out.ListBytes.Full / n, out.ListBytes.Changes / n, out.ListBytes.Empty / n}
	if f.now > 0 {
		out.ListBytesPerSecond = float64(out.ListBytes.Changes+out.ListBytes.Empty) / (float64(f.now) / 1e6)
	}
	out.Host = HostUsage{HeapPerSender: r.heapBytes / n, CPUSeconds: cpu.Seconds(), WallSeconds: wall.Seconds(), StepMicros: r.stepTimes.meanMicros(),
		ListUpdateMicros: r.listUpdateTimes.meanMicros(), StartMicros: r.startTimes.meanMicros()}
	return out
}

func latencyQuantiles(h *hdrhistogram.Histogram) Quantiles {
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
	if r.Interrupted {
		line("CUT SHORT", "what follows was measured up to then")
	}
	line("scenario", "%s, seed %d", r.Title, r.Seed)
	line("size", "%d senders, %d destinations, %s played", r.Senders, r.Destinations, r.VirtualTime)
	line("events", "%d offered, %d delivered (%d late), %d returned, %d failed, %d held", r.Offered, r.Delivered, r.Late, r.Returned,
		r.Failed, r.Held)
	line("latency", "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms", r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.Max)
	line("calls", "%d, %d over a limit, %d with no place, %d into outages; %d connections, %d repeats", r.Calls, r.OverLimit, r.ConnsRejected,
		r.IntoOutages, r.Connections, r.Repeats)
	line("outages", "%d, of them %d falls, %d of senders that were told", r.Outages, r.Relapses, r.InformedRelapses)
	line("notice", "mean %.3f s, worst %.3f s, over %d; %d never noticed", r.Detection.Mean, r.Detection.Max, r.Detection.Count, r.Undetected)
	line("cold return", "worst window %d calls, %.1f allowed", r.WorstColdWindow.Calls, r.WorstColdWindow.Allowed)
	line("senders", "%d restarts, %d machines lost", r.Restarts, r.Losses)
	line("list", "a sender: %d bytes whole, %d of changes, %d empty; %.1f bytes a second; worst sender %d bytes", r.ListBytes.Full,
		r.ListBytes.Changes, r.ListBytes.Empty, r.ListBytesPerSecond, r.MaxListBytes)
	line("in force", "mean %.3f s, worst %.3f s, of %d changes; %d not everywhere at the end", r.Propagation.Mean, r.Propagation.Max,
		r.Propagation.Changes, r.Propagation.Pending)
	line("backlog", "peak %d at %s", r.PeakHeld, r.PeakAt)
	line("modules", "%d steps; digest %s", r.Steps, r.Digest)
	m := &r.Host
	line("machine", "%.1f s CPU, %.1f s; a step %.1f us, a change of the list %.1f us, a start %.0f us; %d bytes of heap a sender", m.CPUSeconds,
		m.WallSeconds, m.StepMicros, m.ListUpdateMicros, m.StartMicros, m.HeapPerSender)
	return t.Flush()
}
