// Package soak runs real gateway processes on one machine and checks the product's
// guarantees during the run, as observed by callers, operators and endpoints. A run
// either injects faults from outside or does only planned work. The seed determines
// the schedule; the effects also depend on the timing of the machine.
package soak
