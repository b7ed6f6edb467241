package mesh

import (
	"math/rand/v2"
	"sync"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/delta"
)

// Limits of what one entry sends of a document.
const (
	// keptVersions is the number of versions against which differences are encoded.
	keptVersions = 4
	// smallEncoding is the size in bytes up to which an encoding is sent to everyone.
	smallEncoding = 8 << 10
	// maxCopies is the number of entries that get a larger encoding from this entry.
	// The others are referred to these, so that no link carries more copies.
	maxCopies = 4
)

// documentSource sends the newest document to other entries: as its difference from the
// version that they have, encoded once, and directly to a few entries only. It is safe
// for concurrent use.
type documentSource struct {
	mu       sync.Mutex
	versions []document.Document // the newest last
	encoded  map[uint64][]byte   // the newest version, by the number of the base; 0 for none
	holders  []string            // addresses of entries that got a large encoding
}

// add adds a version if it is newer than the others.
func (s *documentSource) add(d document.Document) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Number <= s.newest().Number {
		return
	}
	s.versions = append(s.versions, d)
	s.versions = s.versions[max(len(s.versions)-keptVersions, 0):]
	s.encoded, s.holders = map[uint64][]byte{}, nil
}

// newest returns the newest version, or an empty document. The caller holds the lock.
func (s *documentSource) newest() document.Document {
	if len(s.versions) == 0 {
		return document.Document{}
	}
	return s.versions[len(s.versions)-1]
}

// version returns a kept version, or an empty document. The caller holds the lock.
func (s *documentSource) version(number uint64) document.Document {
	for _, d := range s.versions {
		if d.Number == number {
			return d
		}
	}
	return document.Document{}
}

// response returns the newest version, or addresses of entries that have it.
func (s *documentSource) response(req *documentRequest) (*documentResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.newest()
	if req.Have >= newest.Number {
		return &documentResponse{Number: newest.Number}, nil
	}
	base := s.version(req.Have)
	encoded := s.encoded[base.Number]
	if encoded == nil {
		var err error
		if encoded, err = delta.Encode(base.Body, newest.Body); err != nil {
			return nil, err
		}
		s.encoded[base.Number] = encoded
	}
	if len(encoded) > smallEncoding && !req.Insist {
		if len(s.holders) >= maxCopies {
			return &documentResponse{Number: newest.Number, Elsewhere: shuffled(s.holders)}, nil
		}
		if req.Address != "" {
			s.holders = append(s.holders, req.Address)
		}
	}
	return &documentResponse{Number: newest.Number, Base: base.Number, Encoded: encoded}, nil
}

func shuffled(addresses []string) []string {
	out := make([]string, len(addresses))
	for i, j := range rand.Perm(len(addresses)) {
		out[i] = addresses[j]
	}
	return out
}

// decode returns the document of a response; have is the version that the request named.
func (r *documentResponse) decode(have document.Document) (document.Document, error) {
	base := have.Body
	if r.Base != have.Number {
		base = nil
	}
	body, err := delta.Decode(base, r.Encoded, document.MaxBodyBytes)
	return document.Document{Number: r.Number, Body: body}, err
}
