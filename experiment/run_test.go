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

// Flags for longer measurements in virtual time:
// go test ./experiment -run TestMeasure -v -args -deployments=cantabrica -loads=80,300 -seeds=1,2,3
var (
	deployments = flag.String("deployments", "cantabrica", "deployments to measure")
	loads       = flag.String("loads", "80", "offered loads, in percent")
	seeds       = flag.String("seeds", "1", "seeds")
	policies    = flag.String("policies", experiment.PolicyCurrent, "policies to compare")
	length      = flag.Duration("length", 20*time.Second, "virtual length of a run")
	faults      = flag.Bool("faults", false, "inject the standard faults")
	longTime    = flag.Duration("long-time", 0, "prefill time from which endpoints split prompts into chunks; 0 for the default")
	maxLong     = flag.Int("longs", 0, "maximum concurrent long attempts per engine; 0 for the default")
	chunk       = flag.Duration("chunk", 0, "prefill time of one chunk; 0 for the default")
	csvFile     = flag.String("csv", "", "CSV file to write the reports to")
)

// measure runs one experiment in virtual time.
func measure(t *testing.T, o experiment.Options) (r *experiment.Report) {
	synctest.Test(t, func(t *testing.T) { r = experiment.Run(t.Context(), o) })
	return r
}

// expectInvariants checks the invariants that hold under any load and fault.
func expectInvariants(g *WithT, r *experiment.Report) {
	g.Expect(r.Late).To(BeZero(), "outcomes after the deadline")
	g.Expect(r.Corrupted).To(BeZero(), "incomplete or corrupted answers reported as complete")
	g.Expect(r.LeakedBlocks).To(BeZero(), "memory blocks still held after the run")
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
		expectInvariants(g, r)
	}
}

func options(deployment, load, seed, policy string) experiment.Options {
	percent, _ := strconv.ParseFloat(load, 64)
	s, _ := strconv.ParseUint(seed, 10, 64)
	o := experiment.Options{
		Deployment: experiment.Deployments[deployment], Load: percent / 100, Seed: s, Policy: policy, Length: *length,
	}
	o.Endpoint.LongPrefillTime, o.Endpoint.MaxLong, o.Endpoint.ChunkTime = *longTime, *maxLong, *chunk
	if *faults {
		o.Faults = experiment.StandardFaults(*length)
		o.LoadLag = 2 * time.Second
	}
	return o
}

// Under faults, every outcome arrives by its deadline, every answer reported as
// complete is complete, and all engine memory is freed.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	g := NewWithT(t)
	for _, d := range experiment.Deployments {
		const length = 30 * time.Second
		r := measure(t, experiment.Options{
			Deployment: d, Load: 1.5, Length: length, Seed: 11, Policy: experiment.PolicyCurrent,
			Faults: experiment.StandardFaults(length), LoadLag: 2 * time.Second,
		})
		expectInvariants(g, r)
		g.Expect(r.Completed).To(BeNumerically(">", r.Offered*8/10))
	}
}

// A request to an endpoint that is a long round trip away still gets its outcome
// by its deadline.
func TestRemoteSubmitEndsWithRequest(t *testing.T) {
	d := experiment.Cantabrica
	d.RoundTrip = time.Hour
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		start := time.Now()
		r := experiment.Run(t.Context(), experiment.Options{
			Deployment: d, Load: 0.5, Length: 5 * time.Second, Seed: 1, Policy: experiment.PolicyRoundRobin,
		})
		g.Expect(r.Offered).To(BeNumerically(">", 20))
		g.Expect(r.Completed).To(BeNumerically("<", r.Offered), "some requests go to remote endpoints")
		expectInvariants(g, r)
		g.Expect(time.Since(start)).To(BeNumerically("<", 30*time.Minute))
	})
}
