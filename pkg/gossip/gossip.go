// Package gossip carries what the entry processes tell each other: admitted
// tokens, work at the targets, the configuration in force, and which engines
// change their weights. Messages are datagrams: each holds the sender's whole
// state, so a lost one is made good by the next, and there is no connection
// that could go silent.
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
	// maxMessageBytes is the largest datagram.
	maxMessageBytes = 60 << 10
	// basePeriod is the time between messages to few peers. With more peers it
	// grows, so that a process sends and receives a bounded number a second.
	basePeriod = 100 * time.Millisecond
	// peersAtBasePeriod is the number of peers up to which basePeriod holds.
	peersAtBasePeriod = 8
	// minSilence is the least time after which a peer counts as silent.
	minSilence = 500 * time.Millisecond
)

// Config joins what a Gossip is made of.
type Config struct {
	// Address is the host:port that messages come to.
	Address string
	// Peers returns the addresses of the other processes.
	Peers func() []string
	// State returns this process's message, without its sequence.
	State func() Message
	// Received takes a peer's message; it must not block.
	Received func(Message)
	Log      *eventlog.Logger
}

// Gossip sends and receives messages.
type Gossip struct {
	Config
	conn *net.UDPConn
	// prompt asks for a message before the period is over.
	prompt   chan struct{}
	mu       sync.Mutex
	sequence uint64
	seen     map[string]position
}

// position is the newest message seen of a peer.
type position struct {
	boot     string
	sequence uint64
}

// New opens the socket.
func New(config Config) (*Gossip, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Address)
	if err != nil {
		return nil, errors.Annotate(err, "resolving the peer address")
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Annotate(err, "listening for peers")
	}
	return &Gossip{Config: config, conn: conn, prompt: make(chan struct{}, 1), seen: map[string]position{}}, nil
}

// Prompt sends a message soon, for news that peers need at once.
func (g *Gossip) Prompt() {
	select {
	case g.prompt <- struct{}{}:
	default:
	}
}

// Run sends messages until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	timer := time.NewTimer(basePeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-g.prompt:
		}
		peers := g.Peers()
		g.send(peers)
		timer.Reset(period(len(peers)))
	}
}

func period(peers int) time.Duration {
	return basePeriod * time.Duration(max(peersAtBasePeriod, peers)) / peersAtBasePeriod
}

// SilentAfter is how long one of so many peers may say nothing before it counts
// as silent: more than the time between two of its messages.
func SilentAfter(peers int) time.Duration {
	return max(minSilence, period(peers)*5/3)
}

func (g *Gossip) send(peers []string) {
	if len(peers) == 0 {
		return
	}
	message := g.State()
	g.sequence++
	message.Sequence = g.sequence
	data, err := message.encode()
	if err != nil || len(data) > maxMessageBytes {
		g.Log.Log(eventlog.DutyFailed, "duty", "gossip", "err", errors.Errorf("message of %d bytes: %v", len(data), err))
		return
	}
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			g.Log.Log(eventlog.PeerMessageInvalid, "from", peer, "err", err)
			continue
		}
		// A datagram that can't be sent is a lost one; the next follows.
		_, _ = g.conn.WriteToUDP(data, address)
	}
}

// Receive takes messages until Close.
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
		if g.fresh(&message) {
			g.Received(message)
		}
	}
}

// fresh says whether a message is newer than those seen of its sender's boot.
func (g *Gossip) fresh(m *Message) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.seen[m.From]
	if last.boot == m.Boot && m.Sequence <= last.sequence {
		return false
	}
	g.seen[m.From] = position{boot: m.Boot, sequence: m.Sequence}
	return true
}

// Close ends Receive.
func (g *Gossip) Close() error {
	return errors.Trace(g.conn.Close())
}
