package mesh

import (
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/responsetest"
)

// Guards against bytes that are no response and are taken for another entry's.
func TestMalformedResponseOfEntryFails(t *testing.T) {
	for name, answer := range responsetest.Malformed("Content-Type: application/json\r\n") {
		t.Run(name, func(t *testing.T) {
			r, err := NewHTTPClient().Get("http://" + responsetest.Serve(t, answer))
			if err == nil {
				_, err = io.ReadAll(r.Body) // a trailer comes after the body
				_ = r.Body.Close()
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
