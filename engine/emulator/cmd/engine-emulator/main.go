// Command engine-emulator serves one emulated engine over HTTP, for tests and
// load experiments.
package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
)

// shutdownTimeout bounds the graceful shutdown of the server and the reading of
// request headers.
const shutdownTimeout = 5 * time.Second

type options struct {
	Listen         string        `arg:"--listen" default:"127.0.0.1:8000" help:"address, IP:port"`
	Name           string        `arg:"--name" default:"emulator"`
	Seed           uint64        `arg:"--seed" default:"1"`
	Models         []string      `arg:"--models" help:"names of models"`
	Adapters       []string      `arg:"--adapters" help:"names of adapters loaded at the start"`
	Memory         int           `arg:"--memory" default:"3200" help:"KV memory in blocks"`
	MemoryTokens   int           `arg:"--memory-tokens" default:"128" help:"tokens per memory block"`
	Prefill        float64       `arg:"--prefill" default:"20000" help:"prefill tokens per second"`
	Decode         float64       `arg:"--decode" default:"60" help:"decoded tokens per second of one answer"`
	AttentionScale int           `arg:"--attention-scale" default:"131072" help:"position at which a prefill token costs twice"`
	Scale          float64       `arg:"--scale" default:"1" help:"emulated seconds per second"`
	EventLag       time.Duration `arg:"--event-lag" default:"500ms"`
	EventLoss      float64       `arg:"--event-loss" default:"0.01" help:"share of cache events lost"`
	LoadLag        time.Duration `arg:"--load-lag" default:"1s"`
	ChecksFencing  bool          `arg:"--checks-fencing" help:"refuse orders with an old fencing number"`
}

func main() {
	var o options
	arg.MustParse(&o)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, o); err != nil {
		slog.Error("engine emulator failed", "error", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, o options) error {
	e := emulator.New(emulator.Config{
		Name:                 o.Name,
		Seed:                 o.Seed,
		Models:               o.Models,
		Adapters:             o.Adapters,
		MemoryBlocks:         o.Memory,
		TokensPerMemoryBlock: o.MemoryTokens,
		PrefillPerSec:        o.Prefill,
		DecodePerSec:         o.Decode,
		AttentionScale:       o.AttentionScale,
		TimeScale:            o.Scale,
		EventLag:             o.EventLag,
		EventLoss:            o.EventLoss,
		LoadLag:              o.LoadLag,
		ChecksFencing:        o.ChecksFencing,
	})
	defer e.Close()
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return err
	}
	server := drain.NewServer(&http.Server{Handler: emulator.Handler(e), ReadHeaderTimeout: shutdownTimeout})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	server.Shutdown(shutdownCtx)
	return nil
}
