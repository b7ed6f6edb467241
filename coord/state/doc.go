// Package state is the replicated state of a control quorum: the accepted
// configuration, once-records, fencing numbers and leased budgets. Machine
// implements the Machine of package quorum.
//
// # Time
//
// The machine has a clock of its own, in microseconds. It advances only by the
// time that the proposer puts into a command, and never goes back. The proposer
// adds its monotonic clock to the machine's (see Machine.Stamp), so that a wrong wall
// clock of any instance makes no record expire early. While there is no leader
// the clock stands still, which only makes leases and records last longer.
//
// # Encoding
//
// Commands, results, queries and snapshots are JSON.
package state
