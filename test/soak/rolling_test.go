package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// rollingStreams is the number of streams that are under way during restarts.
	rollingStreams = 24
	// rollingStreamTime is the time for which they last, longer than all restarts, and
	// rollingEventInterval the time between two of their events.
	rollingStreamTime    = 40 * time.Second
	rollingEventInterval = 100 * time.Millisecond
	// rateLimitPause is the time after which a caller comes back to the rate limit.
	rateLimitPause = 50 * time.Millisecond
	// maxRefusalTime is the time within which a stream is refused if nobody knows where it began.
	maxRefusalTime = time.Second
)

// rollingFleet is a deployment with two software versions and streams under way, of which each event
// names the version that wrote it.
type rollingFleet struct {
	*deployment
	t *testing.T
	// begunBy holds the versions that began the streams.
	begunBy []string
}

func newRollingFleet(t *testing.T, processes int) *rollingFleet {
	f := &rollingFleet{deployment: newDeployment(t, 1, processes, 6), t: t}
	f.configuration.Version++
	f.configuration.StreamTimeout = rollingStreamTime
	f.putConfiguration()
	for _, target := range f.targets {
		target.SetHandler(func(w http.ResponseWriter, r *http.Request) { writeLongStream(target, w, r) })
	}
	return f
}

// writeLongStream writes the events of a stream that goes on after the caller's last one. A caller who
// takes it up gets one event only.
func writeLongStream(target *platformfake.Target, w http.ResponseWriter, r *http.Request) {
	target.SetStamp(w)
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	for n := last + 1; ; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, target.SoftwareVersion()); err != nil || last > 0 {
			return
		}
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(rollingEventInterval):
		}
	}
}

// begin begins the streams at a process, and reads them until they are cut.
func (f *rollingFleet) begin(process int) {
	f.t.Helper()
	client := http.Client{Transport: &http.Transport{}}
	for n := range rollingStreams {
		resp, err := client.Do(f.streamRequest(f.t, process, fmt.Sprint("begun-", n), n))
		f.requireNoError(err)
		f.t.Cleanup(func() { _ = resp.Body.Close() })
		events := bufio.NewReader(resp.Body)
		_, err = events.ReadString('\n')
		f.requireNoError(err)
		data, err := events.ReadString('\n')
		f.requireNoError(err)
		f.begunBy = append(f.begunBy, strings.TrimSpace(strings.TrimPrefix(data, "data: ")))
		go func() { _, _ = io.Copy(io.Discard, events) }()
	}
}

// stop lets a process end as planned.
func (f *rollingFleet) stop(process int) {
	f.t.Helper()
	f.processes[process].signal(syscall.SIGTERM)
	if !f.processes[process].waitExit(stopGrace + time.Second) {
		f.t.Fatalf("%s has not exited", f.processes[process].vm)
	}
}

// start starts a process again and waits until it is ready.
func (f *rollingFleet) start(process int) { f.restart(f.processes[process]) }

// takeUp takes the streams up at processes in turn. It returns how many went on, and fails if one went
// on at another version, or is refused late.
func (f *rollingFleet) takeUp(processes ...int) (wentOn int) {
	f.t.Helper()
	for n, version := range f.begunBy {
		sentAt := time.Now()
		status, body := f.takeUpStream(processes[n%len(processes)], n)
		switch {
		case status == http.StatusOK && strings.Contains(body, version):
			wentOn++
		case status == http.StatusOK:
			f.t.Errorf("stream %d of %s goes on with %q", n, version, body)
		case time.Since(sentAt) > maxRefusalTime:
			f.t.Errorf("stream %d is refused after %v", n, time.Since(sentAt))
		default:
			f.t.Logf("stream %d: status %d, %q", n, status, body)
		}
	}
	f.t.Logf("%d of %d streams went on", wentOn, rollingStreams)
	return wentOn
}

// takeUpStream takes a stream up at a process, and comes back where the rate limit of a process that has
// just started refuses it.
func (f *rollingFleet) takeUpStream(process, n int) (status int, body string) {
	f.t.Helper()
	for try := range 3 {
		req := f.streamRequest(f.t, process, fmt.Sprintf("resumed-%d-%d", n, try), n)
		req.Header.Set("Last-Event-Id", "1")
		req.Header.Set("Resumes", fmt.Sprint("begun-", n))
		resp, err := f.client.Do(req)
		f.requireNoError(err)
		data, err := io.ReadAll(resp.Body)
		f.requireNoError(err)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusTooManyRequests {
			return resp.StatusCode, string(data)
		}
		time.Sleep(rateLimitPause)
	}
	return http.StatusTooManyRequests, ""
}

// TestStreamsOverRestarts guards against streams that go on nowhere after planned restarts, since the
// processes that knew where they began have started again. Streams whose beginning nobody knows are
// refused at once, and none goes on at another software version.
func TestStreamsOverRestarts(t *testing.T) {
	for _, c := range []struct {
		name      string
		processes int
		play      func(f *rollingFleet) (wentOn int)
		isUnknown bool
	}{
		{name: "the witness starts again, then the process that began them stops", processes: 2, play: func(f *rollingFleet) int {
			f.begin(0)
			f.stop(1)
			f.start(1)
			f.stop(0)
			return f.takeUp(1)
		}},
		{name: "the only other process is down when they begin", processes: 2, play: func(f *rollingFleet) int {
			f.stop(1)
			f.begin(0)
			f.start(1)
			f.stop(0)
			return f.takeUp(1)
		}},
		{name: "three processes start again in turn, the one that began them last", processes: 3, play: func(f *rollingFleet) int {
			f.begin(0)
			for _, process := range []int{1, 2} {
				f.stop(process)
				f.start(process)
			}
			f.stop(0)
			return f.takeUp(1, 2)
		}},
		{name: "both witnesses start again, then the process that began them is killed", processes: 3, play: func(f *rollingFleet) int {
			f.begin(0)
			for _, process := range []int{1, 2} {
				f.stop(process)
				f.start(process)
			}
			f.processes[0].kill()
			return f.takeUp(1, 2)
		}},
		{name: "the process that began them is killed, then both witnesses start again in turn", processes: 3, play: func(f *rollingFleet) int {
			f.begin(0)
			f.processes[0].kill()
			f.start(0)
			for _, process := range []int{1, 2} {
				f.stop(process)
				f.start(process)
			}
			return f.takeUp(1, 2)
		}},
		{name: "the witness starts while the process that began them is told to stop", processes: 2, play: func(f *rollingFleet) int {
			f.begin(0)
			f.stop(1)
			f.processes[0].signal(syscall.SIGTERM)
			f.start(1)
			f.stop(0)
			return f.takeUp(1)
		}},
		{name: "all witnesses are replaced by other processes", processes: 3, play: func(f *rollingFleet) int {
			f.begin(0)
			f.processes = append(f.processes, f.newProcess(3), f.newProcess(4))
			for _, process := range []int{3, 4} {
				f.eventually("the added process is ready", func() bool { return f.isReady(f.processes[process]) })
			}
			f.stop(1)
			f.stop(2)
			f.stop(0)
			return f.takeUp(3, 4)
		}},
		{name: "messages about them are lost", processes: 3, play: func(f *rollingFleet) int {
			lost := []string{"baobab/routers/front-1", "baobab/routers/front-2"}
			for _, record := range lost {
				f.changePeerPort(record, peerPort, unusedPort)
			}
			time.Sleep(time.Second)
			f.begin(0)
			for _, record := range lost {
				f.changePeerPort(record, unusedPort, peerPort)
			}
			time.Sleep(time.Second)
			f.processes[0].kill()
			return f.takeUp(1, 2)
		}},
		{name: "all processes are killed at once", processes: 2, isUnknown: true, play: func(f *rollingFleet) int {
			f.begin(0)
			f.processes[0].kill()
			f.processes[1].kill()
			f.start(0)
			f.start(1)
			return f.takeUp(0, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			wentOn := c.play(newRollingFleet(t, c.processes))
			if c.isUnknown && wentOn > 0 {
				t.Errorf("%d streams went on, although nobody can know where they began", wentOn)
			}
			if !c.isUnknown && 2*wentOn < rollingStreams {
				t.Errorf("%d of %d streams went on", wentOn, rollingStreams)
			}
		})
	}
}
