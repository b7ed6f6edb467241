package revision

// Limits of a History.
const (
	MaxDeltas     = 4096
	MaxDeltaBytes = 4 << 20
)

// Delta is the patch from the preceding version to Version.
type Delta struct {
	Version Version `json:"version"`
	Patch   []byte  `json:"patch"`
}

// History holds the latest deltas, oldest first, limited in number and in bytes.
type History struct {
	Base   Version `json:"base"` // version to which the first delta applies
	Deltas []Delta `json:"deltas"`
	Bytes  int     `json:"bytes"`
}

// Reset discards all deltas and sets the base version.
func (h *History) Reset(base Version) { *h = History{Base: base} }

// Append adds a delta that applies to the latest version and drops the oldest
// deltas beyond the limits.
func (h *History) Append(d Delta) {
	h.Deltas = append(h.Deltas, d)
	h.Bytes += len(d.Patch)
	for len(h.Deltas) > MaxDeltas || h.Bytes > MaxDeltaBytes {
		h.Base = h.Deltas[0].Version
		h.Bytes -= len(h.Deltas[0].Patch)
		h.Deltas = h.Deltas[1:]
	}
}

// After returns the deltas after version have and the total size of their patches
// in bytes. It reports false if have is not in the history. The deltas are shared
// with the history and must not be modified.
func (h *History) After(have Version) (deltas []Delta, bytes int, ok bool) {
	if have == h.Base {
		return h.Deltas, h.Bytes, true
	}
	for i := len(h.Deltas) - 1; i >= 0; i-- {
		if h.Deltas[i].Version == have {
			return h.Deltas[i+1:], bytes, true
		}
		bytes += len(h.Deltas[i].Patch)
	}
	return nil, 0, false
}
