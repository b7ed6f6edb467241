// Package tomlcheck decodes and validates TOML files. It reports all faults of a
// file in one pass, each with the file, the line, the key, the expected value and
// the nearest valid name. Unknown keys are faults.
package tomlcheck

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	File     string // empty if the value is not from a file
	Line     int    // from 1; 0 if unknown
	Key      string // such as "accounts[2].share"; elements are counted from 1
	Problem  string // description of the error
	Expected string // description of a valid value
	Nearest  string // nearest valid name; empty if none is close
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

// Faults lists all faults of one file. It implements error.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Report collects the faults of one file.
type Report struct {
	file       string
	keyLines   map[string]int
	faultyKeys map[string]bool
	faults     Faults
}

// NewReport returns a report for values that are not from a file.
func NewReport() *Report {
	return &Report{keyLines: map[string]int{}, faultyKeys: map[string]bool{}}
}

// Add records a fault in the value of key. Only the first fault of a key is kept,
// so that a value that could not be parsed is not also reported as missing.
func (r *Report) Add(key, problem, expected string) {
	r.addFault(Fault{Key: key, Problem: problem, Expected: expected})
}

// AddUnknown records that name, the value of key, is not one of the valid names.
func (r *Report) AddUnknown(key, name, what string, valid []string) {
	r.addFault(Fault{
		Key:      key,
		Problem:  fmt.Sprintf("%q is not a known %s", name, what),
		Expected: expectedNames(valid),
		Nearest:  Nearest(name, valid),
	})
}

// Err returns the faults as Faults, ordered by line, or nil if there are none.
func (r *Report) Err() error {
	if len(r.faults) == 0 {
		return nil
	}
	sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].Line < r.faults[j].Line })
	return r.faults
}

func (r *Report) addFault(f Fault) {
	if r.faultyKeys[f.Key] {
		return
	}
	r.faultyKeys[f.Key] = true
	f.File = r.file
	f.Line = r.lineOf(f.Key)
	r.faults = append(r.faults, f)
}

// lineOf returns the line of key, or of the closest enclosing key with a known
// line.
func (r *Report) lineOf(key string) int {
	for key != "" {
		if n, ok := r.keyLines[key]; ok {
			return n
		}
		key = parentKey(key)
	}
	return 0
}

// parentKey returns the key of the table or array that contains key.
func parentKey(key string) string {
	cut := strings.LastIndexAny(key, ".[")
	if cut < 0 {
		return ""
	}
	return key[:cut]
}

// maxListedNames is the maximum number of valid names listed by a fault.
const maxListedNames = 12

func expectedNames(valid []string) string {
	if len(valid) == 0 {
		return "a name that is listed; none is listed yet"
	}
	if len(valid) > maxListedNames {
		return fmt.Sprintf("one of %s and %d more", strings.Join(valid[:maxListedNames], ", "), len(valid)-maxListedNames)
	}
	if len(valid) == 1 {
		return valid[0]
	}
	return "one of " + strings.Join(valid, ", ")
}
