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
//
// The identity is durably removed before any other file. A disk with only some of the others,
// such as an older log, is refused again.
func Discard(folder wal.Folder) error {
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
