package strictresponse_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/engine"
	"github.com/baobabhub/baobabhub/pkg/fake/endlessfake"
	"github.com/baobabhub/baobabhub/pkg/fake/rawfake"
	"github.com/baobabhub/baobabhub/pkg/fleet"
	"github.com/baobabhub/baobabhub/pkg/kv"
	"github.com/baobabhub/baobabhub/pkg/membudget"
	"github.com/baobabhub/baobabhub/pkg/operatorclient"
	vmplatform "github.com/baobabhub/baobabhub/pkg/platform"
	"github.com/baobabhub/baobabhub/pkg/rollout"
	"github.com/baobabhub/baobabhub/pkg/service"
	"github.com/baobabhub/baobabhub/pkg/strictresponse"
	"github.com/baobabhub/baobabhub/pkg/targetconn"
	"github.com/baobabhub/baobabhub/platform"
)

const (
	// callTimeout bounds the calls of the readers that take a timeout.
	callTimeout = 2 * time.Second
	// maxBodyBytes bounds the bodies of targets' responses.
	maxBodyBytes = 1 << 20
)

// reader is a place in the product that reads HTTP responses.
type reader struct {
	name string
	// call sends a request to an address. It returns an error if there is no usable response.
	call func(ctx context.Context, address string) error
}

// readers returns the places in the product that read responses of other processes.
func readers() []reader {
	target := func(address string) *fleet.Target { return &fleet.Target{ID: "t", Address: address} }
	return []reader{
		{"a request to a target", func(ctx context.Context, address string) error {
			_, err := exchange(ctx, address, nil)
			return err
		}},
		{"an engine's report", func(ctx context.Context, address string) error {
			_, err := platform.NewEngineClient().Report(ctx, target(address))
			return err
		}},
		{"an order to an engine", func(ctx context.Context, address string) error {
			_, err := platform.NewEngineClient().SendOrder(ctx, target(address), rollout.LoadOrder{Model: "m", Version: 1})
			return err
		}},
		{"the events of a cache store", func(ctx context.Context, address string) error {
			_, err := platform.NewEngineClient().CacheEvents(ctx, address, 0, 0)
			return err
		}},
		{"the platform's store", func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address, &kv.EraTracker{}).Get(ctx, "k")
			return err
		}},
		{"a write to the platform's store", func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address, &kv.EraTracker{}).CompareAndSwap(ctx, kv.Put{Key: "k", Value: []byte("v")})
			return err
		}},
		{"a call to a plain service", func(ctx context.Context, address string) error {
			client := service.NewHTTP(address, service.Timeouts{Dial: callTimeout, Call: callTimeout})
			defer client.Close()
			_, err := client.Call(ctx, service.Call{Method: http.MethodPost, Path: "/once", Body: []byte("x"), RequestID: "r"})
			return err
		}},
		{"an agent's call to its engine", func(ctx context.Context, address string) error {
			client := engine.NewHTTP(address, engine.Timeouts{Dial: callTimeout, Call: callTimeout, Idle: callTimeout})
			defer client.Close()
			_, err := client.LoadReport(ctx)
			return err
		}},
		{"the key-value service of routers and agents", func(ctx context.Context, address string) error {
			client := vmplatform.NewClient(vmplatform.DefaultConfig(address))
			defer client.Close()
			_, err := client.Get(ctx, "k")
			return err
		}},
		{"a router's status", func(ctx context.Context, address string) error {
			client := operatorclient.New(address)
			defer client.Close()
			_, err := client.Status(ctx)
			return err
		}},
	}
}

// exchange sends a request to a target and reads its whole response.
func exchange(ctx context.Context, address string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := targetconn.NewPools().Get(ctx, &fleet.Target{ID: "t", Address: address}, 1, nil)
	if err != nil {
		return nil, err
	}
	exchange, _, err := conn.Send(ctx, &targetconn.Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: body})
	if err != nil {
		return nil, err
	}
	var unlimited *membudget.Budget
	answer, err := exchange.ReadAll(unlimited.NewBuffer(), maxBodyBytes)
	exchange.Finish(err == nil)
	return answer, err
}

// callAll calls a server that sends the given response from each reader, and checks the error.
func callAll(t *testing.T, response rawfake.Response, check func(err error)) {
	server, err := rawfake.NewServer(response)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for _, r := range readers() {
		Convey(r.name+": "+response.Name, func() { check(r.call(t.Context(), server.Address())) })
	}
}

// TestInvalidStatusFromAnyPeer guards against a status that is no answer's and is taken for one, or
// for that of an informational response, so that a body is taken for the answer.
func TestInvalidStatusFromAnyPeer(t *testing.T) {
	for _, response := range rawfake.InvalidStatuses("") {
		Convey("No reader takes a response with an invalid status, from "+response.Name, t, func() {
			callAll(t, response, func(err error) { So(errors.Is(err, strictresponse.ErrInvalid), ShouldBeTrue) })
		})
	}
}

// TestValidFromAnyPeer guards against checks that refuse valid responses.
func TestValidFromAnyPeer(t *testing.T) {
	for _, response := range rawfake.Valid("") {
		Convey("All readers take an unusual response that is valid, with "+response.Name, t, func() {
			callAll(t, response, func(err error) { So(err, ShouldBeNil) })
		})
	}
}

// TestInvalidFieldFromAnyPeer guards against a head or a trailer with a line that is no field, which net/http
// passes over or reads as another field than other readers do.
func TestInvalidFieldFromAnyPeer(t *testing.T) {
	for _, response := range rawfake.InvalidFields("") {
		Convey("No reader takes a response with an invalid field, with "+response.Name, t, func() {
			callAll(t, response, func(err error) { So(errors.Is(err, strictresponse.ErrInvalid), ShouldBeTrue) })
		})
	}
}

// TestInvalidFramingFromAnyPeer guards against a body whose end is not where its sender meant it.
func TestInvalidFramingFromAnyPeer(t *testing.T) {
	for _, response := range rawfake.InvalidFraming("") {
		Convey("No reader takes a response that contradicts itself about the end of its body, with "+response.Name, t, func() {
			callAll(t, response, func(err error) { So(errors.Is(err, strictresponse.ErrInvalid), ShouldBeTrue) })
		})
	}
}

const (
	// uploadBytes is the size of a request that doesn't fit into the buffers of a connection, and
	// shortUploadBytes that of one which is written beside its response and arrives in time on a busy machine.
	uploadBytes      = 8 << 20
	shortUploadBytes = 256 << 10
	// uploadTries is the number of times that an end of a connection is tried, since it may be seen
	// first by the goroutine that writes or by the one that reads.
	uploadTries = 8
)

// uploaders returns the readers whose requests may be large, with requests of the given size.
func uploaders(size int) []reader {
	upload := bytes.Repeat([]byte("x"), size)
	return []reader{
		{"a request to a target", func(ctx context.Context, address string) error {
			_, err := exchange(ctx, address, upload)
			return err
		}},
		{"a write to the platform's store", func(ctx context.Context, address string) error {
			_, err := platform.NewStore(address, &kv.EraTracker{}).CompareAndSwap(ctx, kv.Put{Key: "k", Value: upload})
			return err
		}},
		{"a call to a plain service", func(ctx context.Context, address string) error {
			client := service.NewHTTP(address, service.Timeouts{Dial: callTimeout, Call: callTimeout})
			defer client.Close()
			_, err := client.Call(ctx, service.Call{Method: http.MethodPost, Path: "/once", Body: upload, RequestID: "r"})
			return err
		}},
	}
}

// TestCutBesideUploadFromAnyPeer guards against a part of a response without a length that is taken for the
// whole, although its connection was reset while the request was being written.
func TestCutBesideUploadFromAnyPeer(t *testing.T) {
	for name, end := range map[string]rawfake.End{"resets the connection": rawfake.Reset, "closes it with bytes unread": rawfake.Close} {
		Convey("Given a peer that responds to an upload without a length, and "+name, t, func() {
			server, err := rawfake.NewServer(rawfake.Response{Text: "HTTP/1.1 200 OK\r\n\r\n" + rawfake.WholeBody, End: end, Unread: true})
			So(err, ShouldBeNil)
			Reset(server.Close)
			for _, r := range uploaders(uploadBytes) {
				Convey("the response is not complete for "+r.name, func() {
					for range uploadTries {
						So(r.call(t.Context(), server.Address()), ShouldNotBeNil)
					}
				})
			}
		})
	}
}

// TestResponseBesideUploadFromAnyPeer guards against valid responses that are refused because of the upload
// beside them.
func TestResponseBesideUploadFromAnyPeer(t *testing.T) {
	Convey("Given a peer that reads an upload and responds without a length", t, func() {
		server, err := rawfake.NewServer(rawfake.Response{Text: "HTTP/1.1 200 OK\r\n\r\n" + rawfake.WholeBody})
		So(err, ShouldBeNil)
		Reset(server.Close)
		for _, r := range uploaders(shortUploadBytes) {
			Convey("the response is complete for "+r.name, func() {
				for range uploadTries {
					So(r.call(t.Context(), server.Address()), ShouldBeNil)
				}
			})
		}
	})
}

// maxReaderHeapBytes bounds the heap that reading one response without end may occupy, garbage included: the
// largest bound on a body is 16 MiB.
const maxReaderHeapBytes = 96 << 20

// endlessResponses returns responses that never end.
func endlessResponses() []endlessfake.Response {
	var fields strings.Builder
	for n := 0; fields.Len() < 63<<10; n++ {
		fmt.Fprintf(&fields, "f%x:\r\n", n)
	}
	ok := "HTTP/1.1 200 OK\r\n"
	chunked := ok + "Transfer-Encoding: chunked\r\n\r\n"
	return slices.Concat(endlessfake.Heads(""), endlessfake.Bodies(""), []endlessfake.Response{
		endlessfake.TinyChunks(""),
		{Name: "a JSON text without end", Prefix: ok + "\r\n{\"key\":\"", Unit: "x"},
		{Name: "a JSON text without end, in chunks", Prefix: chunked + "8\r\n{\"key\":\"\r\n", Unit: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		{Name: "an error with a body without end", Prefix: "HTTP/1.1 500 No\r\n\r\n", Unit: "x"},
		{Name: "short fields without end", Prefix: ok + fields.String(), Unit: "f:\r\n"},
		{Name: "a body without end behind many short fields", Prefix: ok + fields.String()[:50<<10] + ":\r\n\r\n", Unit: "x"},
	})
}

// TestEndlessFromAnyPeer guards against a process that exceeds its memory limit because a response never ends.
func TestEndlessFromAnyPeer(t *testing.T) {
	for _, response := range endlessResponses() {
		Convey("No reader keeps a response that never ends, with "+response.Name, t, func() {
			for _, r := range readers() {
				server, err := endlessfake.NewServer(response)
				So(err, ShouldBeNil)
				Printf("%s\n", r.name)
				var callErr error
				heap := endlessfake.HeapPeak(func() { callErr = r.call(t.Context(), server.Address()) })
				server.Close()
				So(callErr, ShouldNotBeNil)
				So(heap, ShouldBeLessThan, maxReaderHeapBytes)
			}
		})
	}
}
