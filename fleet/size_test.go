package fleet_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// targetSizeConfiguration returns a configuration with 14 failure domains, 24
// models and 3,800 client accounts.
func targetSizeConfiguration() *fleet.Configuration {
	c := &fleet.Configuration{Name: "target", Limits: fleet.DefaultLimits()}
	for i := range 14 {
		c.FailureDomains = append(c.FailureDomains, fleet.FailureDomain{Name: fmt.Sprint("domain-", i), Region: fmt.Sprint("region-", i%5)})
	}
	for i := range 24 {
		c.Models = append(c.Models, fleet.Model{Name: fmt.Sprint("model-", i), Endpoints: 110, MaxPrompt: fleet.MaxPromptTokens})
	}
	for i := range 3800 {
		digest := sha256.Sum256([]byte(fmt.Sprint(i)))
		c.Accounts = append(c.Accounts, fleet.Account{
			Name: fmt.Sprint("account-", i), KeyDigests: []string{hex.EncodeToString(digest[:])},
			Models: []string{"model-1", "model-2"}, Share: 1, ShortTokenRate: 5000, LongTokenRate: 20_000,
		})
	}
	return c
}

func BenchmarkValidateAtTargetSize(b *testing.B) {
	c := targetSizeConfiguration()
	text, err := json.Marshal(c)
	NewWithT(b).Expect(err).NotTo(HaveOccurred())
	for b.Loop() {
		NewWithT(b).Expect(c.Validate()).To(Succeed())
	}
	b.ReportMetric(float64(len(text)), "bytes")
}

func BenchmarkDiffAtTargetSize(b *testing.B) {
	before, after := targetSizeConfiguration(), targetSizeConfiguration()
	after.Accounts[7].Share = 4
	for b.Loop() {
		NewWithT(b).Expect(fleet.Diff(before, after)).To(HaveLen(1))
	}
}
