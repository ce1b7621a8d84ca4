package hollow

import (
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
)

// column is one figure of a report; a sweep's table has a row for each.
type column struct {
	name  string
	value func(*Report) float64
}

var columns = []column{
	{"offered", func(r *Report) float64 { return float64(r.Offered) }},
	{"delivered", func(r *Report) float64 { return float64(r.Delivered) }},
	{"late", func(r *Report) float64 { return float64(r.Late) }},
	{"returned", func(r *Report) float64 { return float64(r.Returned) }},
	{"failed", func(r *Report) float64 { return float64(r.Failed) }},
	{"p99_ms", func(r *Report) float64 { return r.Latency.P99 }},
	{"into_outages", func(r *Report) float64 { return float64(r.IntoOutages) }},
	{"notice_mean_s", func(r *Report) float64 { return r.Detection.Mean }},
	{"notice_worst_s", func(r *Report) float64 { return r.Detection.Max }},
	{"unnoticed", func(r *Report) float64 { return float64(r.Undetected) }},
	{"cold_calls", func(r *Report) float64 { return float64(r.WorstColdWindow.Calls) }},
	{"cold_allowed", func(r *Report) float64 { return r.WorstColdWindow.Allowed }},
	{"falls", func(r *Report) float64 { return float64(r.Relapses) }},
	{"falls_blamed", func(r *Report) float64 { return float64(r.InformedRelapses) }},
	{"connections", func(r *Report) float64 { return float64(r.Connections) }},
	{"list_bytes", func(r *Report) float64 { return float64(r.ListBytes.Full) }},
	{"list_bytes_per_s", func(r *Report) float64 { return r.ListBytesPerSecond }},
	{"in_force_mean_s", func(r *Report) float64 { return r.Propagation.Mean }},
	{"in_force_worst_s", func(r *Report) float64 { return r.Propagation.Max }},
	{"steps", func(r *Report) float64 { return float64(r.Steps) }},
	{"heap_per_sender", func(r *Report) float64 { return float64(r.Host.HeapPerSender) }},
	{"step_us", func(r *Report) float64 { return r.Host.StepMicros }},
	{"take_us", func(r *Report) float64 { return r.Host.ListUpdateMicros }},
	{"start_us", func(r *Report) float64 { return r.Host.StartMicros }},
	{"cpu_s", func(r *Report) float64 { return r.Host.CPUSeconds }},
}

// WriteSweep writes a table with one column per report, headed by its size along the axis, and the slope of each figure:
// the exponent b of the best-fitting power law size^b over the sizes where the figure is above 0.
func WriteSweep(w io.Writer, axis string, sizes []int, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := []string{axis}
	for _, n := range sizes[:len(reports)] {
		header = append(header, fmt.Sprint(n))
	}
	fmt.Fprintln(t, strings.Join(append(header, "slope", ""), "\t"))
	for _, c := range columns {
		row := []string{c.name}
		var xs, ys []float64
		for i, r := range reports {
			y := c.value(r)
			row = append(row, formatNumber(y))
			if y > 0 {
				xs, ys = append(xs, math.Log(float64(sizes[i]))), append(ys, math.Log(y))
			}
		}
		if b, ok := slope(xs, ys); ok {
			row = append(row, fmt.Sprintf("%.2f", b))
		} else {
			row = append(row, "-")
		}
		fmt.Fprintln(t, strings.Join(append(row, ""), "\t"))
	}
	return t.Flush()
}

func formatNumber(x float64) string {
	if x == math.Trunc(x) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3f", x)
}

// slope is the slope of the least-squares line; false if there are too few distinct points.
func slope(xs, ys []float64) (float64, bool) {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	d := n*sxx - sx*sx
	if n < 2 || d < 1e-12 {
		return 0, false
	}
	return (n*sxy - sx*sy) / d, true
}
