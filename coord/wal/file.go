package wal

import (
	"strings"

	"github.com/gravitational/trace"
)

// WriteFile atomically writes a file with a checksum: after a crash the file is
// either complete or unchanged. ReadFile needs the same salt.
func WriteFile(folder Folder, salt, name string, data []byte) error {
	if len(data) > maxPayload {
		return ErrTooLarge
	}
	temp := name + tempSuffix
	file, err := folder.Create(temp)
	if err != nil {
		return trace.Wrap(err)
	}
	frame := appendFrame(nil, framePosition{salt: salt + name}, kindFile, data)
	if _, err := file.Write(frame); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return trace.Wrap(err)
	}
	if err := file.Close(); err != nil {
		return trace.Wrap(err)
	}
	if err := folder.Rename(temp, name); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(folder.Sync())
}

// ReadFile returns the data of a file written by WriteFile. It returns
// fs.ErrNotExist for a missing file and a *CorruptError for a corrupt one.
func ReadFile(folder Folder, salt, name string) ([]byte, error) {
	data, err := folder.ReadFile(name)
	if err != nil {
		return nil, err
	}
	kind, payload, size, ok := parseFrame(data, framePosition{salt: salt + name})
	if !ok || kind != kindFile || size != len(data) {
		return nil, &CorruptError{File: name, Reason: "checksum does not match"}
	}
	return payload, nil
}

// IsIncomplete reports whether name is that of a file that WriteFile has not
// completed.
func IsIncomplete(name string) bool { return strings.HasSuffix(name, tempSuffix) }

// RemoveIncomplete removes the files whose names start with prefix that WriteFile did
// not complete before a crash. No call of WriteFile may be in progress.
func RemoveIncomplete(folder Folder, prefix string) error {
	names, err := folder.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, prefix) || !IsIncomplete(name) {
			continue
		}
		if err := folder.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
