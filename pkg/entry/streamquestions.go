package entry

import (
	"context"
	"time"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/gossip"
	"github.com/baobabhub/baobabhub/pkg/relay"
	"github.com/baobabhub/baobabhub/pkg/streamorigin"
)

const (
	// originTimeout is the time for which a process waits for others to tell the origin of a
	// stream that a caller resumes, and originRecordTimeout that time while they read the
	// record of software versions for it.
	originTimeout       = 100 * time.Millisecond
	originRecordTimeout = softwareReadTimeout + originTimeout
	// maxRecordQuestions is the capacity of the ring of questions of peers that need a read of
	// the record.
	maxRecordQuestions = 256
)

// originQuestion is the question of one request.
type originQuestion struct {
	// outstanding holds the processes that have not answered.
	outstanding map[string]bool
	// source is the process that knew the origin; empty if none has.
	source string
	// done is closed once a process knew the origin, or all have answered.
	done chan struct{}
}

// recordQuestion is a peer's question about a stream that this process doesn't know.
type recordQuestion struct {
	sender  string
	key     streamorigin.Key
	service string
}

// answerRecordQuestions reads the record for peers that can't, until ctx is cancelled.
func (o *streamOrigins) answerRecordQuestions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case question := <-o.recordQuestions:
			o.answerFromRecord(ctx, append(o.takeRecordQuestions(), question))
		}
	}
}

// takeRecordQuestions returns the questions that wait.
func (o *streamOrigins) takeRecordQuestions() []recordQuestion {
	var questions []recordQuestion
	for {
		select {
		case question := <-o.recordQuestions:
			questions = append(questions, question)
		default:
			return questions
		}
	}
}

// answerFromRecord answers questions about streams that began before, with one read.
func (o *streamOrigins) answerFromRecord(ctx context.Context, questions []recordQuestion) {
	record, era, err := o.entry.software.read(ctx)
	if err != nil {
		o.entry.log.Log(eventlog.DutyFailed, "duty", "stream_origins", "err", err)
	}
	for _, question := range questions {
		version, proven := record.OnlyVersion(era, question.service)
		if proven {
			o.begin(question.key, streamorigin.Software{Service: question.service, Version: version})
		}
		if address, ok := o.entry.members.address(question.sender); ok {
			answer := gossip.StreamOrigin{Key: question.key, Known: proven, SoftwareVersion: version}
			o.send(gossip.Message{StreamOrigins: []gossip.StreamOrigin{answer}}, address)
		}
	}
}

// ask asks the processes among which the witnesses of a stream are. It returns the first of
// them that knows it, or "". If readRecord is set, they read the record of software versions,
// which this process can't.
func (o *streamOrigins) ask(ctx context.Context, stream relay.StreamRef, key streamorigin.Key, readRecord bool) (source string) {
	asked := o.entry.members.witnessCandidates(key)
	if len(asked) == 0 || stream.RequestID == "" {
		return ""
	}
	question := o.addQuestion(key, asked)
	defer o.removeQuestion(key, question)
	message, timeout := gossip.Message{StreamQuestions: []streamorigin.Key{key}}, originTimeout
	if readRecord {
		message.RecordService, timeout = stream.Service, originRecordTimeout
	}
	o.send(message, addressesOf(asked)...)
	timer := time.NewTimer(timeout)
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
	if m.WantsStreams {
		o.answerSync(m.Sender)
	}
	for _, origin := range m.StreamOrigins {
		if origin.Known {
			o.table.Record(o.entry.uptime(), streamorigin.Origin{Key: origin.Key, Version: origin.SoftwareVersion, Age: origin.Age})
		}
		o.recordAnswer(origin.Key, m.Sender, origin.Known)
	}
	if m.StreamParts > 0 {
		o.recordSyncPart(m.Sender, m.StreamPart, m.StreamParts)
	}
	answers := o.answers(m)
	if address, ok := o.entry.members.address(m.Sender); ok && len(answers) > 0 {
		o.send(gossip.Message{StreamOrigins: answers}, address)
	}
}

// answers returns the answers to a peer's questions that need no read of the record.
func (o *streamOrigins) answers(m *gossip.Message) []gossip.StreamOrigin {
	answers := make([]gossip.StreamOrigin, 0, len(m.StreamQuestions))
	for _, key := range m.StreamQuestions {
		version, known := o.table.Version(o.entry.uptime(), key)
		if !known && m.RecordService != "" && o.enqueue(recordQuestion{sender: m.Sender, key: key, service: m.RecordService}) {
			continue
		}
		answers = append(answers, gossip.StreamOrigin{Key: key, Known: known, SoftwareVersion: version})
	}
	return answers
}

// enqueue hands over a question that needs a read of the record. It does not block.
func (o *streamOrigins) enqueue(question recordQuestion) bool {
	select {
	case o.recordQuestions <- question:
		return true
	default:
		return false
	}
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
