package loopback

import (
	"net"
	"strconv"
	"testing"
)

// TestNoPortOfTheEphemeralRange: such a port was taken by an outgoing connection
// before a test's daemon could listen on it (processes
// TestADaemonReturnsHundredsOfChangesBehind, beside load).
func TestNoPortOfTheEphemeralRange(t *testing.T) {
	for range 200 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if port, err := strconv.Atoi(text); err != nil || port < firstPort || port >= 32_768 {
			t.Fatalf("port %s", text)
		}
	}
}

// TestAPortIsGivenOnce: two packages whose tests ran at the same time were given the
// same port (processes TestAModelShortOfEndpointsIsLoadedOnAnother, beside load).
func TestAPortIsGivenOnce(t *testing.T) {
	seen := map[string]bool{}
	for range 1500 {
		address, err := Free()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was given twice", address)
		}
		seen[address] = true
	}
}
