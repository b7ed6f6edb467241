package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// ErrRepliesEnded is returned if the replies end before the last question.
var ErrRepliesEnded = errors.New("the replies ended before the last question")

// prompt asks questions one by one. After the first failure it asks no further
// questions.
type prompt struct {
	in  *bufio.Scanner
	out io.Writer
	// echo writes each reply after its question, for replies that are not typed on a
	// terminal.
	echo bool
	err  error
}

// line asks for a line of text. An empty reply selects the default.
func (p *prompt) line(question, def string) string {
	if p.err != nil {
		return def
	}
	if def != "" {
		question += " [" + def + "]"
	}
	fmt.Fprint(p.out, question+"\n> ")
	if !p.in.Scan() {
		p.err = ErrRepliesEnded
		if err := p.in.Err(); err != nil {
			p.err = err
		}
		return def
	}
	reply := strings.TrimSpace(p.in.Text())
	if p.echo {
		fmt.Fprintln(p.out, reply)
	}
	if reply == "" {
		return def
	}
	return reply
}

// askUntilValid repeats the question until check accepts the reply.
func (p *prompt) askUntilValid(question, def string, check func(string) error) string {
	for {
		reply := p.line(question, def)
		if p.err != nil {
			return reply
		}
		err := check(reply)
		if err == nil {
			return reply
		}
		fmt.Fprintf(p.out, "  Invalid reply: %v.\n", err)
	}
}

func (p *prompt) required(question, def string) string {
	return p.askUntilValid(question, def, func(s string) error {
		if s == "" {
			return errors.New("a reply is required")
		}
		return nil
	})
}

func (p *prompt) yesNo(question string, def bool) bool {
	text := "no"
	if def {
		text = "yes"
	}
	reply := p.askUntilValid(question+" (yes or no)", text, func(s string) error {
		if s != "yes" && s != "no" && s != "y" && s != "n" {
			return errors.New("enter yes or no")
		}
		return nil
	})
	return strings.HasPrefix(reply, "y")
}

func (p *prompt) list(question string, minItems int) []string {
	reply := p.askUntilValid(question, "", func(s string) error {
		if len(splitList(s)) < minItems {
			return fmt.Errorf("at least %d required, separated by commas", minItems)
		}
		return nil
	})
	return splitList(reply)
}

func (p *prompt) oneOf(question, def string, valid []string) string {
	if len(valid) == 1 {
		return valid[0]
	}
	return p.askUntilValid(fmt.Sprintf("%s (%s)", question, strings.Join(valid, ", ")), def, func(s string) error {
		if !slices.Contains(valid, s) {
			return fmt.Errorf("%q is not one of %s", s, strings.Join(valid, ", "))
		}
		return nil
	})
}

func (p *prompt) time(question string, def fleet.Duration) fleet.Duration {
	var d fleet.Duration
	p.askUntilValid(question, strings.Trim(formatDuration(def), `"`), func(s string) error {
		if err := d.UnmarshalText([]byte(s)); err != nil || d < 0 {
			return errors.New(`enter a time such as "300us", "30s" or "2h"`)
		}
		return nil
	})
	return d
}

func (p *prompt) number(question string, def, minimum, maximum int) int {
	var n int
	p.askUntilValid(question, strconv.Itoa(def), func(s string) error {
		var err error
		if n, err = strconv.Atoi(s); err != nil || n < minimum || n > maximum {
			return fmt.Errorf("enter a number from %d to %d", minimum, maximum)
		}
		return nil
	})
	return n
}

func (p *prompt) printLine(text string) {
	if p.err == nil {
		fmt.Fprintln(p.out, text)
	}
}

func splitList(s string) []string {
	var items []string
	for _, item := range strings.Split(s, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
