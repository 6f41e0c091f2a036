package bundle

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/juju/errors"
)

// Change is a value that differs between two bundles, for display to operators.
type Change struct {
	// Path is the path of the value with list entries by name, for example
	// "accounts[acme].weight".
	Path string `json:"path"`
	// Before and After are the values as JSON. Before is empty for an added value,
	// After for a removed one.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String formats the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s = %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s = %s", c.Path, c.Before)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
	}
}

// Changes returns the differences between two bundles apart from their versions,
// sorted by path.
func Changes(older, newer Bundle) ([]Change, error) {
	before, err := flatten(older)
	if err != nil {
		return nil, err
	}
	after, err := flatten(newer)
	if err != nil {
		return nil, err
	}
	changes := []Change{}
	for path, value := range after {
		if before[path] != value {
			changes = append(changes, Change{Path: path, Before: before[path], After: value})
		}
		delete(before, path)
	}
	for path, value := range before {
		changes = append(changes, Change{Path: path, Before: value})
	}
	slices.SortFunc(changes, func(x, y Change) int { return cmp.Compare(x.Path, y.Path) })
	return changes, nil
}

// flatten returns the scalar values of a bundle by path, without the version.
func flatten(b Bundle) (map[string]string, error) {
	data, err := EncodeCanonical(b)
	if err != nil {
		return nil, err
	}
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		return nil, errors.Trace(err)
	}
	values := map[string]string{}
	flattenInto(values, "", document)
	delete(values, "version")
	return values, nil
}

func flattenInto(values map[string]string, prefix string, value any) {
	switch typed := value.(type) {
	case map[string]any:
		for _, name := range slices.Sorted(maps.Keys(typed)) {
			flattenInto(values, joinPath(prefix, name), typed[name])
		}
	case []any:
		for i, entry := range typed {
			flattenInto(values, fmt.Sprintf("%s[%s]", prefix, entryKey(entry, i)), entry)
		}
	default:
		// A value decoded from JSON can always be encoded again.
		encoded, _ := json.Marshal(value)
		values[prefix] = string(encoded)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// entryKey returns the key of a list entry in a path: the text of a string, the
// name of an object, or else its position.
func entryKey(entry any, position int) string {
	if text, isText := entry.(string); isText {
		return text
	}
	if fields, isObject := entry.(map[string]any); isObject {
		for _, field := range []string{"name", "id", "weights_version"} {
			if name, isText := fields[field].(string); isText {
				return name
			}
		}
	}
	return fmt.Sprint(position)
}
