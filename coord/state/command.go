package state

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/jacinthplank/jacinthplank/coord/budget"
	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/revision"
)

// Limits of a command.
const (
	MaxCommandBytes = 8 << 20
	MaxKeyBytes     = 512    // of a name, identifier or idempotency key
	MaxLeases       = 20_000 // leases or draws per command
)

// ErrCommand is returned for a command that is malformed or exceeds a limit.
var ErrCommand = errors.New("state: invalid command")

// Command is one entry of the replicated log. Exactly one pointer is set.
type Command struct {
	Now      int64            `json:"now"`          // proposer's time in microseconds of the machine's clock
	Proposer string           `json:"by,omitempty"` // name of the proposing member
	Accept   *revision.Change `json:"accept,omitempty"`
	Claim    *once.Claim      `json:"claim,omitempty"`
	Record   *once.Outcome    `json:"record,omitempty"`
	Fence    *NextFence       `json:"fence,omitempty"`
	Lease    *Lease           `json:"lease,omitempty"`
	Draw     *Draw            `json:"draw,omitempty"`
}

// NextFence requests the next fencing token of a target.
type NextFence struct {
	Target string `json:"target"`
}

// Lease requests a batch of leases.
type Lease struct {
	Requests []budget.Request `json:"requests"`
}

// Draw requests a batch of draws.
type Draw struct {
	Draws []budget.Draw `json:"draws"`
}

// Result is the result of a Command: the field that matches the operation is
// set, or Error when the command could not be decoded.
type Result struct {
	Error  string           `json:"error,omitempty"`
	Accept *revision.Answer `json:"accept,omitempty"`
	Claim  *once.Answer     `json:"claim,omitempty"`
	Record *once.Answer     `json:"record,omitempty"`
	Fence  uint64           `json:"fence,omitempty"`
	Lease  []budget.Grant   `json:"lease,omitempty"`
	Draw   []budget.Grant   `json:"draw,omitempty"`
}

// DecodeCommand decodes and validates a command.
func DecodeCommand(text []byte) (Command, error) {
	if len(text) > MaxCommandBytes {
		return Command{}, fmt.Errorf("%w: %d bytes, at most %d", ErrCommand, len(text), MaxCommandBytes)
	}
	var c Command
	if err := json.Unmarshal(text, &c); err != nil {
		return Command{}, fmt.Errorf("%w: %w", ErrCommand, err)
	}
	return c, c.check()
}

// Encode returns the log encoding of the command.
func (c Command) Encode() ([]byte, error) { return json.Marshal(c) }

func (c Command) check() error {
	if c.Now < 0 {
		return fmt.Errorf("%w: negative time", ErrCommand)
	}
	if n := c.countOperations(); n != 1 {
		return fmt.Errorf("%w: %d operations, want 1", ErrCommand, n)
	}
	switch {
	case c.Accept != nil:
		return checkNames("identifier", c.Accept.ID, "author", c.Accept.Author)
	case c.Claim != nil:
		return checkClaim(c.Claim.Key, c.Claim.Request)
	case c.Record != nil:
		return checkOutcome(c.Record)
	case c.Fence != nil:
		return checkNames("target", c.Fence.Target)
	case c.Draw != nil:
		return checkDraws(c.Draw.Draws)
	default:
		return checkLeases(c.Lease.Requests)
	}
}

func (c Command) countOperations() int {
	n := 0
	for _, set := range []bool{c.Accept != nil, c.Claim != nil, c.Record != nil, c.Fence != nil, c.Lease != nil, c.Draw != nil} {
		if set {
			n++
		}
	}
	return n
}

func checkClaim(k once.Key, request string) error {
	if k.Key == "" || request == "" {
		return fmt.Errorf("%w: claim without a key or request", ErrCommand)
	}
	return checkNames("account", k.Account, "service", k.Service, "key", k.Key, "request", request)
}

func checkOutcome(o *once.Outcome) error {
	switch o.State {
	case once.Done, once.Unknown, once.Released:
		return checkClaim(o.Key, o.Request)
	default:
		return fmt.Errorf("%w: state %q is not a valid outcome", ErrCommand, o.State)
	}
}

func checkLeases(requests []budget.Request) error {
	if len(requests) > MaxLeases {
		return fmt.Errorf("%w: %d leases, at most %d", ErrCommand, len(requests), MaxLeases)
	}
	for _, r := range requests {
		if err := checkNames("budget", r.Budget, "holder", r.Holder); err != nil {
			return err
		}
	}
	return nil
}

func checkDraws(draws []budget.Draw) error {
	if len(draws) > MaxLeases {
		return fmt.Errorf("%w: %d draws, at most %d", ErrCommand, len(draws), MaxLeases)
	}
	for _, d := range draws {
		if err := checkNames("stream", d.Bucket); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks the length of names, given as pairs of label and name.
func checkNames(pairs ...string) error {
	for i := 0; i+1 < len(pairs); i += 2 {
		if len(pairs[i+1]) > MaxKeyBytes {
			return fmt.Errorf("%w: %s of %d bytes, at most %d", ErrCommand, pairs[i], len(pairs[i+1]), MaxKeyBytes)
		}
	}
	return nil
}
