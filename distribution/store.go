// Package distribution stores the active configuration of a daemon and replicates
// it among daemons by gossip: a daemon that learns of a higher version pulls the
// difference from a peer that has it, and notifies a few other peers.
//
// A daemon only applies versions higher than its own, and only if the resulting
// document matches the digest of that version.
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

// ErrDigest is returned when an update does not produce the configuration that its
// digest identifies. After a failed delta update, a snapshot must be requested.
var ErrDigest = errors.New("distribution: configuration does not match its digest")

// activeConfiguration is one version of the configuration with its document and
// digest. It is immutable.
type activeConfiguration struct {
	configuration *fleet.Configuration
	document      []byte // canonical
	digest        string
}

// Store holds the active configuration.
type Store struct {
	current atomic.Pointer[activeConfiguration]

	mu          sync.Mutex // guards the fields below and writes to current
	history     revision.History
	subscribers map[chan *fleet.Configuration]struct{}
}

// NewStore returns a store with an empty configuration at version 0.0.
func NewStore() *Store {
	s := &Store{subscribers: make(map[chan *fleet.Configuration]struct{})}
	s.current.Store(&activeConfiguration{configuration: &fleet.Configuration{}, document: []byte("{}")})
	return s
}

// Current returns the active configuration, which must not be modified. It is
// never nil.
func (s *Store) Current() *fleet.Configuration { return s.current.Load().configuration }

// Version returns the version of the active configuration.
func (s *Store) Version() fleet.Version { return s.Current().Version }

// Digest returns the SHA-256 of the active configuration in hexadecimal. It is
// empty until a configuration has been applied.
func (s *Store) Digest() string { return s.current.Load().digest }

// Subscribe returns a channel that receives the latest configuration after each
// change, and a function that cancels the subscription. A slow reader misses
// intermediate versions.
func (s *Store) Subscribe() (<-chan *fleet.Configuration, func()) {
	channel := make(chan *fleet.Configuration, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers[channel] = struct{}{}
	return channel, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.subscribers, channel)
	}
}

// Seed activates the initial configuration that a daemon reads from a file. It has
// no effect if a higher version is active or any configuration has been applied.
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

// Apply applies an update if its version is higher than the active one, and reports
// whether it did.
func (s *Store) Apply(u revision.Update) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := revision.Version(s.Version())
	if !have.Less(u.Version) {
		ignoredOld.Inc()
		return false, nil
	}
	u.Deltas = deltasAfter(u.Deltas, have)
	document, err := s.documentAfter(u)
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
	s.recordHistory(u)
	return true, nil
}

// deltasAfter returns the deltas after version have, or all deltas if have is not
// among them. An update may have been made for an older version than the one active
// when it arrives. Patches are idempotent, so this only saves work.
func deltasAfter(deltas []revision.Delta, have revision.Version) []revision.Delta {
	for i, d := range deltas {
		if d.Version == have {
			return deltas[i+1:]
		}
	}
	return deltas
}

// documentAfter returns the document that results from an update.
func (s *Store) documentAfter(u revision.Update) ([]byte, error) {
	if len(u.Document) > 0 {
		return revision.Canonical(u.Document)
	}
	patches := make([][]byte, 0, len(u.Deltas))
	for _, d := range u.Deltas {
		patches = append(patches, d.Patch)
	}
	return revision.Patch(s.current.Load().document, patches...)
}

// recordHistory keeps the deltas of an update for peers at older versions. A
// snapshot resets the history.
func (s *Store) recordHistory(u revision.Update) {
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
	s.current.Store(&activeConfiguration{configuration: &c, document: document, digest: digest})
	for updates := range s.subscribers {
		sendLatest(updates, &c)
	}
	return nil
}

// sendLatest replaces a pending configuration in a subscriber's channel. All sends
// are made under the store's lock, so the send never blocks.
func sendLatest(updates chan *fleet.Configuration, c *fleet.Configuration) {
	select {
	case <-updates:
	default:
	}
	updates <- c
}

// Update returns the update for a daemon at version have. With snapshot set it
// contains the full configuration instead of deltas.
func (s *Store) Update(have fleet.Version, snapshot bool) revision.Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	r := revision.Register{
		Version:  revision.Version(current.configuration.Version),
		Document: current.document, Digest: current.digest, History: s.history,
	}
	if snapshot || have == (fleet.Version{}) {
		r.History = revision.History{Base: r.Version}
	}
	return r.After(revision.Version(have))
}

// Document returns the canonical document of a configuration, from which its digest
// is computed. The document does not include the version.
func Document(c *fleet.Configuration) ([]byte, error) {
	unversioned := *c
	unversioned.Version = fleet.Version{}
	text, err := json.Marshal(unversioned)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return revision.Canonical(text)
}
