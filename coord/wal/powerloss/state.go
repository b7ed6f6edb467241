package powerloss

import (
	"maps"
	"slices"
)

// state is what is synced and what is not, of a folder.
type state struct {
	Last    uint64 // id of the last file created
	Files   map[uint64]*content
	Names   map[string]uint64 // ids of the files as they are
	Durable map[string]uint64 // as the last sync of the folder, or of a new file, left them
	Changes []nameChange      // of names, that are not durable
}

// content tells which part of a file is synced.
type content struct {
	Synced    int64   // size that survives
	Ends      []int64 // of the writes since the last sync, as offsets in the file
	Truncated *int64  // synced size before a truncation that has not been synced
}

// nameChange is a file that was created, renamed or removed.
type nameChange struct {
	From, To string // empty if there is none
	ID       uint64
}

func newState() state {
	return state{Files: map[uint64]*content{}, Names: map[string]uint64{}, Durable: map[string]uint64{}}
}

func (s *state) clone() state {
	out := state{Last: s.Last, Files: map[uint64]*content{}, Names: maps.Clone(s.Names), Durable: maps.Clone(s.Durable), Changes: slices.Clone(s.Changes)}
	for id, c := range s.Files {
		out.Files[id] = &content{Synced: c.Synced, Ends: slices.Clone(c.Ends), Truncated: c.Truncated}
	}
	return out
}

func (s *state) create(name string) (id uint64) {
	s.Last++
	s.Files[s.Last] = &content{}
	s.Names[name] = s.Last
	s.Changes = append(s.Changes, nameChange{To: name, ID: s.Last})
	return s.Last
}

func (s *state) rename(from, to string) {
	id, ok := s.Names[from]
	if !ok {
		return // the rename fails
	}
	delete(s.Names, from)
	s.Names[to] = id
	s.Changes = append(s.Changes, nameChange{From: from, To: to, ID: id})
}

func (s *state) remove(name string) {
	if _, ok := s.Names[name]; !ok {
		return // the removal fails
	}
	delete(s.Names, name)
	s.Changes = append(s.Changes, nameChange{From: name})
}

func (c *content) size() int64 {
	if len(c.Ends) > 0 {
		return c.Ends[len(c.Ends)-1]
	}
	return c.Synced
}

func (c *content) truncate(size int64, cutsSynced bool) {
	if cutsSynced {
		synced := c.Synced
		c.Truncated = &synced
	}
	c.Synced = min(c.Synced, size)
	c.Ends = slices.DeleteFunc(c.Ends, func(end int64) bool { return end > size })
	if c.size() < size {
		c.Ends = append(c.Ends, size) // a write of which the start is left
	}
}

// syncFile records that a file was synced when it had the size, and its name, if it is new.
func (s *state) syncFile(id uint64, size int64) {
	c := s.Files[id]
	c.Synced, c.Truncated = min(size, c.size()), nil
	c.Ends = slices.DeleteFunc(c.Ends, func(end int64) bool { return end <= c.Synced })
	created := slices.IndexFunc(s.Changes, func(n nameChange) bool { return n.From == "" && n.ID == id })
	if created < 0 {
		return
	}
	name := s.Changes[created].To
	s.Durable[name] = id
	// Earlier changes of that name are overwritten.
	var changes []nameChange
	for i, n := range s.Changes {
		if i <= created && n.From == name {
			n.From = ""
		}
		if i <= created && n.To == name {
			n.To = ""
		}
		if n.From != "" || n.To != "" {
			changes = append(changes, n)
		}
	}
	s.Changes = changes
}

// namesAfter returns the names after a loss of power.
func (s *state) namesAfter(keep func() bool) map[string]uint64 {
	names := maps.Clone(s.Durable)
	for _, c := range s.Changes {
		if !keep() {
			continue
		}
		delete(names, c.From)
		if c.To != "" {
			names[c.To] = c.ID
		}
	}
	return names
}

// used returns the ids of the files that have a name or may get one back.
func (s *state) used() map[uint64]bool {
	out := map[uint64]bool{}
	for _, names := range []map[string]uint64{s.Names, s.Durable} {
		for _, id := range names {
			out[id] = true
		}
	}
	for _, c := range s.Changes {
		out[c.ID] = true
	}
	return out
}
