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

// acceptRun is the state of one run of the accept command.
type acceptRun struct {
	command  *acceptCommand
	terminal Terminal
	client   *fleetClient
	desired  *fleet.Configuration
	document []byte
	digest   string
	record   record
	current  *revision.Update // latest accepted revision
}

func (c *acceptCommand) run(ctx context.Context, t Terminal) error {
	a, err := c.prepare(ctx, t)
	if err != nil {
		return err
	}
	if a.alreadyInForce() {
		fmt.Fprintf(t.Out, "The answers are already in force as revision %s.\n", a.current.Version)
		if err := a.recordAccepted(a.current.Version); err != nil {
			return err
		}
		return a.waitInForce(ctx, a.current.Version)
	}
	change, err := a.nextChange()
	if err != nil {
		return err
	}
	answer, err := a.client.proposeChange(ctx, change)
	if err != nil {
		fmt.Fprintf(t.Err, "It is unknown whether the change %s was accepted. Run the same command again: the change cannot be accepted twice.\n", change.ID)
		return err
	}
	return a.handleAnswer(ctx, answer)
}

func (c *acceptCommand) prepare(ctx context.Context, t Terminal) (*acceptRun, error) {
	a := &acceptRun{command: c, terminal: t}
	answers, err := loadAnswers(c.Answers)
	if err != nil {
		return nil, err
	}
	a.desired = plan.Configuration(answers)
	if err := a.desired.Validate(); err != nil {
		return nil, err
	}
	text, err := json.Marshal(a.desired)
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
	a.current, err = a.client.latestRevision(ctx)
	return a, err
}

// alreadyInForce reports whether the answers match the latest accepted revision.
func (a *acceptRun) alreadyInForce() bool {
	return a.current.Digest == a.digest && a.current.Version != revision.Version{}
}

// nextChange returns the change to send. A change that was sent but got no response
// is sent again unmodified.
func (a *acceptRun) nextChange() (revision.Change, error) {
	if !a.isResend() {
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

// isResend reports whether this command repeats one whose response was lost.
func (a *acceptRun) isResend() bool {
	sameBase := a.command.Base == "" || a.command.Base == a.record.Base
	sameEpoch := a.command.Epoch == 0 || a.command.Epoch == a.record.Epoch
	return a.record.pending() && a.record.Digest == a.digest && sameBase && sameEpoch
}

func (a *acceptRun) handleAnswer(ctx context.Context, answer *revision.Answer) error {
	switch answer.Verdict {
	case revision.Accepted:
		if err := a.recordAccepted(answer.Version); err != nil {
			return err
		}
		a.printChanges()
		fmt.Fprintf(a.terminal.Out, "Accepted as revision %s (change %s).\n", answer.Version, a.record.Identifier)
		return a.waitInForce(ctx, answer.Version)
	case revision.Conflict:
		return a.reportConflict(answer)
	case revision.IdentifierReused:
		a.discardPending()
		return exitWith(ExitConflict, "the identifier of this change is already in use by another change; nothing was changed. Run the command again")
	default:
		a.discardPending()
		return exitWith(ExitBadInput, "the change was refused: %s", answer.Reason)
	}
}

func (a *acceptRun) printChanges() {
	before, _ := decodeConfiguration(a.current.Document)
	for _, s := range plan.DescribeChanges(before, a.desired) {
		fmt.Fprintln(a.terminal.Out, s)
	}
}

// reportConflict prints what was accepted in the meantime and what the answers would
// change in it.
func (a *acceptRun) reportConflict(answer *revision.Answer) error {
	base := a.record.Base
	a.discardPending()
	inForce, err := decodeConfiguration(answer.Document)
	if err != nil {
		return err
	}
	out := a.terminal.Out
	fmt.Fprintf(out, "Conflict: the answers are based on %s, but revision %s%s is in force. Nothing was changed.\n",
		describeBase(base), answer.Version, authorSuffix(answer.Author))
	fmt.Fprintf(out, "\nApplied to revision %s, your answers would have these effects:\n", answer.Version)
	for _, s := range plan.DescribeChanges(inForce, a.desired) {
		fmt.Fprintln(out, "  "+s)
	}
	fmt.Fprintln(out, "\nDifferences from the configuration in force to your answers:")
	for _, c := range fleet.Diff(inForce, a.desired) {
		fmt.Fprintln(out, "  "+c.String())
	}
	return exitWith(ExitConflict, "\nTake over into %s what you want to keep of revision %s, then run `jacinthplank accept %s --base %s`",
		a.command.Answers, answer.Version, a.command.Answers, answer.Version)
}

// recordAccepted records v as the revision that the answers are based on.
func (a *acceptRun) recordAccepted(v revision.Version) error {
	a.record.Revision = v.String()
	a.record.Digest = a.digest
	return a.record.write(a.command.Answers)
}

// discardPending removes a refused change from the record, so that the next run sends
// a new one. The base is kept because the answers are still based on it.
func (a *acceptRun) discardPending() {
	cleared := record{Base: a.record.Base}
	if err := cleared.write(a.command.Answers); err != nil {
		fmt.Fprintln(a.terminal.Err, trace.UserMessage(err))
	}
}

func decodeConfiguration(document []byte) (*fleet.Configuration, error) {
	if len(document) == 0 {
		return nil, nil
	}
	var c fleet.Configuration
	if err := json.Unmarshal(document, &c); err != nil {
		return nil, trace.Wrap(err, "cannot decode the configuration in force")
	}
	return &c, nil
}

func describeBase(base string) string {
	if base == "" {
		return "no revision yet"
	}
	return "revision " + base
}

func authorSuffix(author string) string {
	if author == "" {
		return ""
	}
	return " by " + author
}
