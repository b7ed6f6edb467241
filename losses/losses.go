// Package losses accounts for the requests that were late, refused or failed: it reads
// the logs of the entries and attributes each such request to one cause.
package losses

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// Cause is why a request was late, refused or failed.
type Cause string

// Causes of a loss, in the order in which they are considered.
const (
	CauseCallerLeft  Cause = "caller left"
	CauseFailed      Cause = "failed"           // at its endpoint, or its deadline passed
	CauseCut         Cause = "cut"              // the entry closed the connection without a response
	CauseNoCapacity  Cause = "refused, no room" // no engine had a slot and memory
	CauseTooCostly   Cause = "refused, would delay others"
	CauseOthersFirst Cause = "refused, others first" // by the shares of accounts and kinds
	CauseRefused     Cause = "refused, other"
	CauseReturned    Cause = "late, returned late"  // the goal had passed when the caller came back
	CauseQueued      Cause = "late, queued"         // at the coordinator for over half of the goal
	CausePlacedLate  Cause = "late, as predicted"   // placed although it could not be on time
	CauseMispredict  Cause = "late, not predicted"  // the first event came later than predicted
	CauseInterrupted Cause = "late, pause too long" // between two events
)

// sizeLimits are the upper bounds of the size classes, in prompt tokens.
var sizeLimits = []int{0, 2_000, 8_000, 32_000, 128_000, 1_000_000}

// Key identifies a row of the account.
type Key struct {
	Cause Cause
	Size  int // upper bound of the size class in prompt tokens; 0 for requests without a prompt
}

// Row sums the lost requests of a cause and size class.
type Row struct {
	Key
	Requests int
	Tokens   int // prompt tokens
	seconds  map[int64]int
}

// WorstSecond returns the second with the most losses and their number.
func (r *Row) WorstSecond() (time.Time, int) {
	var worst int64
	for s, n := range r.seconds {
		if n > r.seconds[worst] || (n == r.seconds[worst] && s < worst) {
			worst = s
		}
	}
	return time.Unix(worst, 0).UTC(), r.seconds[worst]
}

// Account is the account of the losses in some logs.
type Account struct {
	Requests int // requests that ended, with or without a loss
	Lost     int
	Skipped  int // lines that are not JSON
	rows     map[Key]*Row
}

// requestLine is the log line of the end of a request.
type requestLine struct {
	Time         time.Time `json:"time"`
	Message      string    `json:"msg"`
	Outcome      string    `json:"outcome"`
	Code         string    `json:"code"`
	Prompt       int       `json:"prompt"`
	FirstMs      int       `json:"first_ms"`
	PauseMs      int       `json:"pause_ms"`
	WaitedMs     int       `json:"waited_ms"`
	ExpectedMs   int       `json:"expected_ms"`
	GoalMs       int       `json:"goal_ms"`
	PauseGoalMs  int       `json:"pause_goal_ms"`
	SpentMs      int       `json:"spent_earlier_ms"`
	WithRoom     int       `json:"engines_with_room"`
	RefusedBy    string    `json:"refused_by"`
	TotalMs      int       `json:"total_ms"`
	EngineChosen int       `json:"engines"`
}

// Read adds the losses of one log to the account. Lines of other kinds are ignored.
func (a *Account) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		a.add(lines.Bytes())
	}
	return trace.Wrap(lines.Err(), "read a log")
}

const maxLineBytes = 1 << 20

func (a *Account) add(text []byte) {
	// Collectors put their own fields before the line.
	start := bytes.IndexByte(text, '{')
	var l requestLine
	if start < 0 || json.Unmarshal(text[start:], &l) != nil {
		a.Skipped++
		return
	}
	if l.Message != "request" {
		return
	}
	a.Requests++
	cause, isLoss := l.cause()
	if !isLoss {
		return
	}
	a.Lost++
	k := Key{cause, l.size()}
	if a.rows == nil {
		a.rows = map[Key]*Row{}
	}
	r := a.rows[k]
	if r == nil {
		r = &Row{Key: k, seconds: map[int64]int{}}
		a.rows[k] = r
	}
	r.Requests++
	r.Tokens += l.Prompt
	r.seconds[l.Time.Add(-time.Duration(l.TotalMs)*time.Millisecond).Unix()]++
}

// cause returns the cause of a loss, or false for a request that was on time.
func (l *requestLine) cause() (Cause, bool) {
	switch l.Outcome {
	case "caller_left":
		return CauseCallerLeft, true
	case "failed", "broken", "stalled":
		return CauseFailed, true
	case "cut":
		return CauseCut, true
	case "refused":
		return l.refusal(), true
	}
	return l.lateness()
}

// shareCauses are the causes of refusals of requests that might have been placed if others did
// not go first.
var shareCauses = []schedule.Cause{schedule.CauseOverShare, schedule.CauseBacklog, schedule.CauseYields}

func (l *requestLine) refusal() Cause {
	switch {
	case l.Code != "overloaded" || l.EngineChosen == 0:
		return CauseRefused
	case slices.Contains(shareCauses, schedule.Cause(l.RefusedBy)):
		return CauseOthersFirst
	case l.WithRoom == 0:
		return CauseNoCapacity
	default:
		return CauseTooCostly
	}
}

func (l *requestLine) lateness() (Cause, bool) {
	first := l.SpentMs + l.FirstMs
	switch {
	case l.GoalMs > 0 && first > l.GoalMs && l.SpentMs > l.GoalMs:
		return CauseReturned, true
	case l.GoalMs > 0 && first > l.GoalMs && l.WaitedMs > l.GoalMs/2:
		return CauseQueued, true
	case l.GoalMs > 0 && first > l.GoalMs && l.SpentMs+l.WaitedMs+l.ExpectedMs > l.GoalMs:
		return CausePlacedLate, true
	case l.GoalMs > 0 && first > l.GoalMs:
		return CauseMispredict, true
	case l.PauseGoalMs > 0 && l.PauseMs > l.PauseGoalMs:
		return CauseInterrupted, true
	}
	return "", false
}

func (l *requestLine) size() int {
	i, _ := slices.BinarySearch(sizeLimits, l.Prompt)
	return sizeLimits[min(i, len(sizeLimits)-1)]
}

// Rows returns the rows with most requests first.
func (a *Account) Rows() []*Row {
	out := make([]*Row, 0, len(a.rows))
	for _, r := range a.rows {
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y *Row) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Cause, y.Cause), cmp.Compare(x.Size, y.Size))
	})
	return out
}
