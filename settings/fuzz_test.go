package settings_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"github.com/jacinthplank/jacinthplank/settings"
)

// FuzzParse guards against a settings file that ends the process, or is taken with addresses or ports that
// nothing can be done with.
func FuzzParse(f *testing.F) {
	f.Add([]byte(entrySettings))
	f.Add([]byte(strings.Replace(entrySettings, "127.0.0.1:7500", "127.0.0.1:75000", 1)))
	f.Add([]byte(strings.Replace(entrySettings, "127.0.0.1:8080", "127.0.0.1:-1", 1)))
	f.Add([]byte(strings.Replace(entrySettings, `"data"`, `""`, 1)))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := settings.Parse("d.toml", data)
		if err != nil {
			if err.Error() == "" {
				t.Error("an error without a text")
			}
			return
		}
		if err := d.Validate(); err != nil {
			t.Errorf("taken and refused: %v", err)
		}
		if _, err := netip.ParseAddrPort(d.Instance.Listen); err != nil {
			t.Errorf("instance.listen %q: %v", d.Instance.Listen, err)
		}
		for _, seed := range d.Instance.Seeds {
			if _, _, err := net.SplitHostPort(seed); err != nil {
				t.Errorf("seed %q: %v", seed, err)
			}
			if a, err := netip.ParseAddrPort(seed); err == nil && a.Port() == 0 {
				t.Errorf("seed %q", seed)
			}
		}
	})
}
