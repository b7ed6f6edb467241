package timeline

import (
	_ "embed"
	"html/template"
	"io"
	"sort"
	"time"
)

//go:embed page.html
var pageHTML string

var pageTemplate = template.Must(template.New("page").Parse(pageHTML))

// page is the data of the HTML page: a column for each daemon, a row for each
// event.
type page struct {
	Title    string
	Warnings []string
	Daemons  []string
	Rows     []pageRow
}

type pageRow struct {
	Time    string
	Since   string // time since the first event
	Kind    Kind
	Request string
	About   string
	Bad     bool
	Cells   []bool // true in the column of the event's daemon
}

// WriteHTML writes the timeline as a self-contained HTML page.
func (l Timeline) WriteHTML(w io.Writer, title string) error {
	p := page{Title: title, Warnings: l.Warnings(), Daemons: l.daemons()}
	column := map[string]int{}
	for i, name := range p.Daemons {
		column[name] = i
	}
	for i := range l.Events {
		e := &l.Events[i]
		row := pageRow{
			Time:    e.Stamp().Time().Format(timeLayout),
			Since:   e.Stamp().Time().Sub(l.Events[0].Stamp().Time()).Round(time.Microsecond).String(),
			Kind:    e.Kind,
			Request: requestLabel(e),
			About:   e.Summary(),
			Bad:     e.Kind == KindFailed || e.Kind == KindRefused,
			Cells:   make([]bool, len(p.Daemons)),
		}
		row.Cells[column[e.Daemon]] = true
		p.Rows = append(p.Rows, row)
	}
	return pageTemplate.Execute(w, p)
}

func (l Timeline) daemons() []string {
	seen := map[string]bool{}
	var names []string
	for i := range l.Events {
		if name := l.Events[i].Daemon; !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}
