package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the network before an engine. While it is cut, it refuses new connections and has reset the others.
type proxy struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func startProxy(address, target string) *proxy {
	p := &proxy{address: address, target: target, conns: map[net.Conn]bool{}}
	p.heal()
	return p
}

// heal lets connections through.
func (p *proxy) heal() {
	listener, err := net.Listen("tcp4", p.address)
	check(err)
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
}

// cut refuses new connections and resets the open ones.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *proxy) forward(conn net.Conn) {
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	p.mu.Lock()
	p.conns[conn], p.conns[target] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	copy := func(to, from net.Conn) {
		wg.Go(func() {
			_, _ = io.Copy(to, from)
			_ = to.(*net.TCPConn).CloseWrite()
		})
	}
	copy(target, conn)
	copy(conn, target)
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, conn)
	delete(p.conns, target)
	p.mu.Unlock()
	_ = conn.Close()
	_ = target.Close()
}
