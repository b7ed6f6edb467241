// Package quorum is an embeddable replicated log: a few members agree on one
// order of commands, apply them to a Machine each, and lose nothing that was
// acknowledged while a majority of the voters' disks remains.
//
// Core is the deciding part: a state machine without I/O, clock or goroutines.
// Node runs a Core with a disk, a Transport and a Machine.
//
// # Units
//
// Indexes count entries of the log from 1. Terms count elections from 1. The
// Core counts time in ticks; Options.Tick is the length of one.
//
// # Errors
//
// Propose returns nil only after the command is on the synced disks of a
// majority of the voters and was applied here. IsNotRun(err) promises that the
// command is in no log and never will be. Every other error, ErrUnknown above
// all, leaves open whether the command will be applied.
//
// # Disk identity
//
// A member is a name and the identity of its disk, which is made when the
// folder is first used. An instance that returns with another or an empty
// folder is another member: it joins as a learner, and votes only after it was
// caught up, has synced and was promoted.
package quorum
