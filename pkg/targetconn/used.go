package targetconn

import (
	"hash/maphash"
	"slices"
	"sync"
)

// UsedConns holds the connections on which one request has been sent. A target may write a
// response to it once more, in the place of the next one; on another connection, or to another
// request, the request ID tells that, but not where the same request is sent again. The nil
// *UsedConns holds none and keeps none.
type UsedConns struct {
	// id is the fingerprint of the request's ID; 0 if it is not known. The caller may have
	// sent an earlier request with the same ID.
	id    uint64
	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewUsedConns returns the UsedConns of a request with the given ID. They include the
// connections that have carried an earlier request with this ID.
func NewUsedConns(requestID string) *UsedConns {
	return &UsedConns{id: maphash.String(idSeed, requestID)}
}

// idSeed is the seed of the fingerprints of request IDs.
var idSeed = maphash.MakeSeed()

func (u *UsedConns) add(conn *Conn) {
	if u == nil {
		return
	}
	conn.carried.add(u.id)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.conns == nil {
		u.conns = map[*Conn]struct{}{}
	}
	u.conns[conn] = struct{}{}
}

func (u *UsedConns) has(conn *Conn) bool {
	if u == nil {
		return false
	}
	if conn.carried.has(u.id) {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	_, ok := u.conns[conn]
	return ok
}

// maxCarried is the number of requests that a connection remembers. A response that comes
// again after that many others on the same connection is unlikely.
const maxCarried = 16

// carriedIDs holds the fingerprints of the IDs of the latest requests on a connection. Only
// the request that has taken the connection changes it.
type carriedIDs struct {
	ids  [maxCarried]uint64
	next int
}

func (c *carriedIDs) add(id uint64) {
	c.ids[c.next] = id
	c.next = (c.next + 1) % maxCarried
}

// has reports whether an ID is remembered; false for 0, which stands for none.
func (c *carriedIDs) has(id uint64) bool { return id != 0 && slices.Contains(c.ids[:], id) }
