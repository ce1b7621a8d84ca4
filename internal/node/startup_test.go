package node

import (
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"rundeal/logic"
)

// Guards against calls to an endpoint that was removed while the sender was down: after a long replay of the journal, the
// list of the configuration is out of date for longer than the grace of a drain, and what the agent has counts as known.
func TestLongStartUsesListOfAgent(t *testing.T) {
	const messages = 6
	p, dir := newPlatform(t), t.TempDir()
	available, removed := newEndpoint(t), newEndpoint(t)
	known := EndpointList{Generation: 1, Reset: true, Instances: instances(available, removed)}
	p.list = EndpointList{Generation: 2, Reset: true, Instances: instances(available)}
	cfg, err := ParseConfig([]byte(strings.Replace(string(configText(p, known)), `"on_request"`, `"pushed"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	cfg.StateDir = dir
	cfg.Deployment.Settings.Weights = logic.WeightsOff // else the rate limit delays the first calls
	n, err := New(cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	for i := range messages {
		rec := acceptRecord(fmt.Sprint("m", i), 10)
		rec.Entry.Deadline = n.clock.Now() + testTimeout.Microseconds()
		mustAppend(t, n.journal, rec)
	}
	n.startedAt = n.startedAt.Add(-toDuration(cfg.Deployment.Settings.DrainGrace))
	p.holdLists = true
	time.AfterFunc(initialListTimeout/4, func() { p.update(func() { p.holdLists = false }) })
	runNode(t, n)
	for range messages {
		receive(t, available.calls, "call").reply(200)
	}
	removed.expectNoCall(t)
}

// A start must not wait long for an agent that is silent: the list of the configuration then counts.
func TestLongStartWithSilentAgent(t *testing.T) {
	p, dir := newPlatform(t), t.TempDir()
	e := newEndpoint(t)
	known := EndpointList{Generation: 1, Reset: true, Instances: instances(e)}
	p.holdLists = true
	start := time.Now()
	text := strings.Replace(string(configText(p, known)), `"on_request"`, `"pushed"`, 1)
	n := startNodeWithConfig(t, text, dir, func(n *Node) { n.startedAt = n.startedAt.Add(-time.Minute) })
	if took := time.Since(start); took < initialListTimeout || took > initialListTimeout+time.Second {
		t.Errorf("ready after %v", took)
	}
	dialClient(t, n.addr).put("m", "safe", "+OK")
	receive(t, e.calls, "call").reply(200)
	stopAndCheckEmpty(t, n)
}
