// Package expect estimates answer lengths from earlier answers. A request's maximum
// token count bounds its memory and duration, but says little about its actual cost.
package expect

import "sync"

// DefaultAnswer is the estimate in tokens before any answer was observed: about a page
// of text.
const DefaultAnswer = 512

// smoothing is the weight of a new answer in the moving average; maxKeys limits the
// number of pairs of model and account that are kept.
const (
	smoothing = 0.1
	maxKeys   = 100_000
)

type lengthKey struct{ model, account string }

// Estimator keeps mean answer lengths. It is safe for concurrent use.
type Estimator struct {
	mu    sync.Mutex
	means map[lengthKey]float64
}

// New returns an estimator without observations.
func New() *Estimator { return &Estimator{means: map[lengthKey]float64{}} }

// Estimate returns the expected number of tokens in an answer, limited to maxTokens.
func (l *Estimator) Estimate(model, account string, maxTokens int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, known := l.means[lengthKey{model, account}]
	if !known {
		mean = DefaultAnswer
	}
	return min(int(mean+0.5), maxTokens)
}

// Observe records the length of a complete answer.
func (l *Estimator) Observe(model, account string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := lengthKey{model, account}
	mean, known := l.means[k]
	switch {
	case known:
		l.means[k] = mean + smoothing*(float64(tokens)-mean)
	case len(l.means) < maxKeys:
		l.means[k] = DefaultAnswer + smoothing*(float64(tokens)-DefaultAnswer)
	}
}
