package work

import "time"

// LongPrefillThreshold is the prefill time from which an endpoint treats an attempt
// as long: it is prefilled in chunks, with limited concurrency and after short
// attempts. Entries use the same threshold for placement.
const LongPrefillThreshold = time.Second
