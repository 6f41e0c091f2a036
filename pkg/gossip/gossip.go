// Package gossip exchanges state between the entry processes: admitted tokens,
// load on the targets, the configuration in force, and the engines that are
// loading weights. Messages are UDP datagrams that hold complete states, so that
// a lost message needs no retransmission. UDP is used because a connection can
// stop delivering data without an error.
//
// The cost of a process does not depend on the size of the fleet: the processes
// are divided into groups. Within a group, all processes send their states to
// each other. One process of each group, the hub, sends the sum of these states
// to the other groups. News that cannot wait goes to all processes directly.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

const (
	// maxMessageBytes is the maximum size of a datagram.
	maxMessageBytes = 60 << 10
	// baseInterval is the send interval with up to peersAtBaseInterval peers. It
	// grows in proportion to the number of peers above that, which bounds the
	// messages that a process sends and receives per second.
	baseInterval = 100 * time.Millisecond
	// peersAtBaseInterval is the number of peers up to which baseInterval applies.
	peersAtBaseInterval = 20
	// minUrgentInterval is the minimum interval between two messages with urgent
	// news; it batches news that arise together.
	minUrgentInterval = 20 * time.Millisecond
	// minSilenceTimeout is the lower bound of SilenceTimeout.
	minSilenceTimeout = 500 * time.Millisecond
	// hubDelay is the additional time for which a group's state may be delayed
	// on its way through two hubs.
	hubDelay = 500 * time.Millisecond
)

// Config configures a Gossip.
type Config struct {
	// Address is the host:port on which messages are received.
	Address string
	// Group returns the other processes of this process's group, and GroupMessage
	// the message to them.
	Group        func() []netip.AddrPort
	GroupMessage func() Message
	// Hubs returns the processes of other groups to which this process, as the
	// hub of its group, sends HubMessage; none while it is not the hub.
	Hubs       func() []netip.AddrPort
	HubMessage func() Message
	// All returns all other processes, and UrgentMessage the news for them since
	// the last call.
	All           func() []netip.AddrPort
	UrgentMessage func() Message
	// OnMessage is called with each new message from a peer; it must not block.
	OnMessage func(Message)
	Log       *eventlog.Logger
}

// Gossip sends and receives messages.
type Gossip struct {
	Config
	conn *net.UDPConn
	// urgent requests a message with urgent news.
	urgent chan struct{}

	mu       sync.Mutex
	sequence uint64
	// newestBySender holds the newest message of each sender.
	newestBySender map[senderKey]messageID
}

// senderKey identifies a sender's complete or partial messages. The two kinds may
// overtake each other.
type senderKey struct {
	sender  string
	partial bool
}

// messageID identifies a message of a peer.
type messageID struct {
	boot     string
	sequence uint64
}

// New opens the socket. Run and Receive start the exchange.
func New(config Config) (*Gossip, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Address)
	if err != nil {
		return nil, errors.Annotate(err, "resolving the peer address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Annotate(err, "listening for peers")
	}
	return &Gossip{Config: config, conn: conn, urgent: make(chan struct{}, 1), newestBySender: map[senderKey]messageID{}}, nil
}

// SendUrgent sends the urgent news to all processes soon.
func (g *Gossip) SendUrgent() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Run sends messages until ctx is cancelled.
func (g *Gossip) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.sendPeriodically(ctx, g.Group, g.GroupMessage) })
	wg.Go(func() { g.sendPeriodically(ctx, g.Hubs, g.HubMessage) })
	wg.Go(func() { g.sendUrgentNews(ctx) })
	wg.Wait()
}

func (g *Gossip) sendPeriodically(ctx context.Context, recipients func() []netip.AddrPort, message func() Message) {
	timer := time.NewTimer(baseInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		peers := recipients()
		if len(peers) > 0 {
			g.Send(message(), peers...)
		}
		timer.Reset(sendInterval(len(peers)))
	}
}

func (g *Gossip) sendUrgentNews(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.urgent:
		}
		g.Send(g.UrgentMessage(), g.All()...)
		timer := time.NewTimer(minUrgentInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

func sendInterval(peers int) time.Duration {
	return baseInterval * time.Duration(max(peersAtBaseInterval, peers)) / peersAtBaseInterval
}

// SilenceTimeout returns the time without messages after which a peer of the
// own group is treated as silent, given the number of these peers. It exceeds
// the send interval.
func SilenceTimeout(peers int) time.Duration {
	return max(minSilenceTimeout, sendInterval(peers)*5/3)
}

// GroupSilenceTimeout returns the time without a new state of another group
// after which the group is treated as silent, given the number of peers in the
// own group, which pass the state on.
func GroupSilenceTimeout(peers int) time.Duration {
	return SilenceTimeout(peers) + hubDelay
}

// Send sends a message to the given processes.
func (g *Gossip) Send(message Message, peers ...netip.AddrPort) {
	g.mu.Lock()
	g.sequence++
	message.Sequence = g.sequence
	g.mu.Unlock()
	data, err := message.encode()
	if err == nil && len(data) > maxMessageBytes {
		err = errors.Errorf("message of %d bytes exceeds the limit of %d", len(data), maxMessageBytes)
	}
	if err != nil {
		g.Log.Log(eventlog.DutyFailed, "duty", "gossip", "err", errors.Annotate(err, "peer message not sent"))
		return
	}
	for _, peer := range peers {
		// A failed send is treated as a lost datagram: the next message replaces
		// it.
		_, _ = g.conn.WriteToUDPAddrPort(data, peer)
	}
}

// Receive reads messages and passes them to OnMessage until Close is called.
func (g *Gossip) Receive() {
	// One byte more than a message shows that a datagram was longer.
	buffer := make([]byte, maxMessageBytes+1)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.Log.Log(eventlog.PeerMessageInvalid, "from", "", "err", err)
			continue
		}
		message, err := decodeDatagram(buffer[:n])
		if err != nil {
			g.Log.Log(eventlog.PeerMessageInvalid, "from", from.String(), "err", err)
			continue
		}
		if g.recordIfNewer(&message) {
			g.OnMessage(message)
		}
	}
}

// decodeDatagram decodes a message. One that exceeds the limit is an error, because its
// rest is lost.
func decodeDatagram(data []byte) (Message, error) {
	if len(data) > maxMessageBytes {
		return Message{}, errors.Errorf("datagram exceeds %d bytes", maxMessageBytes)
	}
	return decode(data)
}

// recordIfNewer reports whether a message is newer than all earlier messages
// from the sender's current run, and records it if so. Messages about streams are no
// states: a later one doesn't replace an earlier one.
func (g *Gossip) recordIfNewer(m *Message) bool {
	if m.AboutStreams() {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	key := senderKey{sender: m.Sender, partial: m.Partial}
	last := g.newestBySender[key]
	if last.boot == m.BootID && m.Sequence <= last.sequence {
		return false
	}
	g.newestBySender[key] = messageID{boot: m.BootID, sequence: m.Sequence}
	return true
}

// Close closes the socket, which ends Receive.
func (g *Gossip) Close() error {
	return errors.Trace(g.conn.Close())
}
