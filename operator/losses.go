package operator

import (
	"context"
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/losses"
)

func (c *lossesCommand) run(_ context.Context, t Terminal) error {
	var account losses.Account
	for _, path := range c.Logs {
		if err := readLog(&account, path, t); err != nil {
			return err
		}
	}
	if account.Requests == 0 {
		return exitWith(ExitNotFound, "the logs have no line of a request's end")
	}
	return account.WriteTable(t.Out)
}

func readLog(account *losses.Account, path string, t Terminal) error {
	if path == "-" {
		return account.Read(t.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return trace.Wrap(err)
	}
	defer file.Close()
	return trace.Wrap(account.Read(file), "%s", path)
}
