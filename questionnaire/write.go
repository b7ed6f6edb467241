package questionnaire

import (
	_ "embed"
	"fmt"
	"io"
	"strings"
	"text/template"

	"github.com/jacinthplank/jacinthplank/fleet"
)

//go:embed answers.tmpl
var answersTemplateText string

var answersTemplate = template.Must(template.New("answers").Funcs(template.FuncMap{
	"text": quote,
	"list": quoteList,
	"time": formatDuration,
}).Parse(answersTemplateText))

// Write writes the answers as a commented TOML file.
func (a *Answers) Write(w io.Writer) error { return answersTemplate.Execute(w, a) }

// Text returns the output of Write.
func (a *Answers) Text() string {
	var b strings.Builder
	if err := a.Write(&b); err != nil {
		panic(err) // neither the template nor the builder can fail
	}
	return b.String()
}

// quote returns s as a TOML basic string.
func quote(s any) string {
	var b strings.Builder
	b.WriteByte('"')
	for _, c := range fmt.Sprint(s) {
		switch {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteRune(c)
		case c < ' ' || c == 0x7f:
			fmt.Fprintf(&b, `\u%04X`, c)
		default:
			b.WriteRune(c)
		}
	}
	b.WriteByte('"')
	return b.String()
}

// multilineListSize is the minimum number of elements of a list that is written
// with one element per line.
const multilineListSize = 4

func quoteList(items []string) string {
	quoted := make([]string, len(items))
	for i, item := range items {
		quoted[i] = quote(item)
	}
	if len(items) < multilineListSize {
		return "[" + strings.Join(quoted, ", ") + "]"
	}
	return "[\n  " + strings.Join(quoted, ",\n  ") + ",\n]"
}

// formatDuration formats a duration without the trailing zero units of Go's format:
// "2h" instead of "2h0m0s".
func formatDuration(d fleet.Duration) string {
	s := strings.ReplaceAll(d.D().String(), "µ", "u")
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return quote(s)
}
