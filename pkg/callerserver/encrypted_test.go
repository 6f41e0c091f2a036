package callerserver_test

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/baobabhub/baobabhub/pkg/callerserver"
	"github.com/baobabhub/baobabhub/pkg/eventlog"
	"github.com/baobabhub/baobabhub/pkg/fleet"
)

// shortLimit is the time for the header of a request that does not arrive completely.
const shortLimit = 50 * time.Millisecond

// dialEncrypted opens an encrypted connection to a server with the certificate of a standard
// test server. raw is the connection below the encryption.
func dialEncrypted(t *testing.T, listener net.Listener, certificate *httptest.Server) (encrypted *tls.Conn, raw net.Conn) {
	t.Helper()
	raw = dial(t, listener)
	roots := certificate.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	encrypted = tls.Client(raw, &tls.Config{RootCAs: roots, ServerName: "example.com", MinVersion: tls.VersionTLS12})
	if err := encrypted.Handshake(); err != nil {
		t.Fatal(err)
	}
	return encrypted, raw
}

// TestDrainOfEncryptedConnections guards against encrypted requests that a planned stop closes
// unread, and against plain text in an encrypted connection.
func TestDrainOfEncryptedConnections(t *testing.T) {
	Convey("Given a server with encrypted connections", t, func() {
		certificate := httptest.NewTLSServer(http.NotFoundHandler())
		Reset(certificate.Close)
		server := callerserver.New(callerserver.Config{
			Handler: http.HandlerFunc(respondOK), Log: eventlog.Discard(),
			TLS:          &tls.Config{Certificates: certificate.TLS.Certificates, MinVersion: tls.VersionTLS12},
			RequestID:    func(header http.Header) string { return header.Get("Id") },
			SetRequestID: func(header http.Header, id string) { header.Set("Id", id) },
			Limits:       func() fleet.ClientLimits { return fleet.ClientLimits{HeaderTimeout: shortLimit} },
		})
		listener := listen(t)
		go func() { _ = server.Serve(listener) }()
		conn, raw := dialEncrypted(t, listener, certificate)
		write(t, conn, wholeRequest)
		status, err := readStatus(conn)
		So(err, ShouldBeNil)
		So(status, ShouldEqual, http.StatusOK)
		Convey("a request whose header begins before a drain and ends during it is answered", func() {
			write(t, conn, wholeRequest[:len(wholeRequest)/2])
			cut := drain(server, patience)
			write(t, conn, wholeRequest[len(wholeRequest)/2:])
			status, err := readStatus(conn)
			So(err, ShouldBeNil)
			So(status, ShouldEqual, http.StatusOK)
			So(<-cut, ShouldEqual, 0)
		})
		Convey("an idle connection is closed by a drain", func() {
			So(<-drain(server, patience), ShouldEqual, 0)
			_, err := io.ReadAll(conn)
			So(err, ShouldBeNil)
		})
		Convey("a request whose header doesn't complete is closed without a response in plain text", func() {
			write(t, conn, wholeRequest[:len(wholeRequest)/2])
			data, _ := io.ReadAll(raw)
			So(string(data), ShouldNotContainSubstring, "HTTP/1.1")
		})
	})
}
