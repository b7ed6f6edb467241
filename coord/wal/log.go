package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

const (
	logPrefix     = "log-"
	tempSuffix    = ".tmp"
	formatVersion = 1
)

// ErrTooLarge is returned for a batch or file larger than 1 GiB.
var ErrTooLarge = errors.New("wal: batch too large")

var (
	syncs       = metrics.NewCounter("jacinthplank_wal_syncs_total")
	syncSeconds = metrics.NewHistogram("jacinthplank_wal_sync_seconds")
	bytesTotal  = metrics.NewCounter("jacinthplank_wal_written_bytes_total")
	rotations   = metrics.NewCounter("jacinthplank_wal_rotations_total")
	tornTails   = metrics.NewCounter("jacinthplank_wal_torn_tails_total")
	lostMarks   = metrics.NewCounter("jacinthplank_wal_lost_marks_total")
	failures    = metrics.NewCounter("jacinthplank_wal_failures_total")
)

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	folder   Folder
	salt     string
	number   uint64
	file     File
	size     int64 // bytes
	firstErr error
}

// Exists reports whether the folder holds a log.
func Exists(folder Folder) (bool, error) {
	numbers, err := listNumbers(folder)
	return len(numbers) > 0, err
}

// IsLog reports whether name is that of a file of a log, complete or not.
func IsLog(name string) bool { return strings.HasPrefix(name, logPrefix) }

// Create creates a log whose first batch is first. The salt is part of every
// checksum; Open needs the same salt.
func Create(folder Folder, salt string, first []byte) (*Log, error) {
	l := &Log{folder: folder, salt: salt}
	if err := l.Rotate(first); err != nil {
		l.closeFile()
		return nil, err
	}
	return l, nil
}

// Open opens a log and returns its batches. It truncates an unacknowledged last
// write and returns a *CorruptError for any other corruption.
func Open(folder Folder, salt string) (*Log, [][]byte, error) {
	numbers, err := listNumbers(folder)
	if err != nil {
		return nil, nil, err
	}
	if len(numbers) == 0 {
		return nil, nil, trace.NotFound("wal: no log")
	}
	l := &Log{folder: folder, salt: salt, number: numbers[len(numbers)-1]}
	content, err := l.read()
	if err != nil {
		return nil, nil, err
	}
	if err := l.openForAppend(content); err != nil {
		l.closeFile()
		return nil, nil, err
	}
	if err := l.removeOldFiles(); err != nil {
		l.closeFile()
		return nil, nil, err
	}
	return l, content.batches, nil
}

// Append writes one batch and syncs it.
func (l *Log) Append(batch []byte) error {
	if l.firstErr != nil {
		return l.firstErr
	}
	if len(batch) > maxPayload {
		return ErrTooLarge
	}
	if err := l.write(kindBatch, batch); err != nil {
		return l.fail(err)
	}
	start := time.Now()
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	syncs.Inc()
	syncSeconds.UpdateDuration(start)
	if err := l.write(kindCommit, nil); err != nil {
		return l.fail(err)
	}
	return nil
}

// Rotate replaces the content of the log with the batch first. If the disk has no room for
// the new file, the log stays as it is and remains in use: see IsFull.
func (l *Log) Rotate(first []byte) error {
	if l.firstErr != nil {
		return l.firstErr
	}
	if len(first) > maxPayload {
		return ErrTooLarge
	}
	next := &Log{folder: l.folder, salt: l.salt, number: l.number + 1}
	if err := next.writeTemp(first); err != nil {
		next.closeFile()
		if !IsFull(err) {
			return l.fail(err)
		}
		failures.Inc()
		_ = l.folder.Remove(next.tempName()) // the error of the write is returned
		return trace.Wrap(err, "wal: %s at offset %d", next.tempName(), next.size)
	}
	if err := next.commitTemp(); err != nil {
		next.closeFile()
		return l.fail(err)
	}
	l.closeFile()
	*l = *next
	rotations.Inc()
	return l.removeOldFiles()
}

// Name returns the name of the current file.
func (l *Log) Name() string { return l.fileName() }

// Rewrite writes the file of the log again in place, which needs no more room, and syncs it.
func (l *Log) Rewrite() error {
	if l.firstErr != nil {
		return l.firstErr
	}
	if err := l.folder.Rewrite(l.fileName()); err != nil {
		return l.fail(err)
	}
	return nil
}

// IsFull reports whether an operation failed because the disk is full.
func IsFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log. Later writes fail.
func (l *Log) Close() error {
	if l.firstErr == nil {
		l.firstErr = errors.New("wal: closed")
	}
	return trace.Wrap(l.file.Close())
}

// closeFile closes the file of a log that is not used any more.
func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close() // nothing unsynced is needed from it
	}
}

func (l *Log) fileName() string { return fmt.Sprintf("%s%016x", logPrefix, l.number) }

func (l *Log) tempName() string { return l.fileName() + tempSuffix }

// writeTemp writes and syncs a temporary file with first as its only batch.
func (l *Log) writeTemp(first []byte) error {
	file, err := l.folder.Create(l.tempName())
	if err != nil {
		return trace.Wrap(err)
	}
	l.file = file
	if err := l.write(kindHeader, []byte{formatVersion}); err != nil {
		return err
	}
	// In two writes: a copy of the whole log would add to the memory of a start.
	if err := l.writeBytes(frameHeader(l.position(l.size), kindBatch, first)); err != nil {
		return err
	}
	if err := l.writeBytes(first); err != nil {
		return err
	}
	return trace.Wrap(l.file.Sync())
}

// commitTemp durably makes the temporary file that of the log.
func (l *Log) commitTemp() error {
	if err := l.folder.Rename(l.tempName(), l.fileName()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.folder.Sync())
}

func (l *Log) write(kind frameKind, payload []byte) error {
	return l.writeBytes(appendFrame(nil, l.position(l.size), kind, payload))
}

func (l *Log) writeBytes(data []byte) error {
	n, err := l.file.Write(data)
	l.size += int64(n)
	bytesTotal.Add(n)
	if err == nil && n < len(data) {
		err = errors.New("short write")
	}
	return trace.Wrap(err)
}

func (l *Log) position(offset int64) framePosition {
	return framePosition{salt: l.salt, number: l.number, offset: uint64(offset)}
}

// fail records the error that every later call returns.
func (l *Log) fail(err error) error {
	failures.Inc()
	l.firstErr = trace.Wrap(err, "wal: %s at offset %d", l.fileName(), l.size)
	return l.firstErr
}

// logContent is what a log file holds.
type logContent struct {
	batches [][]byte
	size    int64 // of the valid prefix, in bytes
	// rewrite is set if the last batch lies behind the prefix, because the mark before it
	// is lost. It has to be written again.
	rewrite bool
}

// read returns the content of the file.
func (l *Log) read() (logContent, error) {
	data, err := l.folder.ReadFile(l.fileName())
	if err != nil {
		return logContent{}, trace.Wrap(err)
	}
	var batches [][]byte
	var last frameKind
	offset := 0
	for offset < len(data) {
		kind, payload, size, ok := parseFrame(data[offset:], l.position(int64(offset)))
		if !ok {
			break
		}
		if offset == 0 && (kind != kindHeader || len(payload) != 1 || payload[0] != formatVersion) {
			return logContent{}, &CorruptError{File: l.fileName(), Reason: "unknown format"}
		}
		if kind == kindBatch {
			batches = append(batches, payload)
		}
		last = kind
		offset += size
	}
	if len(batches) == 0 {
		return logContent{}, &CorruptError{File: l.fileName(), Offset: int64(offset), Reason: "the first batch, which was synced, is damaged"}
	}
	content := logContent{batches: batches, size: int64(offset)}
	if offset == len(data) {
		return content, nil
	}
	if batch, ok := l.batchAfterLostMark(data, offset); ok && last == kindBatch {
		lostMarks.Inc()
		content.batches, content.rewrite = append(batches, batch), true
		return content, nil
	}
	if validFrameAfter(data, offset, l.position(0)) {
		return logContent{}, &CorruptError{File: l.fileName(), Offset: int64(offset), Reason: "invalid frame, although a valid frame follows: this one was synced"}
	}
	tornTails.Inc()
	return content, nil
}

// batchAfterLostMark returns the batch that follows an invalid mark at offset, if it is the
// last frame of the file. A mark is synced together with the next batch. When power is lost
// meanwhile, that batch may be on the disk without the mark.
func (l *Log) batchAfterLostMark(data []byte, offset int) ([]byte, bool) {
	start := offset + frameHeaderSize
	if start > len(data) {
		return nil, false
	}
	kind, batch, size, ok := parseFrame(data[start:], l.position(int64(start)))
	isLast := ok && !validFrameAfter(data, start+size-1, l.position(0))
	return batch, isLast && kind == kindBatch
}

// openForAppend opens the file for appending after its valid prefix.
func (l *Log) openForAppend(content logContent) error {
	file, err := l.folder.Append(l.fileName())
	if err != nil {
		return trace.Wrap(err)
	}
	l.file, l.size = file, content.size
	if err := file.Truncate(content.size); err != nil {
		return trace.Wrap(err)
	}
	if !content.rewrite {
		return trace.Wrap(file.Sync())
	}
	if err := l.write(kindCommit, nil); err != nil {
		return err
	}
	return l.Append(content.batches[len(content.batches)-1])
}

// removeOldFiles removes older logs and temporary files.
func (l *Log) removeOldFiles() error {
	names, err := l.folder.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		isOld := IsLog(name) && name != l.fileName()
		if !isOld {
			continue
		}
		if err := l.folder.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// listNumbers returns the file numbers of the logs in the folder in ascending
// order.
func listNumbers(folder Folder) ([]uint64, error) {
	names, err := folder.List()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var numbers []uint64
	for _, name := range names {
		var number uint64
		if strings.HasSuffix(name, tempSuffix) {
			continue
		}
		if n, err := fmt.Sscanf(name, logPrefix+"%016x", &number); n == 1 && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}
