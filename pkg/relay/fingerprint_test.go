package relay

import (
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/fleet"
)

func TestRequestFingerprint(t *testing.T) {
	fingerprint := func(account, method, host, path, body string) string {
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		r.Host = host
		q := &request{r: r, body: []byte(body)}
		if account != "" {
			q.account = &fleet.Account{Name: account}
		}
		return q.requestFingerprint()
	}
	Convey("A repeated request has the same fingerprint", t, func() {
		first := fingerprint("a", "POST", "h.example", "/x?y=1", "body")
		So(first, ShouldHaveLength, 16)
		So(fingerprint("a", "POST", "H.example:80", "/x?y=1", "body"), ShouldEqual, first)
		Convey("and one of another account, method, host, path, query or body another one", func() {
			So(fingerprint("b", "POST", "h.example", "/x?y=1", "body"), ShouldNotEqual, first)
			So(fingerprint("", "POST", "h.example", "/x?y=1", "body"), ShouldNotEqual, first)
			So(fingerprint("a", "PUT", "h.example", "/x?y=1", "body"), ShouldNotEqual, first)
			So(fingerprint("a", "POST", "i.example", "/x?y=1", "body"), ShouldNotEqual, first)
			So(fingerprint("a", "POST", "h.example", "/x?y=2", "body"), ShouldNotEqual, first)
			So(fingerprint("a", "POST", "h.example", "/x", "body"), ShouldNotEqual, first)
			So(fingerprint("a", "POST", "h.example", "/x?y=1", "bod"), ShouldNotEqual, first)
		})
		Convey("and a byte that moves from one field to the next changes it", func() {
			So(fingerprint("a", "POST", "h.example", "/xb", "ody"), ShouldNotEqual, fingerprint("a", "POST", "h.example", "/x", "body"))
		})
	})
}
