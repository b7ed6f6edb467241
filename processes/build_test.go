package processes_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs is the folder of the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "processes")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(folder)
	programs = folder
	build := exec.Command("go", "build", "-o", folder, "../cmd/jacinthplankd", "../engine/emulator/cmd/engine-emulator")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func program(name string) string { return filepath.Join(programs, name) }
