package state_test

import (
	"encoding/json"
	"testing"

	"github.com/jacinthplank/jacinthplank/coord/state"
)

// FuzzQuery guards against a query of another process that ends the member, changes its state, or gets an
// answer that can't be read.
func FuzzQuery(f *testing.F) {
	f.Add([]byte(`{"configuration":{"have":{"epoch":1,"revision":18446744073709551615}}}`))
	f.Add([]byte(`{"once":{"account":"a","service":"s","key":"k"}}`))
	f.Add([]byte(`{"fence":{"target":"t"},"once":null}`))
	f.Add([]byte(`{}`))
	m := newMachine()
	for i, command := range fuzzCommands {
		m.Apply(uint64(i+1), []byte(command))
	}
	before := string(must(m.Snapshot()))
	f.Fuzz(func(t *testing.T, query []byte) {
		var a state.Answer
		if err := json.Unmarshal(m.Query(query), &a); err != nil {
			t.Fatal(err)
		}
		if string(must(m.Snapshot())) != before {
			t.Fatal("the query changed the state")
		}
	})
}
