// Package quorum is an embeddable replicated log based on Raft: a small group of
// members agrees on one order of commands, and each member applies them to its
// StateMachine. No acknowledged command is lost as long as a majority of the
// voters' disks survives.
//
// Core implements the consensus algorithm without I/O, clock or goroutines.
// Node runs a Core with a disk, a Transport and a StateMachine.
//
// # Units
//
// Log indexes and election terms start at 1. The Core measures time in ticks of
// length Options.Tick.
//
// # Errors
//
// Propose returns a nil error only after the command is synced to disk on a
// majority of the voters and applied locally. IsNotAppended(err) guarantees that
// the command is not in any log and never will be. After any other error, such as
// ErrUnknown, the command may or may not be applied.
//
// # Disk identity
//
// A member is identified by its name and the identity of its disk, which is
// generated when the data folder is first used. An instance that restarts with a
// different or empty folder is a new member: it joins as a learner, and votes only
// after it has caught up, synced its log and been promoted.
package quorum
