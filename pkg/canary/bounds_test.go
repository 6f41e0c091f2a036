package canary

import "time"

// Bounds of the tests, from docs/design/load-and-rollouts.md. They were fixed before the package was
// written.
const (
	// boundShare and boundSlack limit the requests that a bad version may get between the order
	// and its end: boundShare of all requests of the service, plus boundSlack.
	boundShare = 0.1
	boundSlack = 50
	// boundBadAnswers and boundRollback: a bad version gets no request that was sent later than
	// boundRollback after its boundBadAnswers-th bad answer.
	boundBadAnswers = 50
	boundRollback   = 5 * time.Second
	// boundFalseRollbacks is the largest share of rollouts of good versions that may be rolled
	// back, and boundMissed the largest share of those of bad versions that may not be.
	boundFalseRollbacks = 0.01
	boundMissed         = 0.05
	// boundShortest is the shortest duration of an order for which these rates hold.
	boundShortest = 12 * time.Second
)
