package mesh

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

func TestEndpointsOutliveAStart(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(t.TempDir(), rememberFolder)
	known, err := readEndpoints(folder)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(known).To(BeEmpty(), "a blank disk")
	want := []announce.Endpoint{{ID: "a", Service: "s", Address: "1:1", StartedAtMs: 5, Sequence: 3}}
	g.Expect(writeEndpoints(folder, want)).To(Succeed())
	g.Expect(readEndpoints(folder)).To(Equal(want))
}

func TestATornFileIsToldAndHarmsNothing(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, rememberFile), []byte(`[{"id":"a"`), rememberMode)).To(Succeed())
	_, err := readEndpoints(folder)
	g.Expect(err).To(HaveOccurred())
}
