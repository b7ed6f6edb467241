package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// FuzzParse guards against a configuration that ends the process that reads it, is refused without a name of
// what is wrong, or is refused by the daemons though its operator's machine took it.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallConfiguration))
	f.Add([]byte(strings.Replace(smallConfiguration, "endpoints = 3", "endpoints = -9223372036854775808", 1)))
	f.Add([]byte(strings.Replace(smallConfiguration, "share = 2", "share = nan", 1)))
	f.Add([]byte("[limits]\nmax_body = 9223372036854775807\nshort_deadline = \"-1s\"\n"))
	f.Add([]byte("a = " + strings.Repeat("[", 500)))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := fleet.Parse("f.toml", data)
		if err != nil {
			if err.Error() == "" {
				t.Error("an error without a text")
			}
			return
		}
		text, err := json.Marshal(c)
		if err != nil {
			t.Fatalf("%+v can't be sent: %v", c, err)
		}
		var sent fleet.Configuration
		if err := json.Unmarshal(text, &sent); err != nil {
			t.Fatal(err)
		}
		if err := sent.Validate(); err != nil {
			t.Errorf("%s is refused where it arrives: %v", text, err)
		}
	})
}
