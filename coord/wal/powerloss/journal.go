package powerloss

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

const (
	recordFolder = "unsynced"
	journalName  = "journal"
	lockName     = "lock" // of package wal, never lost
	folderMode   = 0o700
	fileMode     = 0o600
	// journalSize is the size from which the journal is written anew.
	journalSize = 1 << 20
)

// journal is the record of a folder. Each line of its file is a whole state, and the last complete
// one counts.
type journal struct {
	path  string // of the folder
	file  *os.File
	size  int
	state state
}

// openJournal opens the record of a folder. Without one, all files that are there count as synced.
func openJournal(path string) (*journal, error) {
	j := &journal{path: path}
	if err := os.MkdirAll(j.recordPath(""), folderMode); err != nil {
		return nil, trace.Wrap(err)
	}
	s, err := readState(path)
	if errors.Is(err, fs.ErrNotExist) {
		s, err = j.adopt()
	}
	if err != nil {
		return nil, err
	}
	j.state = s
	return j, j.rewrite()
}

// readState returns the last state that was written.
func readState(path string) (state, error) {
	data, err := os.ReadFile(filepath.Join(path, recordFolder, journalName))
	if err != nil {
		return state{}, err
	}
	lines := bytes.Split(data, []byte("\n"))
	if len(lines) < 2 {
		return state{}, trace.BadParameter("the journal of %s has no complete line", path)
	}
	s := newState()
	// What follows the last end of a line was being written.
	return s, trace.Wrap(json.Unmarshal(lines[len(lines)-2], &s))
}

// adopt returns the state of a folder that was not recorded before.
func (j *journal) adopt() (state, error) {
	s := newState()
	entries, err := os.ReadDir(j.path)
	if err != nil {
		return s, trace.Wrap(err)
	}
	for _, e := range entries {
		if !e.Type().IsRegular() || e.Name() == lockName {
			continue
		}
		info, err := e.Info()
		if err != nil {
			return s, trace.Wrap(err)
		}
		id := s.create(e.Name())
		s.Files[id].Synced, s.Durable[e.Name()] = info.Size(), id
		if err := j.link(e.Name(), id); err != nil {
			return s, err
		}
	}
	s.Changes = nil
	return s, nil
}

// write appends the state to the journal.
func (j *journal) write() error {
	if j.size > journalSize {
		return j.rewrite()
	}
	line, err := j.line()
	if err != nil {
		return err
	}
	n, err := j.file.Write(line)
	j.size += n
	return trace.Wrap(err)
}

func (j *journal) line() ([]byte, error) {
	line, err := json.Marshal(j.state)
	return append(line, '\n'), trace.Wrap(err)
}

// rewrite replaces the journal by one with the current state only.
func (j *journal) rewrite() error {
	line, err := j.line()
	if err != nil {
		return err
	}
	path := j.recordPath(journalName)
	if err := os.WriteFile(path+".new", line, fileMode); err != nil {
		return trace.Wrap(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return trace.Wrap(err)
	}
	if j.file != nil {
		_ = j.file.Close() // replaced
	}
	j.size = len(line)
	j.file, err = os.OpenFile(path, os.O_APPEND|os.O_WRONLY, fileMode)
	return trace.Wrap(err)
}

// reconcile makes the change that was recorded last, if the process was killed before it.
func (j *journal) reconcile() error {
	for id, c := range j.state.Files {
		info, err := os.Stat(j.contentPath(id))
		if errors.Is(err, fs.ErrNotExist) {
			err = os.WriteFile(j.contentPath(id), nil, fileMode)
			info, _ = os.Stat(j.contentPath(id))
		}
		if err != nil || info == nil {
			return trace.Wrap(err)
		}
		c.clip(info.Size())
	}
	return j.restoreNames(j.state.Names)
}

// clip accounts for a write that was not made, or only in part.
func (c *content) clip(size int64) {
	if size >= c.size() {
		return
	}
	c.Synced = min(c.Synced, size)
	for i, end := range c.Ends {
		c.Ends[i] = min(end, size)
	}
}

// restoreNames gives the files exactly these names.
func (j *journal) restoreNames(names map[string]uint64) error {
	entries, err := os.ReadDir(j.path)
	if err != nil {
		return trace.Wrap(err)
	}
	for _, e := range entries {
		if _, ok := names[e.Name()]; ok || !e.Type().IsRegular() || e.Name() == lockName {
			continue
		}
		if err := os.Remove(j.realPath(e.Name())); err != nil {
			return trace.Wrap(err)
		}
	}
	for name, id := range names {
		if isSame(j.realPath(name), j.contentPath(id)) {
			continue
		}
		if err := os.Remove(j.realPath(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return trace.Wrap(err)
		}
		if err := os.Link(j.contentPath(id), j.realPath(name)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func isSame(a, b string) bool {
	infoA, errA := os.Stat(a)
	infoB, errB := os.Stat(b)
	return errA == nil && errB == nil && os.SameFile(infoA, infoB)
}

// removeUnused removes the content of files that can't come back.
func (j *journal) removeUnused() error {
	used := j.state.used()
	for id := range j.state.Files {
		if used[id] {
			continue
		}
		delete(j.state.Files, id)
		for _, path := range []string{j.contentPath(id), j.truncatedPath(id)} {
			if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// saveSynced keeps the synced content of a file before a truncation.
func (j *journal) saveSynced(id uint64, size int64) error {
	data, err := os.ReadFile(j.contentPath(id))
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.WriteFile(j.truncatedPath(id), data[:min(size, int64(len(data)))], fileMode))
}

func (j *journal) link(name string, id uint64) error {
	// One is there if an earlier creation has failed after it.
	if err := os.Remove(j.contentPath(id)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return trace.Wrap(err)
	}
	return trace.Wrap(os.Link(j.realPath(name), j.contentPath(id)))
}

func (j *journal) realPath(name string) string   { return filepath.Join(j.path, name) }
func (j *journal) recordPath(name string) string { return filepath.Join(j.path, recordFolder, name) }

func (j *journal) contentPath(id uint64) string { return j.recordPath(fmt.Sprintf("content-%d", id)) }

func (j *journal) truncatedPath(id uint64) string {
	return j.recordPath(fmt.Sprintf("truncated-%d", id))
}
