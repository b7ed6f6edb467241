package revision

// Bounds of a History.
const (
	MaxDeltas     = 4096
	MaxDeltaBytes = 4 << 20
)

// Delta is the patch that leads from the version before it to Version.
type Delta struct {
	Version Version `json:"version"`
	Patch   []byte  `json:"patch"`
}

// History is the latest deltas, oldest first, bounded in number and bytes.
type History struct {
	Base   Version `json:"base"` // version to which the first delta applies
	Deltas []Delta `json:"deltas"`
	Bytes  int     `json:"bytes"`
}

// Reset forgets every delta: the document is now at base.
func (h *History) Reset(base Version) { *h = History{Base: base} }

// Append adds a delta that applies to the latest version.
func (h *History) Append(d Delta) {
	h.Deltas = append(h.Deltas, d)
	h.Bytes += len(d.Patch)
	for len(h.Deltas) > MaxDeltas || h.Bytes > MaxDeltaBytes {
		h.Base = h.Deltas[0].Version
		h.Bytes -= len(h.Deltas[0].Patch)
		h.Deltas = h.Deltas[1:]
	}
}

// After returns the deltas that follow version have and their bytes. It reports
// false when have is not a version of this history. The deltas are shared with
// the history and must not be changed.
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
