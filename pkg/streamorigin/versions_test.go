package streamorigin

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// listed returns the versions of registered targets of one service.
func listed(versions ...string) map[Software]bool {
	set := map[Software]bool{}
	for _, version := range versions {
		set[testSoftware(version)] = true
	}
	return set
}

// store writes the record that should be in the store, in an era, and returns it.
func store(v *Versions, now time.Duration, revision, era uint64) Record {
	next, differs := v.Next(now, testRetention)
	So(differs, ShouldBeTrue)
	v.SetStored(now, &next, revision, era)
	return next
}

// TestVersions guards against a version that begins streams before it is on record, and against
// one that is forgotten while callers may still hold streams that it began.
func TestVersions(t *testing.T) {
	Convey("Given the first process of a deployment", t, func() {
		v := NewVersions(0, true)
		v.SetStored(0, nil, 0, 1)
		So(v.IsBlocking(), ShouldBeTrue)
		v.SetListed(0, listed("v1"))
		Convey("a version begins streams only once it is in the store", func() {
			So(v.Active(testService), ShouldBeEmpty)
			So(v.IsBlocking(), ShouldBeTrue)
			record := store(v, 0, 1, 1)
			So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true})
			So(v.IsBlocking(), ShouldBeFalse)
			version, proven := record.OnlyVersion(1, testService)
			So(proven, ShouldBeTrue)
			So(version, ShouldEqual, "v1")
			So(v.NeedsWitnesses(testService), ShouldBeFalse)
		})
		Convey("a second version takes the proof away, and is retired and removed long after it has left", func() {
			store(v, 0, 1, 1)
			v.SetListed(time.Second, listed("v1", "v2"))
			So(v.NeedsWitnesses(testService), ShouldBeTrue)
			So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true})
			record := store(v, time.Second, 2, 1)
			_, proven := record.OnlyVersion(1, testService)
			So(proven, ShouldBeFalse)
			left := time.Minute
			v.SetListed(left, listed("v2"))
			_, differs := v.Next(left+retireDelay-1, testRetention)
			So(differs, ShouldBeFalse)
			retired := left + testRetention
			record = store(v, retired, 3, 1)
			So(record.Services[testService], ShouldResemble, map[string]State{"v1": Retired, "v2": Active})
			So(v.Active(testService), ShouldResemble, map[string]bool{"v2": true})
			_, differs = v.Next(retired+testRetention-1, testRetention)
			So(differs, ShouldBeFalse)
			Convey("unless it comes back", func() {
				v.SetListed(retired+1, listed("v1", "v2"))
				record = store(v, retired+1, 4, 1)
				So(record.Services[testService], ShouldResemble, map[string]State{"v1": Active, "v2": Active})
			})
			Convey("or a stream of it has begun here since", func() {
				v.RecordUse(retired+1, testSoftware("v1"))
				_, differs = v.Next(retired+testRetention, testRetention)
				So(differs, ShouldBeFalse)
			})
			Convey("after the retention", func() {
				record = store(v, retired+testRetention, 4, 1)
				So(record.Services[testService], ShouldResemble, map[string]State{"v2": Active})
			})
		})
		Convey("the only version stays active without targets, which may come back", func() {
			store(v, 0, 1, 1)
			v.SetListed(time.Second, listed())
			_, differs := v.Next(time.Hour, testRetention)
			So(differs, ShouldBeFalse)
			So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true})
			v.SetListed(2*time.Hour, listed("v2"))
			record := store(v, 2*time.Hour, 2, 1)
			So(record.Services[testService], ShouldResemble, map[string]State{"v1": Retired, "v2": Active})
		})
		Convey("after a restore of the store the record is complete only after the retention", func() {
			store(v, 0, 1, 1)
			v.SetListed(time.Second, listed("v1", "v2"))
			store(v, time.Second, 2, 1)
			restored := time.Hour
			copied := Record{Complete: true, Era: 1, Services: map[string]map[string]State{testService: {"v1": Active}}}
			v.SetStored(restored, &copied, 1, 2)
			So(v.NeedsWitnesses(testService), ShouldBeTrue)
			So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true, "v2": true})
			record := store(v, restored, 2, 2)
			So(record.IsComplete(2), ShouldBeFalse)
			So(record.Services[testService], ShouldResemble, map[string]State{"v1": Active, "v2": Active})
			_, differs := v.Next(restored+testRetention-1, testRetention)
			So(differs, ShouldBeFalse)
			record = store(v, restored+testRetention, 3, 2)
			So(record.IsComplete(2), ShouldBeTrue)
		})
		Convey("a record that can't be read is replaced, and its versions go on", func() {
			store(v, 0, 1, 1)
			v.SetStored(time.Second, nil, 5, 1)
			So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true})
			record := store(v, time.Second, 6, 1)
			So(record.Services[testService], ShouldResemble, map[string]State{"v1": Active})
			So(record.IsComplete(1), ShouldBeFalse)
		})
		Convey("an answer of the store that arrives late changes nothing", func() {
			old := store(v, 0, 1, 1)
			v.SetListed(time.Second, listed("v1", "v2"))
			store(v, time.Second, 2, 1)
			v.SetStored(time.Second, &old, 1, 1)
			So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true, "v2": true})
		})
	})
	Convey("A process that starts later can't tell whether a missing record lacks versions", t, func() {
		v := NewVersions(0, false)
		v.SetStored(0, nil, 0, 1)
		v.SetListed(0, listed("v1"))
		record := store(v, 0, 1, 1)
		So(record.IsComplete(1), ShouldBeFalse)
		So(v.Active(testService), ShouldResemble, map[string]bool{"v1": true})
		record = store(v, testRetention, 2, 1)
		So(record.IsComplete(1), ShouldBeTrue)
	})
}

func TestDecodeRecord(t *testing.T) {
	Convey("A record is read as it was written", t, func() {
		record := Record{Complete: true, Era: 3, Services: map[string]map[string]State{"s": {"v1": Active, "v2": Retired}}}
		decoded, err := DecodeRecord(record.Encode())
		So(err, ShouldBeNil)
		So(decoded.equal(&record), ShouldBeTrue)
	})
	Convey("What another writer may have left is an error", t, func() {
		for _, text := range []string{"", "{", `{"services":7}`, `{"services":{"s":{"v1":"other"}}}`, `{"era":1e400}`} {
			_, err := DecodeRecord([]byte(text))
			So(err, ShouldNotBeNil)
		}
	})
}

// TestUntoldStreams guards against a stream whose witnesses are never told, or told twice.
func TestUntoldStreams(t *testing.T) {
	Convey("Given streams that a process has begun, ended and heard of", t, func() {
		table := New()
		begun, ended, heard, other := NewKey("a", testService, "1"), NewKey("a", testService, "2"), NewKey("a", testService, "3"), NewKey("a", "other", "4")
		table.Begin(0, begun, testSoftware("v1"))
		table.Begin(0, ended, testSoftware("v1"))
		table.SetEnded(ended)
		table.Record(0, Origin{Key: heard, Version: "v1"})
		table.Begin(0, other, Software{Service: "other", Version: "v1"})
		Convey("the witnesses have to be told once of the first one", func() {
			So(table.TakeUntold(time.Second, testService), ShouldResemble, []Origin{{Key: begun, Version: "v1", Age: time.Second}})
			So(table.TakeUntold(time.Second, testService), ShouldBeEmpty)
			So(table.SetTold(0, begun), ShouldBeFalse)
		})
	})
}
