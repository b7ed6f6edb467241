package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two configurations.
type Change struct {
	Key string // such as "accounts[builders].share"; elements go by their names
	Old string // value as JSON; empty when there was none
	New string // value as JSON; empty when there is none any more
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("%s: added %s", c.Key, c.New)
	case c.New == "":
		return fmt.Sprintf("%s: removed %s", c.Key, c.Old)
	default:
		return fmt.Sprintf("%s: %s -> %s", c.Key, c.Old, c.New)
	}
}

// Diff returns what differs from before to after, apart from the version, in
// the order of the keys. Elements of lists are matched by name, so that their
// order does not count.
func Diff(before, after *Configuration) []Change {
	old, fresh := flatten(before), flatten(after)
	var changes []Change
	for key, value := range old {
		if now := fresh[key]; now != value {
			changes = append(changes, Change{Key: key, Old: value, New: now})
		}
	}
	for key, value := range fresh {
		if _, known := old[key]; !known {
			changes = append(changes, Change{Key: key, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// flatten returns each leaf of the configuration by its key, as JSON.
func flatten(c *Configuration) map[string]string {
	leaves := map[string]string{}
	if c == nil {
		return leaves
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field has a JSON form
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		panic(err)
	}
	delete(tree, "version")
	walk("", tree, leaves)
	return leaves
}

func walk(key string, value any, leaves map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			walk(joinKey(key, name), item, leaves)
		}
	case []any:
		for i, item := range v {
			walk(fmt.Sprintf("%s[%s]", key, elementName(i, item)), item, leaves)
		}
	case nil:
	default:
		text, _ := json.Marshal(v)
		leaves[key] = string(text)
	}
}

// elementName names an element of a list: by its name, by method and path, by
// itself when it is text, else by its place.
func elementName(index int, item any) string {
	switch v := item.(type) {
	case string:
		return v
	case map[string]any:
		if name, ok := v["name"].(string); ok {
			return name
		}
		if path, ok := v["path"].(string); ok {
			return fmt.Sprintf("%v %s", v["method"], path)
		}
	}
	return fmt.Sprint(index + 1)
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
