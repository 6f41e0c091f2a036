package localfleet_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fake/enginefake"
	"github.com/baobabhub/baobabhub/pkg/localfleet"
)

// TestRouterStopWithHeaderInParts guards against a request that a planned stop of a router
// closes unread, because its header had not arrived completely.
func TestRouterStopWithHeaderInParts(t *testing.T) {
	Convey("Given a router and a kept connection of a caller", t, func() {
		fleet, err := localfleet.Start(t.Context(), localfleet.Config{Deployment: localfleet.SmallDeployment(), RouterCount: 1, Seed: 1, LogOutput: io.Discard,
			Engine: enginefake.Config{BlockTokens: 100, MinStepDuration: time.Millisecond}})
		So(err, ShouldBeNil)
		Reset(fleet.Close)
		router := fleet.Routers[0]
		conn, err := net.Dial("tcp", router.Daemon.Address())
		So(err, ShouldBeNil)
		Reset(func() { _ = conn.Close() })
		reader := bufio.NewReader(conn)
		const header = "GET /unknown HTTP/1.1\r\nHost: h\r\n\r\n"
		send := func(text string) {
			_, err := io.WriteString(conn, text)
			So(err, ShouldBeNil)
		}
		read := func() error {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			return err
		}
		send(header)
		So(read(), ShouldBeNil)
		Convey("a request whose header begins before a planned stop and ends during it is answered", func() {
			send(header[:len(header)/2])
			stopped := make(chan error, 1)
			go func() { stopped <- router.Stop() }()
			awaitClosedListener(t, router.Daemon.Address())
			send(header[len(header)/2:])
			So(read(), ShouldBeNil)
			So(<-stopped, ShouldBeNil)
		})
	})
}

// awaitClosedListener waits until connections to an address are refused.
func awaitClosedListener(t *testing.T, address string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = conn.Close()
	}
	t.Fatal("the listener is still open")
}
