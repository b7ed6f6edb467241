package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/load"
	"github.com/jacinthplank/jacinthplank/submit"
)

type loadCommand struct {
	Entries   commaList     `arg:"--entries,required" help:"URLs of entries, with commas between"`
	Key       string        `arg:"--key,required,env:JACINTHPLANK_ACCOUNT_KEY" help:"key of a client account"`
	Model     string        `arg:"--model,required" help:"model to ask"`
	Rate      float64       `arg:"--rate" default:"5" help:"requests per second"`
	Duration  time.Duration `arg:"--duration" default:"30s" help:"how long new requests come"`
	Shortest  int           `arg:"--shortest" default:"1000" help:"tokens of the shortest prompt"`
	Longest   int           `arg:"--longest" default:"32000" help:"tokens of the longest prompt"`
	LongShare float64       `arg:"--long-share" default:"0.02" help:"share of prompts over 128,000 tokens, when --longest allows them"`
	MaxTokens int           `arg:"--max-tokens" default:"64" help:"tokens of an answer"`
	Prefixes  int           `arg:"--prefixes" default:"20" help:"number of different beginnings that prompts share; 0 for none"`
	Timeout   time.Duration `arg:"--request-timeout" help:"time asked for with each request; the fleet's when not given"`
	Seed      uint64        `arg:"--seed" default:"1" help:"the same seed sends the same requests at the same times"`
}

func (c *loadCommand) run(ctx context.Context, t Terminal) error {
	if err := c.check(); err != nil {
		return err
	}
	arrivals := load.Schedule(load.Mix{
		Rate:      c.Rate,
		Duration:  c.Duration,
		Shortest:  c.Shortest,
		Longest:   c.Longest,
		LongShare: c.LongShare,
		MaxTokens: c.MaxTokens,
		Prefixes:  c.Prefixes,
		Seed:      c.Seed,
	})
	fmt.Fprintf(t.Out, "%d requests over %s, seed %d.\n", len(arrivals), c.Duration, c.Seed)
	caller := load.NewHTTP(c.Entries, c.Key, c.Model, c.MaxTokens, c.Timeout)
	results := load.Run(ctx, arrivals, caller)
	if len(results) < len(arrivals) {
		fmt.Fprintf(t.Out, "Interrupted after %d requests.\n", len(results))
	}
	return load.Summarize(results).Write(t.Out)
}

func (c *loadCommand) check() error {
	switch {
	case c.Rate <= 0:
		return exitWith(ExitBadInput, "--rate: found %g; expected more than 0", c.Rate)
	case c.Duration <= 0:
		return exitWith(ExitBadInput, "--duration: found %s; expected more than 0s", c.Duration)
	case c.Shortest < 1 || c.Longest < c.Shortest || c.Longest > fleet.MaxPromptTokens:
		return exitWith(ExitBadInput, "--shortest and --longest: found %d and %d; expected 1 to %d, the longest not below the shortest",
			c.Shortest, c.Longest, fleet.MaxPromptTokens)
	case c.LongShare < 0 || c.LongShare > 1:
		return exitWith(ExitBadInput, "--long-share: found %g; expected 0 to 1 (of prompts over %d tokens)", c.LongShare, submit.LongTokens)
	case c.MaxTokens < 1:
		return exitWith(ExitBadInput, "--max-tokens: found %d; expected 1 or more", c.MaxTokens)
	}
	return nil
}
