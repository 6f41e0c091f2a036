package entry

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
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
	// answered is set once any process has answered.
	answered bool
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

// find returns the software version that began a stream, and who knew it. That this process
// sees one version is no proof: another one may have left before it started, or appeared while it
// could not reach the store. So it asks the witnesses first, and relies on what it sees only if
// any of them answers, there is none, or the registry is available.
func (o *streamOrigins) find(ctx context.Context, stream relay.StreamRef) (softwareVersion, source string) {
	answered := false
	if stream.RequestID != "" {
		key := keyOf(stream)
		if version, known := o.table.Version(o.entry.uptime(), key); known {
			return version, sourceSelf
		}
		source, answered = o.ask(ctx, key)
		if version, known := o.table.Version(o.entry.uptime(), key); known {
			return version, source
		}
	}
	versions := o.versions(stream.Service)
	if len(versions) == 1 && (answered || o.entry.directory.IsRegistryAvailable()) {
		return versions[0], originOnlyVersion
	}
	return "", originUnknown
}

// ask asks the witnesses of a stream. It returns the first of them that knows it, or "", and
// whether any has answered or there is none to ask.
func (o *streamOrigins) ask(ctx context.Context, key streamorigin.Key) (source string, answered bool) {
	witnesses := o.entry.members.witnesses(key)
	if len(witnesses) == 0 {
		return "", true
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
	return question.source, question.answered
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
		question.answered = true
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
