// Package tomlcheck decodes TOML files whole: it finds every fault of a file in
// one pass and tells file, line, key, what was expected and the nearest valid
// name. Unknown keys are faults.
package tomlcheck

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	File     string // empty when the value did not come from a file
	Line     int    // from 1; 0 when not known
	Key      string // such as "accounts[2].share"; elements count from 1
	Problem  string // what is wrong
	Expected string // what would be right
	Nearest  string // nearest valid name, empty when none is near
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File + ":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Key != "" {
		b.WriteString(f.Key + ": ")
	}
	b.WriteString(f.Problem)
	if f.Expected != "" {
		b.WriteString("; expected " + f.Expected)
	}
	if f.Nearest != "" {
		fmt.Fprintf(&b, "; did you mean %q?", f.Nearest)
	}
	return b.String()
}

// Faults is every fault of one file. It is an error.
type Faults []Fault

// Error implements error with one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Report gathers the faults of one file.
type Report struct {
	file   string
	lines  map[string]int
	faulty map[string]bool
	faults Faults
}

// NewReport returns a report on values that did not come from a file.
func NewReport() *Report {
	return &Report{lines: map[string]int{}, faulty: map[string]bool{}}
}

// Add records that the value of key is wrong. Only the first fault of a key
// counts, so that a value that could not be read is not called missing as well.
func (r *Report) Add(key, problem, expected string) {
	r.add(Fault{Key: key, Problem: problem, Expected: expected})
}

// Unknown records that name, the value of key, is none of the valid names.
func (r *Report) Unknown(key, name, what string, valid []string) {
	r.add(Fault{
		Key:      key,
		Problem:  fmt.Sprintf("%q is not a known %s", name, what),
		Expected: expectedNames(valid),
		Nearest:  Nearest(name, valid),
	})
}

// Err returns the faults in the order of the file as Faults, or nil.
func (r *Report) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	return r.faults
}

func (r *Report) add(f Fault) {
	if r.faulty[f.Key] {
		return
	}
	r.faulty[f.Key] = true
	f.File = r.file
	f.Line = r.line(f.Key)
	r.faults = append(r.faults, f)
}

// line returns the line of key, or of the nearest table above it.
func (r *Report) line(key string) int {
	for key != "" {
		if n, ok := r.lines[key]; ok {
			return n
		}
		key = parent(key)
	}
	return 0
}

// parent returns the key of the table or array that holds key.
func parent(key string) string {
	cut := strings.LastIndexAny(key, ".[")
	if cut < 0 {
		return ""
	}
	return key[:cut]
}

// maxListed is the most valid names that a fault lists.
const maxListed = 12

func expectedNames(valid []string) string {
	if len(valid) == 0 {
		return "a name that is listed; none is listed yet"
	}
	if len(valid) > maxListed {
		return fmt.Sprintf("one of %s and %d more", strings.Join(valid[:maxListed], ", "), len(valid)-maxListed)
	}
	if len(valid) == 1 {
		return valid[0]
	}
	return "one of " + strings.Join(valid, ", ")
}
