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

// Ports of every entry; each has a loopback address of its own.
const (
	portPeers   = 17340
	portCallers = 17360
	portReady   = 17361
	portControl = 17362
	entries     = 4
	disks       = 3
)

// process is one entry.
type process struct {
	name, ip, folder, settings string

	mu      sync.Mutex
	command *exec.Cmd
	stopped bool // it was paused
	starts  int
	hurt    bool
}

// fleet is the entries of one run.
type fleet struct {
	t       *testing.T
	binary  string
	network byte // third number of the addresses, so that runs don't meet
	all     []*process
	log     *os.File
}

func newFleet(t *testing.T, binary string, network byte) *fleet {
	t.Helper()
	folder := t.TempDir()
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, binary: binary, network: network, log: log}
	for i := range entries {
		p := &process{name: fmt.Sprintf("entry-%d", i), ip: fmt.Sprintf("127.0.%d.%d", network, i+1)}
		if i < disks {
			p.folder = filepath.Join(folder, p.name)
		}
		p.settings = filepath.Join(folder, p.name+".toml")
		f.all = append(f.all, p)
	}
	for _, p := range f.all {
		f.start(p, true)
	}
	t.Cleanup(f.end)
	return f
}

func (f *fleet) writeSettings(p *process, first bool) {
	f.t.Helper()
	var seeds []string
	for _, o := range f.all[:disks] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", o.ip, portControl)))
	}
	data := ""
	if p.folder != "" {
		data = fmt.Sprintf("data_dir = %q\n", p.folder)
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
`, p.name, p.ip, portPeers, portPeers+9, strings.Join(seeds, ","), first, data,
		p.ip, portCallers, p.ip, portReady, p.ip, portControl)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// start begins a process, unless it runs.
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
	p.command, p.stopped = c, false
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

// signal sends a signal to a process of this run, by its id.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.stopped = s == syscall.SIGSTOP
	// A process that has just ended needs no signal.
	_ = p.command.Process.Signal(s)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.stopped
}

// kill ends a process and waits until it is gone.
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

func (f *fleet) end() {
	for _, p := range f.all {
		p.kill()
	}
	if err := f.log.Close(); err != nil {
		f.t.Log(err)
	}
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }
