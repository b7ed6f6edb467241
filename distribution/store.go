// Package distribution keeps the configuration in force on one daemon and
// spreads it: a daemon that hears of a higher version pulls the difference from
// a peer that has it, and tells a few others.
//
// A daemon applies only a higher version than the one it has, and only when the
// outcome has the digest that goes with that version.
package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
)

var (
	appliedDeltas    = metrics.NewCounter(`jacinthplank_configuration_applied_total{by="deltas"}`)
	appliedSnapshots = metrics.NewCounter(`jacinthplank_configuration_applied_total{by="snapshot"}`)
	ignoredOld       = metrics.NewCounter("jacinthplank_configuration_ignored_old_total")
	wrongDigests     = metrics.NewCounter("jacinthplank_configuration_wrong_digest_total")
)

// ErrDigest means that deltas did not lead to the configuration that they were
// made for. The whole configuration has to be asked for.
var ErrDigest = errors.New("distribution: configuration does not match its digest")

// inForce is one version with everything that goes with it. It never changes.
type inForce struct {
	configuration *fleet.Configuration
	document      []byte // canonical
	digest        string
}

// Store holds the configuration in force.
type Store struct {
	current atomic.Pointer[inForce]

	mu          sync.Mutex // guards what follows and changes of current
	history     revision.History
	subscribers map[chan *fleet.Configuration]struct{}
}

// NewStore returns a store with an empty configuration of version 0.0.
func NewStore() *Store {
	s := &Store{subscribers: make(map[chan *fleet.Configuration]struct{})}
	s.current.Store(&inForce{configuration: &fleet.Configuration{}, document: []byte("{}")})
	return s
}

// Current returns the configuration in force, which must not be changed. It is
// never nil.
func (s *Store) Current() *fleet.Configuration { return s.current.Load().configuration }

// Version returns the version in force.
func (s *Store) Version() fleet.Version { return s.Current().Version }

// Digest returns the SHA-256 of the configuration in force, in hexadecimal. It
// is empty before any configuration was applied.
func (s *Store) Digest() string { return s.current.Load().digest }

// Subscribe returns a channel that carries the latest configuration after each
// change; a slow reader misses those between. The function ends it.
func (s *Store) Subscribe() (<-chan *fleet.Configuration, func()) {
	updates := make(chan *fleet.Configuration, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[updates] = struct{}{}
	return updates, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, updates)
	}
}

// Seed puts in force the configuration that a daemon starts with from a file.
// It changes nothing once a higher version is in force.
func (s *Store) Seed(c *fleet.Configuration) error {
	document, err := Document(c)
	if err != nil {
		return trace.Wrap(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Version.Less(s.Version()) || s.Digest() != "" {
		return nil
	}
	return s.replace(revision.Version(c.Version), document, revision.Digest(document))
}

// Apply puts an update in force when its version is higher than the one in
// force, and reports whether it did.
func (s *Store) Apply(u revision.Update) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := revision.Version(s.Version())
	if !have.Less(u.Version) {
		ignoredOld.Inc()
		return false, nil
	}
	u.Deltas = following(u.Deltas, have)
	document, err := s.outcome(u)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if revision.Digest(document) != u.Digest {
		wrongDigests.Inc()
		return false, trace.Wrap(ErrDigest)
	}
	if err := s.replace(u.Version, document, u.Digest); err != nil {
		return false, trace.Wrap(err)
	}
	s.remember(u)
	return true, nil
}

// following returns the deltas after version have, all of them when it is not
// among them. An update may have been made for an older version than the one
// that is in force when it arrives. Patches are idempotent, so that this only
// saves work.
func following(deltas []revision.Delta, have revision.Version) []revision.Delta {
	for i, d := range deltas {
		if d.Version == have {
			return deltas[i+1:]
		}
	}
	return deltas
}

// outcome returns the document that an update leads to.
func (s *Store) outcome(u revision.Update) ([]byte, error) {
	if len(u.Document) > 0 {
		return revision.Canonical(u.Document)
	}
	patches := make([][]byte, 0, len(u.Deltas))
	for _, d := range u.Deltas {
		patches = append(patches, d.Patch)
	}
	return revision.Patch(s.current.Load().document, patches...)
}

// remember keeps the deltas for peers that are further behind.
func (s *Store) remember(u revision.Update) {
	if len(u.Document) > 0 {
		appliedSnapshots.Inc()
		s.history.Reset(u.Version)
		return
	}
	appliedDeltas.Inc()
	for _, d := range u.Deltas {
		s.history.Append(d)
	}
}

func (s *Store) replace(v revision.Version, document []byte, digest string) error {
	var c fleet.Configuration
	if err := json.Unmarshal(document, &c); err != nil {
		return fmt.Errorf("distribution: configuration %v: %w", v, err)
	}
	c.Version = fleet.Version(v)
	s.current.Store(&inForce{configuration: &c, document: document, digest: digest})
	for updates := range s.subscribers {
		tell(updates, &c)
	}
	return nil
}

// tell replaces what waits in a subscriber's channel. Only the holder of the
// store's lock sends, so that the second send finds room.
func tell(updates chan *fleet.Configuration, c *fleet.Configuration) {
	select {
	case <-updates:
	default:
	}
	updates <- c
}

// Update returns what a daemon at version have lacks. whole asks for the
// configuration in place of deltas.
func (s *Store) Update(have fleet.Version, whole bool) revision.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.current.Load()
	r := revision.Register{
		Version:  revision.Version(now.configuration.Version),
		Document: now.document, Digest: now.digest, History: s.history,
	}
	if whole || have == (fleet.Version{}) {
		r.History = revision.History{Base: r.Version}
	}
	return r.After(revision.Version(have))
}

// Document returns a configuration as the canonical document that is accepted
// and digested. Its version is no part of it.
func Document(c *fleet.Configuration) ([]byte, error) {
	bare := *c
	bare.Version = fleet.Version{}
	text, err := json.Marshal(bare)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return revision.Canonical(text)
}
