package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// plainWork is the time that a plain request takes.
const plainWork = 60 * time.Millisecond

// crashingPart is a part of prompts that crashes each engine that begins to write an answer on it.
const crashingPart = "dead0001:"

// engine is a model engine in a process of its own. It serves streams of events, of which some
// have neither a length nor chunks and end with their connection.
type engine struct {
	id      string
	born    int64
	leaving atomic.Bool
	// unframedPercent is the share of streams that end with their connection.
	unframedPercent uint32
	log             *os.File
	start           time.Time
}

// logf writes a line about a run, with the time since the case began.
func (e *engine) logf(format string, args ...any) {
	fmt.Fprintf(e.log, "%7.3f  engine %s: %s\n", time.Since(e.start).Seconds(), e.id, fmt.Sprintf(format, args...))
}

// runEngine serves until the process is killed. SIGUSR1 makes the engine say that it is leaving.
func runEngine(args []string) error {
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	id := flags.String("id", "", "ID")
	address := flags.String("address", "127.0.0.1:0", "address")
	born := flags.Int64("born", 1, "start")
	unframed := flags.Uint("unframed", 0, "percentage of streams without a length")
	start := flags.Int64("start", 0, "begin of the case")
	logPath := flags.String("log", "", "file for the runs")
	_ = flags.Parse(args)
	log, err := os.OpenFile(*logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e := &engine{id: *id, born: *born, unframedPercent: uint32(*unframed), log: log, start: time.UnixMilli(*start)}
	leave := make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGUSR1)
	go func() {
		<-leave
		e.leaving.Store(true)
	}()
	listener, err := net.Listen("tcp4", *address)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go e.serveConn(conn)
	}
}

func (e *engine) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !e.serve(conn, r) {
			return
		}
	}
}

// serve answers a request, and reports whether the connection stays open.
func (e *engine) serve(conn net.Conn, r *http.Request) bool {
	switch {
	case r.URL.Path == "/report":
		return e.answer(conn, r, 200, "", fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":200000,"handles":0,"born":%d}`, e.born))
	case r.URL.Path == "/health":
		return e.answer(conn, r, 200, "X-Baobabhub-Instance: "+e.id+"\r\n", "")
	case r.Header.Get("X-Baobabhub-Expect-Instance") != e.id:
		return e.answer(conn, r, 421, "X-Baobabhub-Instance: "+e.id+"\r\nX-Baobabhub-Not-Run: 1\r\n", "")
	case strings.HasPrefix(r.URL.Path, "/bon/"):
		time.Sleep(plainWork)
		e.logf("runs %s", r.Header.Get("X-Baobabhub-Request-Id"))
		return e.answer(conn, r, 200, "X-Baobabhub-Stamp: "+e.id+"\r\nX-Baobabhub-Load: 1,0,6\r\n", `{"seat":"held"}`)
	default:
		return e.stream(conn, r)
	}
}

// common returns the fields of all answers.
func (e *engine) common(r *http.Request) string {
	text := "X-Baobabhub-Request-Id: " + r.Header.Get("X-Baobabhub-Request-Id") + "\r\nX-Baobabhub-Weights-Versions: 1\r\n"
	if e.leaving.Load() {
		text += "Server-Leaving: 1\r\n"
	}
	return text
}

func (e *engine) answer(conn net.Conn, r *http.Request, status int, fields, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), e.common(r), fields, len(body), body)
	return err == nil
}

// isUnframed reports whether the answer to a request ends with its connection.
func (e *engine) isUnframed(requestID string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, requestID)
	return h.Sum32()%100 < e.unframedPercent
}

// stream answers with the events that the path asks for: /PREFIX/COUNT/PAUSE_MS[/PREFILL_MS].
func (e *engine) stream(conn net.Conn, r *http.Request) bool {
	fields := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	count, _ := strconv.Atoi(fields[1])
	pause, _ := strconv.Atoi(fields[2])
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	// The time that the prompt takes may follow.
	prefill := pause
	if len(fields) > 3 {
		prefill, _ = strconv.Atoi(fields[3])
	}
	id := r.Header.Get("X-Baobabhub-Request-Id")
	unframed := e.isUnframed(id)
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = "Connection: close\r\n"
	}
	e.logf("begins %s at event %d of %d, without a length: %v", id, first+1, count, unframed)
	time.Sleep(time.Duration(prefill-pause) * time.Millisecond)
	if strings.Contains(r.Header.Get("X-Baobabhub-Prompt-Prefix"), crashingPart) {
		e.logf("crashes under %s", id)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Baobabhub-Stamp: %s.%s\r\n%s%s\r\n", e.id, id, e.common(r), framing); err != nil {
		return false
	}
	for n := first + 1; n <= count; n++ {
		time.Sleep(time.Duration(pause) * time.Millisecond)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", n, n, count)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return false
		}
	}
	if !unframed {
		if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
			return false
		}
	}
	e.logf("ends %s", id)
	return !unframed
}
