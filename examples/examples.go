// Package examples holds two worked examples: the answers of two teams and the
// files that package plan makes from them.
package examples
