package gossip

import (
	"bytes"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/eventlog"
)

// TestSilenceTimeoutExceedsSendInterval guards against a silence timeout below
// the send interval, which would mark peers as silent between two regular
// messages.
func TestSilenceTimeoutExceedsSendInterval(t *testing.T) {
	Convey("The silence timeout exceeds one and a half send intervals, for any number of peers", t, func() {
		for peers := range 500 {
			So(SilenceTimeout(peers), ShouldBeGreaterThan, sendInterval(peers)*3/2)
		}
		So(SilenceTimeout(23), ShouldEqual, 500*time.Millisecond)
	})
}

// TestOversizedDatagram guards against a datagram that is cut at the size limit and
// taken for a whole message.
func TestOversizedDatagram(t *testing.T) {
	Convey("Given a process that receives messages", t, func() {
		received := make(chan Message, 1)
		g, err := New(Config{Address: "127.0.0.1:0", OnMessage: func(m Message) { received <- m }, Log: eventlog.Discard()})
		So(err, ShouldBeNil)
		go g.Receive()
		Reset(func() { So(g.Close(), ShouldBeNil) })
		sender, err := net.DialUDP("udp4", nil, g.conn.LocalAddr().(*net.UDPAddr))
		So(err, ShouldBeNil)
		Reset(func() { _ = sender.Close() })
		// An unknown field of three bytes, which any message may hold.
		filler := []byte{0xc0, 0x3e, 0x01}
		sendPadded := func(size int, sequence uint64) {
			message := Message{Sender: "p", BootID: "b", Sequence: sequence}
			data, err := message.encode()
			So(err, ShouldBeNil)
			for (size-len(data))%len(filler) != 0 {
				message.Sender += "p"
				data, err = message.encode()
				So(err, ShouldBeNil)
			}
			data = append(data, bytes.Repeat(filler, (size-len(data))/len(filler))...)
			_, err = sender.Write(data)
			So(err, ShouldBeNil)
		}
		Convey("a message of the largest size arrives, and a larger one is dropped", func() {
			sendPadded(maxMessageBytes+len(filler), 1)
			sendPadded(maxMessageBytes, 2)
			select {
			case m := <-received:
				So(m.Sequence, ShouldEqual, 2)
			case <-time.After(5 * time.Second):
				So("no message", ShouldBeEmpty)
			}
		})
	})
}
