// Package coord is a library of coordination parts for distributed daemons.
//
// Each part is a package of its own whose deciding code takes time, randomness
// and messages as arguments and does no input or output.
package coord
