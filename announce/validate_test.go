package announce_test

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

// TestValidateNamesOddField guards against announcements of a faulty writer that reach
// calculations or the other entries.
func TestValidateNamesOddField(t *testing.T) {
	sound := announce.Endpoint{ID: "e", Service: "s", Address: "1.2.3.4:5", Slots: 16, Cold: time.Second, StartedAtMs: 1_789_748_062_390, Sequence: 7}
	NewWithT(t).Expect(sound.Validate()).To(Succeed())
	long := strings.Repeat("x", 257)
	for want, change := range map[string]func(e *announce.Endpoint){
		"id of 0 bytes":               func(e *announce.Endpoint) { e.ID = "" },
		"id of 257 bytes":             func(e *announce.Endpoint) { e.ID = long },
		"service of 0 bytes":          func(e *announce.Endpoint) { e.Service = "" },
		"service of 257 bytes":        func(e *announce.Endpoint) { e.Service = long },
		"failure domain of 257":       func(e *announce.Endpoint) { e.FailureDomain = long },
		"version of 257":              func(e *announce.Endpoint) { e.Version = long },
		"unknown state 3":             func(e *announce.Endpoint) { e.State = 3 },
		"-1 slots":                    func(e *announce.Endpoint) { e.Slots = -1 },
		"65537 slots":                 func(e *announce.Endpoint) { e.Slots = 65537 },
		"cold for":                    func(e *announce.Endpoint) { e.Cold = math.MaxInt64 },
		"start time -1":               func(e *announce.Endpoint) { e.StartedAtMs = -1 },
		"start time 9007199254740992": func(e *announce.Endpoint) { e.StartedAtMs = 1 << 53 },
		"sequence number -1":          func(e *announce.Endpoint) { e.Sequence = -1 },
		`address "1.2.3.4:0"`:         func(e *announce.Endpoint) { e.Address = "1.2.3.4:0" },
		`address "1.2.3.4:65536"`:     func(e *announce.Endpoint) { e.Address = "1.2.3.4:65536" },
		`address "0.0.0.0:5"`:         func(e *announce.Endpoint) { e.Address = "0.0.0.0:5" },
		`address ""`:                  func(e *announce.Endpoint) { e.Address = "" },
	} {
		t.Run(want, func(t *testing.T) {
			e := sound
			change(&e)
			NewWithT(t).Expect(e.Validate()).To(MatchError(ContainSubstring(want)))
		})
	}
	left := announce.Endpoint{ID: "e", State: announce.Left}
	NewWithT(t).Expect(left.Validate()).To(Succeed())
}
