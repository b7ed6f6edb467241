package experiment

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

const classes = int(submit.ClassHuge) + 1

// ratioUnit is the resolution of ratios in histograms.
const ratioUnit = 1000

// Report is the figures of one run.
type Report struct {
	Deployment string
	Policy     string
	Load       float64
	Seed       uint64
	Faults     int

	Offered    int // requests
	Whole      int // answers told as whole
	NotRun     int // refused, not run
	Failed     int // other failures
	Late       int // outcomes after the deadline and lateGrace
	Broken     int // answers told as whole that were not
	Retried    int // whole answers that took more than one attempt
	LeftBlocks int
	Goodput    float64 // work of whole answers that ended within the run, over what the fleet can carry
	Codes      map[outcome.Code]int

	Ratio    [classes]*hdrhistogram.Histogram // time to first token over the bare prefill, by class
	Slowdown *hdrhistogram.Histogram          // the same over all short requests
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 1_000_000*ratioUnit, 3)
}

func newReport(o Options, results []Result) *Report {
	r := &Report{
		Deployment: o.Deployment.Name, Policy: o.Policy, Load: o.Load, Seed: o.Seed, Faults: len(o.Faults),
		Offered: len(results), Codes: map[outcome.Code]int{}, Slowdown: newHistogram(),
	}
	for i := range r.Ratio {
		r.Ratio[i] = newHistogram()
	}
	var good time.Duration
	for i := range results {
		work := r.add(&results[i])
		if results[i].At+results[i].Total <= o.Length {
			good += work
		}
	}
	r.Goodput = good.Seconds() / (o.Length.Seconds() * float64(o.Deployment.Replicas))
	return r
}

// add counts one result and returns the work of a whole answer.
func (r *Report) add(x *Result) time.Duration {
	if x.Late() {
		r.Late++
	}
	if x.First > 0 {
		ratio := int64(float64(x.First) / float64(x.Bare) * ratioUnit)
		class := x.Request.Class()
		_ = r.Ratio[class].RecordValue(max(ratio, 1))
		if class <= submit.ClassShort {
			_ = r.Slowdown.RecordValue(max(ratio, 1))
		}
	}
	if x.Code != "" {
		r.Codes[x.Code]++
		if x.State == outcome.NotRun {
			r.NotRun++
		} else {
			r.Failed++
		}
		return 0
	}
	if x.Broken {
		r.Broken++
		return 0
	}
	if x.Attempts > 1 {
		r.Retried++
	}
	r.Whole++
	return x.Work
}

// quantile returns a quantile of ratios, 0 for an empty histogram.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / ratioUnit
}

// header names the columns of tables and CSV files.
var header = []string{
	"deployment", "policy", "load", "seed", "faults", "offered", "whole", "not_run", "failed", "late", "broken",
	"retried", "left_blocks", "goodput", "short_p50", "short_p95", "short_p99",
	"tiny_p95", "short_class_p95", "medium_p95", "long_p95", "huge_p95",
}

func (r *Report) row() []string {
	count := strconv.Itoa
	row := []string{
		r.Deployment, r.Policy, fmt.Sprintf("%.0f%%", r.Load*100), fmt.Sprint(r.Seed), count(r.Faults),
		count(r.Offered), count(r.Whole), count(r.NotRun), count(r.Failed), count(r.Late), count(r.Broken),
		count(r.Retried), count(r.LeftBlocks), fmt.Sprintf("%.3f", r.Goodput),
	}
	for _, q := range []float64{50, 95, 99} {
		row = append(row, fmt.Sprintf("%.2f", quantile(r.Slowdown, q)))
	}
	for _, h := range r.Ratio {
		row = append(row, fmt.Sprintf("%.2f", quantile(h, 95)))
	}
	return row
}

// WriteTable writes reports as a table for people.
func WriteTable(w io.Writer, reports []*Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', tabwriter.AlignRight)
	for _, name := range header {
		fmt.Fprint(table, name, "\t")
	}
	fmt.Fprintln(table)
	for _, r := range reports {
		for _, cell := range r.row() {
			fmt.Fprint(table, cell, "\t")
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

// WriteCSV writes reports as comma-separated values.
func WriteCSV(w io.Writer, reports []*Report) error {
	out := csv.NewWriter(w)
	if err := out.Write(header); err != nil {
		return err
	}
	for _, r := range reports {
		if err := out.Write(r.row()); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}
