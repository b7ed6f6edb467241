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
	longestMicros = int64(24 * time.Hour / time.Microsecond)
	digits        = 3
)

// Class is what a report tells of one class of prompt lengths.
type Class struct {
	Class    submit.Class
	Sent     int
	Answered int // whole answers
	NotRun   int // refused, not run
	Broken   int // failed after they may have run
	first    *hdrhistogram.Histogram
}

// Report sums up a run.
type Report struct {
	Classes []Class // classes with requests, shortest first
	Codes   map[outcome.Code]int
}

// Summarize returns the report of the results.
func Summarize(results []Result) Report {
	report := Report{Codes: map[outcome.Code]int{}}
	classes := map[submit.Class]*Class{}
	for _, r := range results {
		kind := submit.ClassOf(r.Tokens)
		c := classes[kind]
		if c == nil {
			c = &Class{Class: kind, first: hdrhistogram.New(1, longestMicros, digits)}
			classes[kind] = c
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
		c.Answered++
	case r.State == outcome.NotRun:
		c.NotRun++
	default:
		c.Broken++
	}
	if r.First > 0 {
		_ = c.first.RecordValue(min(r.First.Microseconds(), longestMicros))
	}
}

// FirstToken returns the time to the first token that a share of the requests
// stayed within; q is from 0 to 100. Requests without a token are left out.
func (c *Class) FirstToken(q float64) time.Duration {
	return time.Duration(c.first.ValueAtQuantile(q)) * time.Microsecond
}

// Write writes the report as a table, then the codes of failures.
func (r Report) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PROMPTS\tSENT\tANSWERED\tNOT RUN\tBROKEN\tFIRST TOKEN p50\tp95\tp99")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", c.Class, c.Sent, c.Answered, c.NotRun, c.Broken,
			shortTime(c.FirstToken(50)), shortTime(c.FirstToken(95)), shortTime(c.FirstToken(99)))
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

func shortTime(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.Round(100 * time.Microsecond).String()
}
