package recovery

import (
	"errors"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// refusalsBeforeDiscard is how many starts in a row must refuse a disk before it may be
// emptied, so that one faulty read costs no disk.
const refusalsBeforeDiscard = 2

// Refusals counts the starts of a member in a row that refused its disk as damaged.
type Refusals struct{ count int }

// Observe records the result of a start and reports whether it refused the disk.
func (r *Refusals) Observe(err error) bool {
	var corrupt *wal.CorruptError
	if !errors.As(err, &corrupt) {
		r.count = 0
		return false
	}
	r.count++
	return true
}

// MayDiscard reports whether the disk may be emptied, as soon as the leader has confirmed
// that it is expendable.
func (r *Refusals) MayDiscard() bool { return r.count >= refusalsBeforeDiscard }
