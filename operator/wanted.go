package operator

import (
	"context"
	"slices"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// modelRow compares the endpoints that serve a model with those wanted.
type modelRow struct {
	Name    string `json:"name"`
	Serving int    `json:"serving"` // endpoints that are known and not leaving
	Wanted  int    `json:"wanted"`
}

// accepted returns the configuration accepted last, nil when it cannot be read.
func (f *fleetClient) accepted(ctx context.Context) *fleet.Configuration {
	update, err := f.inForce(ctx)
	if err != nil {
		return nil
	}
	c, err := configurationOf(update.Document)
	if err != nil {
		return nil
	}
	return c
}

// modelRows counts the endpoints of each model of the configuration.
func modelRows(c *fleet.Configuration, endpoints []endpoint) []modelRow {
	if c == nil {
		return nil
	}
	var rows []modelRow
	for _, m := range c.Models {
		row := modelRow{Name: m.Name, Wanted: m.Endpoints}
		for _, e := range endpoints {
			if !e.Leaving && (slices.Contains(e.models, m.Name) || slices.Contains(e.models, m.EngineName)) {
				row.Serving++
			}
		}
		rows = append(rows, row)
	}
	return rows
}
