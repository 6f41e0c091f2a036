package balance

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// TestUnreachableNews answers a crash of many engines at once in a fleet of many
// processes, each of which would otherwise fail to reach each of the engines.
func TestUnreachableNews(t *testing.T) {
	fail := func(b *Balancer, now time.Duration, target fleet.Target) {
		choice := Choice{Target: target}
		b.Begin(now, &Request{Service: "s"}, &choice).End(now, Unreachable)
	}
	Convey("Given a process that failed to reach a third of the engines", t, func() {
		reporter, targets := newBalancer("dc0"), engines(9)
		for _, target := range targets {
			reporter.Load(target.Boot())
		}
		for _, target := range targets[:3] {
			fail(reporter, time.Second, target)
		}
		news := reporter.Unreachable(1100 * time.Millisecond)
		So(news, ShouldHaveLength, 3)
		Convey("a peer avoids them for a short time", func() {
			peer := newBalancer("dc0")
			peer.AvoidUnreachable(time.Second, news)
			chosen := map[string]bool{}
			for range 200 {
				choice, refusal := peer.Pick(1100*time.Millisecond, &Request{Service: "s"}, targets)
				So(refusal, ShouldBeNil)
				chosen[choice.Target.ID] = true
			}
			for _, target := range targets[:3] {
				So(chosen[target.ID], ShouldBeFalse)
			}
			eligible, _ := peer.filter(time.Second+peersAvoidDuration, &Request{Service: "s"}, targets)
			So(eligible, ShouldHaveLength, len(targets))
		})
		Convey("a peer that reaches no others still uses them", func() {
			peer := newBalancer("dc0")
			peer.AvoidUnreachable(time.Second, news)
			_, refusal := peer.Pick(time.Second, &Request{Service: "s"}, targets[:3])
			So(refusal, ShouldBeNil)
		})
		Convey("it stops reporting after a while", func() {
			So(reporter.Unreachable(time.Second+unreachableNewsTTL), ShouldBeEmpty)
		})
	})
	Convey("A process that reaches hardly any engine reports none, as it is probably cut off", t, func() {
		reporter, targets := newBalancer("dc0"), engines(4)
		for _, target := range targets[:3] {
			fail(reporter, time.Second, target)
		}
		So(reporter.Unreachable(time.Second), ShouldBeEmpty)
	})
}
