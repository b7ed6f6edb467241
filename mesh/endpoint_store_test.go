package mesh

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

func TestEndpointsSurviveRestart(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(t.TempDir(), endpointsFolder)
	endpoints, err := readEndpoints(folder)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(endpoints).To(BeEmpty(), "no file yet")
	want := []announce.Endpoint{{ID: "a", Service: "s", Address: "1:1", StartedAtMs: 5, Sequence: 3}}
	g.Expect(writeEndpoints(folder, want)).To(Succeed())
	g.Expect(readEndpoints(folder)).To(Equal(want))
}

func TestReadEndpointsReportsTruncatedFile(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, endpointsFile), []byte(`[{"id":"a"`), fileMode)).To(Succeed())
	_, err := readEndpoints(folder)
	g.Expect(err).To(HaveOccurred())
}
