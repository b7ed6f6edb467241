package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site eonc-router.
const (
	stableWindow = 3 * time.Second
	trafficLead  = 10 * time.Second // from the start of the machines to the traffic
	heartbeat    = 1200 * time.Millisecond
)

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// machine is one machine of the system with its process.
type machine struct {
	name, ip, zone, dataDir, settings string
	hasDisk                           bool
	bootstrap                         bool

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, fmt.Sprint(port)) }

// fleet is a small deployment: machines of the system on loopback addresses.
type fleet struct {
	record   *record
	folder   string
	machines []*machine
	ports    ports
	logs     *os.File

	mu      sync.Mutex
	started []*machine // all whose process was started, also those that were replaced
	stopped bool
}

// ports are the same on all machines.
type ports struct{ front, ready, control, first, last int }

const portsPerMachine = 19

// fleets are those whose processes have to be ended before this process ends.
var fleets struct {
	mu  sync.Mutex
	all []*fleet
}

// stopFleets ends the processes of all fleets.
func stopFleets() {
	fleets.mu.Lock()
	defer fleets.mu.Unlock()
	for _, f := range fleets.all {
		f.stop()
	}
}

// newFleet returns the machines, not yet started: those with a disk first.
func newFleet(r *record, folder string, disks, others int) (*fleet, error) {
	f := &fleet{record: r, folder: folder}
	logs, err := os.Create(filepath.Join(folder, "processes.log"))
	if err != nil {
		return nil, err
	}
	f.logs = logs
	second, third := 64+os.Getpid()>>8%128, 1+os.Getpid()%250
	for i := range disks + others {
		m := &machine{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("127.%d.%d.%d", second, third, i+1), zone: fmt.Sprintf("zone-%d", i%3+1), bootstrap: true}
		if m.hasDisk = i < disks; m.hasDisk {
			m.dataDir = filepath.Join(folder, "disk-"+m.name)
		}
		m.settings = filepath.Join(folder, m.name+".toml")
		f.machines = append(f.machines, m)
	}
	base, err := f.freePorts()
	if err != nil {
		return nil, err
	}
	f.ports = ports{front: base, ready: base + 1, control: base + 2, first: base + 3, last: base + portsPerMachine - 1}
	fleets.mu.Lock()
	fleets.all = append(fleets.all, f)
	fleets.mu.Unlock()
	return f, nil
}

// freePorts returns the first of portsPerMachine ports that are free on all machines.
func (f *fleet) freePorts() (int, error) {
	for base := 17000; base < 30000; base += 500 {
		if f.areFree(base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (f *fleet) areFree(base int) bool {
	for _, m := range f.machines {
		for port := base; port < base+5; port++ {
			l, err := net.Listen("tcp", m.address(port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *fleet) writeSettings(m *machine) error {
	var seeds []string
	for _, o := range f.machines[:3] {
		seeds = append(seeds, fmt.Sprintf("%q", o.address(f.ports.control)))
	}
	disk := ""
	if m.hasDisk {
		disk = fmt.Sprintf("data_dir = %q\n", m.dataDir)
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "spain-north"
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
loss_counts = %t
%sdiscovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","spans"]
config_mode = "highest"
[zones]
zone-1 = "spain-north"
zone-2 = "spain-north"
zone-3 = "spain-north"
[listen]
front = %q
ready = %q
control = %q
[limits]
cpu_share = 0.72
cpu_cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 64
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
downgrade_ms = 250
stretch_ms = 5000
strict_revoke = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
retry_slack = 106
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
`, m.name, m.ip, m.zone, f.ports.first, f.ports.last, strings.Join(seeds, ","), m.bootstrap, m.hasDisk, disk,
		m.address(f.ports.front), m.address(f.ports.ready), m.address(f.ports.control))
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	if m.hasDisk {
		if err := os.MkdirAll(m.dataDir, 0o700); err != nil {
			return err
		}
	}
	if err := f.writeSettings(m); err != nil {
		return err
	}
	c := exec.Command("target/jacinthplankd", "gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "JACINTHPLANK_SETTINGS=" + m.settings}
	c.Stdout, c.Stderr = f.logs, f.logs
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return fmt.Errorf("the fleet was stopped")
	}
	if err := c.Start(); err != nil {
		return err
	}
	f.started = append(f.started, m)
	f.record.printf("%s: process %d started (bootstrap %t, disk %t)", m.name, c.Process.Pid, m.bootstrap, m.hasDisk)
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended = c, ended
	m.mu.Unlock()
	go func() {
		err := c.Wait()
		f.record.printf("%s: process %d ended: %v", m.name, c.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of a machine; after SIGKILL it waits for the end.
func (f *fleet) signal(m *machine, s syscall.Signal) {
	m.mu.Lock()
	c, ended := m.command, m.ended
	m.mu.Unlock()
	if c == nil {
		return
	}
	f.record.printf("%s: %s to process %d", m.name, s, c.Process.Pid)
	_ = c.Process.Signal(s)
	if s == syscall.SIGKILL {
		<-ended
	}
}

// stop ends all processes.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.stopped = true
	for _, m := range f.started {
		m.mu.Lock()
		c, ended := m.command, m.ended
		m.mu.Unlock()
		if c == nil {
			continue
		}
		select {
		case <-ended:
		default:
			_ = c.Process.Kill()
			<-ended
		}
	}
	_ = f.logs.Close()
}

// client is used for calls that are each made on a connection of their own.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}

// call makes one call and returns the status, 0 without an answer, and the body's start.
func call(method, address, host, path, body string, timeout time.Duration, headers map[string]string) (status int, text string, header http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), nil
	}
	if host != "" {
		req.Host = host
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer func() { _ = resp.Body.Close() }()
	data := make([]byte, 0, 512)
	buffer := make([]byte, 512)
	for {
		n, err := resp.Body.Read(buffer)
		if len(data) < 4096 {
			data = append(data, buffer[:n]...)
		}
		if err != nil {
			if err.Error() != "EOF" {
				return 0, err.Error(), resp.Header
			}
			return resp.StatusCode, string(data), resp.Header
		}
	}
}
