package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are the ports that every machine of the fleet uses, on an address of its own.
type ports struct {
	front, ready, control int
	peers                 int // the first of port_range, which has ten
}

// machine is a front machine with its process.
type machine struct {
	fleet *fleet
	name  string
	zone  string
	ip    string
	disk  bool
	seeds []string // control addresses; the fleet's if nil

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	starts  int
}

// fleet is the platform: it starts, stops and signals the processes of the machines.
type fleet struct {
	folder   string
	ports    ports
	seeds    []string
	machines []*machine
	tolerate int // machines with a disk that may be lost at once; 1 if it is 0
	rec      *record
}

// newFleet returns a fleet whose machines have addresses in a range of their own.
func newFleet(rec *record) *fleet {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		cannotRun("temporary folder: %v", err)
	}
	return &fleet{folder: folder, rec: rec}
}

func (f *fleet) ipOf(last int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 80+pid>>8&63, pid&0xff, last)
}

// add adds a machine. Those of a class are added in the order of their addresses.
func (f *fleet) add(name, zone string, last int, disk bool) *machine {
	m := &machine{fleet: f, name: name, zone: zone, ip: f.ipOf(last), disk: disk}
	f.machines = append(f.machines, m)
	return m
}

// choosePorts finds ports that are free on the addresses of all machines, and on others.
func (f *fleet) choosePorts(others ...string) {
	ips := others
	for _, m := range f.machines {
		ips = append(ips, m.ip)
	}
	for base := 18200 + os.Getpid()%100*20; base < 32000; base += 20 {
		if allFree(ips, base) {
			f.ports = ports{front: base, ready: base + 1, control: base + 2, peers: base + 4}
			return
		}
	}
	cannotRun("no free ports")
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+16; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.control) }
func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.front) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.fleet.ports.ready) }
func (m *machine) dataDir() string { return filepath.Join(m.fleet.folder, "data-"+m.name) }

// settings returns the settings file of DEPLOY.md, with the figures of a small site.
func (m *machine) settings(bootstrap bool) string {
	p := m.fleet.ports
	seeds := m.seeds
	if seeds == nil {
		seeds = m.fleet.seeds
	}
	dataDir := ""
	if m.disk {
		dataDir = fmt.Sprintf("data_dir = %q\n", m.dataDir())
	}
	return fmt.Sprintf(`node = %q
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "dar"
port_range = [%d,%d]
seeds = ["%s"]
bootstrap = %v
loss_counts = %v
%sdiscovery = "registry"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","spans"]
config_mode = "highest"
[zones]
dar-a = "dar"
dar-b = "dar"
dar-c = "dar"
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
machines = %d
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
retry_slack = 110
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000
`, m.name, m.ip, m.zone, p.peers, p.peers+9, strings.Join(seeds, `","`), bootstrap, m.disk, dataDir,
		m.front(), m.ready(), m.control(), max(m.fleet.tolerate, 1))
}

// start starts the process with the run command of the deploy file.
func (m *machine) start(bootstrap bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disk {
		if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
			cannotRun("data folder: %v", err)
		}
	}
	file := filepath.Join(m.fleet.folder, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings(bootstrap)), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
	m.starts++
	log, err := os.Create(filepath.Join(m.fleet.folder, fmt.Sprintf("%s.%d.log", m.name, m.starts)))
	if err != nil {
		cannotRun("log: %v", err)
	}
	command := exec.Command("target/jacinthplankd", "gateway")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "JACINTHPLANK_SETTINGS=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		cannotRun("start of %s: %v", m.name, err)
	}
	ended := make(chan struct{})
	m.command, m.ended = command, ended
	m.fleet.rec.event("%s starts, bootstrap %v", m.name, bootstrap)
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
}

func (m *machine) pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command.Process.Pid
}

// signal sends a signal to the process that this fleet started.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return
	default:
	}
	m.fleet.rec.event("%s gets %v", m.name, s)
	_ = m.command.Process.Signal(s)
}

func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.wait()
}

func (m *machine) wait() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// hasEnded reports whether the process ended.
func (m *machine) hasEnded() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// wipe empties the disk of a machine whose process has ended.
func (m *machine) wipe() {
	m.fleet.rec.event("%s loses its disk", m.name)
	if err := os.RemoveAll(m.dataDir()); err != nil {
		cannotRun("wipe: %v", err)
	}
}

// stop ends all processes and removes what they wrote, unless KEEP is set.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.mu.Lock()
		command := m.command
		m.mu.Unlock()
		if command != nil {
			_ = command.Process.Signal(syscall.SIGCONT)
			_ = command.Process.Kill()
			m.wait()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept:", f.folder)
		return
	}
	_ = os.RemoveAll(f.folder)
}

// elapsed sleeps until a time since the start of the run.
func (r *record) at(since time.Duration) { time.Sleep(time.Until(r.started.Add(since))) }
