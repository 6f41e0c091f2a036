package ratelimit

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// use is what one admitted request truly used.
type use struct {
	at     time.Duration
	tokens int64
}

// largestExcess is the oracle: the most by which uses exceed burst + rate*t in
// any window, in token-nanoseconds. It knows nothing of parts.
func largestExcess(uses []use, limit Limit) int64 {
	slices.SortStableFunc(uses, func(x, y use) int { return int(x.at - y.at) })
	var sum, largest int64
	lowest := int64(1) << 62
	for _, u := range uses {
		accrued := limit.RateTokensPerSecond * int64(u.at)
		lowest = min(lowest, sum*int64(time.Second)-accrued)
		sum += u.tokens
		largest = max(largest, sum*int64(time.Second)-accrued-lowest-limit.BurstTokens*int64(time.Second))
	}
	return largest
}

// message is a lend request, a lend answer or a settlement under way. It may be
// delivered late, several times or never.
type message struct {
	kind     string
	from, to int
	request  Request
	transfer string
	tokens   int64
}

type bucketMachine struct {
	limit   Limit
	now     time.Duration
	ledgers []*Ledger
	// clocks holds each owner's own start, since owners share no clock.
	clocks   []time.Duration
	messages []message
	uses     []use
	used     map[string]int64
	number   int
}

func newBucketMachine(t *rapid.T) *bucketMachine {
	limit := Limit{rapid.Int64Range(1, 4000).Draw(t, "rate"), rapid.Int64Range(1, 1000).Draw(t, "burst")}
	parts := rapid.IntRange(2, 3).Draw(t, "parts")
	return &bucketMachine{
		limit: limit, ledgers: newLedgers(limit, parts, InitialState{FirstEpoch: true}),
		clocks: make([]time.Duration, parts), used: map[string]int64{},
	}
}

func (m *bucketMachine) part(t *rapid.T) int {
	return rapid.IntRange(0, len(m.ledgers)-1).Draw(t, "part")
}

func (m *bucketMachine) time(part int) time.Duration { return m.now - m.clocks[part] }

func (m *bucketMachine) newID(prefix string) string {
	m.number++
	return fmt.Sprintf("%s%d", prefix, m.number)
}

// admitted records a request that was granted for the first time at a part.
func (m *bucketMachine) admitted(t *rapid.T, part int, request Request, answer Answer) {
	id := fmt.Sprintf("%d/%s", part, request.ID)
	if _, repeated := m.used[id]; answer.Outcome != Granted || repeated {
		return
	}
	share := rapid.SampledFrom([]int64{0, 10, 10}).Draw(t, "share")
	used := request.Tokens * share / 10
	m.used[id] = used
	m.uses = append(m.uses, use{m.now, used})
	m.messages = append(m.messages, message{kind: "settle", to: part, request: request, tokens: used})
}

func (m *bucketMachine) reserve(t *rapid.T) {
	part := m.part(t)
	level := m.level(part)
	tokens := rapid.OneOf(rapid.Just(level), rapid.Int64Range(0, m.limit.BurstTokens),
		rapid.Just(m.limit.BurstTokens)).Draw(t, "tokens")
	hold := time.Duration(rapid.IntRange(0, 60).Draw(t, "hold")) * time.Second
	m.reserveAt(t, part, Request{ID: m.newID("r"), Tokens: tokens, Timeout: hold})
}

func (m *bucketMachine) level(part int) int64 {
	level, _ := m.ledgers[part].Level(m.time(part), account)
	return max(level, 0)
}

// reserveAt asks a part and sends what it needs from its siblings.
func (m *bucketMachine) reserveAt(t *rapid.T, part int, request Request) {
	answer := m.ledgers[part].Reserve(m.time(part), account, request)
	m.admitted(t, part, request, answer)
	if answer.Outcome != InsufficientTokens {
		return
	}
	for sibling := range m.ledgers {
		transfer := m.newID("t")
		missing := int64(0)
		if sibling != part {
			missing = m.ledgers[part].StartTransfer(m.time(part), account, request, transfer)
		}
		if missing > 0 {
			m.messages = append(m.messages, message{"lend", part, sibling, request, transfer, missing})
		}
	}
}

func (m *bucketMachine) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		return
	}
	// Often the newest, so that pulls succeed within their time.
	i := len(m.messages) - 1
	if rapid.Bool().Draw(t, "older") {
		i = rapid.IntRange(0, i).Draw(t, "message")
	}
	message := m.messages[i]
	if rapid.IntRange(0, 3).Draw(t, "duplicate") > 0 {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	ledger, now := m.ledgers[message.to], m.time(message.to)
	switch message.kind {
	case "lend":
		loan := ledger.Lend(now, account, message.transfer, message.tokens)
		message.kind, message.from, message.to, message.tokens = "loan", message.to, message.from, loan.Tokens
		m.messages = append(m.messages, message)
	case "loan":
		answer := ledger.FinishTransfer(now, account, message.request, message.transfer, message.tokens)
		m.admitted(t, message.to, message.request, answer)
	case "settle":
		ledger.Settle(now, account, message.request.ID, message.tokens)
	}
}

func (m *bucketMachine) replaceOwner(t *rapid.T) {
	part := m.part(t)
	start := InitialState{}
	if rapid.Bool().Draw(t, "hand over") {
		start.Levels = m.ledgers[part].Stop(m.time(part))
	}
	m.clocks[part] = m.now - time.Duration(rapid.IntRange(0, 1000).Draw(t, "clock"))*time.Millisecond
	m.ledgers[part] = NewLedger(PartPosition{part, len(m.ledgers)}, start)
	m.ledgers[part].SetLimits(m.time(part), map[string]Limit{account: m.limit})
}

func TestNoWindowExceedsTheBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newBucketMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				for range rapid.IntRange(1, 3).Draw(t, "reserves") {
					m.reserve(t)
				}
			},
			"drain": func(t *rapid.T) {
				for part := range m.ledgers {
					m.reserveAt(t, part, Request{ID: m.newID("r"), Tokens: m.level(part), Timeout: time.Minute})
				}
			},
			"deliver": func(t *rapid.T) {
				for range rapid.IntRange(1, 6).Draw(t, "deliveries") {
					m.deliver(t)
				}
			},
			"lose": func(t *rapid.T) {
				if len(m.messages) > 0 {
					i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "lost")
					m.messages = slices.Delete(m.messages, i, i+1)
				}
			},
			"give up": func(t *rapid.T) {
				if i := slices.IndexFunc(m.messages, func(x message) bool { return x.kind == "lend" }); i >= 0 {
					x := m.messages[i]
					m.admitted(t, x.from, x.request, m.ledgers[x.from].FinishPull(m.time(x.from), account, x.request))
				}
			},
			"owner": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "rarely") == 0 {
					m.replaceOwner(t)
				}
			},
			"wait": func(t *rapid.T) {
				longest := rapid.SampledFrom([]int{1, 350, 350, 600, 10_000}).Draw(t, "longest")
				m.now += time.Duration(rapid.IntRange(0, longest).Draw(t, "wait")) * time.Millisecond
			},
			"": func(t *rapid.T) {
				if excess := largestExcess(m.uses, m.limit); excess > 0 {
					t.Fatalf("window excess of %d token-nanoseconds over %+v", excess, m.limit)
				}
			},
		})
	})
}

// offer asks a part and pulls from all siblings without faults.
func offer(ledgers []*Ledger, part int, now time.Duration, request Request) Answer {
	answer := ledgers[part].Reserve(now, account, request)
	for sibling := range ledgers {
		if answer.Outcome != InsufficientTokens || sibling == part {
			continue
		}
		transfer := fmt.Sprintf("%s/%d", request.ID, sibling)
		if missing := ledgers[part].StartTransfer(now, account, request, transfer); missing > 0 {
			loan := ledgers[sibling].Lend(now, account, transfer, missing)
			answer = ledgers[part].FinishTransfer(now, account, request, transfer, loan.Tokens)
		}
	}
	if answer.Outcome == InsufficientTokens {
		answer = ledgers[part].FinishPull(now, account, request)
	}
	return answer
}

// TestConformingSourceIsNeverRefused offers whatever a source within rate and
// one part's burst may send, to any parts in any order.
func TestConformingSourceIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.IntRange(2, 3).Draw(t, "parts")
		rate := rapid.Int64Range(10, 1000).Draw(t, "rate")
		source := rapid.Int64Range(10, 5000).Draw(t, "source burst")
		lendTokens := rate*int64(LoanHold)/int64(time.Second) + 1
		limit := Limit{rate, int64(parts) * (source + lendTokens + int64(parts))}
		ledgers := newLedgers(limit, parts, InitialState{FirstEpoch: true})
		level, now := newFullPart(Limit{rate, source}, Limit{rate, source}, 0, 0), time.Duration(0)
		for i := range rapid.IntRange(1, 200).Draw(t, "requests") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
			level.advance(now)
			tokens := rapid.OneOf(rapid.Int64Range(0, level.level), rapid.Just(level.level)).Draw(t, "tokens")
			level.level -= tokens
			request := request(fmt.Sprint(i), tokens)
			part := rapid.IntRange(0, parts-1).Draw(t, "part")
			if answer := offer(ledgers, part, now, request); answer.Outcome != Granted {
				t.Fatalf("request %d of %d tokens at %v: %+v", i, tokens, now, answer)
			}
		}
	})
}

// TestMain raises the number of random runs, which are short, unless it is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		_ = flag.Set("rapid.checks", "10000")
	}
	os.Exit(m.Run())
}
