package powerloss

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"slices"

	"github.com/gravitational/trace"
)

// Fate decides what a loss of power leaves of what is not synced.
type Fate struct {
	Write      func(size int64) (from, to int64) // the part of a write that survives
	Name       func() bool                       // whether a created, renamed or removed name is kept
	Truncation func() bool                       // whether a truncation is kept
}

// RandomFate returns one that loses all later changes in a third of the cases, and else decides
// for each of them whether it is present, missing or, for a write, torn.
func RandomFate(random *rand.Rand) Fate {
	if random.IntN(3) == 0 {
		lost := func() bool { return false }
		return Fate{Write: func(int64) (int64, int64) { return 0, 0 }, Name: lost, Truncation: lost}
	}
	either := func() bool { return random.IntN(2) == 0 }
	return Fate{Name: either, Truncation: either, Write: func(size int64) (from, to int64) {
		switch random.IntN(3) {
		case 0:
			return 0, size
		case 1:
			return 0, 0
		}
		from = random.Int64N(size + 1)
		return from, from + random.Int64N(size-from+1)
	}}
}

// Apply loses power for a folder whose process has been killed, and tells what was not synced. A
// folder without a record stays as it is.
func Apply(path string, fate Fate) (report string, err error) {
	s, err := readState(path)
	if errors.Is(err, fs.ErrNotExist) {
		return "not recorded", nil
	}
	if err != nil {
		return "", err
	}
	j := &journal{path: path, state: s}
	if err := j.reconcile(); err != nil {
		return "", err
	}
	names := s.namesAfter(fate.Name)
	after := newState()
	after.Last, after.Names, after.Durable = s.Last, names, maps.Clone(names)
	writes, truncations := 0, 0
	for _, name := range slices.Sorted(maps.Keys(names)) {
		id := names[name]
		if after.Files[id] != nil {
			continue // has two names
		}
		c := s.Files[id]
		writes += len(c.Ends)
		if c.Truncated != nil {
			truncations++
		}
		data, err := j.survivingData(id, fate)
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(j.contentPath(id), data, fileMode); err != nil {
			return "", trace.Wrap(err)
		}
		after.Files[id] = &content{Synced: int64(len(data))}
	}
	if err := j.restoreNames(names); err != nil {
		return "", err
	}
	report = fmt.Sprintf("%d writes, %d truncations and %d names were not synced", writes, truncations, len(s.Changes))
	j.state = after
	if err := j.rewrite(); err != nil {
		return "", err
	}
	return report, trace.Wrap(j.file.Close())
}

// survivingData returns the content of a file after a loss of power.
func (j *journal) survivingData(id uint64, fate Fate) ([]byte, error) {
	c := j.state.Files[id]
	written, err := os.ReadFile(j.contentPath(id))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	data := slices.Clone(written[:c.Synced])
	if c.Truncated != nil && !fate.Truncation() {
		if data, err = os.ReadFile(j.truncatedPath(id)); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	start := c.Synced
	for _, end := range c.Ends {
		if from, to := fate.Write(end - start); from < to {
			data = append(data, make([]byte, max(0, start+to-int64(len(data))))...)
			copy(data[start+from:], written[start+from:start+to])
		}
		start = end
	}
	return data, nil
}
