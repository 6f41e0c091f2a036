package bundle

import "github.com/baobabhub/baobabhub/pkg/strictjson"

// Problem is one fault of a bundle.
type Problem = strictjson.Problem

// FormatProblems joins problems, one a line.
func FormatProblems(problems []Problem) string {
	return strictjson.FormatProblems(problems)
}

func problem(path, found, allowed string) Problem {
	return Problem{Path: path, Found: found, Allowed: allowed}
}
