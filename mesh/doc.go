// Package mesh connects the entries of a fleet. Entries discover each other from
// a few seeds, share endpoint announcements, keep the routing table in a log that
// is replicated on the entries with a disk, and distribute each committed version
// to all entries.
package mesh
