// Package mesh joins the entries of a fleet: they find each other from a few
// seeds, tell each other what endpoints announced, keep the routing table in a
// replicated log on those of them that have a disk, and bring each accepted
// version to all.
package mesh
