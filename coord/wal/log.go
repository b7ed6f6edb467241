package wal

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
)

const (
	logPrefix     = "log-"
	tempSuffix    = ".tmp"
	formatVersion = 1
)

// ErrTooLarge means that a batch is above 1 GiB.
var ErrTooLarge = errors.New("wal: batch too large")

var (
	syncs       = metrics.NewCounter("jacinthplank_wal_syncs_total")
	syncSeconds = metrics.NewHistogram("jacinthplank_wal_sync_seconds")
	bytesTotal  = metrics.NewCounter("jacinthplank_wal_written_bytes_total")
	rotations   = metrics.NewCounter("jacinthplank_wal_rotations_total")
	tornTails   = metrics.NewCounter("jacinthplank_wal_torn_tails_total")
	failures    = metrics.NewCounter("jacinthplank_wal_failures_total")
)

// Log is an open log. It serves one goroutine.
type Log struct {
	folder Folder
	salt   string
	number uint64
	file   File
	size   int64 // bytes
	failed error
}

// Exists reports whether the folder holds a log.
func Exists(folder Folder) (bool, error) {
	numbers, err := list(folder)
	return len(numbers) > 0, err
}

// Create makes a log that starts with the batch first. The salt is part of
// every checksum and has to be given to Open again.
func Create(folder Folder, salt string, first []byte) (*Log, error) {
	l := &Log{folder: folder, salt: salt}
	return l, l.Rotate(first)
}

// Open reads a log and returns its batches. It cuts a last write that was never
// acknowledged and returns a *CorruptError for any other damage.
func Open(folder Folder, salt string) (*Log, [][]byte, error) {
	numbers, err := list(folder)
	if err != nil {
		return nil, nil, err
	}
	if len(numbers) == 0 {
		return nil, nil, trace.NotFound("wal: no log")
	}
	l := &Log{folder: folder, salt: salt, number: numbers[len(numbers)-1]}
	batches, whole, err := l.read()
	if err != nil {
		return nil, nil, err
	}
	if err := l.reopen(whole); err != nil {
		return nil, nil, err
	}
	return l, batches, l.clean()
}

// Append writes one batch and returns once it is synced.
func (l *Log) Append(batch []byte) error {
	if l.failed != nil {
		return l.failed
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
	if err := l.write(kindMark, nil); err != nil {
		return l.fail(err)
	}
	return nil
}

// Rotate replaces everything in the log by the batch first.
func (l *Log) Rotate(first []byte) error {
	if l.failed != nil {
		return l.failed
	}
	if len(first) > maxPayload {
		return ErrTooLarge
	}
	next := &Log{folder: l.folder, salt: l.salt, number: l.number + 1}
	if err := next.begin(first); err != nil {
		return l.fail(err)
	}
	if l.file != nil {
		_ = l.file.Close()
	}
	*l = *next
	rotations.Inc()
	return l.clean()
}

// Size returns the size of the log in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log's file.
func (l *Log) Close() error {
	if l.failed == nil {
		l.failed = errors.New("wal: closed")
	}
	return trace.Wrap(l.file.Close())
}

func (l *Log) name() string { return fmt.Sprintf("%s%016x", logPrefix, l.number) }

// begin makes the file of l, which holds the batch first, and makes it last.
func (l *Log) begin(first []byte) error {
	temp := l.name() + tempSuffix
	file, err := l.folder.Create(temp)
	if err != nil {
		return trace.Wrap(err)
	}
	l.file = file
	if err := l.write(kindHeader, []byte{formatVersion}); err != nil {
		return err
	}
	if err := l.write(kindBatch, first); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return trace.Wrap(err)
	}
	if err := l.folder.Rename(temp, l.name()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(l.folder.Sync())
}

func (l *Log) write(kind frameKind, payload []byte) error {
	frame := appendFrame(nil, l.at(l.size), kind, payload)
	n, err := l.file.Write(frame)
	l.size += int64(n)
	bytesTotal.Add(n)
	if err == nil && n < len(frame) {
		err = errors.New("short write")
	}
	return trace.Wrap(err)
}

func (l *Log) at(offset int64) place {
	return place{salt: l.salt, number: l.number, offset: uint64(offset)}
}

// fail keeps the first error for every later call.
func (l *Log) fail(err error) error {
	failures.Inc()
	l.failed = trace.Wrap(err, "wal: %s at offset %d", l.name(), l.size)
	return l.failed
}

// read returns the batches of the file and the size in bytes of its whole part.
func (l *Log) read() (batches [][]byte, whole int64, err error) {
	data, err := l.folder.ReadFile(l.name())
	if err != nil {
		return nil, 0, trace.Wrap(err)
	}
	offset := 0
	for offset < len(data) {
		kind, payload, size, ok := parseFrame(data[offset:], l.at(int64(offset)))
		if !ok {
			break
		}
		if offset == 0 && (kind != kindHeader || len(payload) != 1 || payload[0] != formatVersion) {
			return nil, 0, &CorruptError{File: l.name(), Reason: "unknown format"}
		}
		if kind == kindBatch {
			batches = append(batches, payload)
		}
		offset += size
	}
	switch {
	case len(batches) == 0:
		return nil, 0, &CorruptError{File: l.name(), Offset: int64(offset), Reason: "its first batch, which was synced, is damaged"}
	case offset < len(data) && validFrameAfter(data, offset, l.at(0)):
		return nil, 0, &CorruptError{File: l.name(), Offset: int64(offset), Reason: "a valid frame follows, so that this one was synced"}
	case offset < len(data):
		tornTails.Inc()
	}
	return batches, int64(offset), nil
}

// reopen opens the file for writing and cuts it to size bytes.
func (l *Log) reopen(size int64) error {
	file, err := l.folder.Append(l.name())
	if err != nil {
		return trace.Wrap(err)
	}
	l.file, l.size = file, size
	if err := file.Truncate(size); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(file.Sync())
}

// clean removes older logs and unfinished files.
func (l *Log) clean() error {
	names, err := l.folder.List()
	if err != nil {
		return trace.Wrap(err)
	}
	for _, name := range names {
		isOld := strings.HasPrefix(name, logPrefix) && name != l.name()
		if !isOld {
			continue
		}
		if err := l.folder.Remove(name); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// list returns the numbers of the logs in the folder, ascending.
func list(folder Folder) ([]uint64, error) {
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
