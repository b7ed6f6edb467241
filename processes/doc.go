// Package processes tests the fleet's guarantees with real processes: daemons and
// emulated engines that are killed, frozen and disconnected during requests.
package processes
