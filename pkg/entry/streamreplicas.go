package entry

import (
	"context"
	"slices"
	"time"

	"github.com/baobabhub/baobabhub/pkg/clock"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
)

const (
	// streamSyncTimeout bounds the time for which a process that has started waits for the streams of
	// which it is a witness before it reports that it is ready. Some of the processes that it
	// lists may have ended, and some may not list it yet.
	streamSyncTimeout = time.Second
	// streamSyncInterval is the interval at which it asks those that have not answered.
	streamSyncInterval = 200 * time.Millisecond
	// listsPollInterval is the interval at which it looks whether it has read the lists of the
	// store.
	listsPollInterval = 20 * time.Millisecond
)

// Reasons in the log for telling other processes where streams began once more.
const (
	reasonMembers    = "members"
	reasonHeardAgain = "heard_again"
	reasonStop       = "stop"
	reasonRepeat     = "repeat"
	reasonAsked      = "asked"
)

// setMembers sets the other processes, by name, with the run of each, and tells those that have
// joined or have started again what they have to know.
func (o *streamOrigins) setMembers(members map[string]string) {
	o.tell(reasonMembers, o.table.SetMembers(o.entry.uptime(), o.entry.settings.VM, members))
}

// tellMember tells a process what it has to know, since messages to it may have been lost.
func (o *streamOrigins) tellMember(vm string) {
	if origins := o.table.ForMember(o.entry.uptime(), vm); len(origins) > 0 {
		o.tell(reasonHeardAgain, []streamorigin.Tell{{Process: vm, Origins: origins}})
	}
}

// handOver tells the other processes what they have to know when this one ends.
func (o *streamOrigins) handOver() {
	o.tell(reasonStop, o.table.HandOver(o.entry.uptime()))
}

// repeat tells the first witnesses of streams that go on once more.
func (o *streamOrigins) repeat() {
	o.tell(reasonRepeat, o.table.Repeat(o.entry.uptime()))
}

func (o *streamOrigins) tell(reason string, tells []streamorigin.Tell) {
	streams := 0
	for _, tell := range tells {
		address, ok := o.entry.members.address(tell.Process)
		if !ok {
			continue
		}
		for chunk := range slices.Chunk(tell.Origins, maxOriginsPerMessage) {
			o.send(gossip.Message{StreamOrigins: encodeOrigins(chunk)}, address)
		}
		streams += len(tell.Origins)
	}
	o.recordTold(reason, streams, len(tells))
}

// recordTold logs that other processes have been told of streams.
func (o *streamOrigins) recordTold(reason string, streams, processes int) {
	if streams == 0 {
		return
	}
	o.entry.log.Log(eventlog.StreamsReplicated, "reason", reason, "streams", streams, "processes", processes)
	o.entry.metrics.Scope.Tagged(map[string]string{"reason": reason}).Counter("streams_replicated").Inc(int64(streams))
}

func encodeOrigins(origins []streamorigin.Origin) []gossip.StreamOrigin {
	encoded := make([]gossip.StreamOrigin, 0, len(origins))
	for _, origin := range origins {
		encoded = append(encoded, gossip.StreamOrigin{Key: origin.Key, Known: true, SoftwareVersion: origin.Version, Age: origin.Age})
	}
	return encoded
}

// sync asks the other processes, after the start of this one, for the streams of which it is a
// witness. The process is ready once they have answered, or streamSyncTimeout later.
func (o *streamOrigins) sync(ctx context.Context) {
	defer o.entry.ready.streamsKnown.Store(true)
	r := &o.entry.ready
	for !r.membersListed.Load() || !r.targetsListed.Load() || !r.configured.Load() {
		if !clock.Sleep(ctx, listsPollInterval) {
			return
		}
	}
	if o.entry.settings.FirstStart || !o.entry.software.needsWitnesses() {
		return
	}
	start := o.entry.uptime()
	for o.entry.uptime()-start < streamSyncTimeout {
		missing := o.unanswered()
		if len(missing) == 0 {
			break
		}
		o.send(gossip.Message{WantsStreams: true}, addressesOf(missing)...)
		if !o.awaitAnswers(ctx) {
			return
		}
	}
	o.entry.log.Log(eventlog.StreamsSynced, "streams", o.table.Len(), "missing", len(o.unanswered()), "waited_ms", (o.entry.uptime() - start).Milliseconds())
}

// awaitAnswers waits until all processes have answered, for streamSyncInterval. It reports false once ctx
// is cancelled.
func (o *streamOrigins) awaitAnswers(ctx context.Context) bool {
	timer := time.NewTimer(streamSyncInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-o.answered:
			if len(o.unanswered()) == 0 {
				return true
			}
		}
	}
}

// unanswered returns the processes that have not told this one the streams of which it is a witness.
func (o *streamOrigins) unanswered() []gossip.Member {
	members := o.entry.members.all()
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(members, func(member gossip.Member) bool { return o.synced[member.VM].isComplete() })
}

// answerSync tells a process that has started the streams of which it is a witness.
func (o *streamOrigins) answerSync(vm string) {
	address, ok := o.entry.members.address(vm)
	if !ok {
		return
	}
	origins := o.table.ForMember(o.entry.uptime(), vm)
	chunks := slices.Collect(slices.Chunk(origins, maxOriginsPerMessage))
	if len(chunks) == 0 {
		chunks = [][]streamorigin.Origin{nil}
	}
	for i, chunk := range chunks {
		o.send(gossip.Message{StreamOrigins: encodeOrigins(chunk), StreamParts: len(chunks), StreamPart: i + 1}, address)
	}
	o.recordTold(reasonAsked, len(origins), 1)
}

// recordSyncPart records a part of a process's answer.
func (o *streamOrigins) recordSyncPart(vm string, part, parts int) {
	o.mu.Lock()
	answer, ok := o.synced[vm]
	if !ok || answer.parts != parts {
		answer = syncAnswer{parts: parts, received: map[int]bool{}}
		o.synced[vm] = answer
	}
	answer.received[part] = true
	o.mu.Unlock()
	select {
	case o.answered <- struct{}{}:
	default:
	}
}

// syncAnswer is what has arrived of a process's answer, which has a number of parts.
type syncAnswer struct {
	parts    int
	received map[int]bool
}

func (a syncAnswer) isComplete() bool { return a.parts > 0 && len(a.received) == a.parts }
