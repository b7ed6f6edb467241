package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/plan"
	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

func (c *initCommand) run(_ context.Context, t Terminal) error {
	if _, err := os.Stat(c.Answers); err == nil && !c.Force {
		return exitWith(ExitBadInput, "%s already exists; use --force to replace it", c.Answers)
	}
	answers, err := c.collectAnswers(t)
	if errors.Is(err, questionnaire.ErrRepliesEnded) {
		return exitWith(ExitBadInput, "%w; nothing was written", err)
	}
	var faults tomlcheck.Faults
	if err != nil && (answers == nil || !errors.As(err, &faults)) {
		return err
	}
	if err := os.WriteFile(c.Answers, []byte(answers.Text()), 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	if len(faults) > 0 {
		// Load the file again, so that the faults have line numbers.
		fmt.Fprintf(t.Out, "\nYour answers are in %s. Some are invalid: correct them there, then run `jacinthplank check %s`.\n", c.Answers, c.Answers)
		_, err := questionnaire.Load(c.Answers)
		return err
	}
	fmt.Fprintf(t.Out, "\nYour answers are in %s. Review and edit them, then run `jacinthplank plan %s`.\n", c.Answers, c.Answers)
	return nil
}

func (c *initCommand) collectAnswers(t Terminal) (*questionnaire.Answers, error) {
	if c.Name != "" {
		return questionnaire.FromOutline(questionnaire.Outline{
			Name:           c.Name,
			FailureDomains: c.FailureDomains,
			Models:         c.Models,
			Services:       c.Services,
			Accounts:       c.Accounts,
			Entries:        c.Entries,
			Endpoints:      c.Endpoints,
			Disk:           c.Disk,
		})
	}
	if c.Replies == "" {
		return questionnaire.Ask(t.In, t.Out)
	}
	replies, err := os.Open(c.Replies)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer replies.Close()
	return questionnaire.Ask(replies, t.Out)
}

func (c *planCommand) run(_ context.Context, t Terminal) error {
	answers, err := loadAnswers(c.Answers)
	if err != nil {
		return err
	}
	files, err := plan.Files(answers)
	if err != nil {
		return err
	}
	before, err := readGenerated(c.Output)
	if err != nil {
		return err
	}
	var sentences []string
	if before.configuration == nil {
		sentences = plan.DescribeChanges(nil, plan.Configuration(answers))
	} else {
		sentences = plan.DescribeChanges(before.configuration, plan.Configuration(answers))
		sentences = append(sentences, plan.DescribeDaemonChanges(before.daemons, plan.Daemons(answers))...)
	}
	if len(sentences) == 0 {
		sentences = []string{"Nothing changes."}
	}
	for _, s := range sentences {
		fmt.Fprintln(t.Out, s)
	}
	for _, s := range plan.Advice(answers) {
		fmt.Fprintln(t.Out, "Note: "+s)
	}
	if c.Dry {
		return nil
	}
	if err := plan.Write(c.Output, files); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "\n%d files are in %s. `jacinthplank accept %s` puts the fleet configuration in force.\n", len(files), c.Output, c.Answers)
	return nil
}

// generatedFiles holds the files written by an earlier plan.
type generatedFiles struct {
	configuration *fleet.Configuration // nil if there is none
	daemons       []*settings.Daemon
}

func readGenerated(folder string) (generatedFiles, error) {
	var g generatedFiles
	c, err := fleet.Load(filepath.Join(folder, plan.ConfigurationFile))
	if trace.IsNotFound(err) {
		return g, nil
	}
	if err != nil {
		return g, err
	}
	g.configuration = c
	paths, err := filepath.Glob(filepath.Join(folder, plan.DaemonsFolder, "*.toml"))
	if err != nil {
		return g, trace.Wrap(err)
	}
	for _, path := range paths {
		d, err := settings.Load(path)
		if err != nil {
			return g, err
		}
		g.daemons = append(g.daemons, d)
	}
	return g, nil
}

func loadAnswers(path string) (*questionnaire.Answers, error) {
	answers, err := questionnaire.Load(path)
	if trace.IsNotFound(err) {
		return nil, exitWith(ExitBadInput, "answers file %s does not exist; `jacinthplank init` creates one", path)
	}
	return answers, err
}

func (c *checkCommand) run(_ context.Context, t Terminal) error {
	var faults tomlcheck.Faults
	for _, path := range c.Files {
		err := checkFile(path)
		var found tomlcheck.Faults
		switch {
		case errors.As(err, &found):
			faults = append(faults, found...)
		case err != nil:
			faults = append(faults, tomlcheck.Fault{File: path, Problem: trace.UserMessage(err), Expected: "a readable file"})
		default:
			fmt.Fprintf(t.Out, "%s: good\n", path)
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// checkFile checks a file according to its type, which it detects by section: settings
// have [instance], answers have [times], other files are configurations.
func checkFile(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	switch {
	case hasSection(data, "[instance]"):
		_, err = settings.Parse(path, data)
	case hasSection(data, "[times]"):
		_, err = questionnaire.Parse(path, data)
	default:
		_, err = fleet.Parse(path, data)
	}
	return err
}

func hasSection(data []byte, header string) bool {
	for _, line := range strings.Split(string(data), "\n") {
		if strings.TrimSpace(line) == header {
			return true
		}
	}
	return false
}
