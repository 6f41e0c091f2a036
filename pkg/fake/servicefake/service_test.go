package servicefake

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/service"
)

var testTimeouts = service.Timeouts{Dial: time.Second, Call: 500 * time.Millisecond}

func TestCalls(t *testing.T) {
	Convey("Given a service and a client with an established connection", t, func() {
		s, err := Start(Config{})
		So(err, ShouldBeNil)
		Reset(s.Close)
		client := service.NewHTTP(s.Addr(), testTimeouts)
		lookup := service.Call{RequestID: "l", Method: http.MethodGet, Path: "/lots/7?x=1"}
		_, err = client.Call(t.Context(), lookup)
		So(err, ShouldBeNil)
		bid := service.Call{
			RequestID: "r", Method: http.MethodPost, Path: "/bids", Body: []byte(`{"key":"k"}`),
			Header: http.Header{"Idempotency-Key": {"i"}},
		}
		Convey("An action is executed once and returns its result", func() {
			response, err := client.Call(t.Context(), bid)
			So(err, ShouldBeNil)
			var result Result
			So(json.Unmarshal(response.Body, &result), ShouldBeNil)
			So(result, ShouldResemble, Result{"k", ResultOf("k")})
			So(s.Executions().ByRequest, ShouldResemble, map[string]int{"r": 1})
		})
		Convey("After a lost response, the outcome is unknown and the client doesn't retry, even with an idempotency key header or without a body", func() {
			for _, fault := range []Fault{{CloseAfter: true}, {CrashAfter: true}} {
				s.SetFault(fault)
				before := s.Executions()
				_, err := client.Call(t.Context(), bid)
				So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
				So(s.Executions().ByKey["k"], ShouldEqual, before.ByKey["k"]+1)
				s.SetFault(Fault{})
				_, err = client.Call(t.Context(), lookup)
				So(err, ShouldBeNil)
				s.SetFault(fault)
				_, err = client.Call(t.Context(), lookup)
				So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
				So(s.Executions().Lookups, ShouldEqual, before.Lookups+2)
			}
		})
		Convey("If the connection is lost before the execution, the outcome is unknown and the action is not executed", func() {
			s.SetFault(Fault{CloseBefore: true, MaxCalls: 1})
			_, err := client.Call(t.Context(), bid)
			So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
			So(s.Executions().ByKey, ShouldBeEmpty)
		})
		Convey("A call to a frozen service times out with an unknown outcome", func() {
			s.Freeze()
			_, err := client.Call(t.Context(), bid)
			So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
			s.Thaw()
			_, err = client.Call(t.Context(), lookup)
			So(err, ShouldBeNil)
		})
	})
	Convey("Calls to a closed port or with an invalid path are not sent", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := listener.Addr().String()
		_ = listener.Close()
		for _, path := range []string{"/bids", "bids"} {
			_, err = service.NewHTTP(addr, testTimeouts).Call(t.Context(), service.Call{Method: http.MethodPost, Path: path})
			So(errors.Is(err, service.ErrNotSent), ShouldBeTrue)
		}
	})
}
