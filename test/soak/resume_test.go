package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

// resumedStreams is the number of streams that a process is killed with.
const resumedStreams = 20

// TestStreamResumedAfterKill guards against a stream that its caller resumes at another process,
// after the one that began it was killed, and that continues at another software version.
func TestStreamResumedAfterKill(t *testing.T) {
	d := newDeployment(t, 1, 3, 6)
	var begun []string
	for n := range resumedStreams {
		begun = append(begun, d.beginStream(t, n))
	}
	d.processes[0].kill()
	resumed := 0
	for n, id := range begun {
		if d.resumeStream(t, 1+n%2, id, n) == http.StatusOK {
			resumed++
		}
	}
	if resumed < resumedStreams/2 {
		t.Errorf("%d of %d streams were resumed", resumed, resumedStreams)
	}
	for _, failure := range d.recorder.failures {
		t.Error(failure)
	}
}

// beginStream begins a stream at the first process and returns its request ID once the first
// event has arrived. The stream goes on until the process is killed or the test ends.
func (d *deployment) beginStream(t *testing.T, n int) string {
	id := fmt.Sprint("begun-", n)
	client := http.Client{Transport: &http.Transport{}}
	resp, err := client.Do(d.streamRequest(t, 0, id, n))
	d.requireNoError(err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	_, err = io.ReadFull(resp.Body, make([]byte, len(streamEvent(id, 1))))
	d.requireNoError(err)
	return id
}

// resumeStream resumes a stream at another process after its first event, and returns the
// status, or 0 without a response.
func (d *deployment) resumeStream(t *testing.T, process int, begun string, n int) int {
	req := d.streamRequest(t, process, fmt.Sprint("resumed-", n), n)
	req.Header.Set("Last-Event-Id", "1")
	req.Header.Set("Resumes", begun)
	return d.status(req)
}

func (d *deployment) streamRequest(t *testing.T, process int, id string, n int) *http.Request {
	url := fmt.Sprintf("http://%s/resume/%d", d.processes[process].address, n)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, http.NoBody)
	d.requireNoError(err)
	req.Host = "h"
	req.Header.Set(platformfake.HeaderRequestID, id)
	req.Header.Set(platformfake.HeaderAPIKey, "key-1")
	return req
}
