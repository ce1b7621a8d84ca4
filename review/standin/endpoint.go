package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// call is a request that has arrived at an endpoint whole.
type call struct {
	endpoint *endpoint
	conn     net.Conn
	in       *bufio.Reader
	bulk     bool
	items    []item
	at       time.Time // arrival of its last byte
}

// item is one message in a call.
type item struct {
	ID   string `json:"id"`
	Key  string `json:"key"`
	Body []byte `json:"body"`
}

// endpoint accepts calls and hands them to serve, which answers them. It reports whether the connection stays open.
type endpoint struct {
	record *recorder
	name   string
	dest   int
	serve  func(*call) bool
	ln     net.Listener

	mu     sync.Mutex
	filler net.Conn // fills the accept queue; nil if nothing does
}

// ordinaryBacklog is the length of the accept queue of an endpoint whose connections come up at once.
const ordinaryBacklog = 64

// newEndpoint listens on a free loopback port. backlog is the length of the accept queue.
func newEndpoint(r *recorder, name string, dest, backlog int, serve func(*call) bool) (*endpoint, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), name)
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	return &endpoint{record: r, name: name, dest: dest, serve: serve, ln: ln}, nil
}

func (e *endpoint) addr() string { return e.ln.Addr().String() }

func (e *endpoint) host() host {
	return host{ID: e.name, HostPort: e.addr(), Zone: "a", MachineType: "bulk", Dest: e.dest, Lifecycle: "up", Weight: 1}
}

// fillQueue fills an accept queue of length 0, so that new connections do not come up until run accepts.
func (e *endpoint) fillQueue() error {
	conn, err := net.DialTimeout("tcp", e.addr(), replyTimeout)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.filler = conn
	return nil
}

// run accepts connections until the listener is closed.
func (e *endpoint) run() {
	e.mu.Lock()
	if e.filler != nil {
		e.filler.Close()
	}
	e.mu.Unlock()
	for {
		conn, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serveConn(conn)
	}
}

func (e *endpoint) serveConn(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c := &call{endpoint: e, conn: conn, in: in, bulk: request.URL.Path == "/inbox/bulk", at: time.Now()}
		if c.bulk {
			if err := json.Unmarshal(body, &c.items); err != nil {
				io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
				continue
			}
		} else {
			c.items = []item{{ID: request.Header.Get("X-Trace-Id"), Key: request.Header.Get("Idempotency-Key"), Body: body}}
		}
		for _, it := range c.items {
			e.record.line("endpoint %s: got %s key %q body %q", e.name, it.ID, it.Key, shortened(it.Body))
		}
		if !e.serve(c) {
			return
		}
	}
}

// shortened returns the start of a body.
func shortened(body []byte) string {
	const shown = 24
	if len(body) > shown {
		return string(body[:shown]) + "..."
	}
	return string(body)
}

// deliver answers that all messages of the call were delivered.
func (c *call) deliver() bool {
	body := ""
	if c.bulk {
		var states []string
		for _, it := range c.items {
			states = append(states, fmt.Sprintf(`{"id":%q,"state":"done"}`, it.ID))
		}
		body = "[" + strings.Join(states, ",") + "]"
	}
	return c.answer("200 OK", "", body)
}

// answer writes an answer. header is whole lines.
func (c *call) answer(status, header, body string) bool {
	c.endpoint.record.line("endpoint %s: answers %s", c.endpoint.name, status)
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}
