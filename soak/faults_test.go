package soak

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// injectFaults injects faults for the duration faultPhase. Unless all entries are
// killed together, at most one entry with a disk is faulted at a time, which is what
// deployments tolerate; the other entries and the replicas are faulted concurrently.
func (s *soak) injectFaults() {
	random, damages := s.newRandom("faults"), s.newRandom("damages")
	end := time.Now().Add(*faultPhase)
	var wait sync.WaitGroup
	var diskFault sync.Mutex // held while an entry with a disk is faulted
	for time.Now().Before(end) {
		time.Sleep(between(random, 150*time.Millisecond, 650*time.Millisecond))
		p := s.fleet.processes[random.IntN(len(s.fleet.processes))]
		s.mu.Lock()
		r := s.replicas[random.IntN(len(s.replicas))]
		s.mu.Unlock()
		choice, mode, down := random.IntN(9), random.IntN(5), between(random, 300*time.Millisecond, 1500*time.Millisecond)
		switch choice {
		case 0, 1, 2, 3:
			kind := []string{"kill", "pause", "term", "wipe", "torn"}[mode]
			if p.dataDir != "" && !diskFault.TryLock() {
				continue
			}
			if p.dataDir == "" && (kind == "wipe" || kind == "torn") {
				kind = "kill"
			}
			if kind == "wipe" && damages.IntN(2) == 0 {
				kind = "rot"
			}
			wait.Go(func() {
				s.disturb(p, kind, down)
				if kind == "rot" {
					time.Sleep(2 * time.Second) // time to refuse the disk and to ask for its replacement
				}
				if p.dataDir != "" {
					time.Sleep(4 * time.Second) // time for the entry to catch up
					diskFault.Unlock()
				}
			})
		case 4:
			if !diskFault.TryLock() {
				continue
			}
			wait.Go(func() {
				s.killAll(down / 2)
				time.Sleep(4 * time.Second)
				diskFault.Unlock()
			})
		case 5, 6:
			r.setFault([]string{"", "refuse", "reset", "break", "slow"}[mode])
		default:
			r.proxy.setMode([]string{"", "delay", "reset", "silence", "oneway"}[mode])
		}
	}
	s.clearFaults()
	wait.Wait()
}

// killAll kills all entries at the same time and restarts them after down.
func (s *soak) killAll(down time.Duration) {
	var wait sync.WaitGroup
	for _, p := range s.fleet.processes {
		wait.Go(func() { s.disturb(p, "kill", down) })
	}
	wait.Wait()
	s.deadly.reset()
}

// disturb applies a fault to one entry and restarts it after down.
func (s *soak) disturb(p *process, kind string, down time.Duration) {
	if !p.claim() {
		return
	}
	defer p.release()
	if kind == "term" {
		s.stopEntry(p, stopPlan{})
		s.fleet.start(p, false)
		time.Sleep(time.Second)
		p.setStopping(false)
		return
	}
	p.setFaulted(true)
	defer p.setFaulted(false)
	if kind == "pause" {
		p.signal(syscall.SIGSTOP)
		time.Sleep(down)
		p.signal(syscall.SIGCONT)
	} else {
		p.kill()
		if err := s.damage(p, kind); err != nil && !errors.Is(err, os.ErrNotExist) {
			s.reportViolation("%v", err)
		}
		time.Sleep(down)
	}
	s.fleet.start(p, false)
	time.Sleep(time.Second)
}

// damage does to a disk what the kind of fault asks for.
func (s *soak) damage(p *process, kind string) error {
	switch kind {
	case "torn":
		return appendTornWrite(p.dataDir, s.newRandom("torn "+p.name))
	case "rot":
		return invertByte(p.dataDir)
	case "wipe":
		return os.RemoveAll(p.dataDir)
	}
	return nil
}

// invertByte damages synced data in the logs on a disk.
func invertByte(folder string) error {
	return forEachLog(folder, func(path string) error {
		data, err := os.ReadFile(path)
		if err != nil || len(data) == 0 {
			return err
		}
		data[len(data)/3] ^= 0xff
		return os.WriteFile(path, data, 0o600)
	})
}

func forEachLog(folder string, do func(path string) error) error {
	return filepath.WalkDir(folder, func(path string, d os.DirEntry, err error) error {
		if err != nil || !d.Type().IsRegular() || !strings.HasPrefix(d.Name(), "log-") {
			return err
		}
		return do(path)
	})
}

// appendTornWrite appends the beginning of an interrupted write to the log on a
// disk. All other files there are written under a temporary name and renamed, so
// they are either complete or absent.
func appendTornWrite(folder string, random *rand.Rand) error {
	return forEachLog(folder, func(path string) error {
		f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		garbage := make([]byte, 1+random.IntN(60))
		for i := range garbage {
			garbage[i] = byte(random.IntN(256))
		}
		_, err = f.Write(garbage)
		return errors.Join(err, f.Close())
	})
}

func (s *soak) clearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.replicas {
		r.setFault("")
		r.proxy.setMode("")
	}
}
