package configcheck

import (
	"fmt"
	"math"
	"time"
)

// Compare returns what differs from the configuration in force, by entry, and what is wrong with the
// order of the two.
func Compare(inForce, doc *Document) ([]Change, []Finding) {
	c := &comparison{old: inForce, new: doc}
	c.compareRoutes()
	c.compareServices()
	c.compareAccounts()
	c.compareLimits()
	var found findings
	if doc.Version < inForce.Version || (doc.Version == inForce.Version && len(c.changes) > 0) {
		found.add(SeverityError, doc.Names.Version, "%d is not above that in force, %d; the configuration is ignored", doc.Version, inForce.Version)
	}
	return c.changes, found
}

// comparison collects the differences between two documents.
type comparison struct {
	old, new *Document
	changes  []Change
	// path and entry name the entry that is compared.
	path, entry string
}

func (c *comparison) at(path, format string, args ...any) {
	c.path, c.entry = path, fmt.Sprintf(format, args...)
}

func (c *comparison) add(severity Severity, what, effect string) {
	c.changes = append(c.changes, Change{Severity: severity, Path: c.path, Entry: c.entry, What: what, Effect: effect})
}

// addIf adds a change of a value, if it has changed.
func addIf[T comparable](c *comparison, severity Severity, name string, before, after T, effect string) {
	if before != after {
		c.add(severity, fmt.Sprintf("%s %v → %v", name, before, after), effect)
	}
}

// bound is a limit of a kind that is ordered, in which 0 stands for another value.
type bound interface {
	~int | ~int64 | ~float64
}

// addBound adds a change of a bound. zero is the value for which 0 stands; it may be above all others.
func addBound[T bound](c *comparison, name string, before, after, zero T, lowered, raised string) {
	effective := func(value T) T {
		if value <= 0 {
			return zero
		}
		return value
	}
	switch {
	case effective(after) < effective(before):
		c.add(SeverityWarning, fmt.Sprintf("%s %v → %v", name, before, after), lowered)
	case effective(after) > effective(before):
		c.add(SeverityNote, fmt.Sprintf("%s %v → %v", name, before, after), raised)
	}
}

func (c *comparison) compareLimits() {
	names, before, after := &c.new.Names, &c.old.Limits, &c.new.Limits
	c.at(names.Limits, "%s", names.Limits)
	addBound(c, names.HeaderBytes, before.HeaderBytes, after.HeaderBytes, defaultBound, "larger headers are refused", "larger headers are accepted")
	addBound(c, names.BodyBytes, before.BodyBytes, after.BodyBytes, defaultBound, "larger bodies are refused", "larger bodies are accepted")
	addBound(c, names.HeaderTimeout, before.HeaderTimeout, after.HeaderTimeout, defaultTime, "callers that send their headers more slowly are refused", "slower callers are accepted")
	addBound(c, names.IdleTimeout, before.IdleTimeout, after.IdleTimeout, defaultTime, "idle connections of callers are closed sooner", "idle connections of callers stay open longer")
}

// Values for which a 0 stands in comparisons. The processes' own defaults depend on the program, so
// that setting a limit where there was none counts as lowering it.
const (
	defaultBound = math.MaxInt32
	defaultTime  = time.Duration(math.MaxInt64)
)
