// Package coord contains coordination libraries for distributed daemons.
//
// Each library is a separate package. Its decision logic takes time, randomness
// and messages as arguments and performs no I/O.
package coord
