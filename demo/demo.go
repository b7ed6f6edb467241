// Package demo runs an entry daemon, an endpoint daemon and an emulated engine in
// one process, connected over loopback as separate processes would be.
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/daemon"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/settings"
)

// Names used by the demo.
const (
	Model = "draft"
	Key   = "demo-key"
)

// Options are the settings of a demo.
type Options struct {
	Listen string // address of the API listener
	Out    io.Writer
	Log    *slog.Logger
}

// Configuration returns the fleet configuration of the demo.
func Configuration() *fleet.Configuration {
	digest := sha256.Sum256([]byte(Key))
	return &fleet.Configuration{
		Name:           "demo",
		FailureDomains: []fleet.FailureDomain{{Name: "here", Region: "local"}},
		Models:         []fleet.Model{{Name: Model, Endpoints: 1, MaxPrompt: fleet.MaxPromptTokens}},
		Accounts:       []fleet.Account{{Name: "demo", KeyDigests: []string{hex.EncodeToString(digest[:])}, Share: fleet.DefaultShare}},
		Limits:         fleet.DefaultLimits(),
	}
}

// Run runs the demo until ctx ends.
func Run(ctx context.Context, o Options) error {
	entry, err := newEntry(o)
	if err != nil {
		return trace.Wrap(err)
	}
	endpoint, err := newEndpoint(o, entry.Address())
	if err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	var printing sync.WaitGroup
	defer printing.Wait()
	defer cancel()
	printing.Go(func() {
		if awaitEndpoint(ctx, entry) {
			printInstructions(o.Out, entry.CallerAddress(), entry.Address())
		}
	})
	return runAll(ctx, entry, endpoint)
}

// readyPoll is the interval at which awaitEndpoint checks the entry.
const readyPoll = 20 * time.Millisecond

// awaitEndpoint waits until the entry has discovered an endpoint. It reports false
// if ctx ends before.
func awaitEndpoint(ctx context.Context, entry *daemon.Daemon) bool {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for entry.EndpointCount() == 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

func runAll(ctx context.Context, daemons ...*daemon.Daemon) error {
	var wg sync.WaitGroup
	errs := make([]error, len(daemons))
	for i, d := range daemons {
		wg.Go(func() { errs[i] = d.Run(ctx) })
	}
	wg.Wait()
	return trace.NewAggregate(errs...)
}

func newEntry(o Options) (*daemon.Daemon, error) {
	s := settings.Defaults()
	s.Instance = settings.Instance{
		Name:          "demo-entry",
		FailureDomain: "here",
		Duties:        []settings.Duty{settings.DutyEntry},
		Listen:        "127.0.0.1:0",
	}
	s.Entry = settings.Entry{Listen: o.Listen}
	return daemon.New(s, daemon.Options{Log: o.Log, Configuration: Configuration()})
}

func newEndpoint(o Options, seed string) (*daemon.Daemon, error) {
	s := settings.Defaults()
	s.Instance = settings.Instance{
		Name:          "demo-endpoint",
		FailureDomain: "here",
		Duties:        []settings.Duty{settings.DutyEndpoint},
		Listen:        "127.0.0.1:0",
		Seeds:         []string{seed},
	}
	s.Endpoint.Kind = "emulated"
	e := emulator.New(emulator.Config{Name: "demo-engine", Seed: 1, Models: []string{Model}, ChecksFencing: true})
	return daemon.New(s, daemon.Options{Log: o.Log, Engine: e, Configuration: Configuration()})
}

const instructions = `One entry, one endpoint process and one emulated engine are running.
Ask for a streamed answer with

  curl -iN http://%s/v1/chat/completions \
    -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
    -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"How many homes were finished in May?"}]}'

See how the daemons are, and what became of a request (the number is in the header
X-Request-Id of its answer), with

  jacinthplank status --daemons %s
  jacinthplank explain --daemons %s REQUEST

Stop with Ctrl-C.
`

func printInstructions(out io.Writer, callers, daemons string) {
	fmt.Fprintf(out, instructions, callers, Key, Model, daemons, daemons)
}
