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

const classCount = int(submit.ClassHuge) + 1

// ratioUnit is the integer that stands for a ratio of 1 in histograms.
const ratioUnit = 1000

// Report holds the results of one run.
type Report struct {
	Deployment string
	Policy     string
	Load       float64
	Seed       uint64
	Faults     int

	Offered      int     // requests
	Completed    int     // complete answers
	NotRun       int     // requests refused without being run
	Failed       int     // other failures
	Late         int     // outcomes after the deadline and deadlineGrace
	Corrupted    int     // incomplete or corrupted answers reported as complete
	Retried      int     // complete answers that took more than one attempt
	LeakedBlocks int     // memory blocks still held after the run
	Goodput      float64 // engine time of complete answers that ended within the run, relative to capacity
	Codes        map[outcome.Code]int

	FirstTokenRatio      [classCount]*hdrhistogram.Histogram // time to first token relative to an idle prefill, by class
	ShortFirstTokenRatio *hdrhistogram.Histogram             // the same for all requests up to ClassShort
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, 1_000_000*ratioUnit, 3)
}

func newReport(o Options, results []Result) *Report {
	r := &Report{
		Deployment: o.Deployment.Name, Policy: o.Policy, Load: o.Load, Seed: o.Seed, Faults: len(o.Faults),
		Offered: len(results), Codes: map[outcome.Code]int{}, ShortFirstTokenRatio: newHistogram(),
	}
	for i := range r.FirstTokenRatio {
		r.FirstTokenRatio[i] = newHistogram()
	}
	var goodWork time.Duration
	for i := range results {
		work := r.add(&results[i])
		if results[i].At+results[i].Total <= o.Length {
			goodWork += work
		}
	}
	r.Goodput = goodWork.Seconds() / (o.Length.Seconds() * float64(o.Deployment.Replicas))
	return r
}

// add counts one result and returns its engine time if the answer is complete, or
// 0 otherwise.
func (r *Report) add(result *Result) time.Duration {
	if result.Late() {
		r.Late++
	}
	if result.FirstToken > 0 {
		ratio := int64(float64(result.FirstToken) / float64(result.IdlePrefill) * ratioUnit)
		class := result.Request.Class()
		_ = r.FirstTokenRatio[class].RecordValue(max(ratio, 1))
		if class <= submit.ClassShort {
			_ = r.ShortFirstTokenRatio.RecordValue(max(ratio, 1))
		}
	}
	if result.Code != "" {
		r.Codes[result.Code]++
		if result.State == outcome.NotRun {
			r.NotRun++
		} else {
			r.Failed++
		}
		return 0
	}
	if result.Corrupted {
		r.Corrupted++
		return 0
	}
	if result.Attempts > 1 {
		r.Retried++
	}
	r.Completed++
	return result.EngineTime
}

// quantile returns the q-th percentile of a histogram of ratios, or 0 if the
// histogram is empty.
func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / ratioUnit
}

// header lists the columns of tables and CSV files.
var header = []string{
	"deployment", "policy", "load", "seed", "faults", "offered", "whole", "not_run", "failed", "late", "broken",
	"retried", "left_blocks", "goodput", "short_p50", "short_p95", "short_p99",
	"tiny_p95", "short_class_p95", "medium_p95", "long_p95", "huge_p95",
}

func (r *Report) row() []string {
	count := strconv.Itoa
	row := []string{
		r.Deployment, r.Policy, fmt.Sprintf("%.0f%%", r.Load*100), fmt.Sprint(r.Seed), count(r.Faults),
		count(r.Offered), count(r.Completed), count(r.NotRun), count(r.Failed), count(r.Late), count(r.Corrupted),
		count(r.Retried), count(r.LeakedBlocks), fmt.Sprintf("%.3f", r.Goodput),
	}
	for _, q := range []float64{50, 95, 99} {
		row = append(row, fmt.Sprintf("%.2f", quantile(r.ShortFirstTokenRatio, q)))
	}
	for _, h := range r.FirstTokenRatio {
		row = append(row, fmt.Sprintf("%.2f", quantile(h, 95)))
	}
	return row
}

// WriteTable writes reports as an aligned text table.
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
