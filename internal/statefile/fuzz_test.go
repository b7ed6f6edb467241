package statefile

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// FuzzRead guards against a file that takes more memory than its reader allows, or whose refusal doesn't
// name it.
func FuzzRead(f *testing.F) {
	f.Add([]byte("state"), uint16(5))
	f.Add([]byte("state"), uint16(4))
	f.Add([]byte{}, uint16(0))
	folder := f.TempDir()
	f.Fuzz(func(t *testing.T, content []byte, maxBytes uint16) {
		if err := os.WriteFile(filepath.Join(folder, "s"), content, fileMode); err != nil {
			t.Fatal(err)
		}
		data, err := Read(folder, "s", int64(maxBytes))
		switch fits := len(content) <= int(maxBytes); {
		case fits != (err == nil):
			t.Errorf("%d bytes of at most %d: %v", len(content), maxBytes, err)
		case fits && !bytes.Equal(data, content):
			t.Errorf("%q became %q", content, data)
		case !fits && (data != nil || !strings.Contains(err.Error(), "s has")):
			t.Errorf("%d bytes: %v", len(data), err)
		}
	})
}
