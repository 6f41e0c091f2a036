package relay

import (
	"fmt"
	"net"
	"strings"

	"github.com/baobabhub/baobabhub/pkg/fieldhash"
)

// requestFingerprint identifies what a request asks of a target: a request that comes
// again has the same fingerprint, at any process, whatever its ID, key and other headers
// are. Targets see the account of a request and not its key.
func (q *request) requestFingerprint() string {
	sum := fieldhash.Sum([]byte(q.accountName()), []byte(q.r.Method), []byte(hostName(q.r.Host)), []byte(q.r.RequestURI), q.body)
	return fmt.Sprintf("%016x", sum)
}

// hostName returns the host in lower case and without a port, as routes are matched.
func hostName(hostPort string) string {
	host, _, err := net.SplitHostPort(hostPort)
	if err != nil {
		host = hostPort
	}
	return strings.ToLower(host)
}
