package operator

import (
	"context"
	"slices"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// modelRow is the actual and the wanted number of endpoints of a model.
type modelRow struct {
	Name    string `json:"name"`
	Serving int    `json:"serving"` // known endpoints that are not leaving
	Wanted  int    `json:"wanted"`
}

// latestConfiguration returns the latest accepted configuration, nil if it cannot be
// read.
func (f *fleetClient) latestConfiguration(ctx context.Context) *fleet.Configuration {
	update, err := f.latestRevision(ctx)
	if err != nil {
		return nil
	}
	c, err := decodeConfiguration(update.Document)
	if err != nil {
		return nil
	}
	return c
}

// modelRows counts the endpoints of each model in the configuration.
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
