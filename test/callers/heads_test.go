package callers

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/baobabhub/baobabhub/platform/platformfake"
)

const (
	// headCallers is the number of callers of a crowd that sends heads of legal size.
	headCallers = 250
	// fieldBytes is the size of the fields that a crowd adds to a head.
	fieldBytes = maxHeaderBytes - 1000
	// holdTime is the time for which the target holds back its answers.
	holdTime = time.Second
	// pipeliningCallers is the number of callers that send requests without reading answers.
	pipeliningCallers = 40
)

// repeated returns lines of a head, made by line from their number, of fieldBytes at most.
func repeated(line func(n int) string) string {
	var text strings.Builder
	for n := 0; text.Len() < fieldBytes; n++ {
		text.WriteString(line(n))
	}
	return text.String()
}

// holdAnswers makes the target hold back its answers.
func (w *world) holdAnswers() {
	w.target.SetHandler(func(rw http.ResponseWriter, _ *http.Request) {
		time.Sleep(holdTime)
		w.target.SetStamp(rw)
		_, _ = rw.Write([]byte("answer of i-0"))
	})
}

// TestLargeHeads guards against memory that requests of legal size take for heads made of
// many short fields, many values of one field, a prompt prefix of tiny parts, or long IDs.
func TestLargeHeads(t *testing.T) {
	for name, fields := range map[string]string{
		"short fields":  repeated(func(n int) string { return fmt.Sprintf("f%x:\r\n", n) }),
		"one field":     repeated(func(int) string { return "f:\r\n" }),
		"prompt prefix": platformfake.HeaderPromptPrefix + ": " + repeated(func(n int) string { return fmt.Sprintf("%x:1,", n) }) + "z:1\r\n",
		"long IDs": platformfake.HeaderRequestID + ": " + repeated(func(int) string { return "i" }) + "\r\n" +
			platformfake.HeaderModel + ": m\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.holdAnswers()
			w.crowd(w.callerAddress, headCallers, func(caller int, conn net.Conn) {
				request := head("/safe/1", caller, "Content-Length: 0")
				if name == "long IDs" {
					request = strings.Replace(request, platformfake.HeaderRequestID+":", "X-Other:", 1)
				}
				send(conn, request+fields+"\r\n")
			})
			w.check()
		})
	}
}

// TestPipelinedRequests guards against requests that callers send on one connection
// without reading the answers.
func TestPipelinedRequests(t *testing.T) {
	w := newWorld(t)
	w.crowd(w.callerAddress, pipeliningCallers, func(caller int, conn net.Conn) {
		sendUntil(conn, strings.Repeat(head(paths[caller%2], caller, "Content-Length: 0")+"\r\n", 100), endlessTime)
	})
	w.check()
}
