package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/experiment"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

type experimentCommand struct {
	Deployment string        `arg:"--deployment" default:"cantabrica" help:"cantabrica or kilimo-barua"`
	Policies   commaList     `arg:"--policies" help:"policies to compare, with commas between; all when not given"`
	Loads      commaList     `arg:"--loads" help:"offered work in percent of what the fleet carries, with commas between; 80 when not given"`
	Seeds      commaList     `arg:"--seeds" help:"seeds, with commas between; 1 when not given"`
	Length     time.Duration `arg:"--length" default:"20s" help:"how long new requests come in each run; answers take longer"`
	Faults     bool          `arg:"--faults" help:"with engines that die, freeze and leave"`
	CSV        string        `arg:"--csv" help:"file to write the figures to as well"`
	SVG        string        `arg:"--svg" help:"file to draw the slowdown of short requests to"`
}

// defaultLoad is the default offered load of an experiment, in percent of the fleet's
// capacity.
const defaultLoad = "80"

func (c *experimentCommand) run(ctx context.Context, t Terminal) error {
	runs, err := c.options()
	if err != nil {
		return err
	}
	var reports []*experiment.Report
	for _, o := range runs {
		fmt.Fprintf(t.Err, "%s, %s, load %.0f%%, seed %d ...\n", o.Deployment.Name, o.Policy, o.Load*100, o.Seed)
		reports = append(reports, experiment.Run(ctx, o))
		if ctx.Err() != nil {
			return exitWith(ExitFailed, "interrupted")
		}
	}
	if err := experiment.WriteTable(t.Out, reports); err != nil {
		return trace.Wrap(err)
	}
	if err := writeReportFile(c.CSV, reports, experiment.WriteCSV); err != nil {
		return err
	}
	return writeReportFile(c.SVG, reports, experiment.WriteSVG)
}

// options returns one run for each load, seed and policy.
func (c *experimentCommand) options() ([]experiment.Options, error) {
	deployment, err := c.deployment()
	if err != nil {
		return nil, err
	}
	policies, err := c.policies()
	if err != nil {
		return nil, err
	}
	if c.Length <= 0 {
		return nil, exitWith(ExitBadInput, "--length: found %s; expected more than 0s", c.Length)
	}
	var runs []experiment.Options
	for _, load := range orDefault(c.Loads, defaultLoad) {
		percent, err := strconv.ParseFloat(load, 64)
		if err != nil || percent <= 0 {
			return nil, exitWith(ExitBadInput, "--loads: found %q; expected percentages such as 50,80,150", load)
		}
		for _, text := range orDefault(c.Seeds, "1") {
			seed, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return nil, exitWith(ExitBadInput, "--seeds: found %q; expected whole numbers", text)
			}
			for _, policy := range policies {
				runs = append(runs, c.runOptions(deployment, percent/100, seed, policy))
			}
		}
	}
	return runs, nil
}

func (c *experimentCommand) runOptions(d experiment.Deployment, load float64, seed uint64, policy string) experiment.Options {
	o := experiment.Options{Deployment: d, Load: load, Length: c.Length, Seed: seed, Policy: policy}
	if c.Faults {
		o.Faults = experiment.StandardFaults(c.Length)
	}
	return o
}

func (c *experimentCommand) deployment() (experiment.Deployment, error) {
	d, known := experiment.Deployments[c.Deployment]
	if known {
		return d, nil
	}
	var names []string
	for name := range experiment.Deployments {
		names = append(names, name)
	}
	sort.Strings(names)
	return d, unknownName("--deployment", c.Deployment, names)
}

func (c *experimentCommand) policies() ([]string, error) {
	for _, name := range c.Policies {
		if !slices.Contains(experiment.Policies, name) {
			return nil, unknownName("--policies", name, experiment.Policies)
		}
	}
	return orDefault(c.Policies, experiment.Policies...), nil
}

// writeReportFile writes reports to the named file. It does nothing if name is empty.
func writeReportFile(name string, reports []*experiment.Report, write func(io.Writer, []*experiment.Report) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	return trace.Wrap(write(file, reports))
}

func unknownName(flag, name string, valid []string) error {
	hint := ""
	if nearest := tomlcheck.Nearest(name, valid); nearest != "" {
		hint = fmt.Sprintf("; did you mean %q?", nearest)
	}
	return exitWith(ExitBadInput, "%s: found %q; expected one of %v%s", flag, name, valid, hint)
}

func orDefault(values commaList, def ...string) []string {
	if len(values) == 0 {
		return def
	}
	return values
}
