package tomlcheck

import (
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineIndex returns the line of each key of a TOML document without syntax
// faults.
func lineIndex(data []byte) map[string]int {
	x := indexer{lines: map[string]int{}, counts: map[string]int{}}
	x.parser.Reset(data)
	table := ""
	for x.parser.NextExpression() {
		node := x.parser.Expression()
		switch node.Kind {
		case unstable.Table:
			table = x.key("", node)
		case unstable.ArrayTable:
			table = x.arrayTable(node)
		case unstable.KeyValue:
			x.keyValue(table, node)
		}
	}
	return x.lines
}

type indexer struct {
	parser unstable.Parser
	lines  map[string]int
	counts map[string]int // elements so far of each array of tables
}

func (x *indexer) arrayTable(node *unstable.Node) string {
	list := x.key("", node)
	index := x.counts[list]
	x.counts[list]++
	element := Element(list, index)
	x.lines[element] = x.lineOf(node)
	return element
}

func (x *indexer) keyValue(table string, node *unstable.Node) {
	key := x.key(table, node)
	x.value(key, x.lines[key], node.Value())
}

// value records the keys below key. Inline tables and lists without line
// breaks keep the line of the key.
func (x *indexer) value(key string, line int, node *unstable.Node) {
	children := node.Children()
	switch node.Kind {
	case unstable.InlineTable:
		for children.Next() {
			x.keyValue(key, children.Node())
		}
	case unstable.Array:
		for i := 0; children.Next(); i++ {
			item := children.Node()
			element := Element(key, i)
			x.lines[element] = line
			if item.Raw.Length > 0 {
				x.lines[element] = x.parser.Shape(item.Raw).Start.Line
			}
			x.value(element, x.lines[element], item)
		}
	}
}

// key returns the full key of a node and records its line.
func (x *indexer) key(table string, node *unstable.Node) string {
	key := table
	parts := node.Key()
	for parts.Next() {
		key = join(key, string(parts.Node().Data))
		if n := x.counts[key]; n > 0 && !parts.IsLast() {
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
