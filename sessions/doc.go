// Package sessions holds golden files of whole sessions: what callers and
// operators send to a small fleet in order, and every answer in full. The fleet
// is made of real daemons joined over loopback and emulated engines.
//
// A session is a TOML file in testdata; its transcript stands beside it with
// the ending ".golden". Run the tests with -update to write transcripts anew.
package sessions
