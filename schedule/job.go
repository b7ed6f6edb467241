package schedule

import (
	"fmt"
	"math"
	"time"
)

// Job is one request for an engine. Each decision reads the first fields of all running
// jobs, so they are kept together.
type Job struct {
	Prompt    int           `json:"prompt"` // tokens
	Answer    int           `json:"answer"` // expected tokens
	BodyBytes int           `json:"bytes"`  // of the request's body
	Goal      time.Duration `json:"goal"`   // remaining time to the first event
	PauseGoal time.Duration `json:"pause_goal"`
	Remaining time.Duration `json:"left"`     // time left until the caller abandons the request
	Urgency   int           `json:"priority"` // the account's priority, else the route's; 0 is the highest. The name is that of earlier versions
	ID        string        `json:"id"`
	Owner     string        `json:"owner"` // entry that serves the caller
	Service   string        `json:"service"`
	Domain    string        `json:"domain"`  // failure domain of the owner
	Exclude   []string      `json:"exclude"` // endpoints that failed this request
	// Domains are the failure domains that may run the job or help with it; nil for any.
	Domains  []string `json:"domains,omitzero"`
	Account  string   `json:"account,omitempty"`
	Kind     string   `json:"kind,omitempty"`     // route
	Request  string   `json:"request,omitempty"`  // the same for all attempts of a caller; empty if unknown
	Returned bool     `json:"returned,omitempty"` // the caller was refused with a retry time and returns at that time

	yields  bool // placed only where no prefill is queued
	starved bool // its account or kind is served far less often than all; see minScore
}

// After returns the job with its time limits reduced by d.
func (j Job) After(d time.Duration) Job {
	j.Goal -= d
	j.Remaining -= d
	return j
}

// maxTokens is more than any engine holds. Sums of counts up to it don't overflow.
const maxTokens = math.MaxInt32

// Validate returns an error that names a number of a job of another writer that is out of range.
func (j *Job) Validate() error {
	for name, n := range map[string]int{"prompt": j.Prompt, "answer": j.Answer} {
		if n < 0 || n > maxTokens {
			return fmt.Errorf("job %q: %s of %d tokens, allowed are 0 to %d", j.ID, name, n, maxTokens)
		}
	}
	if j.BodyBytes < 0 {
		return fmt.Errorf("job %q: body of %d bytes", j.ID, j.BodyBytes)
	}
	return nil
}

// need returns the memory that the job needs, in tokens.
func (j *Job) need() int { return j.Prompt + j.Answer }

// Helper is an endpoint that prefills part of a prompt.
type Helper struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Tokens      int    `json:"tokens,omitempty"`      // KV cache to reserve there for the prompt
	Reservation string `json:"reservation,omitempty"` // reservation id
}

// Decision is the placement or refusal of a job.
type Decision struct {
	Job                 string        `json:"job"`
	Endpoint            string        `json:"endpoint"` // endpoint id; empty when refused
	Address             string        `json:"address"`
	Domain              string        `json:"domain,omitempty"` // failure domain of the endpoint
	Helpers             []Helper      `json:"helpers,omitempty"`
	Expected            time.Duration `json:"expected"` // predicted time to the first event
	RetryAfter          time.Duration `json:"come_back"`
	Reason              string        `json:"reason,omitempty"`
	Cause               Cause         `json:"cause,omitempty"`       // of a refusal
	Waited              time.Duration `json:"queued,omitempty"`      // time in the queue before the decision
	Returned            bool          `json:"returned,omitempty"`    // the job was recognized as that of a caller that returns at its time
	Ahead               int           `json:"ahead,omitempty"`       // queued jobs that go before it, if refused
	OverShare           bool          `json:"over_share,omitempty"`  // its account used more than its share, if refused
	KindServed          float64       `json:"kind_served,omitempty"` // share of its kind's requests that was served lately, if refused
	Endpoints           int           `json:"endpoints"`             // endpoints considered
	EnginesWithCapacity int           `json:"room"`                  // engines with a free slot and enough memory for the job
	Utilization         float64       `json:"busy"`                  // utilization of the engines, from 0 to 1
	Score               float64       `json:"score"`                 // value of the best placement less its costs
	QueueLength         int           `json:"waiting"`               // queued jobs
	NoHome              bool          `json:"no_home,omitempty"`     // refused because no endpoint may run the job
	// Cold is set if the endpoint was cold, and the job was taken out of what it may get
	// meanwhile.
	Cold bool `json:"cold,omitempty"`
	// DecidedAt is when the job was placed, by the clock of this process; of a decision of
	// another process the earliest time at which that may have been.
	DecidedAt time.Time `json:"-"`
}

// Refused reports whether the job was not placed.
func (d *Decision) Refused() bool { return d.Endpoint == "" }

// Outcome is how a job ended at its endpoint.
type Outcome uint8

// Outcomes of a job.
const (
	Done     Outcome = iota // answered, or abandoned by the caller
	Rejected                // refused by the endpoint before execution
	Failed                  // failed at the endpoint
)

// PlacedJob is a job with its decision.
type PlacedJob struct {
	Job      Job           `json:"job"`
	Decision Decision      `json:"decision"`
	Age      time.Duration `json:"since"` // time since placement
	Decoding bool          `json:"writing"`
}

// Validate returns an error for a job of another writer with numbers out of range.
func (p *PlacedJob) Validate() error {
	if err := p.Job.Validate(); err != nil {
		return err
	}
	left := p.Job.need()
	for _, h := range p.Decision.Helpers {
		if h.Tokens < 0 || h.Tokens > left {
			return fmt.Errorf("job %q: %d tokens at helper %q, %d are left", p.Job.ID, h.Tokens, h.ID, left)
		}
		left -= h.Tokens
	}
	return nil
}

// Callers abandon a silent stream after the longest of these times, counted from
// its start or its last event. The values are the platform's contract with callers.
const (
	minStreamTimeout    = 2 * time.Second
	streamTimeoutGoals  = 4 // multiple of the goal for the first event
	streamTimeoutPauses = 8 // multiple of the goal for a pause
)

// maxWaitShare is the share of the caller's stream timeout that a job may spend in
// the queue; the rest is left for prefill.
const maxWaitShare = 0.25

// A job that has waited for half of its goal and for several engine passes is
// unlikely to meet the goal; it is better refused so that its caller retries.
const (
	maxWaitGoalShare = 0.5
	minGoalWait      = 500 * time.Millisecond
)

// MaxWait returns how long a job may stay queued.
func (j *Job) MaxWait() time.Duration {
	if j.isLate() {
		return max(min(maxLateWait, j.Remaining/4), 0)
	}
	streamTimeout := max(minStreamTimeout, streamTimeoutGoals*j.Goal, streamTimeoutPauses*j.PauseGoal)
	goalWait := max(minGoalWait, time.Duration(maxWaitGoalShare*float64(j.Goal)))
	return max(min(time.Duration(maxWaitShare*float64(streamTimeout)), goalWait, j.Remaining/2), 0)
}

// isLate reports whether the goal for the first event has passed.
func (j *Job) isLate() bool { return j.Goal <= 0 }

// A late job gives way to jobs that can still be on time for maxYield, and is refused
// after maxLateWait: its caller may have little time left.
const (
	maxYield    = 500 * time.Millisecond
	maxLateWait = time.Second
)

// valueTokens scales the value of a prompt by its length relative to the mean
// request: long prompts are worth more, but less than in proportion to their
// engine time.
const valueTokens = 10_000

// value is the value of an answer within its goals.
func (j *Job) value() float64 { return 1 + float64(j.Prompt)/valueTokens }
