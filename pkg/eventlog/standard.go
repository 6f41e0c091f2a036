package eventlog

import (
	"log"
	"strings"
)

// ErrorLog returns a logger for http.Server.ErrorLog, which logs each line as an
// event with the name of the server.
func (l *Logger) ErrorLog(server string) *log.Logger {
	return log.New(errorWriter{log: l, server: server}, "", 0)
}

// errorWriter is the output of an ErrorLog.
type errorWriter struct {
	log    *Logger
	server string
}

// Write implements io.Writer. It is called with one line.
func (w errorWriter) Write(line []byte) (int, error) {
	w.log.Log(HTTPServerError, "server", w.server, "err", strings.TrimSpace(string(line)))
	return len(line), nil
}
