package configcheck

import (
	"fmt"
	"strings"
)

// Severity says what a finding means for the deployment.
type Severity string

const (
	// SeverityError means that the configuration is ignored, or that requests fail that should be served.
	SeverityError Severity = "error"
	// SeverityWarning means that an entry has no effect or contradicts another one, or callers lose something.
	SeverityWarning Severity = "warning"
	// SeverityNote means that nothing is wrong.
	SeverityNote Severity = "note"
)

// Finding is something that an operator should know of an entry.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the place in the file, such as routes[2].timeout_ms.
	Path   string `json:"path"`
	Reason string `json:"reason"`
}

// Change is a difference from the configuration in force.
type Change struct {
	Severity Severity `json:"severity"`
	// Path is the place in the file; for an entry that was removed, that in the file in force.
	Path string `json:"path"`
	// Entry names the entry, and What says what is different.
	Entry string `json:"entry"`
	What  string `json:"what"`
	// Effect is what callers notice.
	Effect string `json:"effect"`
}

// Report is the result of a check.
type Report struct {
	File     string    `json:"file"`
	Version  int64     `json:"version"`
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// Count returns the number of findings and changes of a severity.
func (r *Report) Count(severity Severity) int {
	count := 0
	for _, finding := range r.Findings {
		if finding.Severity == severity {
			count++
		}
	}
	for _, change := range r.Changes {
		if change.Severity == severity {
			count++
		}
	}
	return count
}

// Summary returns the numbers of errors and warnings.
func (r *Report) Summary() string {
	return fmt.Sprintf("%s: version %d, errors: %d, warnings: %d", r.File, r.Version, r.Count(SeverityError), r.Count(SeverityWarning))
}

// String formats the report with one line for each finding and change.
func (r *Report) String() string {
	var text strings.Builder
	for _, finding := range r.Findings {
		fmt.Fprintf(&text, "%s: %s: %s\n", finding.Severity, finding.Path, finding.Reason)
	}
	for _, change := range r.Changes {
		fmt.Fprintf(&text, "%s: %s (%s): %s: %s\n", change.Severity, change.Entry, change.Path, change.What, change.Effect)
	}
	text.WriteString(r.Summary() + "\n")
	return text.String()
}

// findings collects findings.
type findings []Finding

func (f *findings) add(severity Severity, path, format string, args ...any) {
	*f = append(*f, Finding{severity, path, fmt.Sprintf(format, args...)})
}
