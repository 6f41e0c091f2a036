package entry

import (
	"context"
	"net/netip"
	"slices"
	"sync"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/relay"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
)

// maxOriginsPerMessage bounds a message to a witness.
const maxOriginsPerMessage = 1000

// Sources of a stream's origin in the log, besides the names of peers.
const (
	originRecord  = "record"
	originUnknown = "unknown"
)

// streamOrigins shares which software versions began streams. It implements
// relay.StreamOrigins.
type streamOrigins struct {
	entry *Entry
	table *streamorigin.Table
	// recordQuestions holds questions of peers that can't read the record of software versions.
	recordQuestions chan recordQuestion

	// answered is signalled for each part of an answer to sync.
	answered chan struct{}

	mu sync.Mutex
	// questions holds the questions that wait for answers of other processes.
	questions map[streamorigin.Key][]*originQuestion
	// synced holds what the other processes have answered to sync.
	synced map[string]syncAnswer
}

func newStreamOrigins(entry *Entry) *streamOrigins {
	return &streamOrigins{
		entry: entry, table: streamorigin.New(), recordQuestions: make(chan recordQuestion, maxRecordQuestions),
		questions: map[streamorigin.Key][]*originQuestion{}, answered: make(chan struct{}, 1), synced: map[string]syncAnswer{},
	}
}

// SoftwareVersions implements relay.StreamOrigins.
func (o *streamOrigins) SoftwareVersions(service string) map[string]bool {
	return o.entry.software.versions.Active(service)
}

// Began implements relay.StreamOrigins.
func (o *streamOrigins) Began(stream relay.StreamRef, softwareVersion string) {
	o.begin(keyOf(stream), streamorigin.Software{Service: stream.Service, Version: softwareVersion})
}

// begin records where a stream began, and tells the witnesses if they have to know it. If that
// changes meanwhile, tellUntold follows.
func (o *streamOrigins) begin(key streamorigin.Key, software streamorigin.Software) {
	now := o.entry.uptime()
	o.table.Begin(now, key, software)
	o.entry.software.versions.RecordUse(now, software)
	if !o.entry.software.versions.NeedsWitnesses(software.Service) || !o.table.SetTold(now, key) {
		return
	}
	origin := gossip.StreamOrigin{Key: key, Known: true, SoftwareVersion: software.Version}
	o.send(gossip.Message{StreamOrigins: []gossip.StreamOrigin{origin}}, addressesOf(o.entry.members.witnesses(key))...)
}

// Ended implements relay.StreamOrigins.
func (o *streamOrigins) Ended(stream relay.StreamRef) { o.table.SetEnded(keyOf(stream)) }

// tellUntold tells the witnesses of the streams of a service that they did not have to know
// before.
func (o *streamOrigins) tellUntold(service string) {
	origins := o.table.TakeUntold(o.entry.uptime(), service)
	byWitness := map[netip.AddrPort][]gossip.StreamOrigin{}
	for _, origin := range origins {
		for _, address := range addressesOf(o.entry.members.witnesses(origin.Key)) {
			byWitness[address] = append(byWitness[address], gossip.StreamOrigin{Key: origin.Key, Known: true, SoftwareVersion: origin.Version, Age: origin.Age})
		}
	}
	for address, told := range byWitness {
		for chunk := range slices.Chunk(told, maxOriginsPerMessage) {
			o.send(gossip.Message{StreamOrigins: chunk}, address)
		}
	}
	if len(origins) > 0 {
		o.entry.log.Log(eventlog.StreamsTold, "service", service, "streams", len(origins), "witnesses", len(byWitness))
	}
}

// Version implements relay.StreamOrigins.
func (o *streamOrigins) Version(ctx context.Context, requestID string, stream relay.StreamRef) (softwareVersion string, known bool) {
	start := o.entry.uptime()
	found := o.find(ctx, stream)
	o.entry.log.Log(eventlog.StreamResumed, "request_id", requestID, "resumes", stream.RequestID, "service", stream.Service,
		"software", found.version, "source", found.source, "record", found.record, "waited_ms", (o.entry.uptime() - start).Milliseconds())
	return found.version, found.source != originUnknown
}

// foundOrigin is what a process has found out about the begin of a stream.
type foundOrigin struct {
	version, source string
	// record is what a read of the record of software versions has shown; empty if it was not
	// read.
	record recordResult
}

// find returns the software version that began a stream, and who knew it. A process that knows
// the stream proves it, and so does the record if it is read now and holds one version only.
// That a process doesn't know the stream, or sees one version, proves nothing.
func (o *streamOrigins) find(ctx context.Context, stream relay.StreamRef) foundOrigin {
	found := &foundOrigin{source: originUnknown}
	key := keyOf(stream)
	witnessed := o.entry.software.versions.NeedsWitnesses(stream.Service)
	switch {
	case o.findHere(stream, key, sourceSelf, found):
	case witnessed && o.findAtWitnesses(ctx, stream, key, found):
	case o.findInRecord(ctx, stream, key, found):
	case (!witnessed || found.record == recordUnread) && o.findAtWitnesses(ctx, stream, key, found):
	}
	return *found
}

// findHere looks up a stream that this process knows, from the given source. A caller may not
// name the stream's first request.
func (o *streamOrigins) findHere(stream relay.StreamRef, key streamorigin.Key, source string, found *foundOrigin) bool {
	if stream.RequestID == "" {
		return false
	}
	version, known := o.table.Version(o.entry.uptime(), key)
	if known {
		found.version, found.source = version, source
	}
	return known
}

// findAtWitnesses asks the processes among which the witnesses of a stream are.
func (o *streamOrigins) findAtWitnesses(ctx context.Context, stream relay.StreamRef, key streamorigin.Key, found *foundOrigin) bool {
	source := o.ask(ctx, stream, key, found.record == recordUnread)
	return source != "" && o.findHere(stream, key, source, found)
}

// recordResult is what a read of the record of software versions shows of a service.
type recordResult string

// Results of a read of the record.
const (
	recordOneVersion      recordResult = "one_version"
	recordSeveralVersions recordResult = "several_versions"
	// recordIncomplete means that versions may be missing, for example after a restore of
	// the store.
	recordIncomplete recordResult = "incomplete"
	recordUnread     recordResult = "unread"
)

// findInRecord reads the record of software versions for a stream that began before. If it proves
// the stream's version, that is remembered.
func (o *streamOrigins) findInRecord(ctx context.Context, stream relay.StreamRef, key streamorigin.Key, found *foundOrigin) bool {
	record, era, err := o.entry.software.read(ctx)
	if err != nil {
		o.entry.log.Log(eventlog.DutyFailed, "duty", "stream_origins", "err", err)
		found.record = recordUnread
		return false
	}
	version, proven := record.OnlyVersion(era, stream.Service)
	switch {
	case proven:
		found.version, found.source, found.record = version, originRecord, recordOneVersion
		if stream.RequestID != "" {
			o.begin(key, streamorigin.Software{Service: stream.Service, Version: version})
		}
	case len(record.Services[stream.Service]) > 1:
		found.record = recordSeveralVersions
	default:
		found.record = recordIncomplete
	}
	return proven
}

func (o *streamOrigins) send(m gossip.Message, to ...netip.AddrPort) {
	m.Sender, m.BootID, m.Partial = o.entry.settings.VM, o.entry.bootID, true
	o.entry.gossip.Send(m, to...)
}

func keyOf(stream relay.StreamRef) streamorigin.Key {
	return streamorigin.NewKey(stream.Account, stream.Service, stream.RequestID)
}
