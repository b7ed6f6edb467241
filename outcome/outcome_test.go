package outcome_test

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/outcome"
)

func TestFromPreservesState(t *testing.T) {
	g := NewWithT(t)
	refused := outcome.Refuse(outcome.CodeEndpointLeaving, "endpoint.admit", "leaving")
	wrapped := fmt.Errorf("submit: %w", refused)

	g.Expect(outcome.From(wrapped)).To(BeIdenticalTo(refused))
	g.Expect(outcome.StateOf(wrapped)).To(Equal(outcome.NotRun))
}

func TestUntypedErrorHasUnknownState(t *testing.T) {
	g := NewWithT(t)
	g.Expect(outcome.StateOf(errors.New("connection reset"))).To(Equal(outcome.Unknown))
}
