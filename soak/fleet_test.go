package soak

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Ports of every entry. Each entry has a separate loopback address.
const (
	peerPort    = 17340
	callerPort  = 17360
	readyPort   = 17361
	controlPort = 17362
	entryCount  = 4
	diskCount   = 3
)

// process is one entry process.
type process struct {
	name, ip, dataDir, settings string

	mu      sync.Mutex
	command *exec.Cmd
	paused  bool // by SIGSTOP
	starts  int
	faulted bool
}

// fleet holds the entries of one run.
type fleet struct {
	t         *testing.T
	binary    string
	subnet    byte // third octet of the addresses, to separate the fleets of different seeds
	processes []*process
	log       *os.File
}

func newFleet(t *testing.T, binary string, subnet byte) *fleet {
	t.Helper()
	folder := t.TempDir()
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, binary: binary, subnet: subnet, log: log}
	for i := range entryCount {
		p := &process{name: fmt.Sprintf("entry-%d", i), ip: fmt.Sprintf("127.0.%d.%d", subnet, i+1)}
		if i < diskCount {
			p.dataDir = filepath.Join(folder, p.name)
		}
		p.settings = filepath.Join(folder, p.name+".toml")
		f.processes = append(f.processes, p)
	}
	for _, p := range f.processes {
		f.start(p, true)
	}
	t.Cleanup(f.shutdown)
	return f
}

func (f *fleet) writeSettings(p *process, first bool) {
	f.t.Helper()
	var seeds []string
	for _, o := range f.processes[:diskCount] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", o.ip, controlPort)))
	}
	data := ""
	if p.dataDir != "" {
		data = fmt.Sprintf("data_dir = %q\n", p.dataDir)
	}
	text := fmt.Sprintf(`node = %q
ip = %q
zone = "z"
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
%s[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[bounds]
grace_s = 8
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 100
`, p.name, p.ip, peerPort, peerPort+9, strings.Join(seeds, ","), first, data,
		p.ip, callerPort, p.ip, readyPort, p.ip, controlPort)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// start starts a process unless it is already running.
func (f *fleet) start(p *process, first bool) {
	f.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return
	}
	f.writeSettings(p, first)
	c := exec.Command(f.binary, "gateway")
	c.Env = append(os.Environ(), wire.Settings+"="+p.settings)
	c.Stdout, c.Stderr = f.log, f.log
	if err := c.Start(); err != nil {
		f.t.Error(err)
		return
	}
	p.command, p.paused = c, false
	p.starts++
	go func() {
		err := c.Wait()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			f.t.Log(err)
		}
		p.mu.Lock()
		if p.command == c {
			p.command = nil
		}
		p.mu.Unlock()
	}()
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.paused = s == syscall.SIGSTOP
	// The process may have exited in the meantime.
	_ = p.command.Process.Signal(s)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused
}

// kill sends SIGKILL and waits up to 2 s for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	for range 200 {
		p.mu.Lock()
		gone := p.command == nil
		p.mu.Unlock()
		if gone {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (f *fleet) shutdown() {
	for _, p := range f.processes {
		p.kill()
	}
	if err := f.log.Close(); err != nil {
		f.t.Log(err)
	}
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }
