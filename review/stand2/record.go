package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: file, out: bufio.NewWriter(file), started: time.Now()}
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// The exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var atExit []func()

// cannotRun ends the run of a case that could not be played.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	exit(exitCannotRun)
}

func exit(code int) {
	for _, f := range atExit {
		f()
	}
	os.Exit(code)
}
