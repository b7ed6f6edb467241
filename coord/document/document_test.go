package document

import (
	"encoding/json"
	"testing"
)

func put(t *testing.T, r *Register, number uint64, body string) Answer {
	t.Helper()
	command, err := EncodePut(Document{Number: number, Body: []byte(body)})
	if err != nil {
		t.Fatal(err)
	}
	a, err := DecodeAnswer(r.Apply(0, command))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestTheHighestNumberWins(t *testing.T) {
	steps := []struct {
		number  uint64
		body    string
		verdict Verdict
		inForce uint64
	}{
		{3, "a", Accepted, 3},
		{3, "a", Same, 3},
		{3, "b", Conflict, 3},
		{2, "c", Older, 3},
		{9, "d", Accepted, 9},
		{3, "a", Older, 9},
		{9, "d", Same, 9},
	}
	r := New()
	for i, s := range steps {
		if a := put(t, r, s.number, s.body); a.Verdict != s.verdict || a.Number != s.inForce {
			t.Errorf("step %d: got %+v, want %s with %d in force", i, a, s.verdict, s.inForce)
		}
	}
	if got := string(r.Current().Body); got != "d" {
		t.Errorf("body %q", got)
	}
}

func TestASnapshotBringsTheDocumentBack(t *testing.T) {
	r := New()
	put(t, r, 5, "x")
	data, err := r.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := New()
	if err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	if d := other.Current(); d.Number != 5 || string(d.Body) != "x" {
		t.Errorf("restored %+v", d)
	}
	select {
	case <-other.Changed():
	default:
		t.Error("a restored document is not told")
	}
}

func TestACommandThatCantBeReadChangesNothing(t *testing.T) {
	r := New()
	put(t, r, 1, "x")
	if a, err := DecodeAnswer(r.Apply(0, []byte("{"))); err != nil || a.Verdict != Conflict {
		t.Errorf("answer %+v, %v", a, err)
	}
	if err := r.Restore([]byte("[")); err == nil {
		t.Error("a broken snapshot is taken")
	}
	if !json.Valid([]byte(`{}`)) || r.Current().Number != 1 {
		t.Error("the document changed")
	}
}
