package wal

import (
	"github.com/gravitational/trace"
)

// WriteFile writes a file with a checksum so that after a crash it is there
// whole or not at all. The salt has to be given to ReadFile again.
func WriteFile(folder Folder, salt, name string, data []byte) error {
	if len(data) > maxPayload {
		return ErrTooLarge
	}
	temp := name + tempSuffix
	file, err := folder.Create(temp)
	if err != nil {
		return trace.Wrap(err)
	}
	frame := appendFrame(nil, place{salt: salt + name}, kindFile, data)
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

// ReadFile returns the data of a file written by WriteFile. The error of a
// missing file is fs.ErrNotExist, that of a damaged one a *CorruptError.
func ReadFile(folder Folder, salt, name string) ([]byte, error) {
	data, err := folder.ReadFile(name)
	if err != nil {
		return nil, err
	}
	kind, payload, size, ok := parseFrame(data, place{salt: salt + name})
	if !ok || kind != kindFile || size != len(data) {
		return nil, &CorruptError{File: name, Reason: "checksum does not match"}
	}
	return payload, nil
}
