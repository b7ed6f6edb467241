package mesh

import (
	"context"
	"encoding/json"
	"path/filepath"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/internal/statefile"
)

// Known endpoints are stored on disk, so that an entry has them after a restart
// before their next announcements arrive.
const (
	endpointsFolder = "endpoints" // in the data folder, next to the quorum's files
	endpointsFile   = "known.json"
	writeInterval   = 500 * time.Millisecond
	// maxEndpointsBytes is the largest file that is read: tens of thousands of endpoints.
	maxEndpointsBytes = 16 << 20
	// restoredAge is the age assigned to endpoints read from disk: longer than the
	// interval between two announcements, so that any new announcement is later.
	restoredAge = 5 * time.Second
)

// endpointStore is the duty that writes the endpoints to disk. It is separate from
// the other duties because a disk may stall for seconds.
type endpointStore struct{ mesh *Mesh }

// Name implements supervise.Duty.
func (r *endpointStore) Name() string { return "remembering" }

// Serve implements supervise.Duty.
func (r *endpointStore) Serve(ctx context.Context) error {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	var writtenVersion uint64
	failing := false
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		version, endpoints := r.mesh.readyEndpoints()
		if version == writtenVersion {
			continue
		}
		if err := writeEndpoints(r.folder(), endpoints); err != nil {
			if !failing {
				r.mesh.log.Warn("writing the endpoints file failed", "step", "mesh.remember", "error", err.Error())
			}
			failing = true
			continue
		}
		if failing {
			r.mesh.log.Info("endpoints file written again", "step", "mesh.remember")
		}
		failing = false
		writtenVersion = version
	}
}

func (r *endpointStore) folder() string {
	return filepath.Join(r.mesh.options.DataFolder, endpointsFolder)
}

// readyEndpoints returns the registry's version and the endpoints that accept requests.
func (m *Mesh) readyEndpoints() (uint64, []announce.Endpoint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []announce.Endpoint
	for _, h := range m.registry.All() {
		if h.State == announce.Ready {
			out = append(out, h.Endpoint)
		}
	}
	return m.registry.Version(), out
}

func writeEndpoints(folder string, endpoints []announce.Endpoint) error {
	data, err := json.Marshal(endpoints)
	if err != nil {
		return trace.Wrap(err)
	}
	return statefile.Write(folder, endpointsFile, data)
}

// readEndpoints returns the stored endpoints, or nil if there is no file. Those that no sound
// endpoint announces are left out.
func readEndpoints(folder string) ([]announce.Endpoint, error) {
	data, err := statefile.Read(folder, endpointsFile, maxEndpointsBytes)
	if err != nil || data == nil {
		return nil, err
	}
	endpoints, refused, err := decodeList[announce.Endpoint](data)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	known := len(endpoints) + refused
	endpoints = slices.DeleteFunc(endpoints, func(e announce.Endpoint) bool { return e.Validate() != nil })
	announcementsRefused.Add(known - len(endpoints))
	return endpoints, nil
}

// restoreEndpoints adds the endpoints stored by an earlier run to the registry.
func (m *Mesh) restoreEndpoints() {
	if m.options.DataFolder == "" {
		return
	}
	endpoints, err := readEndpoints(filepath.Join(m.options.DataFolder, endpointsFolder))
	if err != nil {
		m.log.Warn("reading the endpoints file failed", "step", "mesh.recall", "error", err.Error())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range endpoints {
		if e.Cold > 0 {
			e.Cold += restoredAge // it is not known how long ago that was announced
		}
		m.applyAnnouncement(e, time.Now().Add(-restoredAge), false)
	}
	m.restored = len(endpoints) > 0
	m.log.Info("endpoints restored from disk", "step", "mesh.recall", "endpoints", len(endpoints))
}
