// Package examples holds two worked examples: the questionnaire answers of two
// teams and the files that package plan generates from them.
package examples
