package configcheck

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

const (
	// maxDuration is the longest time that a configuration may set. Much larger numbers can't be
	// represented, and are taken for another time.
	maxDuration = 24 * time.Hour
	// maxPriority is the least urgent priority that engines know; others are replaced by the nearest.
	maxPriority = 9
)

// Options holds what is known beside the document.
type Options struct {
	// Targets holds the numbers of targets by service, where they are known.
	Targets map[string]int
}

// Check returns what is wrong with a configuration by itself, errors of decoding first.
func Check(doc *Document, options Options) []Finding {
	if doc.Rejected {
		return doc.Findings
	}
	c := &checker{doc: doc, options: options, found: append(findings{}, doc.Findings...), config: doc.Config(), indexed: doc.indexedConfig()}
	if doc.Version <= 0 {
		c.found.add(SeverityError, doc.Names.Version, "not positive, so that it never replaces a configuration in force")
	}
	c.checkRoutes()
	c.checkServices()
	c.checkAccounts()
	c.checkLimits()
	return c.found
}

type checker struct {
	doc             *Document
	options         Options
	found           findings
	config, indexed *fleet.Config
}

// checkDuration reports a time out of range, and whether it is in range.
func (c *checker) checkDuration(path string, value time.Duration) bool {
	if value >= 0 && value <= maxDuration {
		return true
	}
	c.found.add(SeverityError, path, "out of range, 0 to %v", maxDuration)
	return false
}

func (c *checker) checkPriority(path string, priority int) {
	if priority < 0 || priority > maxPriority {
		c.found.add(SeverityWarning, path, "%d is out of range; the nearest of 0 to %d is used", priority, maxPriority)
	}
}

func (c *checker) checkLimits() {
	limits, names := &c.doc.Limits, &c.doc.Names
	path := func(field string) string { return names.Limits + "." + field }
	if limits.HeaderBytes < 0 {
		c.found.add(SeverityError, path(names.HeaderBytes), "negative")
	}
	if limits.BodyBytes < 0 {
		c.found.add(SeverityError, path(names.BodyBytes), "negative")
	}
	valid := c.checkDuration(path(names.HeaderTimeout), limits.HeaderTimeout)
	valid = c.checkDuration(path(names.IdleTimeout), limits.IdleTimeout) && valid
	if valid && limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		c.found.add(SeverityWarning, path(names.HeaderTimeout), "%v is longer than the time for which a connection may be idle, %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}
