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

// byteOrderMark is the UTF-8 byte order mark that some editors write at the start
// of a file.
var byteOrderMark = []byte("\xef\xbb\xbf")

// Decode decodes TOML data into target, a pointer to a struct that holds the
// defaults. The report has a syntax fault, or every unknown key and value of a
// wrong type; such a value keeps its default.
func Decode(file string, data []byte, target any) *Report {
	r := NewReport()
	r.file = file
	data = bytes.TrimPrefix(data, byteOrderMark)
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		r.addSyntaxFault(err)
		return r
	}
	r.keyLines = lineIndex(data)
	r.decodeTable("", tree, reflect.ValueOf(target).Elem())
	return r
}

func (r *Report) addSyntaxFault(err error) {
	f := Fault{File: r.file, Problem: err.Error(), Expected: "a TOML file"}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		f.Line, _ = decode.Position()
		f.Problem = strings.TrimPrefix(decode.Error(), "toml: ")
	}
	r.faults = append(r.faults, f)
}

func (r *Report) decodeTable(key string, table map[string]any, target reflect.Value) {
	fields := fieldIndexes(target.Type())
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	for name, value := range table {
		index, ok := fields[name]
		if !ok {
			r.addFault(Fault{Key: joinKey(key, name), Problem: "unknown key", Expected: expectedNames(names), Nearest: Nearest(name, names)})
			continue
		}
		r.decodeValue(joinKey(key, name), value, target.Field(index))
	}
}

func (r *Report) decodeValue(key string, value any, target reflect.Value) {
	if text, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		r.decodeText(key, value, text)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if table, ok := value.(map[string]any); ok {
			r.decodeTable(key, table, target)
			return
		}
		r.addWrongType(key, value, "a table")
	case reflect.Slice:
		r.decodeSlice(key, value, target)
	case reflect.Map:
		r.decodeMap(key, value, target)
	default:
		r.decodeScalar(key, value, target)
	}
}

func (r *Report) decodeText(key string, value any, target encoding.TextUnmarshaler) {
	const expected = `text such as "30s" or "5m"`
	s, ok := value.(string)
	if !ok {
		r.addWrongType(key, value, expected)
		return
	}
	if err := target.UnmarshalText([]byte(s)); err != nil {
		r.Add(key, fmt.Sprintf("%q cannot be read", s), expected)
	}
}

func (r *Report) decodeSlice(key string, value any, target reflect.Value) {
	items, ok := value.([]any)
	if !ok {
		r.addWrongType(key, value, "a list")
		return
	}
	list := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		r.decodeValue(Element(key, i), item, list.Index(i))
	}
	target.Set(list)
}

func (r *Report) decodeMap(key string, value any, target reflect.Value) {
	table, ok := value.(map[string]any)
	if !ok {
		r.addWrongType(key, value, "a table")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for name, item := range table {
		element := reflect.New(target.Type().Elem()).Elem()
		r.decodeValue(joinKey(key, name), item, element)
		target.SetMapIndex(reflect.ValueOf(name), element)
	}
}

func (r *Report) decodeScalar(key string, value any, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		if s, ok := value.(string); ok {
			target.SetString(s)
			return
		}
		r.addWrongType(key, value, "text in quotes")
	case reflect.Bool:
		if b, ok := value.(bool); ok {
			target.SetBool(b)
			return
		}
		r.addWrongType(key, value, "true or false")
	case reflect.Int, reflect.Int64:
		if n, ok := value.(int64); ok {
			target.SetInt(n)
			return
		}
		r.addWrongType(key, value, "a whole number")
	case reflect.Uint64, reflect.Uint32:
		if n, ok := value.(int64); ok && n >= 0 {
			target.SetUint(uint64(n))
			return
		}
		r.addWrongType(key, value, "a whole number that is not negative")
	default:
		panic("tomlcheck: field of kind " + target.Kind().String())
	}
}

func (r *Report) addWrongType(key string, value any, expected string) {
	r.Add(key, fmt.Sprintf("found %s", describeValue(value)), expected)
}

func describeValue(value any) string {
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

// fieldIndexes maps the TOML name of each field of a struct to its index.
func fieldIndexes(t reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("toml"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

// Element returns the key of a list element, given its zero-based index. Keys
// count elements from 1.
func Element(key string, index int) string { return fmt.Sprintf("%s[%d]", key, index+1) }

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
