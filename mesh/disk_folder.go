//go:build !powerloss

package mesh

import "github.com/jacinthplank/jacinthplank/coord/wal"

// openDiskFolder opens the folder of an entry's disk.
var openDiskFolder = wal.OpenFolder
