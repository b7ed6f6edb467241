package mesh

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/delta"
)

// fuzzMesh returns an entry that has just started, so that it calls no address that a message names.
func fuzzMesh() *Mesh {
	m := idleMesh("self", nil)
	m.startedAt = time.Now()
	return m
}

// post sends a message to an entry and returns the status of its response.
func post(m *Mesh, procedure string, body []byte) int {
	r := httptest.NewRequest(http.MethodPost, procedure, bytes.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, r)
	return w.Code
}

// checkFollows checks that an entry still takes announcements, and tells what it knows in a form that
// another entry reads.
func checkFollows(t *testing.T, m *Mesh, want ...int) {
	t.Helper()
	if code := post(m, procedureSync, []byte(`{"from":{"name":"sound"},"announcements":[`+soundElement(199)+`]}`)); code != http.StatusOK {
		t.Fatalf("status %d for a sound message", code)
	}
	resp, err := m.serveEndpoints(context.Background(), &endpointsRequest{})
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(resp)
	if err != nil {
		t.Fatalf("what is known can't be told: %v", err)
	}
	var told endpointsResponse
	if err := json.Unmarshal(data, &told); err != nil {
		t.Fatal(err)
	}
	other := fuzzMesh()
	other.mu.Lock()
	other.applyAnnouncements(other.recordsOf(told.Announcements, "self"), "self")
	known, digest, otherDigest := other.registry, m.digest.of(m.registry), other.digest.of(other.registry)
	other.mu.Unlock()
	if digest != otherDigest {
		t.Errorf("another entry knows other endpoints: %s", data)
	}
	for _, i := range append(want, 199) {
		if h, ok := known.Get(endpoint(i).ID); !ok || h.State == announce.Ready && h.Validate() != nil {
			t.Errorf("endpoint %d is not known: %s", i, data)
		}
	}
}

// FuzzSyncElement guards against an announcement of another entry that costs the sound ones beside it, ends
// the entry that gets it, or is passed on to entries that refuse it.
func FuzzSyncElement(f *testing.F) {
	for _, element := range oddElements() {
		if len(element) < 2000 {
			f.Add([]byte(element))
		}
	}
	f.Add([]byte(soundElement(3)))
	f.Add([]byte(`{"id":"x","service":"s","address":"[::1]:80","failure_domain":"z","version":"v","slots":8,"state":1,"cold":-1,"born":1,"sequence":2,"age_ms":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, element []byte) {
		if !json.Valid(element) || bytes.Contains(element, []byte("endpoint-")) || bytes.Contains(element, []byte(`10.0.`)) || bytes.Contains(element, []byte(`\u`)) {
			return // no element of a list, or one about the sound endpoints
		}
		m := fuzzMesh()
		body := fmt.Sprintf(`{"from":{"name":"other"},"announcements":[%s,%s,%s]}`, soundElement(1), element, soundElement(2))
		if code := post(m, procedureSync, []byte(body)); code != http.StatusOK {
			t.Fatalf("status %d", code)
		}
		checkFollows(t, m, 1, 2)
	})
}

// FuzzMessage guards against a message of another entry, whatever procedure it calls, that ends the entry
// that gets it or keeps it from following the others.
func FuzzMessage(f *testing.F) {
	procedures := []string{procedureSync, procedureDocument, procedurePut, procedureRead, procedureEvacuate, procedureExpendable, procedureEndpoints}
	members := []quorum.Member{{Name: "a", Address: "127.0.0.1:1", Disk: "d"}}
	encoded, err := delta.Encode(nil, []byte("body"))
	if err != nil {
		f.Fatal(err)
	}
	for i, message := range []any{
		&syncRequest{
			From: facts{
				Name: "other", Address: "127.0.0.1:1", Incarnation: 5, Disk: "d", Document: 3, Founders: members, Voters: members,
				Leader: "127.0.0.1:1", LeaderTerm: 2, Endpoints: 4, Evacuations: evacuation.Set{Revision: 2, Domains: []string{"a", "b"}},
			},
			Announcements: announcementList{{endpoint(1), 5}},
		},
		&documentRequest{Have: 1, Address: "127.0.0.1:1"},
		&putRequest{Number: 2, Encoded: encoded},
		&readRequest{},
		&evacuateRequest{Command: evacuation.Begin("a").At(1)},
		&expendableRequest{Member: "a"},
		&endpointsRequest{},
	} {
		data, err := json.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), data)
	}
	f.Add(uint8(0), []byte(`{"from":{"name":"other","incarnation":18446744073709551615,"founders":[null,{"address":7}],"evacuations":{"revision":18446744073709551615,"domains":["b","a",""]}},"announcements":null}`))
	f.Add(uint8(0), []byte(`{"from":{"name":"other","evacuations":{"revision":18446744073709551615,"domains":["a"]}}}`))
	f.Add(uint8(0), []byte(`{"from":{"name":"other","evacuations":{"revision":7,"domains":["b","a",""]}}}`))
	f.Add(uint8(0), []byte(strings.Repeat("[", 20_000)))
	f.Fuzz(func(t *testing.T, procedure uint8, body []byte) {
		m := fuzzMesh()
		code := post(m, procedures[int(procedure)%len(procedures)], body)
		if code == http.StatusInternalServerError {
			t.Errorf("status %d", code)
		}
		if _, err := json.Marshal(m.facts()); err != nil {
			t.Errorf("facts can't be told: %v", err)
		}
		set := m.Evacuated()
		for _, d := range set.Domains {
			if !set.Contains(d) {
				t.Errorf("%q is not among %q", d, set.Domains)
			}
		}
		if after, verdict := set.Apply(evacuation.Begin("another").At(set.Revision)); !set.Contains("another") && verdict != evacuation.Changed {
			t.Errorf("an order at revision %d is %s, the set %+v", set.Revision, verdict, after)
		}
		checkFollows(t, m)
	})
}

// FuzzDocumentResponse guards against a document of another entry that takes more memory than a document
// may have, or that differs from the one that was sent.
func FuzzDocumentResponse(f *testing.F) {
	base := []byte(strings.Repeat(`{"name":"s","slots":8},`, 20))
	source := &documentSource{}
	source.add(document.Document{Number: 1, Body: base})
	source.add(document.Document{Number: 2, Body: append(base, "more"...)})
	for _, have := range []uint64{0, 1, 2} {
		resp, err := source.response(&documentRequest{Have: have})
		if err != nil {
			f.Fatal(err)
		}
		data, err := json.Marshal(resp)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var r documentResponse
		if json.Unmarshal(data, &r) != nil {
			return
		}
		d, err := r.decode(document.Document{Number: 1, Body: base})
		if err != nil {
			return
		}
		if d.Number != r.Number || len(d.Body) > document.MaxBodyBytes {
			t.Fatalf("document %d of %d bytes", d.Number, len(d.Body))
		}
		passedOn := &documentSource{}
		passedOn.add(d)
		resp, err := passedOn.response(&documentRequest{Insist: true})
		if err != nil {
			t.Fatal(err)
		}
		if d.Number == 0 {
			return
		}
		if again, err := resp.decode(document.Document{}); err != nil || again.Number != d.Number || !bytes.Equal(again.Body, d.Body) {
			t.Fatalf("document %d became %d: %v", d.Number, again.Number, err)
		}
	})
}

// FuzzReadEndpoints guards against a file of endpoints that ends the entry that reads it, or loses the
// endpoints beside a damaged one.
func FuzzReadEndpoints(f *testing.F) {
	for i := range 2 {
		data, err := json.Marshal(endpoint(i + 3))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"id":"x","service":"s","address":"10.9.0.1:70000","slots":-1,"state":0,"cold":1e30}`))
	f.Add([]byte(strings.Repeat("[", 100) + strings.Repeat("]", 100)))
	sound, err := json.Marshal(endpoint(1))
	if err != nil {
		f.Fatal(err)
	}
	folder := f.TempDir()
	f.Fuzz(func(t *testing.T, element []byte) {
		if err := os.WriteFile(filepath.Join(folder, endpointsFile), fmt.Appendf(nil, "[%s,%s]", element, sound), 0o600); err != nil {
			t.Fatal(err)
		}
		endpoints, err := readEndpoints(folder)
		if err != nil {
			if json.Valid(element) {
				t.Fatal(err)
			}
			return
		}
		if n := len(endpoints); n == 0 || endpoints[n-1] != endpoint(1) {
			t.Fatalf("read %+v", endpoints)
		}
		for _, e := range endpoints {
			if err := e.Validate(); err != nil {
				t.Errorf("%+v: %v", e, err)
			}
		}
	})
}

// FuzzRestoreState guards against a snapshot of the quorum, from a disk or the leader, that ends the member
// or differs after it was written again, and against commands that do.
func FuzzRestoreState(f *testing.F) {
	q := newQuorumState()
	put, err := document.EncodePut(document.Document{Number: 1, Body: []byte("x")})
	if err != nil {
		f.Fatal(err)
	}
	order, err := evacuation.Begin("a").Encode()
	if err != nil {
		f.Fatal(err)
	}
	for _, command := range [][]byte{put, order} {
		q.Apply(1, command)
		saved, err := q.Snapshot()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(saved, command)
	}
	f.Add([]byte(`{"number":18446744073709551615,"body":null,"evacuations":{"revision":7,"domains":["b","a"]}}`), []byte(`{"evacuation":{"action":"begin","domain":"b","revision":8}}`))
	f.Fuzz(func(t *testing.T, data, command []byte) {
		q, again := newQuorumState(), newQuorumState()
		if q.Restore(data) != nil {
			return
		}
		before := q.evacuated()
		answer := q.Apply(1, command)
		if !json.Valid(answer) {
			t.Fatalf("answer %q", answer)
		}
		if after := q.evacuated(); after.Revision < before.Revision {
			t.Errorf("revision %d after %d", after.Revision, before.Revision)
		}
		saved, err := q.Snapshot()
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
