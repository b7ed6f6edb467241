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

// Memory of a gateway: the collector works harder near the soft limit, which
// leaves a quarter for what the collector does not count.
const (
	softMemoryShare = 0.75
	garbagePercent  = 200 // less processor time for a heap of some megabytes
)

func serveGateway() error {
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryShare * float64(s.MemoryBytes)))
	}
	debug.SetGCPercent(garbagePercent)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	g := gateway.New(s, platform.Dialect{}, decision.New(os.Stdout))
	return g.Run(stop, reload)
}
