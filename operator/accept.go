package operator

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/plan"
)

// acceptance is one run of accept.
type acceptance struct {
	command  *acceptCommand
	terminal Terminal
	client   *fleetClient
	mine     *fleet.Configuration
	document []byte
	digest   string
	record   record
	current  *revision.Update // accepted last
}

func (c *acceptCommand) run(ctx context.Context, t Terminal) error {
	a, err := c.prepare(ctx, t)
	if err != nil {
		return err
	}
	if a.alreadyThere() {
		fmt.Fprintf(t.Out, "The answers are in force already, as revision %s.\n", a.current.Version)
		if err := a.settle(a.current.Version); err != nil {
			return err
		}
		return a.waitInForce(ctx, a.current.Version)
	}
	change, err := a.change()
	if err != nil {
		return err
	}
	answer, err := a.client.accept(ctx, change)
	if err != nil {
		fmt.Fprintf(t.Err, "Whether the change %s was accepted is not known. Run the same command again: it cannot be accepted twice.\n", change.ID)
		return err
	}
	return a.judge(ctx, answer)
}

func (c *acceptCommand) prepare(ctx context.Context, t Terminal) (*acceptance, error) {
	a := &acceptance{command: c, terminal: t}
	answers, err := loadAnswers(c.Answers)
	if err != nil {
		return nil, err
	}
	a.mine = plan.Configuration(answers)
	if err := a.mine.Validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(a.mine)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if a.document, err = revision.Canonical(text); err != nil {
		return nil, trace.Wrap(err)
	}
	a.digest = revision.Digest(a.document)
	if a.record, err = readRecord(c.Answers); err != nil {
		return nil, err
	}
	if a.client, err = c.dial(); err != nil {
		return nil, err
	}
	a.current, err = a.client.inForce(ctx)
	return a, err
}

// alreadyThere reports whether the answers are what was accepted last.
func (a *acceptance) alreadyThere() bool {
	return a.current.Digest == a.digest && a.current.Version != revision.Version{}
}

// change returns the change to send. One that was sent without an answer is sent
// again as it was.
func (a *acceptance) change() (revision.Change, error) {
	if !a.resends() {
		base := a.record.Base
		if a.record.Revision != "" {
			base = a.record.Revision
		}
		if a.command.Base != "" {
			base = a.command.Base
		}
		a.record = record{
			Identifier: newIdentifier(),
			Author:     a.command.Author,
			Epoch:      a.command.Epoch,
			Base:       base,
			Digest:     a.digest,
		}
	}
	base, err := parseRevision(a.record.Base)
	if err != nil {
		return revision.Change{}, exitWith(ExitBadInput, "%w", err)
	}
	if err := a.record.write(a.command.Answers); err != nil {
		return revision.Change{}, err
	}
	return revision.Change{
		ID:       a.record.Identifier,
		Base:     base,
		Epoch:    a.record.Epoch,
		Author:   a.record.Author,
		Document: a.document,
	}, nil
}

// resends reports whether this is the command that was run without an answer.
func (a *acceptance) resends() bool {
	sameBase := a.command.Base == "" || a.command.Base == a.record.Base
	sameEpoch := a.command.Epoch == 0 || a.command.Epoch == a.record.Epoch
	return a.record.pending() && a.record.Digest == a.digest && sameBase && sameEpoch
}

func (a *acceptance) judge(ctx context.Context, answer *revision.Answer) error {
	switch answer.Verdict {
	case revision.Accepted:
		if err := a.settle(answer.Version); err != nil {
			return err
		}
		a.tellMeaning()
		fmt.Fprintf(a.terminal.Out, "Accepted as revision %s (change %s).\n", answer.Version, a.record.Identifier)
		return a.waitInForce(ctx, answer.Version)
	case revision.Conflict:
		return a.conflict(answer)
	case revision.IdentifierReused:
		a.forget()
		return exitWith(ExitConflict, "another change had the identifier of this one; nothing was done. Run the command again")
	default:
		a.forget()
		return exitWith(ExitBadInput, "the change was refused: %s", answer.Reason)
	}
}

func (a *acceptance) tellMeaning() {
	before, _ := configurationOf(a.current.Document)
	for _, s := range plan.Meaning(before, a.mine) {
		fmt.Fprintln(a.terminal.Out, s)
	}
}

// conflict tells what was accepted in the meantime and what the answers would
// change in it.
func (a *acceptance) conflict(answer *revision.Answer) error {
	base := a.record.Base
	a.forget()
	theirs, err := configurationOf(answer.Document)
	if err != nil {
		return err
	}
	out := a.terminal.Out
	fmt.Fprintf(out, "Conflict: the answers follow %s, but revision %s%s is in force. Nothing was changed.\n",
		follows(base), answer.Version, by(answer.Author))
	fmt.Fprintf(out, "\nPut on top of revision %s, your answers would mean:\n", answer.Version)
	for _, s := range plan.Meaning(theirs, a.mine) {
		fmt.Fprintln(out, "  "+s)
	}
	fmt.Fprintln(out, "\nThe differences, from what is in force to your answers:")
	for _, c := range fleet.Diff(theirs, a.mine) {
		fmt.Fprintln(out, "  "+c.String())
	}
	return exitWith(ExitConflict, "\nTake over into %s what you want to keep of revision %s, then run `jacinthplank accept %s --base %s`",
		a.command.Answers, answer.Version, a.command.Answers, answer.Version)
}

// settle records the revision that the answers now follow.
func (a *acceptance) settle(v revision.Version) error {
	a.record.Revision = v.String()
	a.record.Digest = a.digest
	return a.record.write(a.command.Answers)
}

// forget drops a change that was refused, so that the next run sends a new one.
// The base stays: it is still what the answers follow.
func (a *acceptance) forget() {
	fresh := record{Base: a.record.Base}
	if err := fresh.write(a.command.Answers); err != nil {
		fmt.Fprintln(a.terminal.Err, trace.UserMessage(err))
	}
}

func configurationOf(document []byte) (*fleet.Configuration, error) {
	if len(document) == 0 {
		return nil, nil
	}
	var c fleet.Configuration
	if err := json.Unmarshal(document, &c); err != nil {
		return nil, trace.Wrap(err, "the configuration in force cannot be read")
	}
	return &c, nil
}

func follows(base string) string {
	if base == "" {
		return "no revision yet"
	}
	return "revision " + base
}

func by(author string) string {
	if author == "" {
		return ""
	}
	return " by " + author
}
