// Command jacinthplank is the program for operators: it asks for a team's
// answers, puts them in force and tells what the fleet does.
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
	code := operator.Run(ctx, os.Args[1:], operator.Standard())
	stop()
	os.Exit(code)
}
