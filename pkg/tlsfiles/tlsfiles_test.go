package tlsfiles

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// testCA is a certificate authority for tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

func newTestCA(t *testing.T, dir string) *testCA {
	ca := &testCA{}
	ca.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &ca.key.PublicKey, ca.key)
	So(err, ShouldBeNil)
	ca.certificate, err = x509.ParseCertificate(der)
	So(err, ShouldBeNil)
	writePEM(filepath.Join(dir, "ca.pem"), "CERTIFICATE", der)
	return ca
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// issue writes a certificate with the given common name and its private key to
// files in dir.
func (ca *testCA) issue(t *testing.T, dir, commonName string) (certFile, keyFile string) {
	ca.serial++
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(ca.serial + 1), Subject: pkix.Name{CommonName: commonName}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	So(err, ShouldBeNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	So(err, ShouldBeNil)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(keyFile, "EC PRIVATE KEY", keyDER)
	writePEM(certFile, "CERTIFICATE", der)
	return certFile, keyFile
}

func writePEM(file, blockType string, der []byte) {
	So(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600), ShouldBeNil)
}

// connect makes one connection and returns the common name of the server's
// certificate.
func connect(server, client *tls.Config) (string, error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	So(err, ShouldBeNil)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "x")
	}()
	dialer := tls.Dialer{NetDialer: &net.Dialer{Timeout: 5 * time.Second}, Config: client}
	conn, err := dialer.Dial("tcp", listener.Addr().String())
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	state := conn.(*tls.Conn).ConnectionState()
	return state.PeerCertificates[0].Subject.CommonName, nil
}

func TestKeyPair(t *testing.T) {
	Convey("With certificates from one CA", t, func() {
		dir := t.TempDir()
		ca := newTestCA(t, dir)
		certFile, keyFile := ca.issue(t, dir, "first")
		pair, err := Load(certFile, keyFile)
		So(err, ShouldBeNil)
		server, client, err := pair.MutualConfigs(filepath.Join(dir, "ca.pem"))
		So(err, ShouldBeNil)

		Convey("client and server accept each other", func() {
			commonName, err := connect(server, client)
			So(err, ShouldBeNil)
			So(commonName, ShouldEqual, "first")
		})

		Convey("a client without a certificate is rejected", func() {
			withoutCertificate := client.Clone()
			withoutCertificate.GetClientCertificate = nil
			_, err := connect(server, withoutCertificate)
			So(err, ShouldNotBeNil)
		})

		Convey("a server with a certificate from another CA is rejected", func() {
			otherDir := t.TempDir()
			otherCA := newTestCA(t, otherDir)
			otherPair, err := Load(otherCA.issue(t, otherDir, "other"))
			So(err, ShouldBeNil)
			_, err = connect(otherPair.ServerConfig(), client)
			So(err, ShouldNotBeNil)
		})

		Convey("replaced files are reloaded, and invalid files leave the previous certificate in use", func() {
			ca.issue(t, dir, "second")
			modifiedAt := time.Now().Add(time.Minute)
			So(os.Chtimes(certFile, modifiedAt, modifiedAt), ShouldBeNil)
			pair.checkedAt = time.Time{}
			commonName, err := connect(server, client)
			So(err, ShouldBeNil)
			So(commonName, ShouldEqual, "second")
			So(os.WriteFile(certFile, []byte("broken"), 0o600), ShouldBeNil)
			modifiedAt = modifiedAt.Add(time.Minute)
			So(os.Chtimes(certFile, modifiedAt, modifiedAt), ShouldBeNil)
			pair.checkedAt = time.Time{}
			commonName, err = connect(server, client)
			So(err, ShouldBeNil)
			So(commonName, ShouldEqual, "second")
		})
	})
}
