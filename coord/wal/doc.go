// Package wal is a write-ahead log of batches in one file, with a checksum on
// each batch and a sync before each acknowledgement.
//
// # File
//
// A log file is a sequence of frames. Each has a magic number, a length in
// bytes, a CRC-32C, a kind and a payload. The checksum also covers the salt of
// the log, the number of the file and the offset of the frame, so that a frame
// is valid only where it was written. Append writes one frame, syncs, and
// writes a small mark frame that tells that all before it was acknowledged.
//
// Rotate replaces the log by a file that starts with the given batch: it is
// written under a temporary name, synced, renamed, and the folder is synced.
// So the file with the highest number is the whole log.
//
// # Damage
//
// A frame that is damaged and followed by no valid frame is a write that was
// cut off before it was acknowledged: Open cuts it. A damaged frame with a valid
// one after it was acknowledged: Open returns a *CorruptError with file and
// offset, in bytes, and changes nothing.
//
// After a failed write or sync nothing is known of what the disk holds, and
// every later call returns the same error.
package wal
