package processes_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaryDir is the directory with the built programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processes")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaryDir = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/jacinthplankd", "../engine/emulator/cmd/engine-emulator")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

func binaryPath(name string) string { return filepath.Join(binaryDir, name) }
