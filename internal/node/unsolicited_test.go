package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
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

// writeWithUnsolicited writes a response and, after the delay, data that belongs to no request.
func writeWithUnsolicited(conn *net.TCPConn, response, unsolicited string, delay time.Duration, noDelay bool) {
	conn.SetNoDelay(noDelay)
	if delay == 0 {
		io.WriteString(conn, response+unsolicited)
		return
	}
	io.WriteString(conn, response)
	time.Sleep(delay)
	io.WriteString(conn, unsolicited)
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
						go func() {
							writeWithUnsolicited(first.conn, response, unsolicited(response), when.delay, when.noDelay)
							first.keepReading <- true
						}()
						for id, outcome := range collectOutcomes(t, n, size) {
							if outcome != logic.Delivered {
								t.Errorf("%s ended with outcome %v", id, outcome)
							}
						}
						time.Sleep(reuseDelay + 5*time.Millisecond)
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
