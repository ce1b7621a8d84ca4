package node

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"
)

// An endpoint or the platform may send data after a complete response that belongs to no request: a second copy, or
// noise. Taken for the response to the next request on the connection, it would give that request a wrong outcome. So no
// connection is used again before reuseDelay has passed since its last response, and none on which data has arrived by
// then. The peer's system may hold a small write back until the response before it is acknowledged, which may be as late
// as with the next request; so each response is acknowledged at once.

// reuseDelay is how long after a response its connection is not used again, for unsolicited data to arrive.
const reuseDelay = 20 * time.Millisecond

// acknowledge has the kernel acknowledge at once what has been received on a connection. An error does not matter: the
// kernel then acknowledges later.
func acknowledge(conn net.Conn) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_QUICKACK, 1)
	})
}

// withAcknowledgment returns a context for a request of an http.Client, and a function that acknowledges the response
// once it has been read. The client itself closes an idle connection on which data arrives.
func withAcknowledgment(ctx context.Context) (requestCtx context.Context, acknowledgeResponse func()) {
	var conn atomic.Pointer[net.Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.Store(&info.Conn) }}
	return httptrace.WithClientTrace(ctx, trace), func() {
		if c := conn.Load(); c != nil {
			acknowledge(*c)
		}
	}
}
