// Package capacity measures the growth rates in docs/CAPACITY.md: the control-plane
// cost of one daemon by fleet size. Its benchmarks run complete daemons in one
// process, connected over loopback; capacity.sh in the root directory runs them all.
package capacity
