package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
)

// gracePeriod is the time from SIGTERM until the platform kills an entry.
const gracePeriod = 8 * time.Second

// diskCount is the number of entries with a disk, unless a test names another one.
const diskCount = 3

// process is one entry process.
type process struct {
	name, ip, dataDir, settings string
	domain                      string       // failure domain
	front                       string       // IP of the proxy that others reach it through; empty for none
	requests                    atomic.Int64 // in progress, as callers see it

	mu        sync.Mutex
	command   *exec.Cmd
	paused    bool // by SIGSTOP
	throttled bool // by SIGSTOP, as the quota is used up
	claimed   bool // by a fault or by planned work
	ending    bool // the current run was told to end
	dark      bool // without power, so that it can't be started
	faults    int  // odd while the process is faulted
	stops     int  // odd from a planned SIGTERM until the next run is ready
	stopAt    time.Time

	disturbedAt time.Time // latest change of faults or stops
}

// fleet holds the entries of one run.
type fleet struct {
	t         *testing.T
	binary    string
	folder    string
	shape     shape
	links     *links // between entries; nil if they call each other directly
	processes []*process
	log       *os.File

	mu sync.Mutex // held, beside that of the soak, while an entry is replaced in processes
}

// shape is the size and the layout of a fleet.
type shape struct {
	entries   int
	disks     int // entries with a disk, which come first
	tolerated int // entries with a disk that may be lost at once
	domains   int // failure domains, filled in turn; one if 0
	linked    bool
	mbps      float64 // of the own link of each entry; 0 for no limit
	memory    int     // memory limit of an entry in MB, as its settings name it; 0 for that of the flag
	quota     float64 // multiple of its share of a core that each process gets, see quota_test.go; 0 for no limit
}

// newFleet starts the entries. Fleets of different seeds or test processes have
// different addresses.
func newFleet(t *testing.T, binary string, seed uint64, s shape) *fleet {
	t.Helper()
	folder := t.TempDir()
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{t: t, binary: binary, folder: folder, shape: s, log: log}
	if s.linked {
		f.links = newLinks()
		f.links.rate = s.mbps * 1e6 / 8
	}
	for i := range s.entries {
		f.processes = append(f.processes, f.newProcess(seed, i, fmt.Sprintf("z-%d", i%max(s.domains, 1)), i < s.disks))
	}
	for _, p := range f.processes {
		f.start(p, true)
	}
	t.Cleanup(f.shutdown)
	return f
}

// newProcess returns the entry of a number, which sets its name and address.
func (f *fleet) newProcess(seed uint64, number int, domain string, hasDisk bool) *process {
	ip := net.IPv4(127, byte(1+os.Getpid()%254), byte(seed%200)+byte(number/250), byte(1+number%250))
	p := &process{name: fmt.Sprintf("entry-%d", number), ip: ip.String(), domain: domain}
	if f.links != nil {
		front := net.IPv4(127, byte(1+os.Getpid()%254), byte(201+seed%50)+byte(number/250), byte(1+number%250))
		p.front = front.String()
		if err := f.links.listen(p.front, p.ip); err != nil {
			f.t.Error(err)
		}
	}
	if hasDisk {
		p.dataDir = filepath.Join(f.folder, p.name)
	}
	p.settings = filepath.Join(f.folder, p.name+".toml")
	return p
}

func (f *fleet) writeSettings(p *process, first bool) {
	f.t.Helper()
	var seeds []string
	for _, o := range f.all()[:min(f.shape.disks, 3)] {
		// Entries derive the address for other entries from it.
		seeds = append(seeds, fmt.Sprintf("%q", net.JoinHostPort(cmp.Or(o.front, o.ip), fmt.Sprint(controlPort))))
	}
	advertise := ""
	if p.front != "" {
		advertise = fmt.Sprintf("advertise = \"%s:%d\"\n", p.front, peerPort)
	}
	data := ""
	if p.dataDir != "" {
		data = fmt.Sprintf("data_dir = %q\n", p.dataDir)
	}
	text := fmt.Sprintf(`node = %q
ip = %q
zone = %q
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
%s[listen]
front = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
%s[tolerate]
machines = %d
[limits]
memory_mb = %d
[bounds]
grace_s = %d
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 100
`, p.name, p.ip, p.domain, peerPort, peerPort+9, strings.Join(seeds, ","), first, data,
		p.ip, callerPort, p.ip, readyPort, p.ip, controlPort, advertise, f.shape.tolerated, cmp.Or(f.shape.memory, *entryMemory), gracePeriod/time.Second)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// start starts a process unless it is already running.
func (f *fleet) start(p *process, first bool) {
	f.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dark {
		return
	}
	if p.command != nil {
		if p.ending {
			f.t.Errorf("%s was told to end and hasn't ended before its next start", p.name)
		}
		return
	}
	f.writeSettings(p, first)
	c := exec.Command(f.binary, "gateway")
	c.Env = append(os.Environ(), wire.Settings+"="+p.settings)
	if f.shape.quota > 0 {
		c.Env = append(c.Env, "GOMAXPROCS=1")
	}
	c.Stdout, c.Stderr = f.log, f.log
	if err := c.Start(); err != nil {
		f.t.Error(err)
		return
	}
	p.command, p.paused, p.throttled, p.ending = c, false, false, false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.command != c {
			return
		}
		p.command = nil
		if !p.ending || (err != nil && p.faults%2 == 0) {
			f.t.Errorf("%s ended, told so: %t, with the error %v", p.name, p.ending, err)
		}
	}()
}

// claim reserves a process for a fault or for planned work.
func (p *process) claim() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimed {
		return false
	}
	p.claimed = true
	return true
}

func (p *process) release() {
	p.mu.Lock()
	p.claimed = false
	p.mu.Unlock()
}

// setFaulted marks the begin or the end of a fault.
func (p *process) setFaulted(faulted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if faulted != (p.faults%2 == 1) {
		p.faults++
		p.disturbedAt = time.Now()
	}
}

// setStopping marks the begin or the end of a planned stop.
func (p *process) setStopping(stopping bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if stopping != (p.stops%2 == 1) {
		p.stops++
		p.disturbedAt = time.Now()
	}
	if stopping {
		p.stopAt = time.Now()
	}
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	p.paused = s == syscall.SIGSTOP
	p.throttled = p.throttled && s != syscall.SIGCONT
	p.ending = p.ending || s == syscall.SIGKILL || s == syscall.SIGTERM
	// The process may have exited in the meantime.
	_ = p.command.Process.Signal(s)
}

func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil && !p.paused
}

// isReady reports whether the entry passes the balancer's readiness check.
func (p *process) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return send(ctx, http.MethodGet, "http://"+p.address(readyPort)+wire.Ready, "ready", "", nil).status == http.StatusOK
}

// exitTime is the time within which a killed process has to be gone. One that waits for a sync of
// its disk ends after that, which takes seconds on a busy machine.
const exitTime = time.Minute

// kill sends SIGKILL and waits for the process to exit, as it can't be started before.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	eventually(exitTime, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.command == nil
	})
}

// all returns the entries that are part of the fleet.
func (f *fleet) all() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.processes)
}

func (f *fleet) killAll() {
	var wait sync.WaitGroup
	for _, p := range f.all() {
		p.setFaulted(true)
		wait.Go(p.kill)
	}
	wait.Wait()
}

func (f *fleet) shutdown() {
	f.killAll()
	if f.links != nil {
		f.links.close()
	}
	if err := f.log.Close(); err != nil {
		f.t.Log(err)
	}
}

// residentMB returns the memory of all entries without that of their program file.
func (f *fleet) residentMB() (total int) {
	for _, p := range f.all() {
		p.mu.Lock()
		c := p.command
		p.mu.Unlock()
		if c == nil {
			continue
		}
		var size, resident, shared int
		// An entry that has just ended counts nothing.
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", c.Process.Pid))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			f.t.Log(err)
		}
		if _, err := fmt.Sscan(string(data), &size, &resident, &shared); err == nil {
			total += (resident - shared) * os.Getpagesize() >> 20
		}
	}
	return total
}

// machineMB returns the memory of the machine.
func machineMB() int {
	var info syscall.Sysinfo_t
	if syscall.Sysinfo(&info) != nil {
		return 0
	}
	return int(info.Totalram * uint64(info.Unit) >> 20)
}

// watchMemory ends the entries if they use more than half of the machine's memory.
func (f *fleet) watchMemory(ctx context.Context) {
	limit := machineMB() / 2
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if used := f.residentMB(); used > limit {
			f.t.Errorf("the entries use %d MB of memory, the limit is %d", used, limit)
			f.killAll()
			return
		}
	}
}

func (p *process) address(port int) string { return net.JoinHostPort(p.ip, fmt.Sprint(port)) }
