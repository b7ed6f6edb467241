// Package loopback finds addresses for tests that start processes on them.
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

// Ports below the system's ephemeral range (32768 to 60999 on Linux): one in that
// range may be taken for an outgoing connection of any process between the moment
// it was found free and the one it is listened on.
const (
	firstPort = 20_000
	ports     = 12_000
	tries     = 200
)

// lockFolder has a file for each port that was given out, locked by the process
// that was given it: tests of several packages look for ports at the same time.
const (
	lockFolder = "jacinthplank-ports"
	folderMode = 0o777
	fileMode   = 0o666
)

var (
	mu     sync.Mutex
	locked []*os.File // until the process ends
)

// Free returns an IP:port of the loopback that nobody listens on, and that no other
// process is given while this one runs.
func Free() (string, error) {
	folder := filepath.Join(os.TempDir(), lockFolder)
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return "", err
	}
	for range tries {
		port := firstPort + rand.IntN(ports)
		if !lock(filepath.Join(folder, strconv.Itoa(port))) {
			continue // given out
		}
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken by somebody else
		}
		return address, l.Close()
	}
	return "", errors.New("no free port on the loopback")
}

// lock takes the file of a port. It reports false when another has it.
func lock(path string) bool {
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
	locked = append(locked, f)
	return true
}
