// Package wal implements a write-ahead log of batches in a single file. Each
// batch has a checksum and is synced before it is acknowledged.
//
// # File format
//
// A log file is a sequence of frames. Each frame has a magic number, a length
// in bytes, a CRC-32C, a kind and a payload. The checksum also covers the salt
// of the log, the number of the file and the offset of the frame, so that a
// frame is valid only where it was written. Append writes one frame, syncs, and
// writes a small commit frame, which marks all preceding frames as acknowledged.
//
// Rotate replaces the log with a new file that starts with the given batch. The
// file is written under a temporary name, synced and renamed, and then the
// directory is synced. The file with the highest number therefore holds the
// complete log.
//
// # Corruption
//
// An invalid frame with no valid frame after it is a torn write that was never
// acknowledged: Open truncates it. The commit frame and the next batch are synced
// together, so a power loss may keep that batch and lose the commit frame: Open
// writes both again. Any other invalid frame with a valid frame after it was
// acknowledged: Open returns a *CorruptError with the file and the offset in bytes,
// and modifies nothing.
//
// After a failed write or sync the content of the disk is unknown, so every
// later call returns the same error. Only a Rotate that finds no room for the new file leaves
// the log in use.
package wal
