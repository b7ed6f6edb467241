package operator

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/explain"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// collectEvents asks every daemon for the events that match filter.
func (f *fleetClient) collectEvents(ctx context.Context, filter timeline.Filter) (timeline.Timeline, error) {
	members, err := f.daemons(ctx)
	if err != nil {
		return timeline.Timeline{}, err
	}
	return timeline.Merge(f.queryEvents(ctx, members, filter)), nil
}

// collectRequestEvents collects the events of one request: from the entries first, then
// from the endpoints that they placed it on. When no entry knows the request, every
// daemon is asked.
func (f *fleetClient) collectRequestEvents(ctx context.Context, id string) (timeline.Timeline, error) {
	members, err := f.daemons(ctx)
	if err != nil {
		return timeline.Timeline{}, err
	}
	filter := timeline.Filter{Request: id}
	parts := f.queryEvents(ctx, withDuty(members, settings.DutyEntry), filter)
	line := timeline.Merge(parts)
	if !explain.Found(line, id) {
		return timeline.Merge(f.queryEvents(ctx, members, filter)), nil
	}
	parts = append(parts, f.queryEvents(ctx, membersOfEndpoints(members, line), filter)...)
	return timeline.Merge(parts), nil
}

func withDuty(members []member, duty settings.Duty) []member {
	var matching []member
	for _, m := range members {
		if slices.Contains(m.duties, string(duty)) {
			matching = append(matching, m)
		}
	}
	return matching
}

// membersOfEndpoints returns the daemons of the endpoints named in the events, except
// those already asked as entries.
func membersOfEndpoints(members []member, line timeline.Timeline) []member {
	named := map[string]bool{}
	for i := range line.Events {
		named[line.Events[i].Endpoint] = true
	}
	var matching []member
	for _, m := range members {
		if named[m.name] && !slices.Contains(m.duties, string(settings.DutyEntry)) {
			matching = append(matching, m)
		}
	}
	return matching
}

func (f *fleetClient) queryEvents(ctx context.Context, members []member, filter timeline.Filter) []timeline.Part {
	parts := make([]timeline.Part, len(members))
	forEachMember(members, func(i int, m member) {
		ctx, cancel := context.WithTimeout(ctx, f.timeout)
		defer cancel()
		answer, err := f.peer(m.address).Events(ctx, connect.NewRequest(timeline.FilterToProto(filter)))
		if err != nil {
			parts[i] = timeline.Part{Daemon: m.name, Err: err}
			return
		}
		parts[i] = timeline.PartFromProto(answer.Msg)
	})
	return parts
}

func (c *explainCommand) run(ctx context.Context, t Terminal) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	line, err := client.collectRequestEvents(ctx, c.Request)
	if err != nil {
		return err
	}
	if err := explain.Write(t.Out, explain.Trim(line, c.Request), c.Request); err != nil {
		return err
	}
	if !explain.Found(line, c.Request) {
		return exitWith(ExitNotFound, "request %s was not found", c.Request)
	}
	return nil
}

func (c *timelineCommand) run(ctx context.Context, t Terminal) error {
	filter, err := c.filter(time.Now())
	if err != nil {
		return err
	}
	client, err := c.dial()
	if err != nil {
		return err
	}
	line, err := client.collectEvents(ctx, filter)
	if err != nil {
		return err
	}
	if c.Output == "" {
		return c.write(t.Out, line)
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	if err := c.write(file, line); err != nil {
		return err
	}
	fmt.Fprintf(t.Out, "Wrote %d events to %s.\n", len(line.Events), c.Output)
	return trace.ConvertSystemError(file.Sync())
}

func (c *timelineCommand) write(w io.Writer, line timeline.Timeline) error {
	switch c.Format {
	case "json":
		return line.WriteJSON(w)
	case "html":
		return line.WriteHTML(w, "Time line")
	default:
		return line.WriteText(w)
	}
}

func (c *timelineCommand) filter(now time.Time) (timeline.Filter, error) {
	filter := timeline.Filter{Request: c.Request, Endpoint: c.Endpoint, Account: c.Account, Limit: c.Limit, From: now.Add(-c.Since)}
	if c.Format != "text" && c.Format != "json" && c.Format != "html" {
		return filter, exitWith(ExitBadInput, "--format: found %q; expected text, json or html", c.Format)
	}
	var err error
	if c.From != "" {
		if filter.From, err = parseTime("--from", c.From); err != nil {
			return filter, err
		}
	}
	if c.To != "" {
		if filter.To, err = parseTime("--to", c.To); err != nil {
			return filter, err
		}
	}
	return filter, nil
}

func parseTime(flag, text string) (time.Time, error) {
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return at, exitWith(ExitBadInput, "%s: found %q; expected a time such as 2026-03-02T12:00:00Z", flag, text)
	}
	return at, nil
}
