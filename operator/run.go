// Package operator holds the commands of jacinthplank, the program for
// operators.
package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/explain"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Terminal is what a command reads and writes.
type Terminal struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Standard returns the process's own terminal.
func Standard() Terminal { return Terminal{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// command is one subcommand.
type command interface {
	run(ctx context.Context, t Terminal) error
}

// Run runs the command that args ask for and returns the exit code.
func Run(ctx context.Context, args []string, t Terminal) int {
	chosen, parser, err := parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelpForSubcommand(t.Out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		fmt.Fprintf(t.Err, "jacinthplank: %v%s\n", err, nearCommand(args))
		if parser != nil {
			parser.WriteUsageForSubcommand(t.Err, parser.SubcommandNames()...)
		}
		return ExitBadInput
	}
	if err := chosen.run(ctx, t); err != nil {
		fmt.Fprintln(t.Err, trace.UserMessage(err))
		tellCode(t.Err, err)
		return exitCode(err)
	}
	return ExitOK
}

// tellCode explains the code of a failure that a daemon answered with.
func tellCode(w io.Writer, err error) {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		fmt.Fprintf(w, "That is, %s. See %s in docs/operators/errors.md.\n", explain.Meaning(string(failure.Code)), failure.Code)
	}
}

// parse returns the subcommand that args name.
func parse(args []string) (command, *arg.Parser, error) {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "jacinthplank"}, &a)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if err := parser.Parse(args); err != nil {
		return nil, parser, err
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		return nil, parser, errors.New("name one of the commands")
	}
	return chosen, parser, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// nearCommand suggests the command that the first argument may stand for.
func nearCommand(args []string) string {
	if len(args) == 0 {
		return ""
	}
	var names []string
	fields := reflect.TypeFor[arguments]()
	for i := range fields.NumField() {
		name, _ := strings.CutPrefix(fields.Field(i).Tag.Get("arg"), "subcommand:")
		names = append(names, name)
	}
	near := tomlcheck.Nearest(args[0], names)
	if near == "" || near == args[0] {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", near)
}
