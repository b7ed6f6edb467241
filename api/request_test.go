package api

import (
	"errors"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/outcome"
)

func TestUnknownRoleErrorNamesField(t *testing.T) {
	g := NewWithT(t)
	g.Expect(chatRequest{Messages: []message{{Role: "user"}, {Role: "assistant"}}}.validate()).To(Succeed())
	err := chatRequest{Messages: []message{{Role: "user"}, {Role: "wizard"}}}.validate()
	var p paramError
	g.Expect(errors.As(err, &p)).To(BeTrue())
	g.Expect(p.param).To(Equal("messages[1].role"))
	g.Expect(statusOf(outcome.From(err).Code)).To(Equal(http.StatusBadRequest))
}

func TestBodyTooLargeReturns413(t *testing.T) {
	g := NewWithT(t)
	g.Expect(statusOf(outcome.CodeBodyTooLarge)).To(Equal(http.StatusRequestEntityTooLarge))
	g.Expect(errorTypeOf(http.StatusRequestEntityTooLarge)).To(Equal("invalid_request_error"))
}
