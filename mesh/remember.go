package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/announce"
)

// The endpoints that are known are kept on the disk, so that an entry that starts
// has them before their next announcements.
const (
	rememberFolder = "endpoints" // below the data folder, beside the quorum's files
	rememberFile   = "known.json"
	rememberPeriod = 500 * time.Millisecond
	rememberMode   = 0o600
	folderMode     = 0o700
	// rememberedAge is given to endpoints that were read from the disk: longer
	// than the time between two announcements, so that any news is later.
	rememberedAge = 5 * time.Second
)

// remembering is the duty that keeps the endpoints on the disk. It stands apart
// from the other duties, as a disk may stall for seconds.
type remembering struct{ mesh *Mesh }

// Name implements supervise.Duty.
func (r *remembering) Name() string { return "remembering" }

// Serve implements supervise.Duty.
func (r *remembering) Serve(ctx context.Context) error {
	ticker := time.NewTicker(rememberPeriod)
	defer ticker.Stop()
	var written uint64
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		version, known := r.mesh.known()
		if version == written {
			continue
		}
		if err := writeEndpoints(r.folder(), known); err != nil {
			// The file only quickens a start: the next change is the next try.
			r.mesh.log.Warn("endpoints not kept on the disk", "step", "mesh.remember", "error", err.Error())
		}
		written = version
	}
}

func (r *remembering) folder() string {
	return filepath.Join(r.mesh.options.DataFolder, rememberFolder)
}

// known returns the endpoints that take work, with the version of the registry.
func (m *Mesh) known() (uint64, []announce.Endpoint) {
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

func writeEndpoints(folder string, known []announce.Endpoint) error {
	data, err := json.Marshal(known)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	fresh := filepath.Join(folder, rememberFile+".new")
	if err := writeSynced(fresh, data); err != nil {
		return err
	}
	return trace.ConvertSystemError(os.Rename(fresh, filepath.Join(folder, rememberFile)))
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, rememberMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return trace.NewAggregate(err, f.Close())
}

// readEndpoints returns what an earlier start kept; nothing when there is none.
func readEndpoints(folder string) ([]announce.Endpoint, error) {
	data, err := os.ReadFile(filepath.Join(folder, rememberFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var known []announce.Endpoint
	if err := json.Unmarshal(data, &known); err != nil {
		return nil, trace.Wrap(err)
	}
	return known, nil
}

// recall takes the endpoints of an earlier start.
func (m *Mesh) recall() {
	if m.options.DataFolder == "" {
		return
	}
	known, err := readEndpoints(filepath.Join(m.options.DataFolder, rememberFolder))
	if err != nil {
		m.log.Warn("endpoints of the last start not read", "step", "mesh.recall", "error", err.Error())
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, e := range known {
		m.take(e, time.Now().Add(-rememberedAge), false)
	}
	m.log.Info("endpoints of the last start", "step", "mesh.recall", "endpoints", len(known))
}
