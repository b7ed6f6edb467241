// Package processes proves the promises with real processes: daemons and
// emulated engines that are killed, frozen and cut off while callers wait.
package processes
