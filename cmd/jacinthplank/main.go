// Command jacinthplank is the operators' command-line tool. It collects a team's
// answers to the questionnaire, applies them as the fleet's configuration and
// reports the state of the fleet.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jacinthplank/jacinthplank/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := operator.Run(ctx, os.Args[1:], operator.StandardTerminal())
	stop()
	os.Exit(code)
}
