package api

import (
	"sync/atomic"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// accountIndex looks up client accounts by key digest. It is rebuilt when the
// active configuration changes.
type accountIndex struct {
	current atomic.Pointer[digestIndex]
}

// digestIndex is the immutable index of one configuration.
type digestIndex struct {
	configuration *fleet.Configuration
	accounts      map[string]*fleet.Account
}

// find returns the account with the given key digest, or nil if there is none.
func (x *accountIndex) find(c *fleet.Configuration, digest string) *fleet.Account {
	index := x.current.Load()
	if index == nil || index.configuration != c {
		index = newDigestIndex(c)
		x.current.Store(index)
	}
	return index.accounts[digest]
}

func newDigestIndex(c *fleet.Configuration) *digestIndex {
	accounts := make(map[string]*fleet.Account, len(c.Accounts))
	for i := range c.Accounts {
		for _, digest := range c.Accounts[i].KeyDigests {
			accounts[digest] = &c.Accounts[i]
		}
	}
	return &digestIndex{c, accounts}
}
