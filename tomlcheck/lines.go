package tomlcheck

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex returns the line of each key of a TOML document. The document must not
// have syntax errors.
func lineIndex(data []byte) map[string]int {
	x := indexer{lines: map[string]int{}, elementCounts: map[string]int{}}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		node := x.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = x.indexKey("", node)
		case unstable.ArrayTable:
			table = x.indexArrayTable(node)
		case unstable.KeyValue:
			x.indexKeyValue(table, node)
		}
	}
	return x.lines
}

type indexer struct {
	parser        unstable.Parser
	lines         map[string]int
	elementCounts map[string]int // number of elements so far of each array of tables
}

func (x *indexer) indexArrayTable(node *unstable.Node) string {
	arrayKey := x.indexKey("", node)
	index := x.elementCounts[arrayKey]
	x.elementCounts[arrayKey]++
	element := Element(arrayKey, index)
	x.lines[element] = x.lineOf(node)
	return element
}

func (x *indexer) indexKeyValue(table string, node *unstable.Node) {
	key := x.indexKey(table, node)
	x.indexValue(key, x.lines[key], node.Value())
}

// indexValue records the lines of the keys below key. Inline tables and lists
// without line breaks have the line of the key.
func (x *indexer) indexValue(key string, line int, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.indexKeyValue(key, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			item := children.Node()
			element := Element(key, i)
			x.lines[element] = line
			if item.Raw.Length > 0 {
				x.lines[element] = x.parser.Shape(item.Raw).Start.Line
			}
			x.indexValue(element, x.lines[element], item)
		}
	}
}

// indexKey records the line of a node's key and returns the full key.
func (x *indexer) indexKey(table string, node *unstable.Node) string {
	key := table
	parts := node.Key()
	for parts.Next() {
		key = joinKey(key, string(parts.Node().Data))
		if n := x.elementCounts[key]; n > 0 && !parts.IsLast() {
			key = Element(key, n-1)
		}
	}
	x.lines[key] = x.lineOf(node)
	return key
}

func (x *indexer) lineOf(node *unstable.Node) int {
	parts := node.Key()
	parts.Next()
	raw := parts.Node().Raw
	start := int(raw.Offset)
	return 1 + strings.Count(string(x.parser.Data()[:start]), "\n")
}
