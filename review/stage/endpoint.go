package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// inboundCall is a call that an endpoint has received.
type inboundCall struct {
	endpoint *endpoint
	ids      []string
	bulk     bool
	begun    time.Duration // arrival of its first byte
	at       time.Duration // arrival of its last byte
	expires  string        // how long the sender will wait, in milliseconds
	closed   chan struct{} // closed when the sender ends the connection, or its sending on it
}

// answer is what an endpoint answers to a call. The zero value resets the connection.
type answer struct {
	status     int
	comeBackMS int    // wait that it tells; 0 for none
	report     string // load report; empty for none
}

var (
	answerDelivered = answer{status: http.StatusOK}
	answerError     = answer{status: http.StatusInternalServerError}
	answerFull      = answer{status: http.StatusServiceUnavailable}
)

// endpoint stands in for one endpoint of a destination. handle decides on the answer to a call and may wait before it
// returns; it is called concurrently.
type endpoint struct {
	record *recorder
	name   string
	cell   int
	kind   string
	addr   string
	handle func(*inboundCall) answer
}

func newEndpoint(record *recorder, name string, cell int, kind string, handle func(*inboundCall) answer) (*endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &endpoint{record: record, name: name, cell: cell, kind: kind, addr: ln.Addr().String(), handle: handle}
	go e.accept(ln)
	return e, nil
}

// entry returns the list entry of the endpoint.
func (e *endpoint) entry(lifecycle string) instance {
	return instance{
		ID: e.name, HostPort: e.addr, Zone: zone, MachineType: e.kind, Cell: e.cell, Lifecycle: lifecycle, Weight: 1,
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (e *endpoint) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			e.serve(conn)
			conn.Close()
		}()
	}
}

// serve answers the calls of a connection one after the other.
func (e *endpoint) serve(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		begun := e.record.elapsed()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		call := &inboundCall{
			endpoint: e, begun: begun, at: e.record.elapsed(), expires: request.Header.Get("X-Expires-In-Ms"),
			closed: make(chan struct{}),
		}
		switch request.URL.Path {
		case "/inbox":
			call.ids = []string{request.Header.Get("X-Trace-Id")}
		case "/inbox/bulk":
			var items []struct{ ID string }
			if json.Unmarshal(body, &items) != nil {
				return
			}
			for _, item := range items {
				call.ids = append(call.ids, item.ID)
			}
			call.bulk = true
		default:
			io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		stop := call.watchClose(conn, r)
		a := e.handle(call)
		stop()
		if !call.write(conn, a) {
			return
		}
	}
}

// watchClose closes call.closed when the sender ends the connection. The returned function ends the watch.
func (c *inboundCall) watchClose(conn net.Conn, r *bufio.Reader) (stop func()) {
	stopping, finished := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(finished)
		if _, err := r.Peek(1); err != nil {
			select {
			case <-stopping:
			default:
				close(c.closed)
			}
		}
	}()
	return func() {
		close(stopping)
		conn.SetReadDeadline(time.Unix(1, 0))
		<-finished
		conn.SetReadDeadline(time.Time{})
	}
}

// write writes the answer and reports whether the connection stays open.
func (c *inboundCall) write(conn net.Conn, a answer) bool {
	if a.status == 0 {
		reset(conn)
		return false
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	if a.comeBackMS > 0 {
		fmt.Fprintf(&b, "X-Come-Back-Ms: %d\r\n", a.comeBackMS)
	}
	if a.report != "" {
		fmt.Fprintf(&b, "Endpoint-Load-Metrics: %s\r\n", a.report)
	}
	body := ""
	if c.bulk && a.status == http.StatusOK {
		var ends []string
		for _, id := range c.ids {
			ends = append(ends, fmt.Sprintf(`{"id":%q,"state":"done"}`, id))
		}
		body = "[" + strings.Join(ends, ",") + "]"
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(conn, b.String())
	return err == nil
}

// sleep waits for d, or until the sender ends the call; then it returns false.
func (c *inboundCall) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.closed:
		return false
	}
}
