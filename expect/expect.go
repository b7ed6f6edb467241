// Package expect learns how long answers are. The most tokens that a request
// allows bound its memory and its end; what it will cost is told by the answers
// that came before it.
package expect

import "sync"

// DefaultAnswer is the length in tokens expected of an answer before any was
// seen: a page of text.
const DefaultAnswer = 512

// Weight of a new answer against those before, and the most pairs of model and
// account that are remembered.
const (
	weight  = 0.1
	maxKeys = 100_000
)

type key struct{ model, account string }

// Estimator are the mean lengths of answers. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	means map[key]float64
}

// New returns lengths that know nothing yet.
func New() *Estimator { return &Estimator{means: map[key]float64{}} }

// Estimate returns the tokens that an answer is likely to have, at most most.
func (l *Estimator) Estimate(model, account string, most int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.means[key{model, account}]
	if !known {
		mean = DefaultAnswer
	}
	return min(int(mean+0.5), most)
}

// Observe takes the length of a whole answer.
func (l *Estimator) Observe(model, account string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := key{model, account}
	mean, known := l.means[k]
	switch {
	case known:
		l.means[k] = mean + weight*(float64(tokens)-mean)
	case len(l.means) < maxKeys:
		l.means[k] = DefaultAnswer + weight*(float64(tokens)-DefaultAnswer)
	}
}
