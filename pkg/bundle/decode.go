package bundle

import (
	"fmt"
	"strings"

	"github.com/baobabhub/baobabhub/pkg/strictjson"
)

// MaxBundleBytes limits the size of an encoded bundle so that its signed envelope
// fits into one value of the key-value service.
const MaxBundleBytes = 700_000

// Decode strictly decodes and validates a bundle. It reports all problems at
// once: unknown, duplicate and mistyped fields and the problems of Validate. The
// returned bundle is valid only if there are no problems.
func Decode(data []byte) (Bundle, []Problem) {
	var b Bundle
	if len(data) > MaxBundleBytes {
		return b, []Problem{newProblem("", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("at most %d bytes", MaxBundleBytes))}
	}
	problems := strictjson.Decode(data, &b)
	return b, redactKeyValues(mergeProblems(problems, Validate(b)))
}

// redactKeyValues removes the values of key fields from problems, since an operator
// may have entered a plain API key there by mistake.
func redactKeyValues(problems []Problem) []Problem {
	for i := range problems {
		if strings.Contains(problems[i].Path, ".keys[") {
			problems[i].Found = "a value that isn't shown"
		}
	}
	return problems
}

// mergeProblems appends the additional problems whose paths have no problem yet.
func mergeProblems(problems, additional []Problem) []Problem {
	seen := make(map[string]bool, len(problems))
	for _, problem := range problems {
		seen[problem.Path] = true
	}
	for _, problem := range additional {
		if !seen[problem.Path] {
			problems = append(problems, problem)
		}
	}
	return problems
}
