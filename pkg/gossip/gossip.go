// Package gossip exchanges state between the entry processes: admitted tokens,
// load on the targets, the configuration in force, and the engines that are
// loading weights. Messages are UDP datagrams. Each holds the sender's full
// state, so that a lost message needs no retransmission. UDP is used because a
// connection can stop delivering data without an error.
package gossip

import (
	"context"
	"net"
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
	peersAtBaseInterval = 8
	// minSilenceTimeout is the lower bound of SilenceTimeout.
	minSilenceTimeout = 500 * time.Millisecond
)

// Config configures a Gossip.
type Config struct {
	// Address is the host:port on which messages are received.
	Address string
	// Peers returns the addresses of the other processes.
	Peers func() []string
	// Snapshot returns this process's state as a message without a sequence
	// number.
	Snapshot func() Message
	// OnMessage is called with each new message from a peer; it must not block.
	OnMessage func(Message)
	Log       *eventlog.Logger
}

// Gossip sends and receives messages.
type Gossip struct {
	Config
	conn *net.UDPConn
	// sendNow triggers a message before the send interval has elapsed.
	sendNow  chan struct{}
	mu       sync.Mutex
	sequence uint64
	// newestBySender holds the newest message of each sender.
	newestBySender map[string]messageID
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
	return &Gossip{Config: config, conn: conn, sendNow: make(chan struct{}, 1), newestBySender: map[string]messageID{}}, nil
}

// SendSoon triggers a message before the send interval has elapsed, for changes
// that peers need immediately.
func (g *Gossip) SendSoon() {
	select {
	case g.sendNow <- struct{}{}:
	default:
	}
}

// Run sends messages to all peers until ctx is cancelled.
func (g *Gossip) Run(ctx context.Context) {
	timer := time.NewTimer(baseInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.sendNow:
		}
		peers := g.Peers()
		g.send(peers)
		timer.Reset(sendInterval(len(peers)))
	}
}

func sendInterval(peers int) time.Duration {
	return baseInterval * time.Duration(max(peersAtBaseInterval, peers)) / peersAtBaseInterval
}

// SilenceTimeout returns the time without messages after which a peer is
// treated as silent, given the number of peers. It exceeds the send interval.
func SilenceTimeout(peers int) time.Duration {
	return max(minSilenceTimeout, sendInterval(peers)*5/3)
}

func (g *Gossip) send(peers []string) {
	if len(peers) == 0 {
		return
	}
	message := g.Snapshot()
	g.sequence++
	message.Sequence = g.sequence
	data, err := message.encode()
	if err != nil || len(data) > maxMessageBytes {
		g.Log.Log(eventlog.DutyFailed, "duty", "gossip", "err", errors.Errorf("peer message not sent: encoded size %d bytes, encoding error: %v", len(data), err))
		return
	}
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			g.Log.Log(eventlog.PeerMessageInvalid, "from", peer, "err", err)
			continue
		}
		// A failed send is treated as a lost datagram: the next message replaces
		// it.
		_, _ = g.conn.WriteToUDP(data, address)
	}
}

// Receive reads messages and passes them to OnMessage until Close is called.
func (g *Gossip) Receive() {
	buffer := make([]byte, maxMessageBytes)
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.Log.Log(eventlog.PeerMessageInvalid, "from", "", "err", err)
			continue
		}
		message, err := decode(buffer[:n])
		if err != nil {
			g.Log.Log(eventlog.PeerMessageInvalid, "from", from.String(), "err", err)
			continue
		}
		if g.recordIfNewer(&message) {
			g.OnMessage(message)
		}
	}
}

// recordIfNewer reports whether a message is newer than all earlier messages
// from the sender's current run, and records it if so.
func (g *Gossip) recordIfNewer(m *Message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.newestBySender[m.Sender]
	if last.boot == m.BootID && m.Sequence <= last.sequence {
		return false
	}
	g.newestBySender[m.Sender] = messageID{boot: m.BootID, sequence: m.Sequence}
	return true
}

// Close closes the socket, which ends Receive.
func (g *Gossip) Close() error {
	return errors.Trace(g.conn.Close())
}
