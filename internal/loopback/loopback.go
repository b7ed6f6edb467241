// Package loopback allocates loopback addresses for tests that start servers.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// Ports are taken from below the ephemeral range (32768 to 60999 on Linux). A port
// in that range may be assigned to an outgoing connection of any process between
// the check that it is free and the listen call of the test.
const (
	firstPort   = 20_000
	portCount   = 12_000
	maxAttempts = 200
)

// lockDir has one file for each allocated port, locked by the process that owns the
// port, because the tests of several packages allocate ports concurrently.
const (
	lockDir  = "jacinthplank-ports"
	dirMode  = 0o777
	fileMode = 0o666
)

var (
	mu        sync.Mutex
	lockFiles []*os.File // keeps the locks until the process exits
)

// FreeAddress returns a loopback IP:port that has no listener and that no other
// process is allocated while this one runs.
func FreeAddress() (string, error) {
	dir := filepath.Join(os.TempDir(), lockDir)
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return "", err
	}
	for range maxAttempts {
		port := firstPort + rand.IntN(portCount)
		if !tryLock(filepath.Join(dir, strconv.Itoa(port))) {
			continue // already allocated
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use by another program
		}
		return address, listener.Close()
	}
	return "", errors.New("no free port on the loopback")
}

// tryLock locks the file of a port and reports whether it succeeded. It fails when
// the port is already allocated.
func tryLock(path string) bool {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return false
	}
	if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		_ = f.Close() // nothing was written
		return false
	}
	mu.Lock()
	defer mu.Unlock()
	lockFiles = append(lockFiles, f)
	return true
}
