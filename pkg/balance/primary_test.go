package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/call"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// sessionRequest returns a request of a session whose prompt begins with a head
// that many sessions share.
func sessionRequest(head, session int, headTokens, sessionTokens int64) *Request {
	req := newRequest("", headTokens+sessionTokens, 1200)
	req.SharedParts = []call.PromptPart{
		{ID: fmt.Sprintf("head-%d", head), Tokens: headTokens},
		{ID: fmt.Sprintf("session-%d-%d", head, session), Tokens: sessionTokens},
	}
	return req
}

// TestManySessionsOfManyHeads answers the load of a large fleet in which each
// process sees a small part of the requests, so that it can't learn from its own
// requests which engine holds what: sessions of a few requests each, with heads
// that many sessions share. Each engine that processes a head that another one
// has processed does the work again.
func TestManySessionsOfManyHeads(t *testing.T) {
	const processes, engineCount, heads, sessionsPerHead, requests = 30, 60, 40, 20, 3_000
	Convey("Given many processes that send the requests of many sessions, and no store events", t, func() {
		targets := engines(engineCount)
		var balancers []*Balancer
		for i := range processes {
			balancers = append(balancers, New(fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc%d", i%3), deadline, rand.New(rand.NewPCG(uint64(i), 2))))
		}
		random := rand.New(rand.NewPCG(7, 7))
		headEngines := map[string]bool{}
		recomputing := 0
		perEngine := map[string]int{}
		for i := range requests {
			now := time.Duration(i) * 5 * time.Millisecond
			head, session := random.IntN(heads), random.IntN(sessionsPerHead)
			req := sessionRequest(head, session, 340, 230)
			req.Stores = nil
			b := balancers[random.IntN(processes)]
			choice, refusal := b.Pick(now, req, targets)
			if refusal != nil {
				t.Fatal(refusal.Reason)
			}
			tracked := b.Begin(now, req, &choice)
			tracked.RecordFirstByte(now + 20*time.Millisecond)
			tracked.End(now+20*time.Millisecond, Succeeded)
			id := choice.Target.ID
			headEngines[fmt.Sprint(head, "@", id)] = true
			if choice.RecomputedTokens > 0 {
				recomputing++
			}
			perEngine[id]++
		}
		Convey("the sessions of a head stay on a few engines", func() {
			So(len(headEngines), ShouldBeLessThan, 2*minHomes*heads)
		})
		Convey("hardly any request processes a prefix that another engine has processed", func() {
			So(recomputing, ShouldBeLessThan, requests/100)
		})
		Convey("no engine gets more than three times the mean", func() {
			most := 0
			for _, n := range perEngine {
				most = max(most, n)
			}
			So(most, ShouldBeLessThan, 3*requests/engineCount)
		})
	})
}

func TestHomes(t *testing.T) {
	homes := func(b *Balancer, req *Request) int { return b.homeCount(time.Second, req, 180) }
	Convey("The number of a head's homes follows from its share of the prompts", t, func() {
		b := newBalancer("dc0")
		for i := range 1000 {
			b.heads.record(time.Second, fmt.Sprintf("head-%d", i%2))
		}
		So(homes(b, sessionRequest(7, 1, 340, 230)), ShouldEqual, minHomes)
		So(homes(b, sessionRequest(1, 1, 340, 230)), ShouldBeGreaterThanOrEqualTo, 180)
	})
	Convey("A head that is a small part of the prefix does not limit its engines", t, func() {
		So(homes(newBalancer("dc0"), sessionRequest(1, 1, 500, 5000)), ShouldEqual, 180)
		So(homes(newBalancer("dc0"), newRequest("only", 500, 100)), ShouldEqual, 180)
	})
	Convey("A head's homes are a subset of its homes in a larger number", t, func() {
		b, targets := newBalancer("dc0"), engines(180)
		candidates := b.servingTargets(0, &Request{Service: "s", Model: model}, targets)
		few, many := headHomes("h", candidates, 8), headHomes("h", candidates, 16)
		So(few, ShouldResemble, many[:8])
	})
}

// TestHeadInAnotherStore guards against a head that is processed again because the
// store that the prefix is saved to does not hold it, although another one does.
func TestHeadInAnotherStore(t *testing.T) {
	Convey("A head is imported from any store that holds it", t, func() {
		b := newBalancer("dc0")
		req := sessionRequest(1, 1, 340, 230)
		req.Stores = []string{"10.1.0.1:1", "10.1.0.2:1", "10.1.0.3:1"}
		for _, address := range req.Stores {
			b.ApplyStoreChanges(address, nil)
		}
		match := b.storedParts(time.Second, req, nil, "v1")
		So(match.tokens, ShouldEqual, 0)
		for _, address := range req.Stores {
			if address != match.saveAddress {
				b.ApplyStoreChanges(address, []StoreChange{{Salt: "v1", ID: "head-1", Stored: true}})
				break
			}
		}
		choice, _ := b.Pick(time.Second, req, []fleet.Target{engines(1)[0]})
		So(choice.Import, ShouldEqual, ImportFromStore)
		So(choice.ImportAddress, ShouldNotEqual, choice.StoreAddress)
	})
}
