package peer_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// streamer is a stub of an agent whose answers go on until their reader leaves.
type streamer struct {
	peerpb.DRPCAgentUnimplementedServer
}

func (*streamer) Dispatch(_ *peerpb.DispatchRequest, stream peerpb.DRPCAgent_DispatchStream) error {
	for {
		if err := stream.Send(&peerpb.Frame{}); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

func (*streamer) Admit(ctx context.Context, _ *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestCallsAfterCancelledOnes: a call doesn't get the connection that an earlier
// call's end is closing.
func TestCallsAfterCancelledOnes(t *testing.T) {
	const calls = 2000
	Convey("Given a client whose calls end before their answers", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		server, err := peer.Listen("127.0.0.1:0", nil, &streamer{})
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(ctx) }()
		client := peer.NewClient(peer.ClientOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4})
		Reset(func() { _ = client.Close() })
		open := func() error {
			callCtx, end := context.WithCancel(ctx)
			defer end()
			stream, err := client.Agent(callCtx, server.Address()).Dispatch(callCtx, &peerpb.DispatchRequest{})
			if err != nil {
				return err
			}
			_, err = stream.Recv()
			return err
		}
		Convey("streams open all the same", func() {
			for range calls {
				So(open(), ShouldBeNil)
			}
		})
		Convey("also after single calls", func() {
			for range 200 {
				callCtx, end := context.WithTimeout(ctx, time.Millisecond)
				_, err := client.Agent(callCtx, server.Address()).Admit(callCtx, &peerpb.AdmitRequest{})
				end()
				So(err, ShouldNotBeNil)
				So(open(), ShouldBeNil)
			}
		})
	})
}
