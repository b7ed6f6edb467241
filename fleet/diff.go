package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Change is one difference between two configurations.
type Change struct {
	Key string // such as "accounts[builders].share"; list elements are identified by name
	Old string // JSON value; empty if the key was added
	New string // JSON value; empty if the key was removed
}

// String formats the change on one line.
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

// Diff returns the changes from before to after, sorted by key. The version is
// ignored. List elements are matched by name, so their order is not significant.
func Diff(before, after *Configuration) []Change {
	oldLeaves, newLeaves := flatten(before), flatten(after)
	var changes []Change
	for key, value := range oldLeaves {
		if newValue := newLeaves[key]; newValue != value {
			changes = append(changes, Change{Key: key, Old: value, New: newValue})
		}
	}
	for key, value := range newLeaves {
		if _, exists := oldLeaves[key]; !exists {
			changes = append(changes, Change{Key: key, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Key < changes[j].Key })
	return changes
}

// flatten returns the JSON value of each leaf of the configuration by key.
func flatten(c *Configuration) map[string]string {
	leaves := map[string]string{}
	if c == nil {
		return leaves
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // every field can be marshaled to JSON
	}
	var tree map[string]any
	if err := json.Unmarshal(data, &tree); err != nil {
		panic(err)
	}
	delete(tree, "version")
	flattenValue("", tree, leaves)
	return leaves
}

func flattenValue(key string, value any, leaves map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			flattenValue(joinKey(key, name), item, leaves)
		}
	case []any:
		for i, item := range v {
			flattenValue(fmt.Sprintf("%s[%s]", key, elementName(i, item)), item, leaves)
		}
	case nil:
	default:
		text, _ := json.Marshal(v)
		leaves[key] = string(text)
	}
}

// elementName identifies a list element by its name, its method and path, its
// value if it is a string, or otherwise its 1-based position.
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
