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

// ErrDocument is returned for a document or patch that is no JSON object.
var ErrDocument = errors.New("revision: not a JSON object")

// setMember marks an object that stands for a list of named objects.
const setMember = "@named"

// nameMember is the member that names an object within a list.
const nameMember = "name"

type object = map[string]any

// Canonical returns the canonical form of a document.
func Canonical(document []byte) ([]byte, error) {
	tree, err := parse(document)
	if err != nil {
		return nil, err
	}
	return format(tree)
}

// Digest returns the SHA-256 of a canonical document, in hexadecimal.
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
	return json.Marshal(difference(before, after))
}

// Patch applies patches to a document in order and returns the canonical form
// of the outcome.
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
		merge(tree, change)
	}
	out := plain(tree)
	if _, isObject := out.(object); !isObject || reserved(out) {
		return nil, fmt.Errorf("%w: patches lead to no document", ErrDocument)
	}
	return json.Marshal(out)
}

// parse reads a document into its keyed form.
func parse(document []byte) (object, error) {
	tree, err := decode(document)
	if err != nil {
		return nil, err
	}
	if reserved(tree) {
		return nil, fmt.Errorf("%w: member %q is reserved", ErrDocument, setMember)
	}
	return keyed(tree).(object), nil
}

// reserved reports whether a document uses the member that marks sets.
func reserved(value any) bool {
	switch v := value.(type) {
	case object:
		for name, member := range v {
			if name == setMember || reserved(member) {
				return true
			}
		}
	case []any:
		return slices.ContainsFunc(v, reserved)
	}
	return false
}

func format(tree object) ([]byte, error) {
	return json.Marshal(plain(tree))
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
		return nil, fmt.Errorf("%w: text after its end", ErrDocument)
	}
	return tree, nil
}

// keyed drops null members and turns lists of named objects into objects.
func keyed(value any) any {
	switch v := value.(type) {
	case object:
		for name, member := range v {
			if member == nil {
				delete(v, name)
				continue
			}
			v[name] = keyed(member)
		}
		return v
	case []any:
		for i := range v {
			v[i] = keyed(v[i])
		}
		if set, ok := named(v); ok {
			return object{setMember: set}
		}
		return v
	default:
		return value
	}
}

// named returns a list as an object by name, when every item is an object with
// a name of its own.
func named(list []any) (object, bool) {
	set := make(object, len(list))
	for _, item := range list {
		member, ok := item.(object)
		if !ok {
			return nil, false
		}
		name, ok := member[nameMember].(string)
		if !ok {
			return nil, false
		}
		if _, twice := set[name]; twice {
			return nil, false
		}
		set[name] = member
	}
	return set, len(set) > 0
}

// plain turns the keyed form back into the form of the document.
func plain(value any) any {
	switch v := value.(type) {
	case object:
		if list, ok := unnamed(v); ok {
			return list
		}
		out := make(object, len(v))
		for name, member := range v {
			out[name] = plain(member)
		}
		return out
	case []any:
		out := make([]any, len(v))
		for i := range v {
			out[i] = plain(v[i])
		}
		return out
	default:
		return value
	}
}

// unnamed returns the list that an object stands for, sorted by name.
func unnamed(v object) ([]any, bool) {
	set, ok := v[setMember].(object)
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
		list = append(list, plain(set[name]))
	}
	return list, true
}

// difference returns the merge patch between two keyed objects.
func difference(before, after object) object {
	patch := object{}
	for name := range before {
		if _, kept := after[name]; !kept {
			patch[name] = nil
		}
	}
	for name, value := range after {
		old, known := before[name]
		if known && same(old, value) {
			continue
		}
		oldObject, oldOk := old.(object)
		newObject, newOk := value.(object)
		if oldOk && newOk {
			patch[name] = difference(oldObject, newObject)
			continue
		}
		patch[name] = value
	}
	return patch
}

func same(a, b any) bool {
	switch x := a.(type) {
	case object:
		y, ok := b.(object)
		if !ok || len(x) != len(y) {
			return false
		}
		for name, value := range x {
			other, known := y[name]
			if !known || !same(value, other) {
				return false
			}
		}
		return true
	case []any:
		y, ok := b.([]any)
		return ok && slices.EqualFunc(x, y, same)
	default:
		_, isObject := b.(object)
		_, isList := b.([]any)
		return !isObject && !isList && a == b
	}
}

// merge applies a merge patch to a keyed object in place.
func merge(target, patch object) {
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
		merge(child, change)
	}
}
