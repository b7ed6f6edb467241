package losses

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// WriteTable writes the account as a table, most requests first.
func (a *Account) WriteTable(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "%d of %d requests were late, refused or failed\n", a.Lost, a.Requests); err != nil {
		return trace.Wrap(err)
	}
	if a.Skipped > 0 {
		if _, err := fmt.Fprintf(out, "%d lines are not JSON and were skipped\n", a.Skipped); err != nil {
			return trace.Wrap(err)
		}
	}
	if a.Lost == 0 {
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "cause\tprompt up to\trequests\tprompt tokens\tmost in one second")
	for _, r := range a.Rows() {
		second, n := r.WorstSecond()
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d at %s\n", r.Cause, sizeName(r.Size), r.Requests, r.Tokens, n, second.Format("15:04:05"))
	}
	return trace.Wrap(w.Flush())
}

func sizeName(limit int) string {
	if limit == 0 {
		return "none"
	}
	return fmt.Sprint(limit)
}
