package soak

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"
)

// newTestPeer returns a peer's connection and the sender's side of it.
func newTestPeer(t *testing.T) (*peerConn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	sender, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { sender.Close(); accepted.Close() })
	checker := newChecker(Generate(1, 1, 10*time.Second, nil), time.Now().Add(-time.Minute))
	return newPeerConn(accepted, checker, 0, 0), sender
}

// readAll reads what arrives until nothing has come for a while.
func readAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	var text strings.Builder
	buf := make([]byte, 1024)
	for {
		conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, err := conn.Read(buf)
		text.Write(buf[:n])
		if err != nil {
			return text.String()
		}
	}
}

// The share of responses with unsolicited data, its kinds and its delays must be those that the scenario asks for.
func TestPlanUnsolicited(t *testing.T) {
	sc := &Scenario{UnsolicitedShare: 0.5}
	kinds, prompt, delayed := map[unsolicitedKind]int{}, 0, 0
	for i := range 1000 {
		plan := sc.planUnsolicited(float64(i) / 1000)
		kinds[plan.kind]++
		switch {
		case plan.kind == noUnsolicited:
		case plan.delay == 0:
			prompt++
		case plan.delay <= maxUnsolicitedDelay:
			delayed++
		}
	}
	if kinds[noUnsolicited] != 500 || len(kinds) != int(unsolicitedKinds) {
		t.Errorf("kinds %v", kinds)
	}
	if prompt < 150 || delayed < 250 || prompt+delayed != 500 {
		t.Errorf("%d prompt, %d delayed", prompt, delayed)
	}
	if plan := new(Scenario).planUnsolicited(0); plan.kind != noUnsolicited {
		t.Errorf("without a share: %+v", plan)
	}
}

// Unsolicited data must follow the response, unless the next request has begun to arrive before.
func TestPeerSendsUnsolicitedData(t *testing.T) {
	for _, plan := range []unsolicitedPlan{{kind: secondCopy}, {kind: secondCopy, delay: 5 * time.Millisecond}} {
		for _, nextRequest := range []bool{false, true} {
			peer, sender := newTestPeer(t)
			peer.beginRequest()
			peer.setPlan(plan)
			if n, err := peer.Write([]byte("response")); n != len("response") || err != nil {
				t.Fatal(n, err)
			}
			peer.endResponse()
			if nextRequest {
				sender.Write([]byte("GET"))
			}
			peer.awaitUnsolicited(bufio.NewReader(peer))
			want := "responseresponse"
			if nextRequest && plan.delay > 0 {
				want = "response"
			}
			if got := readAll(t, sender); got != want {
				t.Errorf("%+v, next request %v: got %q", plan, nextRequest, got)
			}
			if clean := peer.beginRequest(); clean != (want == "response") {
				t.Errorf("%+v, next request %v: clean %v", plan, nextRequest, clean)
			}
		}
	}
}
