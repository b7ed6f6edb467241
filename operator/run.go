// Package operator implements the commands of jacinthplank, the command-line tool for
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

// Terminal holds the input and output streams of a command.
type Terminal struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// StandardTerminal returns the standard streams of the process.
func StandardTerminal() Terminal { return Terminal{In: os.Stdin, Out: os.Stdout, Err: os.Stderr} }

// command is one subcommand.
type command interface {
	run(ctx context.Context, t Terminal) error
}

// Run runs the command given by args and returns the exit code.
func Run(ctx context.Context, args []string, t Terminal) int {
	selected, parser, err := parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		parser.WriteHelpForSubcommand(t.Out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		fmt.Fprintf(t.Err, "jacinthplank: %v%s\n", err, suggestCommand(args))
		if parser != nil {
			parser.WriteUsageForSubcommand(t.Err, parser.SubcommandNames()...)
		}
		return ExitBadInput
	}
	if err := selected.run(ctx, t); err != nil {
		fmt.Fprintln(t.Err, trace.UserMessage(err))
		explainCode(t.Err, err)
		return exitCode(err)
	}
	return ExitOK
}

// explainCode explains the error code of a failure returned by a daemon.
func explainCode(w io.Writer, err error) {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		fmt.Fprintf(w, "That is, %s. See %s in docs/operators/errors.md.\n", explain.Meaning(string(failure.Code)), failure.Code)
	}
}

// parse returns the subcommand given by args.
func parse(args []string) (command, *arg.Parser, error) {
	var a arguments
	parser, err := arg.NewParser(arg.Config{Program: "jacinthplank"}, &a)
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	if err := parser.Parse(args); err != nil {
		return nil, parser, err
	}
	selected, ok := parser.Subcommand().(command)
	if !ok {
		return nil, parser, errors.New("missing command")
	}
	return selected, parser, nil
}

// sleep waits for d or until ctx is done.
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

// suggestCommand returns a hint with the command name closest to the first argument.
func suggestCommand(args []string) string {
	if len(args) == 0 {
		return ""
	}
	var names []string
	fields := reflect.TypeFor[arguments]()
	for i := range fields.NumField() {
		name, _ := strings.CutPrefix(fields.Field(i).Tag.Get("arg"), "subcommand:")
		names = append(names, name)
	}
	nearest := tomlcheck.Nearest(args[0], names)
	if nearest == "" || nearest == args[0] {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", nearest)
}
