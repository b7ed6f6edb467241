package emulator

import (
	"math"
	"math/rand/v2"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Natural answer lengths follow a log-normal distribution, like the lengths of
// real answers: most are short, some are many times longer.
const (
	medianAnswerTokens = 160
	answerLengthSigma  = 0.9  // standard deviation of the logarithm of the length
	maxAnswerTokens    = 2048 // upper bound of a natural length
)

// AnswerLength returns the number of tokens after which the answer to p ends by
// itself on an engine with the given Config.LengthSeed.
func AnswerLength(p engine.Prompt, lengthSeed uint64) int {
	return answerLength(promptHash(p), lengthSeed)
}

func answerLength(hash, lengthSeed uint64) int {
	normal := rand.New(rand.NewPCG(hash, lengthSeed)).NormFloat64()
	length := int(medianAnswerTokens * math.Exp(answerLengthSigma*normal))
	return min(max(length, 1), maxAnswerTokens)
}
