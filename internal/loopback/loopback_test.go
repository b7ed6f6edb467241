package loopback

import (
	"net"
	"strconv"
	"testing"
)

// TestFreeAddressAvoidsEphemeralPorts guards against a port being assigned to an
// outgoing connection before a test's daemon listens on it. This happened under load
// in processes.TestRestartedDaemonCatchesUpHundredsOfChanges.
func TestFreeAddressAvoidsEphemeralPorts(t *testing.T) {
	for range 200 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if port, err := strconv.Atoi(text); err != nil || port < firstPort || port >= 32_768 {
			t.Fatalf("port %s is outside the allocation range", text)
		}
	}
}

// TestFreeAddressReturnsDistinctPorts guards against allocating one port to the tests
// of two packages that run at the same time. This happened under load in
// processes.TestUnderprovisionedModelLoadsOnSpareEndpoint.
func TestFreeAddressReturnsDistinctPorts(t *testing.T) {
	seen := map[string]bool{}
	for range 1500 {
		address, err := FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s was allocated twice", address)
		}
		seen[address] = true
	}
}
