package tomlcheck

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestDecodeAcceptsByteOrderMark(t *testing.T) {
	var target struct {
		Name string `toml:"name"`
	}
	report := Decode("f.toml", []byte("\xef\xbb\xbfname = \"x\"\n"), &target)
	g := NewWithT(t)
	g.Expect(report.Err()).To(Succeed())
	g.Expect(target.Name).To(Equal("x"))
}
