package soak

import "github.com/jacinthplank/jacinthplank/platform"

// wire holds the names of headers, paths and settings that package platform defines.
var wire = platform.Names()
