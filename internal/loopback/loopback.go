// Package loopback finds addresses for tests that start processes on them.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below the system's ephemeral range (32768 to 60999 on Linux): one in that
// range may be taken for an outgoing connection of any process between the moment
// it was found free and the one it is listened on.
const (
	firstPort = 20_000
	ports     = 12_000
	tries     = 200
)

// Free returns an IP:port of the loopback that nobody listens on.
func Free() (string, error) {
	for range tries {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // taken
		}
		return address, l.Close()
	}
	return "", errors.New("no free port on the loopback")
}
