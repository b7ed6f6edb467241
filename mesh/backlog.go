package mesh

import "github.com/jacinthplank/jacinthplank/submit"

// noBacklog is the backlog reported in heartbeats: an entry runs no endpoint.
func noBacklog() *submit.Backlog { return nil }
