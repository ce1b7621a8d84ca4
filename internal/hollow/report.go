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
	sampleCount      = 20                  // in Report.Samples
	maxLatencyMicros = int64(3600_000_000) // upper bound of the latency histogram, 1 h
)

// Counts are counters over the whole run. Messages appear as "events" in reports and scenario files.
type Counts struct {
	Offered            int64 `json:"offered"` // messages submitted by clients
	Delivered          int64 `json:"delivered"`
	Returned           int64 `json:"returned"` // rejected by a sender, on receipt or later
	Failed             int64 `json:"failed"`
	Late               int64 `json:"late"`    // delivered after the target latency
	Held               int64 `json:"held"`    // not ended when the run ended
	RepeatedExecutions int64 `json:"repeats"` // executions at an endpoint beyond the first of a message
	Calls              int64 `json:"calls"`
	OverLimit          int64 `json:"over_limit"`   // calls refused by a rate limit
	OverConnLimit      int64 `json:"no_place"`     // calls refused by the connection limit of an endpoint
	IntoOutages        int64 `json:"into_outages"` // calls started while their endpoint was in an outage
	Connections        int64 `json:"connections"`  // connections opened
	Outages            int64 `json:"outages"`      // of destinations, relapses included
	Relapses           int64 `json:"falls"`        // outages of cold destinations caused by too many calls
	InformedRelapses   int64 `json:"blamed"`       // relapses with over 2/3 of the calls from senders with a failed call in the outage
	Undetected         int64 `json:"unnoticed"`    // pairs of an outage and a sender that called into it and never detected it
	Restarts           int64 `json:"restarts"`     // of sender processes
	Losses             int64 `json:"losses"`       // of sender machines
	Steps              int64 `json:"steps"`        // of all decision modules
}

// Quantiles are latencies of delivered messages in milliseconds, from creation to delivery.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Detection is the time in seconds from a sender's first call into an outage until it has taken one of the endpoints
// that it called out of rotation. From then on it sends the destination only single trial calls.
type Detection struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_s"`
	Max   float64 `json:"worst_s"`
}

// Propagation is the time in seconds from a list change at discovery until the last running sender has applied it.
type Propagation struct {
	Changes int     `json:"changes"`
	Pending int     `json:"open"` // not applied by all senders when the run ended
	Mean    float64 `json:"mean_s"`
	Max     float64 `json:"worst_s"`
}

// Sample is the state of the fleet at one time.
type Sample struct {
	At               Duration `json:"at"`
	Offered          int64    `json:"offered"`
	Delivered        int64    `json:"delivered"`
	Held             int64    `json:"held"`
	DownDestinations int      `json:"down"`
	UpSenders        int      `json:"up"`
}

// HostUsage is what the run cost on the host that executed it. It differs from run to run.
type HostUsage struct {
	HeapPerSender    int64   `json:"heap_per_sender_bytes"` // after the start: module, directory and a share of the model
	CPUSeconds       float64 `json:"cpu_s"`                 // user and system time of this process
	WallSeconds      float64 `json:"wall_s"`
	StepMicros       float64 `json:"step_us"`  // mean wall time of a module's step, without the first step of a process
	ListUpdateMicros float64 `json:"take_us"`  // mean wall time for the directory to apply a list change
	StartMicros      float64 `json:"start_us"` // mean wall time for a process to load the full list and its journal
}

// stopwatch accumulates the wall time of calls into real code.
type stopwatch struct {
	count int64
	total time.Duration
}

func (s *stopwatch) add(start time.Time) {
	s.count++
	s.total += time.Since(start)
}

// meanMicros is the mean time of a call in microseconds.
func (s *stopwatch) meanMicros() float64 {
	return float64(s.total.Nanoseconds()) / 1e3 / float64(max(s.count, 1))
}

// Report is the result of a run. Everything except Host is reproducible for the same scenario and seed.
type Report struct {
	Title        string   `json:"title"`
	Seed         uint64   `json:"seed"`
	Senders      int      `json:"senders"`
	Destinations int      `json:"destinations"`
	VirtualTime  Duration `json:"until"` // reached at the end of the run
	Interrupted  bool     `json:"cut"`   // the run was stopped early
	Counts
	Latency            Quantiles   `json:"latency_ms"`
	Detection          Detection   `json:"notice"`
	WorstColdWindow    ColdWindow  `json:"cold_worst_window"`
	ListBytes          ListBytes   `json:"list_bytes_per_sender"`
	MaxListBytes       int64       `json:"list_bytes_worst_sender"`
	ListBytesPerSecond float64     `json:"list_bytes_per_sender_second"` // without the initial full list
	Propagation        Propagation `json:"in_force"`
	PeakHeld           int64       `json:"peak_held"`
	PeakAt             Duration    `json:"peak_at"`
	Samples            []Sample    `json:"course"`
	Digest             string      `json:"digest"` // hash of the event trace
	Host               HostUsage   `json:"machine"`
}

// stats collects measurements during a run.
type stats struct {
	Counts
	withClients     int64 // messages at clients: on their way, waiting to be submitted again, or without an answer
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

// countEnd counts a message that ended the given time after its creation.
func (s *stats) countEnd(took logic.Micros, state endState, c *ClassConfig) {
	switch state {
	case returned:
		s.Returned++
	case failed:
		s.Failed++
	case delivered:
		s.Delivered++
		if took > c.TargetLatency.Micros {
			s.Late++
		}
		// RecordValue cannot fail, as the value is within the bounds of the histogram.
		_ = s.latency.RecordValue(min(max(int64(took), 1), maxLatencyMicros))
	}
}

// open is the number of messages that have not ended.
func (s *stats) open() int64 { return s.Offered - s.Delivered - s.Returned - s.Failed }

func (s *stats) recordDetection(d logic.Micros) {
	s.detections++
	s.detectionTotal += d
	s.detectionMax = max(s.detectionMax, d)
}

// recordColdWindow takes the worst window of one cold recovery into account.
func (s *stats) recordColdWindow(w ColdWindow) {
	if w.ratio() > s.worstColdWindow.ratio() {
		s.worstColdWindow = w
	}
}

// sample adds a sample to the report.
func (f *fleet) sample() {
	sample := Sample{At: Duration{f.now}, Offered: f.stats.Offered, Delivered: f.stats.Delivered, Held: f.stats.open()}
	for _, d := range f.destinations {
		if d.outage != nil {
			sample.DownDestinations++
		}
	}
	for _, s := range f.senders {
		if s.up {
			sample.UpSenders++
		}
	}
	f.stats.samples = append(f.stats.samples, sample)
}

func (f *fleet) report(interrupted bool, wall, cpu time.Duration) *Report {
	st := f.stats
	st.Held = f.heldCount()
	for _, d := range f.destinations {
		st.recordColdWindow(d.worstWindow)
	}
	report := &Report{
		Title:           f.scenario.Title,
		Seed:            f.scenario.Seed,
		Senders:         len(f.senders),
		Destinations:    len(f.destinations),
		VirtualTime:     Duration{f.now},
		Interrupted:     interrupted,
		Counts:          st.Counts,
		WorstColdWindow: st.worstColdWindow,
		Propagation:     f.discovery.propagation(),
		PeakHeld:        st.peakHeld,
		PeakAt:          Duration{st.peakAt},
		Samples:         st.samples,
		Digest:          fmt.Sprintf("%016x", f.digest.Sum64()),
	}
	report.Latency = latencyQuantiles(st.latency)
	if st.detections > 0 {
		report.Detection = Detection{st.detections, float64(st.detectionTotal) / float64(st.detections) / 1e6,
			float64(st.detectionMax) / 1e6}
	}
	senders := int64(len(f.senders))
	for _, s := range f.senders {
		report.ListBytes.Full += s.listBytes.Full
		report.ListBytes.Changes += s.listBytes.Changes
		report.ListBytes.Empty += s.listBytes.Empty
		report.MaxListBytes = max(report.MaxListBytes, s.listBytes.total())
	}
	report.ListBytes = ListBytes{report.ListBytes.Full / senders, report.ListBytes.Changes / senders,
		report.ListBytes.Empty / senders}
	if f.now > 0 {
		report.ListBytesPerSecond = float64(report.ListBytes.Changes+report.ListBytes.Empty) / (float64(f.now) / 1e6)
	}
	report.Host = HostUsage{
		HeapPerSender:    st.heapBytes / senders,
		CPUSeconds:       cpu.Seconds(),
		WallSeconds:      wall.Seconds(),
		StepMicros:       st.stepTimes.meanMicros(),
		ListUpdateMicros: st.listUpdateTimes.meanMicros(),
		StartMicros:      st.startTimes.meanMicros(),
	}
	return report
}

func latencyQuantiles(h *hdrhistogram.Histogram) Quantiles {
	millis := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e3 }
	return Quantiles{millis(50), millis(90), millis(99), float64(h.Max()) / 1e3}
}

// cpuTime is the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// WriteText writes the report in human-readable form.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(t, name+"\t"+format+"\n", args...) }
	if r.Interrupted {
		line("CUT SHORT", "the figures cover the run up to this point")
	}
	line("scenario", "%s, seed %d", r.Title, r.Seed)
	line("size", "%d senders, %d destinations, %s simulated", r.Senders, r.Destinations, r.VirtualTime)
	line("events", "%d offered, %d delivered (%d late), %d returned, %d failed, %d held",
		r.Offered, r.Delivered, r.Late, r.Returned, r.Failed, r.Held)
	line("latency", "p50 %.1f ms, p90 %.1f ms, p99 %.1f ms, max %.1f ms",
		r.Latency.P50, r.Latency.P90, r.Latency.P99, r.Latency.Max)
	line("calls",
		"%d, %d over a limit, %d over a connection limit, %d into outages; %d connections, %d repeated executions",
		r.Calls, r.OverLimit, r.OverConnLimit, r.IntoOutages, r.Connections, r.RepeatedExecutions)
	line("outages",
		"%d, %d of them relapses of cold destinations, %d of these caused mostly by senders that knew of the outage",
		r.Outages, r.Relapses, r.InformedRelapses)
	line("notice", "mean %.3f s, max %.3f s, over %d; %d never detected",
		r.Detection.Mean, r.Detection.Max, r.Detection.Count, r.Undetected)
	line("cold return", "worst window %d calls, %.1f allowed", r.WorstColdWindow.Calls, r.WorstColdWindow.Allowed)
	line("senders", "%d restarts, %d machines lost", r.Restarts, r.Losses)
	line("list", "per sender: %d bytes of full lists, %d of changes, %d empty; %.1f bytes per second; at most %d bytes",
		r.ListBytes.Full, r.ListBytes.Changes, r.ListBytes.Empty, r.ListBytesPerSecond, r.MaxListBytes)
	line("in force", "mean %.3f s, max %.3f s, of %d changes; %d not applied by all senders at the end",
		r.Propagation.Mean, r.Propagation.Max, r.Propagation.Changes, r.Propagation.Pending)
	line("backlog", "peak %d at %s", r.PeakHeld, r.PeakAt)
	line("modules", "%d steps; digest %s", r.Steps, r.Digest)
	m := &r.Host
	line("machine", "%.1f s CPU, %.1f s; step %.1f us, list change %.1f us, start %.0f us; %d bytes of heap per sender",
		m.CPUSeconds, m.WallSeconds, m.StepMicros, m.ListUpdateMicros, m.StartMicros, m.HeapPerSender)
	return t.Flush()
}
