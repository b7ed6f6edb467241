package schedule

import "time"

// Job is one request for an engine.
type Job struct {
	ID        string        `json:"id"`
	Owner     string        `json:"owner"` // entry that holds the caller
	Service   string        `json:"service"`
	Domain    string        `json:"domain"` // failure domain of the entry that holds the caller
	Prompt    int           `json:"prompt"` // tokens
	Answer    int           `json:"answer"` // expected tokens
	Goal      time.Duration `json:"goal"`   // left until the first event is late
	PauseGoal time.Duration `json:"pause_goal"`
	Remaining time.Duration `json:"left"` // until the caller goes away
	Priority  int           `json:"priority"`
	Exclude   []string      `json:"exclude"` // endpoints that failed this request
}

// After returns the job as it is some time later.
func (j Job) After(d time.Duration) Job {
	j.Goal -= d
	j.Remaining -= d
	return j
}

// Helper is an endpoint that reads a part of a prompt.
type Helper struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Tokens      int    `json:"tokens,omitempty"`      // memory to set aside there for the prompt
	Reservation string `json:"reservation,omitempty"` // name of what was set aside
}

// Decision is what becomes of a job.
type Decision struct {
	Job                 string        `json:"job"`
	Endpoint            string        `json:"endpoint"` // id; empty for a refusal
	Address             string        `json:"address"`
	Helpers             []Helper      `json:"helpers,omitempty"`
	Expected            time.Duration `json:"expected"` // time to the first event
	RetryAfter          time.Duration `json:"come_back"`
	Reason              string        `json:"reason,omitempty"`
	Endpoints           int           `json:"endpoints"` // that were weighed
	EnginesWithCapacity int           `json:"room"`      // of them that had a slot and memory for the job
	Utilization         float64       `json:"busy"`      // part of the engines that was taken
	Score               float64       `json:"score"`     // what the best way to place it was worth, less its costs
	QueueLength         int           `json:"waiting"`   // jobs without an endpoint
}

// Refused reports whether the job was not placed.
func (d *Decision) Refused() bool { return d.Endpoint == "" }

// Outcome tells how a job ended at its endpoint.
type Outcome uint8

// Ends.
const (
	Done     Outcome = iota // answered, or given up by the caller
	Rejected                // the endpoint refused it as not run
	Failed                  // the endpoint failed
)

// PlacedJob is a job with its decision.
type PlacedJob struct {
	Job      Job           `json:"job"`
	Decision Decision      `json:"decision"`
	Age      time.Duration `json:"since"` // time since it was placed
	Decoding bool          `json:"writing"`
}

// Callers give a silent stream up after the longest of these, counted from its
// start or its last event (the platform's contract with its callers).
const (
	patienceLeast  = 2 * time.Second
	patienceGoals  = 4 // times the goal for the first event
	patiencePauses = 8 // times the goal for a pause
)

// waitShare is the part of a caller's patience that a job may wait for a place;
// the rest is for reading it.
const waitShare = 0.25

// A job that has waited for half of its goal, and for some passes of the engines,
// could hardly be on time any more: its caller does better to come back.
const (
	waitGoalShare = 0.5
	waitLeast     = 500 * time.Millisecond
)

// MaxWait is how long a job may wait for a place.
func (j *Job) MaxWait() time.Duration {
	silent := max(patienceLeast, patienceGoals*j.Goal, patiencePauses*j.PauseGoal)
	useful := max(waitLeast, time.Duration(waitGoalShare*float64(j.Goal)))
	return max(min(time.Duration(waitShare*float64(silent)), useful, j.Remaining/2), 0)
}

// Weight of a prompt for users, against the mean request: long prompts are
// worth more, though less than in proportion to the engine time that they take.
const weightTokens = 10_000

// value is what a timely answer is worth.
func (j *Job) value() float64 { return 1 + float64(j.Prompt)/weightTokens }
