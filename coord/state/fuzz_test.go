package state_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/jacinthplank/jacinthplank/coord/state"
)

// fuzzCommands are commands of all kinds.
var fuzzCommands = []string{
	`{"now":1,"accept":{"id":"i","document":{"a":[{"name":"x"}]}}}`,
	`{"now":2,"claim":{"key":{"account":"a","service":"s","key":"k"},"request":"r","remaining":1000000}}`,
	`{"now":3,"record":{"key":{"account":"a","service":"s","key":"k"},"request":"r","state":"done"}}`,
	`{"now":4,"fence":{"target":"t"}}`,
	`{"now":5,"lease":{"requests":[{"budget":"b","holder":"h","want":2,"limit":4,"time":1000000000}]}}`,
	`{"now":6,"draw":{"draws":[{"stream":"s","want":2,"rate":4,"burst":8}]}}`,
}

// FuzzRestore guards against a snapshot, from a disk or the leader, that ends the member that restores it or
// that applies commands afterwards, and against one that differs after it was written again.
func FuzzRestore(f *testing.F) {
	m := newMachine()
	for i, command := range fuzzCommands {
		m.Apply(uint64(i+1), []byte(command))
		f.Add(must(m.Snapshot()))
	}
	f.Add([]byte(`{"once":{"records":[{"key":{"key":"k"},"state":"running","retention":-9223372036854775808,"due":-9223372036854775808}]}}`))
	f.Add([]byte(`{"budgets":{"budgets":{"b":null}}}`))
	f.Add([]byte(`{"budgets":{"streams":{"s":null}}}`))
	f.Add([]byte(`{"fences":{"last":null},"register":{"document":7,"history":{}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMachine()
		if m.Restore(data) != nil {
			return
		}
		saved := must(m.Snapshot())
		again := newMachine()
		if err := again.Restore(saved); err != nil {
			t.Fatalf("snapshot %s: %v", saved, err)
		}
		if twice := must(again.Snapshot()); !bytes.Equal(twice, saved) {
			t.Errorf("%s became %s", saved, twice)
		}
		for i, command := range fuzzCommands {
			answer := m.Apply(uint64(i+1), []byte(command))
			var r state.Result
			if err := json.Unmarshal(answer, &r); err != nil || r.Error != "" {
				t.Errorf("command %s: %s, %v", command, answer, err)
			}
		}
		if _, err := m.Snapshot(); err != nil {
			t.Error(err)
		}
	})
}
