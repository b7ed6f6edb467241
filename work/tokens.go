package work

import (
	"sync"
	"unicode"
	"unicode/utf8"
)

// Script groups writing systems whose text has about the same number of bytes
// per token.
type Script uint8

// Scripts.
const (
	ScriptLatin   Script = iota // Latin letters, digits and punctuation
	ScriptTwoByte               // other alphabets of two bytes per letter
	ScriptWide                  // three and more bytes per letter
	scripts
)

// Bytes per token before anything was learned, by script.
var defaultBytesPerToken = [scripts]float64{4, 3.2, 2.7}

const (
	sampleBytes   = 4096 // bytes of a text that decide its script
	learnWeight   = 0.1  // weight of a new ratio against those before
	maxAccounts   = 8192 // accounts whose ratios are kept
	minRatio      = 0.5  // bytes per token
	maxRatio      = 12.0 // bytes per token
	minLearnBytes = 256  // shorter texts teach nothing
)

// ScriptOf returns the script that most of the text's bytes belong to, judged by
// its beginning.
func ScriptOf(text string) Script {
	sample := text[:min(len(text), sampleBytes)]
	var bytes [scripts]int
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
	for s := range scripts {
		if bytes[s] > bytes[best] {
			best = s
		}
	}
	return best
}

// Estimator turns bytes into tokens. It learns each account's ratio from the
// counts that engines report. It is safe for concurrent use.
type Estimator struct {
	mu     sync.RWMutex
	ratios map[ratioKey]float64
}

type ratioKey struct {
	account string
	script  Script
}

// NewEstimator returns an estimator that has learned nothing.
func NewEstimator() *Estimator {
	return &Estimator{ratios: make(map[ratioKey]float64)}
}

// Tokens estimates the tokens of an account's text.
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

// Learn takes in the number of tokens that an engine counted in text.
func (e *Estimator) Learn(account, text string, tokens int) {
	if len(text) < minLearnBytes || tokens <= 0 {
		return
	}
	k := ratioKey{account, ScriptOf(text)}
	seen := min(max(float64(len(text))/float64(tokens), minRatio), maxRatio)
	e.mu.Lock()
	defer e.mu.Unlock()
	old, known := e.ratios[k]
	switch {
	case known:
		e.ratios[k] = old + learnWeight*(seen-old)
	case len(e.ratios) < maxAccounts:
		e.ratios[k] = seen
	}
}
