package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engineConfig is the configuration of an engine process, in JSON as its argument.
type engineConfig struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Born    int64  `json:"born"`
	// Pieces is the number of events of a stream, one each GapMS.
	Pieces int `json:"pieces"`
	GapMS  int `json:"gap_ms"`
	// WorkMS is the time that a plain request takes.
	WorkMS int `json:"work_ms"`
	// Software is the version of its software, which each event names.
	Software string `json:"software"`
	// ReportBytes, if set, makes the engine answer a report with that many bytes at once, and then with a
	// byte each 100 ms without end.
	ReportBytes int `json:"report_bytes"`
	// Log is the file to which it appends what it receives.
	Log string `json:"log"`
}

// engine is a sound server of the pages: streams without a length end with their connection, all
// other answers have a length and keep the connection.
type engine struct {
	engineConfig
	mu  sync.Mutex
	log *os.File
	seq int
}

func (e *engine) printf(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.log, "%s engine %s "+format+"\n", append([]any{stamp(), e.ID}, args...)...)
}

func runEngine(arg string) {
	var c engineConfig
	check(json.Unmarshal([]byte(arg), &c))
	log, err := os.OpenFile(c.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	check(err)
	e := &engine{engineConfig: c, log: log}
	listener, err := net.Listen("tcp4", c.Address)
	check(err)
	e.printf("listens, born %d, software %s", c.Born, c.Software)
	for {
		conn, err := listener.Accept()
		check(err)
		go e.serve(conn)
	}
}

func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !e.answer(conn, req) {
			return
		}
	}
}

// answer answers a request and reports whether the connection goes on.
func (e *engine) answer(conn net.Conn, req *http.Request) bool {
	if want := req.Header.Get("X-Baobabhub-Expect-Instance"); want != "" && want != e.ID {
		return e.write(conn, req, 421, "")
	}
	switch {
	case req.URL.Path == "/health":
		return e.write(conn, req, 200, "ok")
	case req.URL.Path == "/report" && e.ReportBytes > 0:
		return e.endless(conn, req)
	case req.URL.Path == "/report":
		return e.write(conn, req, 200, fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":%d,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0,"state":"ready","next_token":0,"runs":[],"born":%d}`, e.seq, e.Born))
	case strings.HasPrefix(req.URL.Path, "/stream/"), strings.HasPrefix(req.URL.Path, "/resume/"):
		e.stream(conn, req)
		return false
	default:
		e.printf("runs %s %s", req.Header.Get("X-Baobabhub-Request-Id"), req.URL.Path)
		time.Sleep(time.Duration(e.WorkMS) * time.Millisecond)
		if strings.HasSuffix(req.URL.Path, "/missing") {
			return e.write(conn, req, 500, "no such record")
		}
		return e.write(conn, req, 200, "answer of "+e.ID)
	}
}

// endless answers a report with bytes that are none, until the caller closes.
func (e *engine) endless(conn net.Conn, req *http.Request) bool {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Baobabhub-Instance: %s\r\nX-Baobabhub-Request-Id: %s\r\n\r\n", e.ID, req.Header.Get("X-Baobabhub-Request-Id"))
	if _, err := io.WriteString(conn, head+strings.Repeat("x", e.ReportBytes)); err != nil {
		return false
	}
	for {
		time.Sleep(100 * time.Millisecond)
		if _, err := io.WriteString(conn, "x"); err != nil {
			return false
		}
	}
}

func (e *engine) write(conn net.Conn, req *http.Request, status int, body string) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Baobabhub-Instance: %s\r\nX-Baobabhub-Request-Id: %s\r\nContent-Length: %d\r\n",
		status, http.StatusText(status), e.ID, req.Header.Get("X-Baobabhub-Request-Id"), len(body))
	if status != 421 {
		head += "X-Baobabhub-Stamp: stamp-" + e.ID + "\r\nX-Baobabhub-Load: 1,0,32\r\n"
	}
	_, err := io.WriteString(conn, head+"\r\n"+body)
	return err == nil
}

// stream writes a stream without a length. It goes on after Last-Event-Id.
func (e *engine) stream(conn net.Conn, req *http.Request) {
	id := req.Header.Get("X-Baobabhub-Request-Id")
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	e.printf("runs %s %s from event %d", id, req.URL.Path, first)
	head := "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nX-Baobabhub-Weights-Versions: 1\r\nX-Baobabhub-Request-Id: " + id + "\r\nX-Baobabhub-Stamp: stamp-" + e.ID + "\r\n\r\n"
	for n := first; n <= e.Pieces; n++ {
		time.Sleep(time.Duration(e.GapMS) * time.Millisecond)
		if _, err := io.WriteString(conn, head+fmt.Sprintf("id: %d\ndata: %s %d/%d\n\n", n, e.Software, n, e.Pieces)); err != nil {
			e.printf("stream %s: %v", id, err)
			return
		}
		head = ""
	}
	e.printf("ends %s after event %d", id, e.Pieces)
}
