package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Settings of long streams: 60 events in nine seconds.
const (
	longEvents   = 60
	longEventGap = 150 * time.Millisecond
	longBudget   = 12 * time.Second
	// maxTries is the number of client attempts for a stream.
	maxTries = 4
	// redialDelay is the delay after a channel that could not be established.
	redialDelay = 300 * time.Millisecond
)

// longStream answers with a stream in chunks, whose events name the version of the engine's
// software. It goes on after Last-Event-Id.
func longStream(x *exchange) {
	first := 1
	if last, err := strconv.Atoi(x.r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	software := x.engine.softwareVersion()
	x.engine.rec.log("engine: %s (%s) begins %s at event %d, resumes %q", x.engine.id, software, x.id, first, x.r.Header.Get("Resumes"))
	time.Sleep(prefillTime)
	if !x.send(x.head(200, "text/event-stream", x.stamp(), "X-Baobabhub-Weights-Versions: 1", "X-Baobabhub-Load: 1,0,64", "Transfer-Encoding: chunked") + "\r\n") {
		return
	}
	for n := first; n <= longEvents; n++ {
		text := event(n, software)
		if !x.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) {
			x.engine.rec.log("engine: %s ends %s before event %d: the channel is closed", x.engine.id, x.id, n)
			return
		}
		time.Sleep(longEventGap)
	}
	x.send("0\r\n\r\n")
}

// stream is a stream of a caller over all of its attempts.
type stream struct {
	startedAt time.Time
	// firstID is the attempt that brought the first event.
	firstID string
	// last is the ID of the last event, and versions the versions of the engines that made the
	// events, in order and without repetition.
	last     int
	versions []string
	complete bool
	// resumed is set once an attempt with Resumes has been sent, and wentOn once one has
	// brought an event.
	resumed, wentOn bool
	refusals        []string
}

// streamCallers starts streams at a fixed rate at the processes that run.
type streamCallers struct {
	f   *fleet
	mu  sync.Mutex
	up  map[*entry]bool
	all []*stream
	wg  sync.WaitGroup
}

func newStreamCallers(f *fleet) *streamCallers {
	c := &streamCallers{f: f, up: map[*entry]bool{}}
	for _, e := range f.entries {
		c.up[e] = true
	}
	return c
}

// setUp tells the callers whether the platform sends new channels to a process.
func (c *streamCallers) setUp(e *entry, up bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.up[e] = up
}

// pick returns a process that runs, another one than the one of the attempt before if there is
// one; nil if none runs.
func (c *streamCallers) pick(before *entry) *entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var running, others []*entry
	for _, e := range c.f.entries {
		if !c.up[e] {
			continue
		}
		running = append(running, e)
		if e != before {
			others = append(others, e)
		}
	}
	if len(others) > 0 {
		running = others
	}
	if len(running) == 0 {
		return nil
	}
	return running[rand.IntN(len(running))]
}

// run starts streams for a time and waits for their ends.
func (c *streamCallers) run(perSecond int, length time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		s := &stream{startedAt: time.Now()}
		c.all = append(c.all, s)
		c.wg.Go(func() { c.play(s) })
	}
	c.wg.Wait()
}

// play makes the attempts of one stream, each on a new channel.
func (c *streamCallers) play(s *stream) {
	deadline := s.startedAt.Add(longBudget)
	var e *entry
	for try := 0; try < maxTries && !s.complete; {
		left := time.Until(deadline)
		if left <= 0 {
			return
		}
		next := c.pick(e)
		if next == nil {
			time.Sleep(redialDelay)
			continue
		}
		e = next
		try++
		wait, stop := c.attempt(s, e, left)
		if stop {
			return
		}
		time.Sleep(wait)
	}
}

// attempt makes one attempt. It returns the time to wait before the next one, and whether there is
// none.
func (c *streamCallers) attempt(s *stream, e *entry, left time.Duration) (wait time.Duration, stop bool) {
	rec, id := c.f.rec, newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	body := "prompt " + id
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address+draftPrefix+id, strings.NewReader(body))
	if err != nil {
		rec.log("caller: %s: %v", id, err)
		return 0, true
	}
	r.Host = draftHost
	r.Header.Set("X-Baobabhub-Request-Id", id)
	r.Header.Set("X-Api-Key", draftKey)
	r.Header.Set("X-Baobabhub-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	r.Header.Set("X-Baobabhub-Model", modelName)
	r.Header.Set("X-Baobabhub-Tokens", "1460,80")
	r.Header.Set("X-Baobabhub-Prompt-Prefix", fmt.Sprintf("5c1e07a2:800,%08x:410,%s:250", 0x91bd3f00+rand.IntN(40), id[:8]))
	if s.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
		r.Header.Set("Resumes", s.firstID)
	}
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true}
	rec.log("caller: %s sent to %s, Last-Event-Id %d, Resumes %q", id, e.name, s.last, r.Header.Get("Resumes"))
	resp, err := transport.RoundTrip(r)
	if err != nil {
		rec.log("caller: %s: no answer (%v)", id, err)
		return redialDelay, false
	}
	defer func() { _ = resp.Body.Close() }()
	if s.last > 0 {
		s.resumed = true
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 100))
		refusal := fmt.Sprintf("%d %s", resp.StatusCode, strings.TrimSpace(string(text)))
		rec.log("caller: %s: status %s, Retry-After %q", id, refusal, resp.Header.Get("Retry-After"))
		s.refusals = append(s.refusals, refusal)
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return min(time.Duration(seconds*float64(time.Second)), left/3), resp.StatusCode == 400 || resp.StatusCode == 401 || resp.StatusCode == 404
	}
	isResumption := s.last > 0
	before := s.last
	err = c.readEvents(s, id, resp.Body)
	if isResumption && s.last > before {
		s.wentOn = true
	}
	s.complete = err == nil
	rec.log("caller: %s: events %d to %d, complete %v %s, stream %s holds events of %v", id, before+1, s.last, s.complete, errText(err), s.firstID, s.versions)
	return 0, s.complete
}

// readEvents reads the complete events of an answer. It returns nil at the end of a complete one.
func (c *streamCallers) readEvents(s *stream, id string, body io.Reader) error {
	reader := bufio.NewReader(body)
	eventID, version := 0, ""
	for {
		line, err := reader.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			eventID, _ = strconv.Atoi(line[len("id: "):])
		case strings.HasPrefix(line, "data: "):
			version = line[len("data: "):]
		case line == "" && eventID > 0:
			if s.last == 0 {
				s.firstID = id
			}
			s.last = eventID
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
		}
	}
}
