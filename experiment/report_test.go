package experiment_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/experiment"
	"github.com/jacinthplank/jacinthplank/submit"
)

func TestGenerateIsDeterministicPerSeed(t *testing.T) {
	g := NewWithT(t)
	d := experiment.Cantabrica
	g.Expect(d.Generate(7, 0.8, time.Minute)).To(Equal(d.Generate(7, 0.8, time.Minute)))
	g.Expect(d.Generate(7, 0.8, time.Minute)).NotTo(Equal(d.Generate(8, 0.8, time.Minute)))
}

func TestTwoPercentOfPromptsExceed100kTokens(t *testing.T) {
	g := NewWithT(t)
	for _, d := range experiment.Deployments {
		all := d.Generate(1, 1, time.Hour)
		huge := 0
		for _, a := range all {
			if a.Request.Prompt.Tokens > 100_000 {
				huge++
			}
			g.Expect(a.Request.Prompt.Tokens).To(BeNumerically("<=", submit.HugeTokens))
		}
		g.Expect(float64(huge) / float64(len(all))).To(BeNumerically("~", 0.02, 0.003))
	}
}

func TestReportsAreWrittenAsCSVAndSVG(t *testing.T) {
	g := NewWithT(t)
	o := options("cantabrica", "50", "1", experiment.PolicyRoundRobin)
	o.Length = 2 * time.Second
	reports := []*experiment.Report{measure(t, o)}
	var csv, svg bytes.Buffer
	g.Expect(experiment.WriteCSV(&csv, reports)).To(Succeed())
	g.Expect(experiment.WriteSVG(&svg, reports)).To(Succeed())
	g.Expect(csv.String()).To(ContainSubstring("cantabrica,round-robin,50%"))
	g.Expect(svg.String()).To(ContainSubstring("</svg>"))
}
