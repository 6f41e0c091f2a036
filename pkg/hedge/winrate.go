package hedge

import (
	"math"
	"time"
)

const (
	// minWinRate is the share of hedges that have to win. Where the times of requests vary little
	// or all targets are slow, a late first response still comes before that of a copy, and the
	// copy only adds load.
	minWinRate = 1.0 / 3
	// priorWins and priorHedges stand for hedges before the first one, so that some are tried.
	priorWins   = 2
	priorHedges = 4
	// winHalfLife is the half-life of a hedge's weight. After a few of them without further hedges,
	// some are tried again.
	winHalfLife = 10 * time.Second
)

// winRate is the share of a route's recent hedges whose response came first.
type winRate struct {
	won, ended float64
	decayedAt  time.Duration
}

func (r *winRate) add(now time.Duration, won bool) {
	r.decay(now)
	r.ended++
	if won {
		r.won++
	}
}

func (r *winRate) decay(now time.Duration) {
	if now <= r.decayedAt {
		return
	}
	factor := math.Exp2(-float64(now-r.decayedAt) / float64(winHalfLife))
	r.won, r.ended, r.decayedAt = r.won*factor, r.ended*factor, now
}

// isEnough reports whether hedges win often enough.
func (r *winRate) isEnough(now time.Duration) bool {
	r.decay(now)
	return r.won+priorWins >= minWinRate*(r.ended+priorHedges)
}
