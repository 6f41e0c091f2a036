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
	Convey("Given a service with a warm connection", t, func() {
		s, err := Start(Config{})
		So(err, ShouldBeNil)
		Reset(s.Close)
		h := service.NewHTTP(s.Addr(), testTimeouts)
		lookup := service.Call{RequestID: "l", Method: http.MethodGet, Path: "/lots/7?x=1"}
		_, err = h.Call(t.Context(), lookup)
		So(err, ShouldBeNil)
		bid := service.Call{
			RequestID: "r", Method: http.MethodPost, Path: "/bids", Body: []byte(`{"key":"k"}`),
			Header: http.Header{"Idempotency-Key": {"i"}},
		}
		Convey("An action runs once and its result comes back", func() {
			answer, err := h.Call(t.Context(), bid)
			So(err, ShouldBeNil)
			var result Result
			So(json.Unmarshal(answer.Body, &result), ShouldBeNil)
			So(result, ShouldResemble, Result{"k", ResultOf("k")})
			So(s.Executions().ByRequest, ShouldResemble, map[string]int{"r": 1})
		})
		Convey("A lost answer is unknown and the action is not repeated, with an idempotency key header and an empty body too", func() {
			for _, fault := range []Fault{{CloseAfter: true}, {CrashAfter: true}} {
				s.SetFault(fault)
				before := s.Executions()
				_, err := h.Call(t.Context(), bid)
				So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
				So(s.Executions().ByKey["k"], ShouldEqual, before.ByKey["k"]+1)
				s.SetFault(Fault{})
				_, err = h.Call(t.Context(), lookup)
				So(err, ShouldBeNil)
				s.SetFault(fault)
				_, err = h.Call(t.Context(), lookup)
				So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
				So(s.Executions().Lookups, ShouldEqual, before.Lookups+2)
			}
		})
		Convey("A cut before the action is unknown too, and it did not run", func() {
			s.SetFault(Fault{CloseBefore: true, MaxCalls: 1})
			_, err := h.Call(t.Context(), bid)
			So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
			So(s.Executions().ByKey, ShouldBeEmpty)
		})
		Convey("A frozen service is unknown after the call's timeout", func() {
			s.Freeze()
			_, err := h.Call(t.Context(), bid)
			So(errors.Is(err, service.ErrOutcomeUnknown), ShouldBeTrue)
			s.Thaw()
			_, err = h.Call(t.Context(), lookup)
			So(err, ShouldBeNil)
		})
	})
	Convey("A refused connection and a bad path are not sent", t, func() {
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
