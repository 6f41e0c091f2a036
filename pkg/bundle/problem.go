package bundle

import "github.com/baobabhub/baobabhub/pkg/strictjson"

// Problem describes one invalid value in a bundle.
type Problem = strictjson.Problem

// FormatProblems formats problems, one per line.
func FormatProblems(problems []Problem) string {
	return strictjson.FormatProblems(problems)
}

func newProblem(path, found, allowed string) Problem {
	return Problem{Path: path, Found: found, Allowed: allowed}
}
