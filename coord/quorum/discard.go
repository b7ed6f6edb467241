package quorum

import (
	"errors"
	"io/fs"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// Discard removes a member's files from a disk that Start refused with a *wal.CorruptError.
// The next Start makes the disk that of a new member. What the other members don't hold is
// lost: call Node.ConfirmExpendable on the leader first.
func Discard(path string) error {
	folder, err := wal.OpenFolder(path)
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.NewAggregate(discard(folder), folder.Close())
}

// discard durably removes the identity before any other file. A disk with only some of the
// other files, such as an older log, is then refused until all of them are gone.
func discard(folder wal.Folder) error {
	if err := folder.Remove(identityFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.Wrap(err)
	}
	if err := folder.Sync(); err != nil {
		return trace.Wrap(err)
	}
	names, err := folder.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range slices.Backward(names) { // snapshots, then the logs that refer to them
		isOwn := wal.IsLog(name) || strings.HasPrefix(name, snapshotPrefix) || strings.HasPrefix(name, identityFile)
		if !isOwn {
			continue
		}
		if err := folder.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(folder.Sync())
}
