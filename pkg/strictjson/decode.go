// Package strictjson decodes JSON into structs and reports all unknown, null,
// duplicate and mistyped fields in one pass, each with its JSON path.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// maxFoundValueBytes limits the length of a value quoted in a Problem.
const maxFoundValueBytes = 80

var (
	unmarshalerType     = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes JSON into dst, a pointer to a struct, and returns a Problem for
// every unknown, duplicate, null or mistyped value.
func Decode(data []byte, dst any) []Problem {
	if !json.Valid(data) {
		var discarded any
		return []Problem{{"", fmt.Sprint(json.Unmarshal(data, &discarded)), "one valid JSON object"}}
	}
	d := decoder{}
	d.decodeValue(data, "", reflect.ValueOf(dst).Elem())
	return d.problems
}

// decoder collects the problems found while decoding one document.
type decoder struct {
	problems []Problem
}

func (d *decoder) addProblem(path string, raw []byte, allowed string) {
	d.problems = append(d.problems, Problem{path, TruncateValue(raw), allowed})
}

// decodeValue decodes structs and slices member by member. Byte slices and types
// with their own unmarshaler are left to encoding/json.
func (d *decoder) decodeValue(raw []byte, path string, dst reflect.Value) {
	raw = bytes.TrimSpace(raw)
	pointerType := reflect.PointerTo(dst.Type())
	hasUnmarshaler := pointerType.Implements(unmarshalerType) || pointerType.Implements(textUnmarshalerType)
	switch {
	case bytes.Equal(raw, []byte("null")):
		d.addProblem(path, raw, "no null")
	case !hasUnmarshaler && dst.Kind() == reflect.Struct:
		d.decodeObject(raw, path, dst)
	case !hasUnmarshaler && dst.Kind() == reflect.Slice && dst.Type().Elem().Kind() != reflect.Uint8:
		d.decodeArray(raw, path, dst)
	default:
		if err := json.Unmarshal(raw, dst.Addr().Interface()); err != nil {
			d.addProblem(path, raw, describeAllowed(dst))
		}
	}
}

func (d *decoder) decodeObject(raw []byte, path string, dst reflect.Value) {
	if raw[0] != '{' {
		d.addProblem(path, raw, "an object")
		return
	}
	fields := fieldsByName(dst)
	seen := make(map[string]bool, len(fields))
	dec := json.NewDecoder(bytes.NewReader(raw))
	_, _ = dec.Token()
	for dec.More() {
		token, _ := dec.Token()
		name, _ := token.(string)
		var member json.RawMessage
		if err := dec.Decode(&member); err != nil {
			d.addProblem(path, raw, "valid JSON")
			return
		}
		memberPath := strings.TrimPrefix(path+"."+name, ".")
		field, known := fields[name]
		switch {
		case !known:
			d.addProblem(memberPath, member, "no such field")
		case seen[name]:
			d.addProblem(memberPath, member, "each field once")
		default:
			d.decodeValue(member, memberPath, field)
		}
		seen[name] = true
	}
}

func (d *decoder) decodeArray(raw []byte, path string, dst reflect.Value) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		d.addProblem(path, raw, "an array")
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(elements), len(elements)))
	for i, element := range elements {
		d.decodeValue(element, fmt.Sprintf("%s[%d]", path, i), dst.Index(i))
	}
}

// fieldsByName returns the fields of a struct by their JSON names.
func fieldsByName(value reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, value.NumField())
	for i := range value.NumField() {
		name, _, _ := strings.Cut(value.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = value.Field(i)
	}
	return fields
}

// describeAllowed returns a description of the JSON values that value accepts.
func describeAllowed(value reflect.Value) string {
	if value.Type() == reflect.TypeFor[Duration]() {
		return `a duration such as "250ms"`
	}
	switch value.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number, not negative"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	default:
		return "a value of type " + value.Type().String()
	}
}

// TruncateValue shortens a value to the length allowed in a Problem.
func TruncateValue(raw []byte) string {
	if len(raw) > maxFoundValueBytes {
		return string(raw[:maxFoundValueBytes]) + "..."
	}
	return string(raw)
}
