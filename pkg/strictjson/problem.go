package strictjson

import (
	"fmt"
	"strings"
)

// Problem describes one invalid value in a document.
type Problem struct {
	// Path is the JSON path of the value, for example "accounts[3].keys[0].hash".
	Path string `json:"path"`
	// Found is the invalid value, possibly truncated, or a description of it.
	Found string `json:"found"`
	// Allowed describes the values that are valid at this path.
	Allowed string `json:"allowed"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", p.Path, p.Found, p.Allowed)
}

// FormatProblems formats problems, one per line.
func FormatProblems(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
