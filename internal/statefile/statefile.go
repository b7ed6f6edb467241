// Package statefile keeps small state of a process in a file that is replaced as a whole, so
// that a reader finds either the old or the new state.
package statefile

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

const (
	fileMode   = 0o600
	folderMode = 0o700
)

// Write replaces a file of a folder, which is created if it is missing.
func Write(folder, name string, data []byte) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	tmp := filepath.Join(folder, name+".new")
	if err := writeSynced(tmp, data); err != nil {
		return err
	}
	return trace.ConvertSystemError(os.Rename(tmp, filepath.Join(folder, name)))
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	return trace.NewAggregate(err, f.Close())
}

// Read returns the content of a file of a folder, or nil if there is none. A file of over
// maxBytes is refused.
func Read(folder, name string, maxBytes int64) ([]byte, error) {
	path := filepath.Join(folder, name)
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, trace.ConvertSystemError(err)
	case info.Size() > maxBytes:
		return nil, trace.Wrap(fmt.Errorf("%s has %d bytes, the limit is %d bytes", path, info.Size(), maxBytes))
	}
	data, err := os.ReadFile(path)
	return data, trace.ConvertSystemError(err)
}
