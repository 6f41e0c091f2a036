package loadshed

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	urgentClass = Class{Priority: 0, Objective: time.Second, Timeout: 3 * time.Second}
	batchClass  = Class{Priority: 2, Objective: 2 * time.Second, Timeout: 3 * time.Second}
)

const (
	// simCapacity is the number of requests that the engines can serve of those that are counted.
	simCapacity = 7 * 450
	simSeed     = 1
)

func simRun(processes int, loads []simLoad, event func(f *simFleet, now time.Duration)) simResult {
	f := newSimFleet(processes, loads, simSeed)
	return f.run(func(now time.Duration) {
		if event != nil {
			event(f, now)
		}
	})
}

func share(part, whole int) float64 { return float64(part) / float64(whole) }

// TestLoads guards against overload that spreads: to urgent requests, to accounts within their share,
// or to the number of requests that are served at all.
func TestLoads(t *testing.T) {
	for _, processes := range []int{24, 103} {
		Convey(fmt.Sprintf("With %d processes and state of 0.1 to 0.3 s ago", processes), t, func() {
			Convey("the number of served requests is flat from 1 to 4 times the capacity", func() {
				for _, factor := range []float64{1, 1.7, 2.5, 4} {
					r := simRun(processes, []simLoad{{"a", urgentClass, 225 * factor}, {"b", batchClass, 225 * factor}}, nil)
					So(r.total(-1).served, ShouldBeGreaterThan, 9*simCapacity/10)
				}
			})
			Convey("a load below the capacity is not affected", func() {
				total := simRun(processes, []simLoad{{"a", urgentClass, 150}, {"b", batchClass, 150}}, nil).total(-1)
				So(total.inObjective, ShouldEqual, total.asked)
			})
			Convey("a burst of 2.5 times the less urgent requests doesn't delay the urgent ones", func() {
				r := simRun(processes, []simLoad{{"a", urgentClass, 200}, {"b", batchClass, 500}}, nil)
				urgent, batch := r.total(0), r.total(2)
				So(share(urgent.inObjective, urgent.asked), ShouldBeGreaterThan, 0.98)
				So(share(batch.dropped, batch.asked), ShouldBeLessThan, 0.1)
				So(share(batch.inObjective, batch.served), ShouldBeGreaterThan, 0.5)
				So(urgent.served+batch.served, ShouldBeGreaterThan, 9*simCapacity/10)
			})
			Convey("nor does it if the estimates of the queues are eight times too low or twice too high", func() {
				for _, estimate := range []float64{0.125, 2} {
					f := newSimFleet(processes, []simLoad{{"a", urgentClass, 200}, {"b", batchClass, 500}}, simSeed)
					f.estimate = estimate
					r := f.run(nil)
					So(share(r.total(0).inObjective, r.total(0).asked), ShouldBeGreaterThan, 0.98)
					So(r.total(-1).served, ShouldBeGreaterThan, 9*simCapacity/10)
				}
			})
			Convey("without control, that burst is lost in the queues of the engines", func() {
				f := newSimFleet(processes, []simLoad{{"a", urgentClass, 200}, {"b", batchClass, 500}}, simSeed)
				f.controlled = false
				batch := f.run(nil).total(2)
				So(share(batch.dropped, batch.asked), ShouldBeGreaterThan, 0.3)
			})
			Convey("a burst of 2.5 times the urgent requests is served as far as there is capacity", func() {
				r := simRun(processes, []simLoad{{"a", urgentClass, 500}, {"b", batchClass, 200}}, nil)
				So(r.total(0).served, ShouldBeGreaterThan, 9*simCapacity/10)
				So(share(r.total(0).dropped, r.total(0).asked), ShouldBeLessThan, 0.02)
			})
			Convey("a flood of 8 times from one account mainly delays that account", func() {
				loads := []simLoad{{"a", urgentClass, 560}, {"b", urgentClass, 70}, {"c", urgentClass, 70}, {"d", urgentClass, 70}}
				r := simRun(processes, loads, nil)
				for _, account := range []string{"b", "c", "d"} {
					counts := r.of(account, 0)
					So(share(counts.served, counts.asked), ShouldBeGreaterThan, 0.9)
					So(share(counts.inObjective, counts.asked), ShouldBeGreaterThan, 0.5)
				}
				So(r.total(0).served, ShouldBeGreaterThan, 9*simCapacity/10)
			})
			Convey("accounts that all ask for more than their share get equal shares", func() {
				for _, class := range []Class{urgentClass, batchClass} {
					loads := []simLoad{{"a", class, 800}, {"b", class, 400}, {"c", class, 200}, {"d", urgentClass, 20}}
					r := simRun(processes, loads, nil)
					So(jain(r.of("a", class.Priority).served, r.of("b", class.Priority).served, r.of("c", class.Priority).served), ShouldBeGreaterThan, 0.9)
				}
			})
			Convey("urgent requests are served while a third of the engines is gone", func() {
				r := simRun(processes, []simLoad{{"a", urgentClass, 200}, {"b", batchClass, 200}}, func(f *simFleet, now time.Duration) {
					if now == 4*time.Second {
						for _, e := range f.engines[:simEngines/3] {
							e.gone, e.queue, e.left = true, nil, 0
						}
					}
				})
				So(share(r.total(0).inObjective, r.total(0).asked), ShouldBeGreaterThan, 0.95)
			})
		})
	}
}

// jain returns Jain's index of fairness: 1 if all are equal.
func jain(values ...int) float64 {
	sum, squares := 0.0, 0.0
	for _, value := range values {
		sum += float64(value)
		squares += float64(value) * float64(value)
	}
	return sum * sum / (float64(len(values)) * squares)
}
