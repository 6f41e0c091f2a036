package strictjson

import (
	"fmt"
	"strings"
)

// Problem is one fault of a document.
type Problem struct {
	// Path is the JSON path of the value, "accounts[3].keys[0].hash".
	Path string `json:"path"`
	// Found is the value as it stands.
	Found string `json:"found"`
	// Allowed says what the value may be.
	Allowed string `json:"allowed"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: found %s, allowed: %s", p.Path, p.Found, p.Allowed)
}

// FormatProblems joins problems, one a line.
func FormatProblems(problems []Problem) string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}
