package work

import "time"

// LongTime is the time of prefill from which on an endpoint treats an attempt
// as long work: sent in chunks, beside few others of its kind, behind short
// work. Entries place by the same line.
const LongTime = time.Second
