package distribution

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
)

// Load applies the configuration written by Save. A missing file is not an error. A
// corrupt file is an error and leaves the store unchanged.
func (s *Store) Load(file string) error {
	text, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var u revision.Update
	if err := json.Unmarshal(text, &u); err != nil {
		return trace.Wrap(err, "cached configuration %s", file)
	}
	_, err = s.Apply(u)
	return trace.Wrap(err, "cached configuration %s", file)
}

// Save atomically replaces a file with the active configuration and syncs it. After
// a crash the file has either the old or the new content.
func (s *Store) Save(file string) error {
	text, err := json.Marshal(s.Update(fleet.Version{}, true))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := writeSynced(file+".new", text); err != nil {
		return trace.Wrap(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncDirectory(filepath.Dir(file))
}

func writeSynced(file string, text []byte) error {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	return trace.NewAggregate(err, f.Close())
}

func syncDirectory(dir string) error {
	f, err := os.Open(dir)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.NewAggregate(f.Sync(), f.Close())
}
