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

// ErrEnded is returned when the replies end before the questions do.
var ErrEnded = errors.New("the replies ended before the last question")

// prompt asks questions one by one. After the first failure it asks no more.
type prompt struct {
	in  *bufio.Scanner
	out io.Writer
	// echo writes each reply after its question, for replies that nobody types.
	echo bool
	err  error
}

// line asks for a line of text. An empty reply means the default.
func (p *prompt) line(question, def string) string {
	if p.err != nil {
		return def
	}
	if def != "" {
		question += " [" + def + "]"
	}
	fmt.Fprint(p.out, question+"\n> ")
	if !p.in.Scan() {
		p.err = ErrEnded
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

// until asks again while check returns an error.
func (p *prompt) until(question, def string, check func(string) error) string {
	for {
		reply := p.line(question, def)
		if p.err != nil {
			return reply
		}
		err := check(reply)
		if err == nil {
			return reply
		}
		fmt.Fprintf(p.out, "  That does not fit: %v.\n", err)
	}
}

func (p *prompt) required(question, def string) string {
	return p.until(question, def, func(s string) error {
		if s == "" {
			return errors.New("an answer is needed")
		}
		return nil
	})
}

func (p *prompt) yes(question string, def bool) bool {
	text := "no"
	if def {
		text = "yes"
	}
	reply := p.until(question+" (yes or no)", text, func(s string) error {
		if s != "yes" && s != "no" && s != "y" && s != "n" {
			return errors.New("write yes or no")
		}
		return nil
	})
	return strings.HasPrefix(reply, "y")
}

func (p *prompt) list(question string, atLeast int) []string {
	reply := p.until(question, "", func(s string) error {
		if len(splitList(s)) < atLeast {
			return fmt.Errorf("at least %d needed, with commas between", atLeast)
		}
		return nil
	})
	return splitList(reply)
}

func (p *prompt) oneOf(question, def string, valid []string) string {
	if len(valid) == 1 {
		return valid[0]
	}
	return p.until(fmt.Sprintf("%s (%s)", question, strings.Join(valid, ", ")), def, func(s string) error {
		if !slices.Contains(valid, s) {
			return fmt.Errorf("%q is none of %s", s, strings.Join(valid, ", "))
		}
		return nil
	})
}

func (p *prompt) time(question string, def fleet.Duration) fleet.Duration {
	var d fleet.Duration
	p.until(question, strings.Trim(writeTime(def), `"`), func(s string) error {
		if err := d.UnmarshalText([]byte(s)); err != nil || d < 0 {
			return errors.New(`write a time such as "300us", "30s" or "2h"`)
		}
		return nil
	})
	return d
}

func (p *prompt) number(question string, def, least, most int) int {
	var n int
	p.until(question, strconv.Itoa(def), func(s string) error {
		var err error
		if n, err = strconv.Atoi(s); err != nil || n < least || n > most {
			return fmt.Errorf("write a number from %d to %d", least, most)
		}
		return nil
	})
	return n
}

func (p *prompt) say(text string) {
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
