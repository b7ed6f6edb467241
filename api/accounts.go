package api

import (
	"sync/atomic"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// accountIndex finds client accounts by the digest of their keys. It is made
// anew when another configuration is in force.
type accountIndex struct {
	current atomic.Pointer[indexed]
}

// indexed is the index of one configuration. It never changes.
type indexed struct {
	configuration *fleet.Configuration
	accounts      map[string]*fleet.Account
}

// find returns the account of a key's digest, nil when there is none.
func (x *accountIndex) find(c *fleet.Configuration, digest string) *fleet.Account {
	now := x.current.Load()
	if now == nil || now.configuration != c {
		now = index(c)
		x.current.Store(now)
	}
	return now.accounts[digest]
}

func index(c *fleet.Configuration) *indexed {
	accounts := make(map[string]*fleet.Account, len(c.Accounts))
	for i := range c.Accounts {
		for _, digest := range c.Accounts[i].KeyDigests {
			accounts[digest] = &c.Accounts[i]
		}
	}
	return &indexed{c, accounts}
}
