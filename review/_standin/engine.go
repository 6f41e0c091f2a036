package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// modelName is the model of all engines.
const modelName = "daka510000"

// engine is an engine or a service of the platform.
type engine struct {
	rec     *record
	id      string
	service string
	zone    string
	slots   int
	// software is the version of the engine's software.
	software string
	// answer writes the response to a request that runs.
	answer func(x *exchange)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]struct{}
	addr     string
	born     int64
	crashes  int
}

// exchange is a request that an engine has read, and the connection for its response.
type exchange struct {
	engine *engine
	conn   net.Conn
	// requests counts the requests of the connection.
	requests int
	r        *http.Request
	id       string
	body     []byte
	// closeAfter is set if the response ends with the connection.
	closeAfter bool
}

func newEngine(rec *record, id, service, zone string, slots int, answer func(x *exchange)) *engine {
	return &engine{rec: rec, id: id, service: service, zone: zone, slots: slots, software: "v1", answer: answer, conns: map[net.Conn]struct{}{}}
}

// start starts a run of the engine, at the address of the run before if there was one.
func (e *engine) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := "127.0.0.1:0"
	if e.addr != "" {
		address = e.addr
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.listener, e.addr, e.born = listener, listener.Addr().String(), time.Now().UnixMilli()
	go e.serve(listener)
	return nil
}

// crash ends the run: the listener is closed and all connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listener == nil {
		return
	}
	_ = e.listener.Close()
	e.listener = nil
	e.crashes++
	for conn := range e.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	e.conns = map[net.Conn]struct{}{}
}

// setSoftware sets the version of the software of the next run.
func (e *engine) setSoftware(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.software = version
}

// softwareVersion returns the version of the software of the present run.
func (e *engine) softwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.software
}

// registryEntry returns the engine's entry in the store.
func (e *engine) registryEntry() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	data, err := json.Marshal(object{
		"service": e.service, "addr": e.addr, "zone": e.zone, "version": e.software, "slots": e.slots, "state": "ready", "cold_left_ms": 0,
		"seq": 0, "born": e.born, "stage": "both", "models": []object{{"name": modelName, "version": 1, "adapters": []string{}}},
	})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func (e *engine) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.listener != listener {
			e.mu.Unlock()
			_ = conn.Close()
			continue
		}
		e.conns[conn] = struct{}{}
		e.mu.Unlock()
		go e.serveConn(conn)
	}
}

func (e *engine) serveConn(conn net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		x := &exchange{engine: e, conn: conn, requests: n, r: r, id: r.Header.Get("X-Baobabhub-Request-Id"), body: body}
		switch {
		case r.URL.Path == "/report":
			x.write(200, "application/json", fmt.Sprintf(`{"stage":"both","models":[{"name":%q,"version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":90000,"handles":0}`, modelName))
		case r.Header.Get("X-Baobabhub-Expect-Instance") != "" && r.Header.Get("X-Baobabhub-Expect-Instance") != e.id:
			x.write(421, "text/plain", "", "X-Baobabhub-Not-Run: 1", "X-Baobabhub-Instance: "+e.id)
		default:
			e.answer(x)
		}
		if x.closeAfter {
			return
		}
	}
}

// send writes bytes of the response.
func (x *exchange) send(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}

// head returns the head of a response, up to the empty line.
func (x *exchange) head(status int, contentType string, fields ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Baobabhub-Request-Id: %s\r\nContent-Type: %s\r\n", status, http.StatusText(status), x.id, contentType)
	for _, field := range fields {
		text += field + "\r\n"
	}
	return text
}

// stamp returns the field that marks a response as the engine's own.
func (x *exchange) stamp() string { return "X-Baobabhub-Stamp: " + x.engine.id + "." + x.id }

// write writes a response with a length.
func (x *exchange) write(status int, contentType, body string, fields ...string) bool {
	return x.send(x.head(status, contentType, fields...) + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// event returns an event of a stream.
func event(id int, data string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", id, data) }
