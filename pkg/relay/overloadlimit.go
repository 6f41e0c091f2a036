package relay

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/loadshed"
)

// serviceClasses holds the classes of the requests that a configuration leads to a service.
type serviceClasses struct {
	config  *fleet.Config
	classes []loadshed.Class
	// weight is the mean rate in tokens a second of the accounts that have one. It is the weight
	// of those without.
	weight float64
}

// update derives the classes from the configuration in force.
func (s *serviceClasses) update(config *fleet.Config, service string) {
	if s.config == config {
		return
	}
	*s = serviceClasses{config: config, weight: defaultAccountWeight}
	routes := config.RoutesTo(service)
	total, count := 0.0, 0
	config.EachAccount(func(account *fleet.Account) {
		if account.TokensPerSecond > 0 && !account.CountsRequests {
			total += account.TokensPerSecond
			count++
		}
	})
	if count > 0 {
		s.weight = total / float64(count)
	}
	for i := range routes {
		for _, rank := range config.RouteRanks(&routes[i]) {
			s.classes = append(s.classes, loadshed.Class{
				Priority: clampPriority(rank), Objective: routes[i].FirstByteObjective, Timeout: routes[i].Timeout,
			})
		}
	}
}

// priority returns the request's priority as engines know it: that of its account, if that has
// one. With overload control it is the request's rank among all requests, so that the routes'
// priorities decide among accounts of the same priority.
func (q *request) priority() int {
	if q.relay.OverloadControl {
		return clampPriority(q.config.Rank(&q.route, q.account))
	}
	if q.account != nil && q.account.HasPriority {
		return clampPriority(q.account.Priority)
	}
	return clampPriority(q.route.Priority)
}

func clampPriority(priority int) int { return min(9, max(0, priority)) }

// class returns the class of the request.
func (q *request) class() loadshed.Class {
	return loadshed.Class{Priority: q.priority(), Objective: q.route.FirstByteObjective, Timeout: q.route.Timeout}
}

// limit returns the longest expected time to the first byte at which a request is sent, or 0 if
// only its own time limits it. relaxed lifts the limit of its class. fraction scales the limit.
func (c *capacityQueue) limit(r *waitingRequest, relaxed bool, fraction float64) time.Duration {
	q, now := r.q, c.control.relay.Now()
	c.classes.update(q.config, c.service)
	limit := loadshed.Limits(q.class(), c.classes.classes)
	switch {
	case relaxed:
		return 0
	case limit == 0 && !c.queue.IsExcessive(now, r.ticket.Priority, r.ticket.Account):
		return 0
	case limit == 0:
		limit = loadshed.SoftLimit(q.class())
	}
	scaled := time.Duration(fraction * c.control.limitFactor / c.estimates.Factor(now) * float64(limit))
	return scaled + c.promptTime.Of(now, float64(q.meta.PromptTokens))
}

// ticket describes a request to the queue.
func (c *capacityQueue) ticket(q *request) loadshed.Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classes.update(q.config, c.service)
	now := q.relay.Now()
	wait := min(q.maxFirstByteWait(), q.remaining()-min(c.restTimes[q.route.Name], q.remaining()/2))
	ticket := loadshed.Ticket{
		Priority: q.priority(), Account: q.accountName(), AccountWeight: c.classes.weight, Tokens: q.cost,
		Deadline: now + wait, Objective: q.route.FirstByteObjective,
	}
	if q.account != nil && q.account.TokensPerSecond > 0 {
		ticket.AccountWeight = q.account.TokensPerSecond
	}
	if q.account == nil {
		ticket.Tokens = float64(q.meta.PromptTokens + q.meta.OutputTokens)
	}
	lead := loadshed.QueueTarget(q.class(), c.classes.classes)
	ticket.Lead = max(minLead, min(lead+c.promptTime.Of(now, float64(q.meta.PromptTokens)), wait/2))
	return ticket
}
