package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Range and precision of the times in a report.
const (
	maxMicros         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 3
)

// Class holds the results of one class of prompt lengths.
type Class struct {
	Class      submit.Class
	Sent       int
	Completed  int // complete answers
	NotRun     int // refused without being run
	Failed     int // failed, and may have run
	firstToken *hdrhistogram.Histogram
}

// Report summarizes a run.
type Report struct {
	Classes []Class // classes with requests, shortest first
	Codes   map[outcome.Code]int
}

// Summarize aggregates results into a report.
func Summarize(results []Result) Report {
	report := Report{Codes: map[outcome.Code]int{}}
	classes := map[submit.Class]*Class{}
	for _, r := range results {
		class := submit.ClassOf(r.Tokens)
		c := classes[class]
		if c == nil {
			c = &Class{Class: class, firstToken: hdrhistogram.New(1, maxMicros, significantDigits)}
			classes[class] = c
		}
		c.add(r)
		if r.Code != "" {
			report.Codes[r.Code]++
		}
	}
	for _, c := range classes {
		report.Classes = append(report.Classes, *c)
	}
	sort.Slice(report.Classes, func(i, j int) bool { return report.Classes[i].Class < report.Classes[j].Class })
	return report
}

func (c *Class) add(r Result) {
	c.Sent++
	switch {
	case r.Code == "":
		c.Completed++
	case r.State == outcome.NotRun:
		c.NotRun++
	default:
		c.Failed++
	}
	if r.FirstToken > 0 {
		_ = c.firstToken.RecordValue(min(r.FirstToken.Microseconds(), maxMicros))
	}
}

// FirstToken returns the q-th percentile of the time to first token, with q from 0
// to 100. Requests that received no token are not counted.
func (c *Class) FirstToken(q float64) time.Duration {
	return time.Duration(c.firstToken.ValueAtQuantile(q)) * time.Microsecond
}

// Write writes the report as a table, followed by the count of each failure code.
func (r Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROMPTS\tSENT\tANSWERED\tNOT RUN\tBROKEN\tFIRST TOKEN p50\tp95\tp99")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Class, c.Sent, c.Completed, c.NotRun, c.Failed,
			formatDuration(c.FirstToken(50)), formatDuration(c.FirstToken(95)), formatDuration(c.FirstToken(99)))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	codes := make([]string, 0, len(r.Codes))
	for code := range r.Codes {
		codes = append(codes, string(code))
	}
	sort.Strings(codes)
	for _, code := range codes {
		fmt.Fprintf(w, "%s: %d\n", code, r.Codes[outcome.Code(code)])
	}
	return nil
}

func formatDuration(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(100 * time.Microsecond).String()
}
