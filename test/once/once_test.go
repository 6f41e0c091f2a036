// Package once tests at-most-once calls with agents in separate processes that are
// killed or frozen during a call.
package once

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const body = "voucher"

// startPendingCall starts a call whose key belongs to an agent that does not serve
// the target, and waits until the target has received it. It returns the key, its
// owner, and a channel for the result of the call.
func startPendingCall(f *fleet) (key, owner string, results chan callResult) {
	key = f.keyOfNonServingOwner()
	results = make(chan callResult, 1)
	go func() { results <- f.redeemUntilConclusive(key, body) }()
	select {
	case <-f.target.received:
	case <-time.After(eventTimeout):
		So("timed out", ShouldEqual, "target received the call")
	}
	return key, f.owner(key), results
}

func TestOwnerKilled(t *testing.T) {
	Convey("A call runs once if its owner is killed between writing the intent and the outcome", t, func() {
		f := startFleet(t)
		key, owner, results := startPendingCall(f)
		So(f.agents[owner].Process.Kill(), ShouldBeNil)
		eventually(func() bool { return f.owner(key) != owner && f.owner(key) != "" })
		f.releaseResponses()
		So((<-results).ran, ShouldEqual, "unknown")
		for range 5 {
			So(f.redeemUntilConclusive(key, body).ran, ShouldEqual, "unknown")
		}
		So(f.target.executionCount(body), ShouldEqual, 1)
	})
}

func TestOwnerFrozenAfterSend(t *testing.T) {
	Convey("A call runs once if its owner is frozen beyond its lease and resumes after a takeover", t, func() {
		f := startFleet(t)
		key, owner, results := startPendingCall(f)
		frozen := f.agents[owner].Process
		So(frozen.Signal(syscall.SIGSTOP), ShouldBeNil)
		eventually(func() bool { return f.owner(key) != owner && f.owner(key) != "" })
		f.releaseResponses()
		So((<-results).ran, ShouldEqual, "unknown")
		So(f.redeemUntilConclusive(key, body).ran, ShouldEqual, "unknown")
		So(frozen.Signal(syscall.SIGCONT), ShouldBeNil)
		for range 5 {
			So(f.redeemUntilConclusive(key, body).ran, ShouldEqual, "unknown")
			time.Sleep(100 * time.Millisecond)
		}
		So(f.target.executionCount(body), ShouldEqual, 1)
	})
}

func TestOwnerFrozenBeforeSend(t *testing.T) {
	Convey("An owner that is frozen while writing its intent does not send the call after a takeover", t, func() {
		f := startFleet(t)
		f.releaseResponses()
		key := f.keyOfNonServingOwner()
		So(f.redeemUntilConclusive(key, "another").status, ShouldEqual, http.StatusOK)
		<-f.target.received
		callKey, owner := f.unusedKeyOfSameOwner(key)
		faults := f.kv.Faults()
		faults.DelayMillis = 400
		f.kv.SetFaults(faults)
		results := make(chan callResult, 1)
		go func() { results <- f.redeemUntilConclusive(callKey, body) }()
		time.Sleep(150 * time.Millisecond)
		frozen := f.agents[owner].Process
		So(frozen.Signal(syscall.SIGSTOP), ShouldBeNil)
		time.Sleep(500 * time.Millisecond)
		faults.DelayMillis = 0
		f.kv.SetFaults(faults)
		eventually(func() bool { return f.owner(callKey) != owner && f.owner(callKey) != "" })
		<-results
		afterTakeover := f.redeemUntilConclusive(callKey, body)
		So(frozen.Signal(syscall.SIGCONT), ShouldBeNil)
		for range 5 {
			So(f.redeemUntilConclusive(callKey, body).ran, ShouldEqual, afterTakeover.ran)
			time.Sleep(100 * time.Millisecond)
		}
		So(f.target.executionCount(body), ShouldBeLessThanOrEqualTo, 1)
		if afterTakeover.status == http.StatusOK {
			So(f.target.executionCount(body), ShouldEqual, 1)
		}
	})
}
