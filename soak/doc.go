// Package soak runs the gateway's real processes on one machine, hurts them from
// outside and checks the product's promises while it runs, from what callers,
// operators and endpoints see. A run is made by a seed: what happens when is the
// same, what the machine makes of it is not.
package soak
