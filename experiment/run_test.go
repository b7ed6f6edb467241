package experiment_test

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/experiment"
)

// Flags of a longer measurement in virtual time:
// go test ./experiment -run TestMeasure -v -args -deployments=cantabrica -loads=80,300 -seeds=1,2,3
var (
	deployments = flag.String("deployments", "cantabrica", "deployments to measure")
	loads       = flag.String("loads", "80", "offered loads, in percent")
	seeds       = flag.String("seeds", "1", "seeds")
	policies    = flag.String("policies", experiment.PolicyCurrent, "policies to compare")
	length      = flag.Duration("length", 20*time.Second, "virtual length of a run")
	faults      = flag.Bool("faults", false, "with faults")
	longTime    = flag.Duration("long-time", 0, "prefill from which on endpoints send chunks; 0 for the default")
	longs       = flag.Int("longs", 0, "long attempts on one engine at a time; 0 for the default")
	chunk       = flag.Duration("chunk", 0, "time of one chunk; 0 for the default")
	csvFile     = flag.String("csv", "", "file for the figures")
)

// measure runs one experiment in virtual time.
func measure(t *testing.T, o experiment.Options) (r *experiment.Report) {
	synctest.Test(t, func(t *testing.T) { r = experiment.Run(t.Context(), o) })
	return r
}

// sound checks what has to hold under any load and fault.
func sound(g *WithT, r *experiment.Report) {
	g.Expect(r.Late).To(BeZero(), "outcomes after the deadline")
	g.Expect(r.Broken).To(BeZero(), "answers told as whole that were not")
	g.Expect(r.LeftBlocks).To(BeZero(), "memory blocks left over")
}

func TestMeasure(t *testing.T) {
	g := NewWithT(t)
	var reports []*experiment.Report
	for _, name := range strings.Split(*deployments, ",") {
		for _, load := range strings.Split(*loads, ",") {
			for _, seed := range strings.Split(*seeds, ",") {
				for _, policy := range strings.Split(*policies, ",") {
					reports = append(reports, measure(t, options(name, load, seed, policy)))
				}
			}
		}
	}
	_ = experiment.WriteTable(os.Stderr, reports)
	for _, r := range reports {
		fmt.Fprintln(os.Stderr, r.Deployment, r.Policy, r.Load, r.Seed, r.Codes)
	}
	if *csvFile != "" {
		f, err := os.Create(*csvFile)
		g.Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		g.Expect(experiment.WriteCSV(f, reports)).To(Succeed())
	}
	for _, r := range reports {
		sound(g, r)
	}
}

func options(deployment, load, seed, policy string) experiment.Options {
	percent, _ := strconv.ParseFloat(load, 64)
	s, _ := strconv.ParseUint(seed, 10, 64)
	o := experiment.Options{
		Deployment: experiment.Deployments[deployment], Load: percent / 100, Seed: s, Policy: policy, Length: *length,
	}
	o.Endpoint.LongPrefillTime, o.Endpoint.MaxLong, o.Endpoint.ChunkTime = *longTime, *longs, *chunk
	if *faults {
		o.Faults = experiment.StandardFaults(*length)
		o.LoadLag = 2 * time.Second
	}
	return o
}

// Whatever fails, every outcome comes in time, no answer told as whole is not,
// and no memory is left over.
func TestNothingIsLostUnderFaults(t *testing.T) {
	g := NewWithT(t)
	for _, d := range experiment.Deployments {
		const length = 30 * time.Second
		r := measure(t, experiment.Options{
			Deployment: d, Load: 1.5, Length: length, Seed: 11, Policy: experiment.PolicyCurrent,
			Faults: experiment.StandardFaults(length), LoadLag: 2 * time.Second,
		})
		sound(g, r)
		g.Expect(r.Whole).To(BeNumerically(">", r.Offered*8/10))
	}
}
