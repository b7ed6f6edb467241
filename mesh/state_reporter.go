package mesh

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// maxReasonBytes bounds the short reason why a disk isn't used, which then stands in the first
// 200 characters of a line.
const maxReasonBytes = 40

// reportState reports regularly that this entry has no leader, no member or no usable disk. It
// goes on while the start of the member waits for the disk.
func (c *quorumManager) reportState(ctx context.Context) {
	ticker := time.NewTicker(quorumTickInterval)
	defer ticker.Stop()
	r := newStateReporter(c, time.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			r.report(now)
		}
	}
}

type stateReporter struct {
	manager  *quorumManager
	leader   leaderObserver
	nextDisk time.Time // when the state of the disk is logged again
}

func newStateReporter(c *quorumManager, now time.Time) *stateReporter {
	next := now.Add(leaderlessReport)
	return &stateReporter{manager: c, leader: leaderObserver{log: c.log, nextReport: next}, nextDisk: next}
}

func (r *stateReporter) report(now time.Time) {
	c := r.manager
	if node := c.currentNode(); node != nil {
		r.leader.observe(now, node.Status())
		r.nextDisk = now.Add(leaderlessReport)
		return
	}
	c.mu.Lock()
	disk, diskSince, startingSince, stopped := c.disk, c.diskSince, c.startingSince, c.stopped
	c.mu.Unlock()
	if c.mesh.options.DataFolder == "" || stopped {
		return
	}
	r.leader.observeNoMember(now, disk, diskSince, startingSince)
	if now.Before(r.nextDisk) {
		return
	}
	r.nextDisk = now.Add(leaderlessReport)
	c.logDisk(disk, disk.State, now.Sub(diskSince))
}

// observeNoMember is called regularly while no member runs on this entry's disk.
func (o *leaderObserver) observeNoMember(now time.Time, disk DiskHealth, diskSince, startingSince time.Time) {
	if now.Before(o.nextReport) {
		return
	}
	o.leaderless, o.nextReport = true, now.Add(leaderlessReport)
	fields := []any{"member", false, "disk", disk.State, "for_ms", now.Sub(diskSince).Milliseconds()}
	if !startingSince.IsZero() {
		fields = append(fields, "starting_ms", now.Sub(startingSince).Milliseconds())
	}
	if disk.Kept != nil {
		fields = append(fields, "kept", keptReason(disk.Kept))
	}
	o.log.Warn("no leader", append(fields, "reason", diskReason(disk.Err), "step", "mesh.leader")...)
}

// logDisk logs the state of the disk.
func (c *quorumManager) logDisk(h DiskHealth, before DiskState, inState time.Duration) {
	level := slog.LevelInfo
	if h.Err != nil {
		level = slog.LevelError
	}
	c.log.Log(context.Background(), level, "quorum disk", "state", h.State, "for_ms", inState.Milliseconds(),
		"reason", diskReason(h.Err), "kept", keptReason(h.Kept), "before", before,
		"error", errorText(h.Err), "kept_error", errorText(h.Kept), "step", "mesh.core")
}

func (c *quorumManager) setStartingSince(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startingSince = t
}

// diskReason returns the cause of an error of the disk in at most maxReasonBytes: the file and
// offset of a damage, or the operation, the file and the error of the operating system.
func diskReason(err error) string {
	if err == nil {
		return ""
	}
	var corrupt *wal.CorruptError
	var path *fs.PathError
	var errno syscall.Errno
	reason := ""
	switch {
	case errors.As(err, &corrupt):
		reason = fmt.Sprintf("%s@%d: %s", shortFileName(corrupt.File), corrupt.Offset, corrupt.Reason)
	case errors.As(err, &path):
		reason = fmt.Sprintf("%s %s: %v", path.Op, shortFileName(filepath.Base(path.Path)), path.Err)
	case errors.As(err, &errno):
		reason = errno.Error()
	default:
		reason = innermost(err).Error()
	}
	return strings.ToValidUTF8(reason[:min(len(reason), maxReasonBytes)], "")
}

// keptReason returns the last cause for which a damaged disk is kept.
func keptReason(err error) string {
	lines := strings.Split(strings.TrimSpace(errorText(err)), "\n")
	return strings.TrimPrefix(lines[len(lines)-1], "quorum: ")
}

// shortFileName drops the zeros with which the numbers of files are padded.
func shortFileName(name string) string {
	prefix, number, ok := strings.Cut(name, "-")
	if !ok {
		return name
	}
	return prefix + "-" + strings.TrimLeft(number, "0")
}

func innermost(err error) error {
	for {
		next := errors.Unwrap(err)
		if next == nil {
			return err
		}
		err = next
	}
}
