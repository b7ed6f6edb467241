package document_test

import (
	"bytes"
	"testing"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// FuzzRegister guards against a command or a snapshot that ends a member, brings an older document into
// force, or differs after it was written again.
func FuzzRegister(f *testing.F) {
	r := document.New()
	for number, body := range []string{"", "x", `{"a":1}`} {
		command, err := document.EncodePut(document.Document{Number: uint64(number), Body: []byte(body)})
		if err != nil {
			f.Fatal(err)
		}
		r.Apply(1, command)
		snapshot, err := r.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(snapshot, command)
	}
	f.Add([]byte(`{"number":18446744073709551615}`), []byte(`{"number":18446744073709551615,"body":"eA=="}`))
	f.Fuzz(func(t *testing.T, snapshot, command []byte) {
		r, again := document.New(), document.New()
		if r.Restore(snapshot) != nil {
			return
		}
		before := r.Current()
		answer, err := document.DecodeAnswer(r.Apply(1, command))
		after := r.Current()
		if err != nil || answer.Number != after.Number {
			t.Errorf("answer %+v, document %d: %v", answer, after.Number, err)
		}
		if after.Number < before.Number || (answer.Verdict != document.Accepted && !bytes.Equal(after.Body, before.Body)) {
			t.Errorf("%s: document %d after %d", answer.Verdict, after.Number, before.Number)
		}
		if number, ok := document.PutNumber(command); ok && answer.Verdict == document.Accepted && number != after.Number {
			// A member decides by the number alone whether to pass the command on. Only what EncodePut makes counts.
			if encoded, err := document.EncodePut(after); err == nil && bytes.Equal(encoded, command) {
				t.Errorf("put of document %d is taken for one of %d", after.Number, number)
			}
		}
		saved, err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := again.Restore(saved); err != nil {
			t.Fatal(err)
		}
		if twice, err := again.Snapshot(); err != nil || !bytes.Equal(twice, saved) {
			t.Errorf("%s became %s: %v", saved, twice, err)
		}
	})
}
