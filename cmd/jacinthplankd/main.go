// Command jacinthplankd is the daemon. Its settings select its duties: entry,
// endpoint sidecar or control instance.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/jacinthplank/jacinthplank/daemon"
	"github.com/jacinthplank/jacinthplank/demo"
	"github.com/jacinthplank/jacinthplank/logging"
	"github.com/jacinthplank/jacinthplank/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

type runCommand struct {
	Settings string `arg:"positional,required" help:"settings file of this daemon (TOML)"`
}

type checkCommand struct {
	Settings string `arg:"positional,required" help:"settings file of a daemon (TOML)"`
}

type demoCommand struct {
	Listen string `arg:"--listen" default:"127.0.0.1:8080" help:"address for callers, IP:port"`
}

type gatewayCommand struct{}

type arguments struct {
	Gateway *gatewayCommand `arg:"subcommand:gateway" help:"run an entry on the users' platform, with the platform's settings file"`
	Run     *runCommand     `arg:"subcommand:run" help:"run the daemon"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file and list every fault"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"run one of each duty and an emulated engine in one process"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "The jacinthplank daemon: a serving layer for prompts of 1,000 to 1,000,000 tokens."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return "Exit codes: 0 stopped on request, 1 failed, 2 invalid settings or arguments."
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.WriteHelp(os.Stderr)
		os.Exit(exitBadInput)
	}
	if args.Gateway != nil {
		exit(serveGateway())
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	exit(run(ctx, args))
}

func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
	os.Exit(0)
}

func run(ctx context.Context, args arguments) error {
	switch {
	case args.Check != nil:
		return check(args.Check.Settings)
	case args.Demo != nil:
		return demo.Run(ctx, demo.Options{
			Listen: args.Demo.Listen,
			Out:    os.Stdout,
			Log:    logging.New(os.Stderr, "warn", "text"),
		})
	default:
		return serve(ctx, args.Run.Settings)
	}
}

func check(path string) error {
	if _, err := settings.Load(path); err != nil {
		return err
	}
	fmt.Println(path + ": no faults")
	return nil
}

func serve(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	d, err := daemon.New(s, daemon.Options{Log: logging.New(os.Stderr, s.Log.Level, s.Log.Format)})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func exitCode(err error) int {
	var faults settings.Faults
	if errors.As(err, &faults) {
		return exitBadInput
	}
	return exitFailed
}
