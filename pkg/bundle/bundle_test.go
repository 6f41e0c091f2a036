package bundle

import (
	"crypto/ed25519"
	"encoding/json"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func paths(problems []Problem) []string {
	var found []string
	for _, problem := range problems {
		found = append(found, problem.Path)
	}
	return found
}

func TestDecodeReportsAllProblems(t *testing.T) {
	Convey("A bundle with many faults is refused with all of them at once", t, func() {
		data, err := json.Marshal(testBundle(3, 2))
		So(err, ShouldBeNil)
		text := strings.NewReplacer(
			`"version":3`, `"version":-3,"Version":3`,
			`"name":"account-0001"`, `"name":"account-0000"`,
			`"pool":"engines"`, `"pool":"","colour":1`,
			`"timeout":"1m0s"`, `"timeout":"soon"`,
			`"share":0.1`, `"share":"0.1"`,
			`"min_ready_share":0.7`, `"min_ready_share":1.7,"canary_share":0`,
			`"mode":"once"`, `"mode":"twice"`,
		).Replace(string(data))
		_, problems := Decode([]byte(text))
		found := paths(problems)
		for _, path := range []string{"version", "Version", "accounts[1].name", "routes[0].pool", "routes[0].colour",
			"routes[0].timeout", "models[0].versions[1].share", "rollout.min_ready_share", "rollout.canary_share", "routes[1].mode"} {
			So(found, ShouldContain, path)
		}
		So(len(found), ShouldEqual, 10)
	})
	Convey("A sound bundle decodes to itself", t, func() {
		data, err := Canonical(testBundle(3, 2))
		So(err, ShouldBeNil)
		b, problems := decodeCanonical(data)
		So(problems, ShouldBeEmpty)
		So(b.Version, ShouldEqual, 3)
	})
}

func TestIndex(t *testing.T) {
	b := testBundle(1, 3)
	b.Routes[1].Accounts = []string{"account-0001"}
	x, err := NewIndex(b)
	Convey("Keys, routes and versions are found", t, func() {
		So(err, ShouldBeNil)
		owner, found := x.LookupKey("account-0002-2")
		So(found, ShouldBeTrue)
		So(owner, ShouldResemble, KeyOwner{"account-0002", "account-0002-k2"})
		So(x.KeyActive(owner), ShouldBeTrue)
		_, found = x.LookupKey("account-0002-3")
		So(found, ShouldBeFalse)
		So(x.RouteByPath("/bids/7").Name, ShouldEqual, "bids")
		So(x.RouteByPath("/bids/list/1").Name, ShouldEqual, "bid-list")
		So(x.RouteByPath("/bidsx"), ShouldBeNil)
		So(x.RouteByModel("drafts").Name, ShouldEqual, "drafts")
		So(x.AllowedRoutes("account-0001"), ShouldResemble, []string{"bid-list", "bids", "drafts"})
		So(x.AllowedRoutes("account-0002"), ShouldResemble, []string{"bid-list", "drafts"})
		So(x.AllowedRoutes("nobody"), ShouldResemble, []string{"bid-list"})
	})
	Convey("A withdrawn key is no longer active", t, func() {
		b.Accounts[2].Keys = b.Accounts[2].Keys[:1]
		later, err := NewIndex(b)
		So(err, ShouldBeNil)
		So(later.KeyActive(KeyOwner{"account-0002", "account-0002-k2"}), ShouldBeFalse)
		_, found := later.LookupKey("account-0002-2")
		So(found, ShouldBeFalse)
	})
	Convey("Versions get their share and a prefix stays with its version", t, func() {
		random, second, draws := rand.New(rand.NewPCG(1, 2)), 0, 100_000
		for range draws {
			hash := random.Uint64()
			version := x.PickVersion("drafts", hash)
			check(t, version == x.PickVersion("drafts", hash))
			if version.WeightsVersion == "w2" {
				second++
			}
		}
		deviation := math.Sqrt(0.1 * 0.9 * float64(draws))
		So(float64(second), ShouldAlmostEqual, 0.1*float64(draws), 5*deviation)
		So(x.PickVersion("none", 1), ShouldBeNil)
	})
}

func TestPickVersion(t *testing.T) {
	Convey("A canary gets its share, and a growing one only takes prompts", t, func() {
		const prompts = 10_000
		withShares := func(versions ...ModelVersion) *Index {
			x, err := NewIndex(Bundle{Models: []Model{{Name: "m", Versions: versions}}})
			So(err, ShouldBeNil)
			return x
		}
		small := withShares(ModelVersion{"v1", 95, nil}, ModelVersion{"v2", 5, nil}, ModelVersion{"v0", 0, nil})
		large := withShares(ModelVersion{"v1", 50, nil}, ModelVersion{"v2", 50, nil})
		random := rand.New(rand.NewPCG(5, 6))
		canary, moved := 0, 0
		for range prompts {
			sticky := random.Uint64()
			version := small.PickVersion("m", sticky).WeightsVersion
			if version == "v2" {
				canary++
			}
			if version == "v2" && large.PickVersion("m", sticky).WeightsVersion != "v2" {
				moved++
			}
		}
		So(canary, ShouldBeBetween, prompts*4/100, prompts*6/100)
		So(moved, ShouldEqual, 0)
		So(withShares(ModelVersion{"v1", 0, nil}).PickVersion("m", 1), ShouldBeNil)
	})
}

// check asserts in a hot loop without goconvey's cost.
func check(t *testing.T, ok bool) {
	t.Helper()
	if !ok {
		t.Fatal("assertion failed")
	}
}

func TestApprovals(t *testing.T) {
	Convey("Only another operator's key approves", t, func() {
		signed, err := Sign(testBundle(1, 1), "ana", testKey("ana"))
		So(err, ShouldBeNil)
		_, problems := signed.Verify(testTrust(1))
		So(paths(problems), ShouldResemble, []string{"approvals"})
		_, err = signed.Approve("ana", testKey("ana"))
		So(err, ShouldNotBeNil)
		forged, err := signed.Approve("bea", testKey("ana"))
		So(err, ShouldBeNil)
		_, problems = forged.Verify(testTrust(1))
		So(paths(problems), ShouldResemble, []string{"approvals[0]"})
		own := signed
		own.Approvals = []Approval{{KeyID: "ana", Signature: signed.Signature}}
		_, problems = own.Verify(testTrust(1))
		So(len(problems), ShouldEqual, 2)
		_, problems = testSigned(testBundle(1, 1)).Verify(testTrust(1))
		So(problems, ShouldBeEmpty)
		same := testKey("ana").Public().(ed25519.PublicKey)
		_, err = NewTrustPolicy([]TrustedKey{{"ana", same}, {"eva", same}}, 1)
		So(err, ShouldNotBeNil)
	})
}

func TestDifferenceSize(t *testing.T) {
	Convey("A changed key of one in 1200 accounts travels in a few hundred bytes", t, func() {
		older := testBundle(1, 1200)
		newer := normalize(older)
		newer.Version = 2
		newer.Accounts[700].Keys = newer.Accounts[700].Keys[:1]
		encoded, err := encodeDifference(
			&Snapshot{Bundle: older, Signed: testSigned(older)}, &Snapshot{Bundle: newer, Signed: testSigned(newer)})
		So(err, ShouldBeNil)
		whole, err := testSigned(newer).Encode()
		So(err, ShouldBeNil)
		t.Logf("difference %d bytes, whole envelope %d bytes", len(encoded), len(whole))
		So(len(encoded), ShouldBeLessThan, 1024)
		So(len(whole), ShouldBeLessThan, MaxSignedBytes)
	})
}
