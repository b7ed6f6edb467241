package work

import (
	"sync"
	"unicode"
	"unicode/utf8"
)

// Script groups writing systems whose text has about the same number of bytes
// per token.
type Script uint8

// Supported scripts.
const (
	ScriptLatin   Script = iota // Latin letters, digits and punctuation
	ScriptTwoByte               // other scripts with two bytes per letter
	ScriptWide                  // scripts with three or more bytes per letter
	scriptCount
)

// defaultBytesPerToken is used for accounts without observations, by script.
var defaultBytesPerToken = [scriptCount]float64{4, 3.2, 2.7}

const (
	scriptSampleBytes = 4096 // length of the prefix that decides the script of a text
	smoothingFactor   = 0.1  // weight of a new observation in the moving average
	maxAccounts       = 8192 // maximum number of ratios kept, one for each account and script
	minRatio          = 0.5  // bytes per token
	maxRatio          = 12.0 // bytes per token
	minSampleBytes    = 256  // shorter texts are ignored as observations
)

// ScriptOf returns the script of most bytes in the first scriptSampleBytes of text.
func ScriptOf(text string) Script {
	sample := text[:min(len(text), scriptSampleBytes)]
	var bytes [scriptCount]int
	for _, letter := range sample {
		size := utf8.RuneLen(letter)
		switch {
		case size <= 1 || unicode.Is(unicode.Latin, letter):
			bytes[ScriptLatin] += max(size, 1)
		case size == 2:
			bytes[ScriptTwoByte] += size
		default:
			bytes[ScriptWide] += size
		}
	}
	best := ScriptLatin
	for s := range scriptCount {
		if bytes[s] > bytes[best] {
			best = s
		}
	}
	return best
}

// Estimator estimates token counts from text lengths. It learns the ratio of bytes to
// tokens for each account and script from the counts that engines report. It is
// safe for concurrent use.
type Estimator struct {
	mu     sync.RWMutex
	ratios map[ratioKey]float64
}

type ratioKey struct {
	account string
	script  Script
}

// NewEstimator returns an estimator that uses the default ratios.
func NewEstimator() *Estimator {
	return &Estimator{ratios: make(map[ratioKey]float64)}
}

// Tokens estimates the number of tokens in an account's text.
func (e *Estimator) Tokens(account, text string) int {
	ratio := e.ratio(ratioKey{account, ScriptOf(text)})
	return int(float64(len(text))/ratio + 0.999)
}

func (e *Estimator) ratio(k ratioKey) float64 {
	e.mu.RLock()
	defer e.mu.RUnlock()
	if ratio, ok := e.ratios[k]; ok {
		return ratio
	}
	return defaultBytesPerToken[k.script]
}

// Observe updates the account's ratio with the token count that an engine reported
// for text. New ratios are dropped once maxAccounts are kept.
func (e *Estimator) Observe(account, text string, tokens int) {
	if len(text) < minSampleBytes || tokens <= 0 {
		return
	}
	k := ratioKey{account, ScriptOf(text)}
	observed := min(max(float64(len(text))/float64(tokens), minRatio), maxRatio)
	e.mu.Lock()
	defer e.mu.Unlock()
	previous, known := e.ratios[k]
	switch {
	case known:
		e.ratios[k] = previous + smoothingFactor*(observed-previous)
	case len(e.ratios) < maxAccounts:
		e.ratios[k] = observed
	}
}
