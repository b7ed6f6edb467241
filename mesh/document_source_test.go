package mesh

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// noise returns bytes that can't be compressed, the same for the same seed.
func noise(seed uint64, n int) []byte {
	r := rand.New(rand.NewPCG(seed, 0))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(r.Uint32())
	}
	return out
}

func TestDocumentSourceSendsFewLargeCopies(t *testing.T) {
	g := NewWithT(t)
	s := &documentSource{}
	s.add(document.Document{Number: 7, Body: noise(1, 10*smallEncoding)})
	var given, referred []string
	for i := range 3 * maxCopies {
		address := fmt.Sprint("entry-", i)
		resp, err := s.response(&documentRequest{Address: address})
		g.Expect(err).NotTo(HaveOccurred())
		if len(resp.Encoded) > 0 {
			given = append(given, address)
			continue
		}
		referred = append(referred, resp.Elsewhere...)
	}
	g.Expect(given).To(HaveLen(maxCopies))
	for _, address := range referred {
		g.Expect(given).To(ContainElement(address), "a referral names an entry that has a copy")
	}
	resp, err := s.response(&documentRequest{Address: "late", Insist: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Encoded).NotTo(BeEmpty(), "an entry that insists is not referred")
}

func TestDocumentSourceSendsDifferences(t *testing.T) {
	versions := map[uint64][]byte{}
	s := &documentSource{}
	body := noise(1, 100_000)
	for n := uint64(1); n <= keptVersions+1; n++ {
		body = append(bytes.Clone(body), fmt.Sprint("change ", n)...)
		versions[n] = body
		s.add(document.Document{Number: n, Body: body})
	}
	const newest = keptVersions + 1
	for have := uint64(0); have <= newest+1; have++ {
		t.Run(fmt.Sprint("have ", have), func(t *testing.T) {
			g := NewWithT(t)
			resp, err := s.response(&documentRequest{Have: have, Insist: true})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Number).To(BeEquivalentTo(newest))
			if have >= newest {
				g.Expect(resp.Encoded).To(BeEmpty())
				return
			}
			isKept := have > newest-keptVersions
			g.Expect(len(resp.Encoded) < 1000).To(Equal(isKept), "%d bytes", len(resp.Encoded))
			d, err := resp.decode(document.Document{Number: have, Body: versions[have]})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(d).To(Equal(document.Document{Number: newest, Body: versions[newest]}))
		})
	}
}

func TestDocumentSourceIgnoresOlderVersions(t *testing.T) {
	g := NewWithT(t)
	s := &documentSource{}
	s.add(document.Document{Number: 5, Body: []byte("five")})
	s.add(document.Document{Number: 4, Body: []byte("four")})
	s.add(document.Document{})
	resp, err := s.response(&documentRequest{Have: 4})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Number).To(BeEquivalentTo(5))
}
