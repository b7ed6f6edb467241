package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jacinthplank/jacinthplank/decision"
	"github.com/jacinthplank/jacinthplank/gateway"
	"github.com/jacinthplank/jacinthplank/platform"
)

// Garbage collector settings of the gateway. The collector runs more often near
// the soft memory limit, which leaves a quarter of the memory for allocations that
// the Go runtime does not account for.
const (
	memoryLimitRatio = 0.75
	gcPercent        = 200 // saves CPU time with a heap of a few megabytes
)

// serveGateway runs the gateway with the platform's settings until SIGTERM or
// SIGINT. SIGHUP is only logged, since settings are read at startup.
func serveGateway() error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(gcPercent)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g := gateway.New(s, platform.Dialect{}, decision.New(os.Stdout))
	return g.Run(stop, reload)
}
