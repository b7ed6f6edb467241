// Package state implements the replicated state machine of a control quorum: the
// accepted configuration, the records of at-most-once calls, fencing tokens and
// leased budgets. Machine implements the Machine interface of package quorum.
//
// # Time
//
// The machine has its own clock, in microseconds. Only the timestamps that
// proposers put into commands advance it, and it never goes back. A proposer adds
// the time elapsed on its monotonic clock to the machine's time (see
// Machine.Stamp), so a wrong wall clock on an instance cannot make a record
// expire early. While there is no leader the clock stands still, which only makes
// leases and records last longer.
//
// # Encoding
//
// Commands, results, queries and snapshots are JSON.
package state
