package mesh

import "github.com/jacinthplank/jacinthplank/submit"

// noBacklog is what an entry tells of the endpoint beside it: it has none.
func noBacklog() *submit.Backlog { return nil }
