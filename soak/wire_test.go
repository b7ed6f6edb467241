package soak

import "github.com/jacinthplank/jacinthplank/platform"

// wire is the platform's names, as package platform has them.
var wire = platform.Names()
