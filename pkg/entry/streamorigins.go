package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/relay"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
)

// originTimeout is the time for which a process waits for others to tell the origin of a
// stream that a caller resumes.
const originTimeout = 100 * time.Millisecond

// Sources of a stream's origin in the log, besides the names of peers.
const (
	originOnlyVersion = "only_version"
	originUnknown     = "unknown"
)

// streamOrigins shares which software versions began streams, while a service has targets of
// several ones. It implements relay.StreamOrigins.
type streamOrigins struct {
	entry *Entry
	table *streamorigin.Table

	mu sync.Mutex
	// questions holds the questions that wait for answers of other processes.
	questions map[streamorigin.Key][]*originQuestion
}

// originQuestion is the question of one request.
type originQuestion struct {
	// outstanding holds the processes that have not answered.
	outstanding map[string]bool
	// source is the process that knew the origin; empty if none has.
	source string
	// done is closed once a process knew the origin, or all have answered.
	done chan struct{}
}

func newStreamOrigins(entry *Entry) *streamOrigins {
	return &streamOrigins{entry: entry, table: streamorigin.New(), questions: map[streamorigin.Key][]*originQuestion{}}
}

// Began implements relay.StreamOrigins.
func (o *streamOrigins) Began(stream relay.StreamRef, softwareVersion string) {
	key := keyOf(stream)
	o.table.Record(o.entry.uptime(), key, softwareVersion)
	if len(o.versions(stream.Service)) < 2 {
		return
	}
	origin := gossip.StreamOrigin{Key: key, Known: true, SoftwareVersion: softwareVersion}
	o.send(gossip.Message{StreamOrigins: []gossip.StreamOrigin{origin}}, addressesOf(o.entry.members.witnesses(key))...)
}

// Version implements relay.StreamOrigins.
func (o *streamOrigins) Version(ctx context.Context, requestID string, stream relay.StreamRef) (softwareVersion string, known bool) {
	start := o.entry.uptime()
	softwareVersion, source := o.find(ctx, stream)
	o.entry.log.Log(eventlog.StreamResumed, "request_id", requestID, "resumes", stream.RequestID, "service", stream.Service,
		"software", softwareVersion, "source", source, "waited_ms", (o.entry.uptime() - start).Milliseconds())
	return softwareVersion, source != originUnknown
}

// find returns the software version that began a stream, and who knew it.
func (o *streamOrigins) find(ctx context.Context, stream relay.StreamRef) (softwareVersion, source string) {
	versions := o.versions(stream.Service)
	hasOneVersion := len(versions) == 1
	if hasOneVersion && !o.mayMissVersions() {
		return versions[0], originOnlyVersion
	}
	softwareVersion, source = o.lookUp(ctx, stream)
	if source == originUnknown && hasOneVersion {
		return versions[0], originOnlyVersion
	}
	return softwareVersion, source
}

// mayMissVersions reports whether a version that counts as present may have left before this
// process started. The directory doesn't know of it then, but the witnesses of its streams do.
func (o *streamOrigins) mayMissVersions() bool {
	return o.entry.uptime() <= fleet.DepartedSoftwareTTL
}

// lookUp returns what this process or a witness knows of a stream's origin.
func (o *streamOrigins) lookUp(ctx context.Context, stream relay.StreamRef) (softwareVersion, source string) {
	if stream.RequestID == "" {
		return "", originUnknown
	}
	key := keyOf(stream)
	if version, known := o.table.Version(o.entry.uptime(), key); known {
		return version, sourceSelf
	}
	source = o.ask(ctx, key)
	version, known := o.table.Version(o.entry.uptime(), key)
	if !known {
		return "", originUnknown
	}
	return version, source
}

// ask asks the witnesses of a stream, and returns the first of them that knows it, or "".
func (o *streamOrigins) ask(ctx context.Context, key streamorigin.Key) (source string) {
	witnesses := o.entry.members.witnesses(key)
	if len(witnesses) == 0 {
		return ""
	}
	question := o.addQuestion(key, witnesses)
	defer o.removeQuestion(key, question)
	o.send(gossip.Message{StreamQuestions: []streamorigin.Key{key}}, addressesOf(witnesses)...)
	timer := time.NewTimer(originTimeout)
	defer timer.Stop()
	select {
	case <-question.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return question.source
}

func (o *streamOrigins) addQuestion(key streamorigin.Key, asked []gossip.Member) *originQuestion {
	o.mu.Lock()
	defer o.mu.Unlock()
	question := &originQuestion{outstanding: make(map[string]bool, len(asked)), done: make(chan struct{})}
	for _, member := range asked {
		question.outstanding[member.VM] = true
	}
	o.questions[key] = append(o.questions[key], question)
	return question
}

func (o *streamOrigins) removeQuestion(key streamorigin.Key, question *originQuestion) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var others []*originQuestion
	for _, other := range o.questions[key] {
		if other != question {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		delete(o.questions, key)
		return
	}
	o.questions[key] = others
}

// handle applies what a peer tells of streams, and answers its questions.
func (o *streamOrigins) handle(m *gossip.Message) {
	for _, origin := range m.StreamOrigins {
		if origin.Known {
			o.table.Record(o.entry.uptime(), origin.Key, origin.SoftwareVersion)
		}
		o.recordAnswer(origin.Key, m.Sender, origin.Known)
	}
	if len(m.StreamQuestions) == 0 {
		return
	}
	if address, ok := o.entry.members.address(m.Sender); ok {
		o.send(gossip.Message{StreamOrigins: o.answers(m.StreamQuestions)}, address)
	}
}

func (o *streamOrigins) answers(keys []streamorigin.Key) []gossip.StreamOrigin {
	answers := make([]gossip.StreamOrigin, 0, len(keys))
	for _, key := range keys {
		version, known := o.table.Version(o.entry.uptime(), key)
		answers = append(answers, gossip.StreamOrigin{Key: key, Known: known, SoftwareVersion: version})
	}
	return answers
}

// recordAnswer ends the questions about a stream that need no further answers.
func (o *streamOrigins) recordAnswer(key streamorigin.Key, sender string, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, question := range o.questions[key] {
		if len(question.outstanding) == 0 {
			continue
		}
		delete(question.outstanding, sender)
		if known {
			question.source = sender
			clear(question.outstanding)
		}
		if len(question.outstanding) == 0 {
			close(question.done)
		}
	}
}

func (o *streamOrigins) send(m gossip.Message, to ...netip.AddrPort) {
	m.Sender, m.BootID, m.Partial = o.entry.settings.VM, o.entry.bootID, true
	o.entry.gossip.Send(m, to...)
}

func (o *streamOrigins) versions(service string) []string {
	return o.entry.directory.SoftwareVersions(o.entry.uptime(), service)
}

func keyOf(stream relay.StreamRef) streamorigin.Key {
	return streamorigin.NewKey(stream.Account, stream.Service, stream.RequestID)
}
