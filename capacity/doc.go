// Package capacity measures the slopes behind docs/CAPACITY.md: what one daemon
// spends on control as the fleet grows. Its benchmarks run whole daemons in one
// process, joined over loopback; capacity.sh at the root runs them all.
package capacity
