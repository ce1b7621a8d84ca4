package node

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"rundeal/logic"
)

// unsolicitedDelays are the times from a response to the unsolicited data that follows it. Without TCP_NODELAY the
// system holds a delayed write back until the response is acknowledged.
var unsolicitedDelays = []struct {
	name    string
	delay   time.Duration // 0: in the same write
	noDelay bool
}{
	{"same write", 0, true},
	{"2 ms later", 2 * time.Millisecond, true},
	{"2 ms later, held back", 2 * time.Millisecond, false},
	{"12 ms later", 12 * time.Millisecond, true},
}

// latestUnsolicited is how long after a response data that belongs to no request is still sent. On a busy machine a peer
// could otherwise come so late that the next request already waits, when no such data is sent.
const latestUnsolicited = 15 * time.Millisecond

// writeWithUnsolicited writes a response and, after the delay, data that belongs to no request.
func writeWithUnsolicited(conn *net.TCPConn, response, unsolicited string, delay time.Duration, noDelay bool) {
	conn.SetNoDelay(noDelay)
	if delay == 0 {
		io.WriteString(conn, response+unsolicited)
		return
	}
	io.WriteString(conn, response)
	respondedAt := time.Now()
	time.Sleep(delay)
	if time.Since(respondedAt) <= latestUnsolicited {
		io.WriteString(conn, unsolicited)
	}
}

// deliveredResponse is a response that reports all messages of a call as delivered.
func deliveredResponse(t *testing.T, in *receivedCall) string {
	t.Helper()
	var states []bulkStatus
	for id := range receivedBodies(t, in) {
		states = append(states, bulkStatus{ID: id, State: "done"})
	}
	body, err := json.Marshal(states)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// unsolicitedAfterCalls are what may follow a response to a call.
var unsolicitedAfterCalls = map[string]func(response string) string{
	"copy":          func(response string) string { return response },
	"long copy":     func(response string) string { return response + string(bytes.Repeat([]byte("x"), 100<<10)) },
	"refusal":       func(string) string { return "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n" },
	"noise":         func(string) string { return "\x00\x17 noise" },
	"one line feed": func(string) string { return "\r\n" },
}

// Guards against taking what follows a good response for the response to the next call: the message of that call would
// count as delivered though it was not, or as refused and be sent again though it has run.
func TestUnsolicitedDataAfterCall(t *testing.T) {
	for name, unsolicited := range unsolicitedAfterCalls {
		for _, when := range unsolicitedDelays {
			for _, class := range []string{"safe", "keyed", "unsafe"} {
				for _, size := range []int{1, 2} {
					t.Run(fmt.Sprint(name, " ", when.name, " ", class, " ", size), func(t *testing.T) {
						t.Parallel()
						n, e := newBulkNode(t, nil)
						call := func(round int) *receivedCall {
							for i := range size {
								id := fmt.Sprint("m-", round, "-", i)
								n.active[id] = addJournaledMessage(t, n,
									Message{ID: id, Class: class, Dest: 1, IdempotencyKey: id, Body: []byte("x")})
								n.startAttempt(t.Context(),
									logic.Send{ID: id, Timeout: toMicros(testTimeout), Endpoint: 1}, true)
							}
							n.sendPendingCalls(t.Context())
							return receive(t, e.calls, "call")
						}
						call(0).reply(500) // the kernel acknowledges the first response on a connection at once in any case
						collectOutcomes(t, n, size)
						time.Sleep(reuseDelay + 5*time.Millisecond)
						first := call(1)
						response := deliveredResponse(t, first)
						written := make(chan struct{})
						go func() {
							writeWithUnsolicited(first.conn, response, unsolicited(response), when.delay, when.noDelay)
							close(written)
							first.keepReading <- true
						}()
						for id, outcome := range collectOutcomes(t, n, size) {
							if outcome != logic.Delivered {
								t.Errorf("%s ended with outcome %v", id, outcome)
							}
						}
						time.Sleep(reuseDelay + 5*time.Millisecond)
						select { // the data is on its way before the next request
						case <-written:
						case <-time.After(time.Second):
						}
						second := call(2)
						second.reply(500)
						for id, outcome := range collectOutcomes(t, n, size) {
							if outcome != logic.Errored {
								t.Errorf("%s ended with outcome %v, want that of its own response", id, outcome)
							}
						}
						e.expectNoCall(t)
					})
				}
			}
		}
	}
}

// rawPlatform is a platform on plain sockets, whose responses are written by the test.
type rawPlatform struct {
	addr     string
	requests chan *rawRequest
}

// rawRequest is a request to a rawPlatform. Its connection is read on once answered is closed.
type rawRequest struct {
	*http.Request
	body     string
	conn     *net.TCPConn
	answered chan struct{}
}

func newRawPlatform(t *testing.T) *rawPlatform {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	p := &rawPlatform{addr: ln.Addr().String(), requests: make(chan *rawRequest, 64)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(conn.(*net.TCPConn))
		}
	}()
	return p
}

func (p *rawPlatform) serve(conn *net.TCPConn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		in := &rawRequest{req, string(body), conn, make(chan struct{})}
		p.requests <- in
		<-in.answered
	}
}

// Guards against taking a second copy of the platform's response for its confirmation of the next notices.
func TestUnsolicitedDataAfterNotice(t *testing.T) {
	const confirmed = "HTTP/1.1 204 No Content\r\n\r\n"
	for name, unsolicited := range map[string]string{
		"copy":          confirmed,
		"copy and body": "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\nnoise",
		"noise":         "\x00\x17 noise",
	} {
		for _, when := range unsolicitedDelays {
			t.Run(name+" "+when.name, func(t *testing.T) {
				t.Parallel()
				p, events := newRawPlatform(t), make(chan any, 64)
				q := newNoticeQueue(p.addr, testLog(t), events)
				go q.run(t.Context())
				for round := range 5 {
					first, second := fmt.Sprint("first-", round), fmt.Sprint("second-", round)
					q.add(Notice{ID: first, State: noticeFailed})
					confirmedOnce := receive(t, p.requests, "notice")
					q.add(Notice{ID: second, State: noticeFailed}) // sent as soon as the first is confirmed
					go func() {
						writeWithUnsolicited(confirmedOnce.conn, confirmed, unsolicited, when.delay, when.noDelay)
						close(confirmedOnce.answered)
					}()
					expectConfirmed(t, events, first)
					unanswered := receive(t, p.requests, "second notice")
					unanswered.conn.Close()
					close(unanswered.answered)
					again := receive(t, p.requests, "second notice, sent again")
					if len(events) != 0 {
						t.Fatalf("%+v was confirmed without a response", <-events)
					}
					io.WriteString(again.conn, confirmed)
					close(again.answered)
					expectConfirmed(t, events, second)
				}
			})
		}
	}
}

// expectConfirmed checks that the next event is the confirmation of one notice.
func expectConfirmed(t *testing.T, events <-chan any, id string) {
	t.Helper()
	ev, ok := receive(t, events, "confirmation").(noticesConfirmedEvent)
	if !ok || !slices.Equal(ev.ids, []string{id}) {
		t.Fatalf("confirmed %+v, want %s", ev, id)
	}
}

// Guards against taking what follows a list for the response to the next watch: the watch would fail or repeat an old
// list, and a change would take effect late.
func TestUnsolicitedDataAfterList(t *testing.T) {
	listResponse := func(generation int) string {
		body := fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[{"instanceId":"s-%d"}]}`, generation, generation)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	for _, pushed := range []bool{true, false} {
		for _, noise := range []bool{true, false} {
			for _, when := range unsolicitedDelays {
				t.Run(fmt.Sprint("pushed ", pushed, " noise ", noise, " ", when.name), func(t *testing.T) {
					t.Parallel()
					p, events := newRawPlatform(t), make(chan any, 64)
					d := newDiscoveryClient(p.addr, 1, testLog(t), events)
					d.pushed = pushed
					d.startWatch(t.Context())
					for generation := 1; generation <= 8; generation++ {
						in := receive(t, p.requests, "request for the list")
						if from := in.URL.Query().Get("from"); generation > 1 && from != fmt.Sprint(generation-1) {
							t.Fatalf("watch from generation %s, want %d", from, generation-1)
						}
						unsolicited := listResponse(generation)
						if noise {
							unsolicited = "\x00\x17 noise"
						}
						writeWithUnsolicited(in.conn, listResponse(generation), unsolicited, when.delay, when.noDelay)
						close(in.answered)
						ev := receive(t, events, "list").(listEvent)
						if ev.err != nil || ev.list.Generation != int64(generation) {
							t.Fatalf("got generation %d and error %v, want %d", ev.list.Generation, ev.err, generation)
						}
					}
				})
			}
		}
	}
}
