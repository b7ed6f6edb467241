package revision

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// ErrDocument is returned for an invalid document or patch, usually one that is
// not a JSON object.
var ErrDocument = errors.New("revision: not a JSON object")

// namedListKey is the only member of an object that represents a list of named
// objects.
const namedListKey = "@named"

// nameKey is the member that identifies an object within a list.
const nameKey = "name"

type object = map[string]any

// Canonical returns the canonical form of a document.
func Canonical(document []byte) ([]byte, error) {
	tree, err := parse(document)
	if err != nil {
		return nil, err
	}
	return format(tree)
}

// Digest returns the SHA-256 of a canonical document in hexadecimal.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// Diff returns the patch that turns one document into another. It is a JSON
// merge patch over documents whose lists of named objects are keyed by name.
func Diff(from, to []byte) ([]byte, error) {
	before, err := parse(from)
	if err != nil {
		return nil, err
	}
	after, err := parse(to)
	if err != nil {
		return nil, err
	}
	return json.Marshal(mergePatch(before, after))
}

// Patch applies patches to a document in order and returns the canonical form
// of the result.
func Patch(document []byte, patches ...[]byte) ([]byte, error) {
	tree, err := parse(document)
	if err != nil {
		return nil, err
	}
	for _, patch := range patches {
		change, err := decode(patch)
		if err != nil {
			return nil, err
		}
		applyMergePatch(tree, change)
	}
	out := fromKeyed(tree)
	if _, isObject := out.(object); !isObject || usesReservedKey(out) {
		return nil, fmt.Errorf("%w: patched result is not a valid document", ErrDocument)
	}
	return json.Marshal(out)
}

// parse decodes a document into its keyed form.
func parse(document []byte) (object, error) {
	tree, err := decode(document)
	if err != nil {
		return nil, err
	}
	if usesReservedKey(tree) {
		return nil, fmt.Errorf("%w: member %q is reserved", ErrDocument, namedListKey)
	}
	return toKeyed(tree).(object), nil
}

// usesReservedKey reports whether a value contains a member called namedListKey.
func usesReservedKey(value any) bool {
	switch v := value.(type) {
	case object:
		for name, member := range v {
			if name == namedListKey || usesReservedKey(member) {
				return true
			}
		}
	case []any:
		return slices.ContainsFunc(v, usesReservedKey)
	}
	return false
}

func format(tree object) ([]byte, error) {
	return json.Marshal(fromKeyed(tree))
}

func decode(text []byte) (object, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var tree object
	if err := decoder.Decode(&tree); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocument, err)
	}
	if tree == nil {
		return nil, ErrDocument
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("%w: unexpected text after the JSON object", ErrDocument)
	}
	return tree, nil
}

// toKeyed removes null members and converts lists of named objects into objects
// keyed by name. It changes value in place.
func toKeyed(value any) any {
	switch v := value.(type) {
	case object:
		for name, member := range v {
			if member == nil {
				delete(v, name)
				continue
			}
			v[name] = toKeyed(member)
		}
		return v
	case []any:
		for i := range v {
			v[i] = toKeyed(v[i])
		}
		if set, ok := indexByName(v); ok {
			return object{namedListKey: set}
		}
		return v
	default:
		return value
	}
}

// indexByName returns a list as an object keyed by name if every item is an object
// with a unique name.
func indexByName(list []any) (object, bool) {
	set := make(object, len(list))
	for _, item := range list {
		member, ok := item.(object)
		if !ok {
			return nil, false
		}
		name, ok := member[nameKey].(string)
		if !ok {
			return nil, false
		}
		if _, duplicate := set[name]; duplicate {
			return nil, false
		}
		set[name] = member
	}
	return set, len(set) > 0
}

// fromKeyed converts the keyed form back into the document form.
func fromKeyed(value any) any {
	switch v := value.(type) {
	case object:
		if list, ok := listFromNamed(v); ok {
			return list
		}
		out := make(object, len(v))
		for name, member := range v {
			out[name] = fromKeyed(member)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = fromKeyed(v[i])
		}
		return out
	default:
		return value
	}
}

// listFromNamed returns the list that an object represents, sorted by name. It
// reports false for an ordinary object.
func listFromNamed(v object) ([]any, bool) {
	set, ok := v[namedListKey].(object)
	if !ok || len(v) != 1 {
		return nil, false
	}
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.SortFunc(names, strings.Compare)
	list := make([]any, 0, len(names))
	for _, name := range names {
		list = append(list, fromKeyed(set[name]))
	}
	return list, true
}

// mergePatch returns the merge patch that turns one keyed object into another.
func mergePatch(before, after object) object {
	patch := object{}
	for name := range before {
		if _, kept := after[name]; !kept {
			patch[name] = nil
		}
	}
	for name, value := range after {
		old, known := before[name]
		if known && equal(old, value) {
			continue
		}
		oldObject, oldOk := old.(object)
		newObject, newOk := value.(object)
		if oldOk && newOk {
			patch[name] = mergePatch(oldObject, newObject)
			continue
		}
		patch[name] = value
	}
	return patch
}

func equal(a, b any) bool {
	switch x := a.(type) {
	case object:
		y, ok := b.(object)
		if !ok || len(x) != len(y) {
			return false
		}
		for name, value := range x {
			other, known := y[name]
			if !known || !equal(value, other) {
				return false
			}
		}
		return true
	case []any:
		y, ok := b.([]any)
		return ok && slices.EqualFunc(x, y, equal)
	default:
		_, isObject := b.(object)
		_, isList := b.([]any)
		return !isObject && !isList && a == b
	}
}

// applyMergePatch applies a merge patch to a keyed object in place.
func applyMergePatch(target, patch object) {
	for name, value := range patch {
		if value == nil {
			delete(target, name)
			continue
		}
		change, isObject := value.(object)
		if !isObject {
			target[name] = value
			continue
		}
		child, known := target[name].(object)
		if !known {
			child = object{}
			target[name] = child
		}
		applyMergePatch(child, change)
	}
}
