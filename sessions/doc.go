// Package sessions holds golden files of whole sessions: the ordered requests of
// callers and operators to a small fleet, and every response in full. The fleet
// consists of real daemons connected over loopback and emulated engines.
//
// A session is a TOML file in testdata; its transcript is the file of the same
// name with the extension ".golden". Run the tests with -update to rewrite the
// transcripts.
package sessions
