package tomlcheck

import (
	"bytes"
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// byteOrderMark begins files that some editors save as UTF-8.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Decode reads TOML data into target, a pointer to a struct that holds the
// defaults. The report has every syntax fault, unknown key and value of a wrong
// type; a value at fault keeps its default.
func Decode(file string, data []byte, target any) *Report {
	r := NewReport()
	r.file = file
	data = bytes.TrimPrefix(data, byteOrderMark)
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		r.syntax(err)
		return r
	}
	r.lines = lineIndex(data)
	r.table("", tree, reflect.ValueOf(target).Elem())
	return r
}

func (r *Report) syntax(err error) {
	f := Fault{File: r.file, Problem: err.Error(), Expected: "a TOML file"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		f.Line, _ = decode.Position()
		f.Problem = strings.TrimPrefix(decode.Error(), "toml: ")
	}
	r.faults = append(r.faults, f)
}

func (r *Report) table(key string, table map[string]any, target reflect.Value) {
	fields := fieldsOf(target.Type())
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for name, value := range table {
		index, ok := fields[name]
		if !ok {
			r.add(Fault{Key: join(key, name), Problem: "unknown key", Expected: expectedNames(names), Nearest: Nearest(name, names)})
			continue
		}
		r.value(join(key, name), value, target.Field(index))
	}
}

func (r *Report) value(key string, value any, target reflect.Value) {
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.text(key, value, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			r.table(key, table, target)
			return
		}
		r.wrongType(key, value, "a table")
	case reflect.Slice:
		r.slice(key, value, target)
	case reflect.Map:
		r.mapping(key, value, target)
	default:
		r.scalar(key, value, target)
	}
}

func (r *Report) text(key string, value any, target encoding.TextUnmarshaler) {
	const expected = `text such as "30s" or "5m"`
	s, ok := value.(string)
	if !ok {
		r.wrongType(key, value, expected)
		return
	}
	if err := target.UnmarshalText([]byte(s)); err != nil {
		r.Add(key, fmt.Sprintf("%q cannot be read", s), expected)
	}
}

func (r *Report) slice(key string, value any, target reflect.Value) {
	items, ok := value.([]any)
	if !ok {
		r.wrongType(key, value, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		r.value(Element(key, i), item, list.Index(i))
	}
	target.Set(list)
}

func (r *Report) mapping(key string, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		r.wrongType(key, value, "a table")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for name, item := range table {
		element := reflect.New(target.Type().Elem()).Elem()
		r.value(join(key, name), item, element)
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (r *Report) scalar(key string, value any, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if s, ok := value.(string); ok {
			target.SetString(s)
			return
		}
		r.wrongType(key, value, "text in quotes")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			target.SetBool(b)
			return
		}
		r.wrongType(key, value, "true or false")
	case reflect.Int, reflect.Int64:
		if n, ok := value.(int64); ok {
			target.SetInt(n)
			return
		}
		r.wrongType(key, value, "a whole number")
	case reflect.Uint64, reflect.Uint32:
		if n, ok := value.(int64); ok && n >= 0 {
			target.SetUint(uint64(n))
			return
		}
		r.wrongType(key, value, "a whole number that is not negative")
	default:
		panic("tomlcheck: field of kind " + target.Kind().String())
	}
}

func (r *Report) wrongType(key string, value any, expected string) {
	r.Add(key, fmt.Sprintf("found %s", describe(value)), expected)
}

func describe(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("the text %q", v)
	case int64:
		return fmt.Sprintf("the number %d", v)
	case float64:
		return fmt.Sprintf("the number %g", v)
	case bool:
		return fmt.Sprintf("%t", v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprintf("%v", v)
	}
}

// fieldsOf returns the index of each field of a struct by its TOML name.
func fieldsOf(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// Element returns the key of an element of a list, given its index from 0.
func Element(key string, index int) string { return fmt.Sprintf("%s[%d]", key, index+1) }

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
