package operator

import (
	"bytes"
	"crypto/rand"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// recordSuffix is appended to the name of the answers file to name the record.
const recordSuffix = ".accepted"

// record is stored beside the answers by accept. It holds the last change sent, so that
// a resend returns the result of the first proposal, and the revision that the answers
// are based on.
type record struct {
	Identifier string `toml:"identifier"` // of the last change sent
	Author     string `toml:"author"`
	Epoch      uint64 `toml:"epoch"`
	Base       string `toml:"base"`     // revision that the change is based on
	Digest     string `toml:"digest"`   // SHA-256 of the configuration sent
	Revision   string `toml:"revision"` // revision it was accepted as; empty if unknown
}

func newIdentifier() string { return rand.Text() }

// pending reports whether the change was sent and its result is unknown.
func (r record) pending() bool { return r.Identifier != "" && r.Revision == "" }

func readRecord(answers string) (record, error) {
	var r record
	path := answers + recordSuffix
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return r, nil
	}
	if err != nil {
		return r, trace.ConvertSystemError(err)
	}
	return r, tomlcheck.Decode(path, data, &r).Err()
}

// write replaces the record atomically and syncs it, before the change is sent.
func (r record) write(answers string) error {
	var text bytes.Buffer
	text.WriteString("# Kept by `jacinthplank accept`: the change sent last and the revision that the answers follow.\n")
	if err := toml.NewEncoder(&text).Encode(r); err != nil {
		return trace.Wrap(err)
	}
	path := answers + recordSuffix
	if err := writeSynced(path+".new", text.Bytes()); err != nil {
		return err
	}
	return trace.ConvertSystemError(os.Rename(path+".new", path))
}

func writeSynced(path string, text []byte) error {
	file, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if _, err := file.Write(text); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(file.Sync())
}

// parseRevision parses EPOCH.REVISION. An empty text is 0.0, the version before the
// first revision.
func parseRevision(text string) (revision.Version, error) {
	if text == "" {
		return revision.Version{}, nil
	}
	epoch, number, _ := strings.Cut(text, ".")
	e, err := strconv.ParseUint(epoch, 10, 64)
	if err != nil {
		return revision.Version{}, fmt.Errorf("invalid revision %q; expected EPOCH.REVISION, such as 1.4", text)
	}
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return revision.Version{}, fmt.Errorf("invalid revision %q; expected EPOCH.REVISION, such as 1.4", text)
	}
	return revision.Version{Epoch: e, Revision: n}, nil
}
