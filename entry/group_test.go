package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/entry"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

const memberCapacity = 400_000 // tokens

// fakeMember is an endpoint that tracks memory reservations and prefills one
// segment in a second.
type fakeMember struct {
	name         string
	mu           sync.Mutex
	reserved     map[engine.Key]int
	runs         int
	failuresLeft int // number of further segments that fail
	failure      error
}

func (m *fakeMember) reservedTokens() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, tokens := range m.reserved {
		sum += tokens
	}
	return sum
}

func (m *fakeMember) Reserve(_ context.Context, k engine.Key, tokens int, _ time.Duration) error {
	time.Sleep(time.Millisecond)
	if m.reservedTokens()+tokens > memberCapacity {
		return outcome.Refuse(outcome.CodeMemoryReserved, "endpoint.reserve", "no memory")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved[k] = tokens
	return nil
}

func (m *fakeMember) Release(_ context.Context, k engine.Key) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.reserved, k)
	return nil
}

func (m *fakeMember) Submit(_ context.Context, r submit.Request) (submit.Answer, error) {
	time.Sleep(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved[r.Key()] == 0 {
		return nil, outcome.Refuse(outcome.CodeMemoryReserved, "endpoint.admit", "no memory is reserved for the attempt")
	}
	if len(r.Group.Handles) != r.Group.Index {
		return nil, outcome.Refuse(outcome.CodeInvalidRequest, "endpoint.admit", "handles of earlier members are missing")
	}
	m.runs++
	if m.failuresLeft > 0 {
		m.failuresLeft--
		return nil, m.failure
	}
	frame := submit.Frame{Request: r.ID, Attempt: r.Attempt, Offset: r.Offset, Finish: engine.FinishLength}
	if r.Group.Index < len(r.Group.Members)-1 {
		frame.Handle = "kv:" + m.name
	} else {
		frame.Tokens, frame.Text = 1, "done"
	}
	return &frameAnswer{frames: []submit.Frame{frame}, err: io.EOF}, nil
}

// newGroupRouter returns a router with n members.
func newGroupRouter(n int) (*entry.Router, []*fakeMember) {
	d := directory.New(time.Hour)
	byName := map[string]*fakeMember{}
	var members []*fakeMember
	for i := range n {
		m := &fakeMember{name: fmt.Sprint("m", i), reserved: map[engine.Key]int{}}
		byName[m.name] = m
		members = append(members, m)
		d.Announce(time.Now(), directory.Endpoint{
			Name: m.name, Models: []string{"m"}, Incarnation: 1, Sequence: 1,
			MaxPrompt: memberCapacity, ExportsKV: true, PrefillPerSec: 20_000,
		})
	}
	return entry.NewRouter(entry.Options{
		Directory: d,
		Dial:      func(e directory.Endpoint) submit.Endpoint { return byName[e.Name] },
		Seed:      1,
	}), members
}

func longRequest(id string) submit.Request {
	return submit.Request{ID: id, Account: "acme", Model: "m", Prompt: engine.Prompt{Tokens: 1_000_000}, MaxTokens: 100, Remaining: 10 * time.Minute}
}

func submitAndRead(r *entry.Router, req submit.Request) (string, error) {
	a, err := r.Submit(context.Background(), req)
	if err != nil {
		return "", err
	}
	return readAll(a)
}

func totalReserved(members []*fakeMember) int {
	synctest.Wait()
	sum := 0
	for _, m := range members {
		sum += m.reservedTokens()
	}
	return sum
}

func TestContendingGroupsAllFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, list := newGroupRouter(4) // room for one group of 1M tokens at a time
		var done sync.WaitGroup
		for i := range 5 {
			done.Go(func() {
				text, err := submitAndRead(r, longRequest(fmt.Sprint("r", i)))
				g.Expect(err).To(Equal(io.EOF))
				g.Expect(text).To(Equal("done"))
			})
		}
		done.Wait()
		g.Expect(totalReserved(list)).To(BeZero())
	})
}

func TestMemberFailureReleasesGroup(t *testing.T) {
	for name, failure := range map[string]error{
		"killed engine":  outcome.Fail(outcome.CodeEngineFailed, outcome.Unknown, "endpoint.run", errors.New("killed")),
		"dropped export": outcome.Refuse(outcome.CodeNotFound, "engine", "KV handle is no longer exported"),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				r, list := newGroupRouter(3)
				list[1].failuresLeft, list[1].failure = 1, failure
				text, err := submitAndRead(r, longRequest("r1"))
				g.Expect(err).To(Equal(io.EOF))
				g.Expect(text).To(Equal("done"))
				g.Expect(list[0].runs).To(Equal(2), "the retry must run all segments of the group again")
				g.Expect(totalReserved(list)).To(BeZero())
			})
		})
	}
}

func TestPromptBeyondGroupLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, list := newGroupRouter(2)
		_, err := submitAndRead(r, longRequest("r1"))
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodePromptTooLong))
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		g.Expect(err.Error()).To(ContainSubstring("the limit is 678"))
		g.Expect(list[0].runs).To(BeZero())
	})
}
