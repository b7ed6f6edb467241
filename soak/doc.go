// Package soak runs real gateway processes on one machine, injects faults from
// outside and checks the product's guarantees during the run, as observed by
// callers, operators and endpoints. The seed of a run determines its schedule of
// faults; the effects also depend on the timing of the machine.
package soak
