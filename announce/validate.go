package announce

import (
	"fmt"
	"net/netip"
	"time"
)

// Limits of what an endpoint may announce. They are far above what a sound one does; what
// exceeds them comes from a faulty writer and must not reach calculations.
const (
	maxTextBytes = 256              // of an id or name
	maxSlots     = 1 << 16          // requests at once
	maxCold      = 24 * time.Hour   // until an endpoint is warm
	maxInteger   = int64(1)<<53 - 1 // the largest that writers of JSON represent exactly
)

// Validate returns an error that names the first field that no sound endpoint announces.
// Of an endpoint that left, only the id and the start time count.
func (e *Endpoint) Validate() error {
	switch {
	case e.ID == "" || len(e.ID) > maxTextBytes:
		return fmt.Errorf("id of %d bytes, allowed are 1 to %d", len(e.ID), maxTextBytes)
	case e.State > Left:
		return fmt.Errorf("unknown state %d", uint8(e.State))
	case e.StartedAtMs < 0 || e.StartedAtMs > maxInteger:
		return fmt.Errorf("start time %d ms out of range", e.StartedAtMs)
	case e.State == Left:
		return nil
	case e.Service == "" || len(e.Service) > maxTextBytes:
		return fmt.Errorf("service of %d bytes, allowed are 1 to %d", len(e.Service), maxTextBytes)
	case len(e.FailureDomain) > maxTextBytes:
		return fmt.Errorf("failure domain of %d bytes, at most %d are allowed", len(e.FailureDomain), maxTextBytes)
	case len(e.Version) > maxTextBytes:
		return fmt.Errorf("version of %d bytes, at most %d are allowed", len(e.Version), maxTextBytes)
	case e.Slots < 0 || e.Slots > maxSlots:
		return fmt.Errorf("%d slots, allowed are 0 to %d", e.Slots, maxSlots)
	case e.Cold > maxCold:
		return fmt.Errorf("cold for %v, at most %v are allowed", e.Cold, maxCold)
	case e.Sequence < 0 || e.Sequence > maxInteger:
		return fmt.Errorf("sequence number %d out of range", e.Sequence)
	}
	return validateAddress(e.Address)
}

func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return fmt.Errorf("address %q can't be connected to", address)
	}
	return nil
}
