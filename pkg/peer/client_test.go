package peer_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/peer"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// streamingAgent is an agent stub that sends frames until the client disconnects.
type streamingAgent struct {
	peerpb.DRPCAgentUnimplementedServer
}

func (*streamingAgent) Dispatch(_ *peerpb.DispatchRequest, stream peerpb.DRPCAgent_DispatchStream) error {
	for {
		if err := stream.Send(&peerpb.Frame{}); err != nil {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

func (*streamingAgent) Admit(ctx context.Context, _ *peerpb.AdmitRequest) (*peerpb.AdmitReply, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestCallAfterCancelledCall guards against reuse of a pooled connection that a
// cancelled call is still closing, which would fail the next call.
func TestCallAfterCancelledCall(t *testing.T) {
	const calls = 2000
	Convey("Given a client that cancels its calls before their responses are complete", t, func() {
		ctx, cancel := context.WithCancel(context.Background())
		Reset(cancel)
		server, err := peer.Listen("127.0.0.1:0", nil, &streamingAgent{})
		So(err, ShouldBeNil)
		go func() { _ = server.Serve(ctx) }()
		client := peer.NewClient(peer.ClientOptions{DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 16, MaxIdlePerPeer: 4})
		Reset(func() { _ = client.Close() })
		openStream := func() error {
			callCtx, cancelCall := context.WithCancel(ctx)
			defer cancelCall()
			stream, err := client.Agent(callCtx, server.Address()).Dispatch(callCtx, &peerpb.DispatchRequest{})
			if err != nil {
				return err
			}
			_, err = stream.Recv()
			return err
		}
		Convey("new streams open after cancelled streams", func() {
			for range calls {
				So(openStream(), ShouldBeNil)
			}
		})
		Convey("new streams open after unary calls that timed out", func() {
			for range 200 {
				callCtx, cancelCall := context.WithTimeout(ctx, time.Millisecond)
				_, err := client.Agent(callCtx, server.Address()).Admit(callCtx, &peerpb.AdmitRequest{})
				cancelCall()
				So(err, ShouldNotBeNil)
				So(openStream(), ShouldBeNil)
			}
		})
	})
}
