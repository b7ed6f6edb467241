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
	Left      time.Duration `json:"left"` // until the caller goes away
	Priority  int           `json:"priority"`
	Exclude   []string      `json:"exclude"` // endpoints that failed this request
}

// Helper is an endpoint that reads a part of a prompt.
type Helper struct {
	ID          string `json:"id"`
	Address     string `json:"address"`
	Reservation string `json:"reservation,omitempty"` // memory set aside there for the prompt
}

// Decision is what becomes of a job.
type Decision struct {
	Job       string        `json:"job"`
	Endpoint  string        `json:"endpoint"` // id; empty for a refusal
	Helpers   []Helper      `json:"helpers,omitempty"`
	Expected  time.Duration `json:"expected"` // time to the first event
	ComeBack  time.Duration `json:"come_back"`
	Reason    string        `json:"reason,omitempty"`
	Endpoints int           `json:"endpoints"` // that were weighed
}

// Refused reports whether the job was not placed.
func (d *Decision) Refused() bool { return d.Endpoint == "" }

// End tells how a job ended at its endpoint.
type End uint8

// Ends.
const (
	Done     End = iota // answered, or given up by the caller
	Rejected            // the endpoint refused it as not run
	Broken              // the endpoint failed
)

// Running is a job with its decision.
type Running struct {
	Job      Job           `json:"job"`
	Decision Decision      `json:"decision"`
	Since    time.Duration `json:"since"` // time since it was placed
	Writing  bool          `json:"writing"`
}

// patienceShare is the part of the goal that a job may wait for a place: what is
// left has to do for reading it.
const patienceShare = 0.5

// Patience is how long a job may wait for a place.
func (j *Job) Patience() time.Duration {
	return max(time.Duration(float64(j.Goal)*patienceShare), 0)
}

// Weight of a prompt for users, against the mean request: long prompts are
// worth more, though less than in proportion to the engine time that they take.
const weightTokens = 10_000

// value is what a timely answer is worth.
func (j *Job) value() float64 { return 1 + float64(j.Prompt)/weightTokens }
