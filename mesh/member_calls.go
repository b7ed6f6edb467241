package mesh

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Timing and limits of calls to the members of the quorum.
const (
	// memberCallTimeout bounds one call to one member; an election takes as long.
	memberCallTimeout = 700 * time.Millisecond
	// memberHedgeDelay is the time without an answer after which the next member is called too:
	// a round trip between failure domains and a sync, which takes 150 ms on a slowed disk. An
	// operator's 900 ms suffice for two silent members and a leader that slow.
	memberHedgeDelay = 200 * time.Millisecond
	// memberRetryDelay is the time after an answer before the same member is called again. It is
	// doubled with each further answer, up to maxMemberRetryDelay: without a leader, all entries
	// that have just started ask the members that hold an election.
	memberRetryDelay    = quorumTickInterval / 2
	maxMemberRetryDelay = 4 * memberRetryDelay
	// maxMemberCalls bounds the calls in progress.
	maxMemberCalls = 8
	// maxSilentMembers bounds the addresses that are remembered as silent.
	maxSilentMembers = 64
)

var memberCallsHedged = metrics.NewCounter("jacinthplank_mesh_member_calls_hedged_total")

// memberResult is the result of a call to a member. Its error is nil if the member acted as the
// leader.
type memberResult[A any] struct {
	address  string
	answer   A
	isSilent bool // there was no response
	err      error
	leadership
}

// silentResult is the result of a call without a response.
func silentResult[A any](err error) memberResult[A] {
	return memberResult[A]{isSilent: true, err: err}
}

// callMembers calls attempt for each member, the leader first, until one answers or ctx ends.
// A member that doesn't answer soon is not waited for: the next one is called too, so the
// command of a call must allow to be given twice. On an error, each call that was made has
// returned from attempt.
func callMembers[A any](ctx context.Context, c *quorumManager, attempt func(ctx context.Context, address string) memberResult[A]) (A, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var none A
	lastErr := errNoQuorum
	calls := memberCalls{startedAt: map[string]time.Time{}, notBefore: map[string]time.Time{}, answers: map[string]int{}}
	results := make(chan memberResult[A], maxMemberCalls)
	timer := time.NewTimer(0)
	defer timer.Stop()
	done := ctx.Done()
	for done != nil || len(calls.startedAt) > 0 {
		select {
		case <-done:
			done = nil // calls in progress end with it
			timer.Stop()
		case <-timer.C:
			if ctx.Err() != nil || calls.isTooLate(ctx) {
				continue
			}
			if address := calls.next(c.memberAddresses(), time.Now()); address != "" {
				go func() {
					attemptCtx, cancel := context.WithTimeout(callCtx, memberCallTimeout)
					defer cancel()
					r := attempt(attemptCtx, address)
					r.address = address
					results <- r
				}()
				timer.Reset(memberHedgeDelay)
			} else {
				timer.Reset(memberRetryDelay)
			}
		case r := <-results:
			isSlow := calls.end(r.address, time.Now())
			c.noteResult(r.address, r.isSilent && (isSlow || ctx.Err() == nil))
			if r.err == nil {
				c.noteLeader(r.address, r.Term)
				for _, address := range calls.slow(time.Now()) {
					c.noteResult(address, true)
				}
				return r.answer, nil
			}
			lastErr = r.err
			if r.Denied || r.Leader != "" {
				c.noteDenial(r.address, r.Denial)
				calls.preferred = r.Leader
			}
			if done != nil {
				timer.Reset(calls.pause())
			}
		}
	}
	return none, errors.Join(errNoQuorum, lastErr)
}

// memberCalls are the calls of one callMembers.
type memberCalls struct {
	startedAt map[string]time.Time // of the calls in progress, by address
	notBefore map[string]time.Time // earliest time of the next call, by address
	answers   map[string]int       // by address
	preferred string               // address that the last denial named; empty for none
}

// next returns the first address that may be called now, and records the call; empty if there is none.
func (c *memberCalls) next(order []string, now time.Time) string {
	if len(c.startedAt) >= maxMemberCalls {
		return ""
	}
	if c.preferred != "" {
		order = append([]string{c.preferred}, order...)
		c.preferred = ""
	}
	for _, address := range order {
		if _, inProgress := c.startedAt[address]; inProgress || now.Before(c.notBefore[address]) {
			continue
		}
		if len(c.startedAt) > 0 {
			memberCallsHedged.Inc()
		}
		c.startedAt[address] = now
		return address
	}
	return ""
}

// isTooLate reports whether another call would hardly be answered before ctx ends. It would only
// make the outcome unknown.
func (c *memberCalls) isTooLate(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && len(c.notBefore) > 0 && time.Until(deadline) < memberRetryDelay
}

// end records the end of a call and reports whether it took memberHedgeDelay or longer.
func (c *memberCalls) end(address string, now time.Time) (isSlow bool) {
	isSlow = now.Sub(c.startedAt[address]) >= memberHedgeDelay
	delete(c.startedAt, address)
	c.notBefore[address] = now.Add(min(memberRetryDelay<<min(c.answers[address], 8), maxMemberRetryDelay))
	c.answers[address]++
	return isSlow
}

// pause returns the time until the next call after one that failed. If the member named one that
// is being called, that one gets its time: it may be the leader, with a slow disk.
func (c *memberCalls) pause() time.Duration {
	if _, inProgress := c.startedAt[c.preferred]; inProgress {
		return memberHedgeDelay
	}
	return 0
}

// slow returns the addresses that have not answered within memberHedgeDelay.
func (c *memberCalls) slow(now time.Time) []string {
	var out []string
	for address, startedAt := range c.startedAt {
		if now.Sub(startedAt) >= memberHedgeDelay {
			out = append(out, address)
		}
	}
	return out
}

// noteResult records whether a member was silent in its last call.
func (c *quorumManager) noteResult(address string, isSilent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isSilent {
		delete(c.silent, address)
		return
	}
	if c.silent == nil || len(c.silent) >= maxSilentMembers {
		c.silent = map[string]bool{}
	}
	c.silent[address] = true
}

// memberAddresses returns the members' addresses: the likely leader first, those that were
// silent in their last call at the end.
func (c *quorumManager) memberAddresses() []string {
	out := c.knownMembers()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(out, func(a, b string) int {
		switch {
		case c.silent[a] == c.silent[b]:
			return 0
		case c.silent[b]:
			return -1
		default:
			return 1
		}
	})
	return out
}

// knownMembers returns the members' addresses, the likely leader first.
func (c *quorumManager) knownMembers() []string {
	leader, _ := c.leaderAddress()
	var out []string
	if leader != "" {
		out = append(out, leader)
	}
	for _, v := range c.knownVoters() {
		if address := c.addresses.current(v).Address; address != leader && address != "" {
			out = append(out, address)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, r := range c.mesh.gossip.Members() {
		if !r.State.Gone() && hasDisk(r) {
			out = append(out, r.Address)
		}
	}
	slices.SortFunc(out, strings.Compare)
	if len(out) == 0 {
		// No member is known yet; the seeds know the leader.
		out = append(out, c.mesh.options.Seeds...)
	}
	return out
}
