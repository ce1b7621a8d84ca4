package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"rundeal/internal/node"
	"rundeal/logic"
)

const (
	readyTimeout       = 30 * time.Second       // for a process to become ready
	stopTimeout        = 5 * time.Second        // from SIGTERM until SIGKILL
	liveClientTimeout  = 400 * time.Millisecond // for connecting and for an answer ("Clients to senders")
	maxBodyBytes       = 64 << 10               // the protocol's limit
	procTicksPerSecond = 100                    // unit of the times in /proc/PID/stat (USER_HZ on Linux)
	maxLiveSenders     = 200                    // processes
	maxLiveEndpoints   = 2000                   // endpoints, each with its own listener
)

// LiveReport is the result of a run with real processes. It differs from run to run.
type LiveReport struct {
	Senders int `json:"senders"`
	Counts
	Unanswered          int64     `json:"not_heard"` // messages whose client got no answer in time
	Latency             Quantiles `json:"latency_ms"`
	FullListBytes       int64     `json:"whole_list_bytes_per_sender"` // body bytes
	EmptyListBytes      int64     `json:"empty_list_bytes_per_sender"`
	CPUMicrosPerMessage float64   `json:"cpu_us_per_event"` // user and system time of all senders
	MeanPeakMB          float64   `json:"peak_mb"`          // mean of the senders' peak resident memory
	MaxPeakMB           float64   `json:"worst_peak_mb"`
	ReadySeconds        float64   `json:"ready_s"` // until the last sender was ready and had the list
}

// liveRun is a run of real sender processes against the simulated destinations and discovery, in real time.
type liveRun struct {
	scenario  *Scenario
	startedAt time.Time
	fullList  []byte // JSON body of the endpoint list

	mu           sync.Mutex // guards all fields below, and the destinations
	destinations []*destination
	stats        *stats
	messages     map[string]*liveMessage // by message id
	listBytes    ListBytes
	err          error
}

// liveMessage is a client's message in a live run.
type liveMessage struct {
	sender     int
	createdAt  time.Time
	class      int
	executions int
	ended      bool
}

func (l *liveRun) now() logic.Micros { return logic.Micros(time.Since(l.startedAt) / time.Microsecond) }

func (l *liveRun) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = errors.Join(l.err, err)
}

// Live runs a scenario with real sender processes on loopback, in real time, against the destinations of [Run] with the
// same limits, service times and traffic. The only faults it supports are outages that answer 503. As the network is
// loopback, delays and handshakes take only what the host itself needs.
func Live(ctx context.Context, sc *Scenario, program string) (*LiveReport, error) {
	if err := validateLive(sc); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "live")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	l := &liveRun{scenario: sc, startedAt: time.Now(), stats: newStats(), messages: map[string]*liveMessage{}}
	var servers sync.WaitGroup
	defer servers.Wait()
	defer cancel()
	if err := l.serveDestinations(ctx, &servers); err != nil {
		return nil, err
	}
	discovery, err := l.serve(ctx, &servers, l.platformHandler(), 0, nil)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	var senders []*liveSender
	defer func() {
		for _, s := range senders {
			s.stop()
		}
	}()
	for i := range sc.Fleet.Senders {
		s, err := l.startSender(i, program, filepath.Join(dir, fmt.Sprint("n", i)), discovery)
		if err != nil {
			return nil, err
		}
		senders = append(senders, s)
	}
	for _, s := range senders {
		if err := s.awaitReady(ctx); err != nil {
			return nil, err
		}
	}
	report := &LiveReport{Senders: len(senders), ReadySeconds: time.Since(start).Seconds()}
	cpuBefore, err := cpuSeconds(senders)
	if err != nil {
		return nil, err
	}
	l.runTraffic(ctx, senders)
	cpuAfter, err := cpuSeconds(senders)
	if err != nil {
		return nil, err
	}
	for _, s := range senders {
		mb, err := s.peakMB()
		if err != nil {
			return nil, err
		}
		report.MeanPeakMB += mb / float64(len(senders))
		report.MaxPeakMB = max(report.MaxPeakMB, mb)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	report.Counts = l.stats.Counts
	report.Held = l.stats.open() - l.stats.withClients
	report.Unanswered = l.stats.withClients
	report.Latency = latencyQuantiles(l.stats.latency)
	n := int64(len(senders))
	report.FullListBytes, report.EmptyListBytes = l.listBytes.Full/n, l.listBytes.Empty/n
	if report.Offered > 0 {
		report.CPUMicrosPerMessage = (cpuAfter - cpuBefore) * 1e6 / float64(report.Offered)
	}
	return report, l.err
}

// validateLive returns an error for a scenario that cannot be run with real processes.
func validateLive(sc *Scenario) error {
	endpoints := sc.Destinations.Count * sc.Destinations.Endpoints
	switch {
	case sc.Fleet.Senders > maxLiveSenders:
		return fmt.Errorf("fleet.senders: want %d or fewer for real processes, not %d", maxLiveSenders, sc.Fleet.Senders)
	case endpoints > maxLiveEndpoints:
		return fmt.Errorf("destinations: want %d endpoints or fewer for real listeners, not %d",
			maxLiveEndpoints, endpoints)
	case sc.Discovery.ChangesPerDay > 0 || sc.Fleet.RestartsPerDay > 0 || sc.Fleet.LossesPerDay > 0 ||
		sc.Destinations.DownShare > 0:
		return errors.New("live runs do not support list changes, restarts, losses and down_share: want 0 of each")
	}
	for i, fault := range sc.Faults {
		if fault.Kind != faultOutage || fault.OutageMode != outageUnavailable {
			return fmt.Errorf("fault[%d]: want an outage that answers 503: live runs support no other fault", i)
		}
	}
	return nil
}

// serve runs an HTTP server on a free port until ctx is done, and returns its address.
func (l *liveRun) serve(ctx context.Context, wg *sync.WaitGroup, handler http.Handler, idleTimeout time.Duration,
	onConnState func(net.Conn, http.ConnState)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{
		Handler:           handler,
		IdleTimeout:       idleTimeout,
		ReadHeaderTimeout: readyTimeout,
		ConnState:         onConnState,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	wg.Add(2)
	go func() {
		defer wg.Done()
		if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			l.fail(err)
		}
	}()
	go func() {
		defer wg.Done()
		<-ctx.Done()
		srv.Close() // open connections are no longer needed
	}()
	return listener.Addr().String(), nil
}

// serveDestinations starts a server for each endpoint and encodes the endpoint list.
func (l *liveRun) serveDestinations(ctx context.Context, wg *sync.WaitGroup) error {
	full := listResponse{Generation: 1, Reset: true}
	for i := range l.scenario.Destinations.Count {
		d := newDestination(i, l.scenario)
		l.destinations = append(l.destinations, d)
		for k := range l.scenario.Destinations.Endpoints {
			zone := (i + k*max(l.scenario.Fleet.Zones/l.scenario.Destinations.Endpoints, 1)) % l.scenario.Fleet.Zones
			mux := http.NewServeMux()
			mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) { l.handleInbox(w, r, d) })
			addr, err := l.serve(ctx, wg, mux, toDuration(l.scenario.Destinations.ConnIdleTimeout),
				func(_ net.Conn, state http.ConnState) {
					if state == http.StateNew {
						l.mu.Lock()
						l.stats.Connections++
						l.mu.Unlock()
					}
				})
			if err != nil {
				return err
			}
			entry := node.Instance{
				ID:          fmt.Sprintf("s-%08x", len(full.Instances)),
				HostPort:    addr,
				Zone:        fmt.Sprint("z", zone),
				MachineType: machineType,
				Dest:        int64(i),
				Lifecycle:   "up",
				Weight:      1,
			}
			if l.scenario.Destinations.NominalWeights {
				entry.Weight = l.scenario.Destinations.Rate
			}
			full.Instances = append(full.Instances, instance{Instance: entry})
		}
	}
	var err error
	l.fullList, err = json.Marshal(full)
	return err
}

func toDuration(s Duration) time.Duration { return time.Duration(s.Micros) * time.Microsecond }

// handleInbox answers a call as the simulated destination would ("Senders to endpoints").
func (l *liveRun) handleInbox(w http.ResponseWriter, r *http.Request, d *destination) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return // the request is incomplete and does not count as a call
	}
	l.mu.Lock()
	now, config := l.now(), &l.scenario.Destinations
	m := l.messages[r.Header.Get("X-Trace-Id")]
	l.stats.Calls++
	l.endExpiredOutage(d, now)
	status, serviceTime := http.StatusServiceUnavailable, logic.Micros(0)
	switch {
	case m == nil:
		status = http.StatusBadRequest
		l.err = errors.Join(l.err,
			fmt.Errorf("call with an unknown message: X-Trace-Id %q", r.Header.Get("X-Trace-Id")))
	case d.outage != nil:
		l.stats.IntoOutages++
		l.setLoadHeader(w, d, now)
	case d.recordArrival(now, m.sender):
		l.stats.Relapses++
		l.startOutage(d, toDuration(l.scenario.Recovery.RelapseDuration))
	case !d.admit(now):
		l.stats.OverLimit++
		if config.RefusalStatus == "429" {
			status = http.StatusTooManyRequests
			w.Header().Set("X-Come-Back-Ms", strconv.FormatInt(int64(config.RetryAfter.Micros)/1000, 10))
		}
		l.setLoadHeader(w, d, now)
	default:
		status, serviceTime = http.StatusOK, d.drawServiceTime()
	}
	l.mu.Unlock()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	timer := time.NewTimer(time.Duration(serviceTime) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		return
	}
	l.mu.Lock()
	if m.executions++; m.executions > 1 {
		l.stats.RepeatedExecutions++
	}
	l.endMessage(m, delivered)
	l.setLoadHeader(w, d, l.now())
	l.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// setLoadHeader adds the load report to an answer if the destination sends reports. l.mu must be held.
func (l *liveRun) setLoadHeader(w http.ResponseWriter, d *destination, now logic.Micros) {
	if load := d.loadReport(now); load != nil {
		w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("x0=%.3f,x1=%.3f", load[0], load[1]))
	}
}

// endMessage counts the first end of a message and ignores later ones. l.mu must be held.
func (l *liveRun) endMessage(m *liveMessage, state endState) {
	if !m.ended {
		m.ended = true
		l.stats.countEnd(logic.Micros(time.Since(m.createdAt)/time.Microsecond), state, &l.scenario.Classes[m.class])
	}
}

// startOutage takes a destination down for a time, after which it is cold. l.mu must be held.
func (l *liveRun) startOutage(d *destination, duration time.Duration) {
	l.stats.Outages++
	d.outage, d.outageEnd =
		&outage{mode: outageUnavailable, startedAt: l.now()}, l.now()+logic.Micros(duration/time.Microsecond)
}

// endExpiredOutage ends the outage of a destination if its time is over. l.mu must be held.
func (l *liveRun) endExpiredOutage(d *destination, now logic.Micros) {
	if d.outage != nil && now >= d.outageEnd {
		d.outage, d.recoveredAt, d.recentArrivals = nil, d.outageEnd, nil
		d.bucket.tokens, d.bucket.refilledAt = 0, d.outageEnd
	}
}

// platformHandler serves the discovery agent of all senders and receives notices of ended messages ("Discovery",
// "Notices").
func (l *liveRun) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		body, watch := l.fullList, r.URL.Query().Get("from") != ""
		if watch {
			ms, err := strconv.Atoi(r.URL.Query().Get("hold_ms"))
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
			body = []byte(`{"generation":1,"reset":false,"instances":[]}`)
		}
		l.mu.Lock()
		if watch {
			l.listBytes.Empty += int64(len(body))
		} else {
			l.listBytes.Full += int64(len(body))
		}
		l.mu.Unlock()
		if _, err := w.Write(body); err != nil {
			l.fail(err)
		}
	})
	mux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		for dec := json.NewDecoder(io.LimitReader(r.Body, 1<<20)); dec.More(); {
			var notice node.Notice
			if err := dec.Decode(&notice); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			state := failed
			if notice.State == "returned" {
				state = returned
			}
			l.mu.Lock()
			if m := l.messages[notice.ID]; m != nil {
				l.endMessage(m, state)
			}
			l.mu.Unlock()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// runTraffic submits messages to all senders and starts the outages of the timeline, for the duration of the scenario.
func (l *liveRun) runTraffic(ctx context.Context, senders []*liveSender) {
	l.mu.Lock()
	l.startedAt = time.Now()
	l.mu.Unlock()
	var wg sync.WaitGroup
	for _, s := range senders {
		wg.Go(func() { l.generateArrivals(ctx, s) })
	}
	for _, fault := range l.scenario.Faults {
		wg.Go(func() {
			sleep(ctx, toDuration(fault.At))
			if ctx.Err() == nil {
				l.mu.Lock()
				for _, d := range l.destinations[fault.First : fault.First+fault.Count] {
					l.startOutage(d, toDuration(fault.Duration))
				}
				l.mu.Unlock()
			}
		})
	}
	wg.Wait()
	sleep(ctx, toDuration(l.scenario.Drain))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// generateArrivals submits messages to a sender, drawn as in the simulation.
func (l *liveRun) generateArrivals(ctx context.Context, s *liveSender) {
	rng := newRand(l.scenario.Seed, "clients", s.number)
	shares, sum := []float64(nil), 0.0
	for _, c := range l.scenario.Classes {
		sum += c.Share
		shares = append(shares, sum)
	}
	gap := func() time.Duration {
		return time.Duration(
			float64(l.scenario.Fleet.Senders) / l.scenario.Traffic.Rate * float64(time.Second) * rng.ExpFloat64())
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	end, next := l.startedAt.Add(toDuration(l.scenario.Duration)), l.startedAt
	for n := 0; ; n++ {
		next = next.Add(gap())
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil || next.After(end) {
			return
		}
		m := &liveMessage{sender: s.number, createdAt: time.Now(), class: pickWeighted(shares, rng)}
		id, dest := fmt.Sprintf("m-%d-%d", s.number, n), rng.IntN(l.scenario.Destinations.Count)
		l.mu.Lock()
		l.stats.Offered++
		l.messages[id] = m
		l.mu.Unlock()
		wg.Go(func() { l.put(s, id, m, dest) })
	}
}

// put submits a message and reads the answer. A message that the sender does not accept has ended.
func (l *liveRun) put(s *liveSender, id string, m *liveMessage, dest int) {
	class := &l.scenario.Classes[m.class]
	opts := fmt.Sprintf("c=%s,d=%d,dest=%d,k=%s", class.Name, int64(class.Deadline.Micros)/1000, dest, id)
	request := "*5\r\n"
	for _, arg := range []string{"MSG.PUT", "0000", id, opts, "body of " + id} {
		request += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
	}
	answer, err := s.command(request)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.stats.withClients++
	case strings.HasPrefix(answer, "-BUSY"):
		l.endMessage(m, returned)
	case !strings.HasPrefix(answer, "+OK"):
		l.endMessage(m, failed)
	}
}

// liveSender is a real sender process.
type liveSender struct {
	number    int
	cmd       *exec.Cmd
	readyAddr chan string   // receives the address for clients once the process is ready and has the list
	addr      string        // the address for clients, once known
	exited    chan struct{} // closed when the process has ended and its log is read

	mu   sync.Mutex
	idle []*liveConn
}

type liveConn struct {
	net.Conn
	reader *bufio.Reader
}

// startSender starts a process with the configuration and environment that the platform would give it.
func (l *liveRun) startSender(number int, program, dir, discovery string) (*liveSender, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	configPath := filepath.Join(dir, "config.json")
	configJSON, err := json.Marshal(map[string]any{
		"name":      fmt.Sprint("n", number),
		"listen":    "127.0.0.1:0",
		"discovery": discovery,
		"seed":      strconv.FormatUint(deriveSeed(l.scenario.Seed, "module", number<<16), 16),
		"limits":    node.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 32},
		"settings":  l.scenario.wireSettings(number),
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(configPath, configJSON, 0o600); err != nil {
		return nil, err
	}
	stateDir := filepath.Join(dir, "state")
	if err := os.Mkdir(stateDir, 0o700); err != nil {
		return nil, err
	}
	s := &liveSender{
		number:    number,
		cmd:       exec.Command(program),
		readyAddr: make(chan string, 1),
		exited:    make(chan struct{}),
	}
	s.cmd.Env = append(os.Environ(), "BALANCER_NAME="+fmt.Sprint("n", number), "BALANCER_LISTEN=127.0.0.1:0",
		"BALANCER_DISCOVERY="+discovery, "BALANCER_STATE="+stateDir, "BALANCER_CONFIG="+configPath)
	stderr, err := s.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(s.exited)
		addr, listed, reported := "", false, false
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			if _, rest, ok := strings.Cut(lines.Text(), "msg=ready "); ok {
				_, addr, _ = strings.Cut(rest, "addr=")
				addr, _, _ = strings.Cut(addr, " ")
			}
			listed = listed || strings.Contains(lines.Text(), "msg=list ")
			if addr != "" && listed && !reported {
				reported = true
				s.readyAddr <- addr
			}
		}
		var exitErr *exec.ExitError
		if err := s.cmd.Wait(); err != nil && !errors.As(err, &exitErr) {
			l.fail(err)
		}
	}()
	return s, nil
}

// awaitReady waits until the sender is ready.
func (s *liveSender) awaitReady(ctx context.Context) error {
	select {
	case s.addr = <-s.readyAddr:
		return nil
	case <-s.exited:
		return fmt.Errorf("sender %d exited before it was ready", s.number)
	case <-time.After(readyTimeout):
		return fmt.Errorf("sender %d was not ready within %v", s.number, readyTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop ends the process with SIGTERM, and with SIGKILL if it is still running after stopTimeout.
func (s *liveSender) stop() {
	s.mu.Lock()
	for _, c := range s.idle {
		c.Close()
	}
	s.idle = nil
	s.mu.Unlock()
	_ = s.cmd.Process.Signal(syscall.SIGTERM) // it may have exited already
	select {
	case <-s.exited:
	case <-time.After(stopTimeout):
		_ = s.cmd.Process.Kill()
		<-s.exited
	}
}

// command sends a command over an idle connection or a new one, and reads one line. As a sender may close a connection
// between requests, a command that fails on an idle connection is sent once more on a new one, unless it timed out
// ("Clients to senders").
func (s *liveSender) command(request string) (string, error) {
	s.mu.Lock()
	var c *liveConn
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
	}
	s.mu.Unlock()
	if c != nil {
		if line, err := s.exchange(c, request); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return line, err
		}
	}
	conn, err := net.DialTimeout("tcp", s.addr, liveClientTimeout)
	if err != nil {
		return "", err
	}
	return s.exchange(&liveConn{conn, bufio.NewReader(conn)}, request)
}

// exchange sends a command and reads the answer, and keeps the connection if the answer arrives in time.
func (s *liveSender) exchange(c *liveConn, request string) (line string, err error) {
	if err = c.SetDeadline(time.Now().Add(liveClientTimeout)); err == nil {
		if _, err = io.WriteString(c, request); err == nil {
			line, err = c.reader.ReadString('\n')
		}
	}
	if err != nil {
		return "", errors.Join(err, c.Close())
	}
	s.mu.Lock()
	s.idle = append(s.idle, c)
	s.mu.Unlock()
	return line, nil
}

// cpuSeconds returns the total CPU time that the senders have used so far.
func cpuSeconds(senders []*liveSender) (sum float64, err error) {
	for _, s := range senders {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
		if err != nil {
			return 0, err
		}
		_, rest, _ := strings.Cut(string(stat), ") ") // the command name may contain spaces
		fields := strings.Fields(rest)
		if len(fields) < 13 {
			return 0, fmt.Errorf("/proc stat of sender %d: only %d fields", s.number, len(fields))
		}
		for _, x := range fields[11:13] { // utime, stime (proc(5))
			ticks, err := strconv.ParseFloat(x, 64)
			if err != nil {
				return 0, err
			}
			sum += ticks / procTicksPerSecond
		}
	}
	return sum, nil
}

// peakMB is the peak resident memory of the process, in 10^6 bytes.
func (s *liveSender) peakMB() (float64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseFloat(strings.Fields(kb)[0], 64)
			return n * 1024 / 1e6, err
		}
	}
	return 0, fmt.Errorf("/proc status of sender %d has no VmHWM", s.number)
}

// wireSettings returns the settings of a sender in the form of its configuration file.
func (sc *Scenario) wireSettings(number int) map[string]any {
	d, r := &sc.Destinations, &sc.Recovery
	inSeconds := func(duration Duration) float64 { return float64(duration.Micros) / 1e6 }
	zones := make([]string, sc.Fleet.Zones)
	for i := range zones {
		zones[i] = fmt.Sprint("z", i)
	}
	classes := []map[string]any{}
	for _, class := range sc.Classes {
		idempotency := []string{"retryable", "dedup", "fragile"}[slices.Index(idempotencyNames, class.Idempotency)]
		classes = append(classes, map[string]any{
			"name":        class.Name,
			"aim_s":       inSeconds(class.TargetLatency),
			"deadline_s":  inSeconds(class.Deadline),
			"worth":       class.Value,
			"late_worth":  class.LateValue,
			"idempotency": idempotency,
			"group":       "all",
			"window_s":    inSeconds(class.DedupWindow),
		})
	}
	load := map[string]any{"how": "off"}
	if d.ReportsLoad {
		load = map[string]any{"how": "answers", "names": []string{"x0", "x1"}}
	}
	weights := "off"
	if d.NominalWeights {
		weights = "nominal"
	}
	return map[string]any{
		"balancers":       sc.Fleet.Senders,
		"me":              number,
		"zone":            number % sc.Fleet.Zones,
		"zones":           zones,
		"tick_s":          inSeconds(sc.Fleet.Tick),
		"membership_mode": "pushed",
		"weights":         weights,
		"machine_types":   []string{machineType},
		"classes":         classes,
		"load_info":       load,
		"limits": map[string]any{
			"conn_idle_s":       inSeconds(d.ConnIdleTimeout),
			"connect_timeout_s": inSeconds(d.ConnectTimeout),
			"max_attempts":      sc.Fleet.MaxAttempts,
			"max_open":          sc.Fleet.MaxOpen,
			"max_retry_after_s": 2,
			"multiplex":         1,
			"may_cancel":        true,
			"retry_after":       true,
		},
		"rules": map[string]any{
			"cold_from":     r.ColdCapacity,
			"drain_grace_s": 1,
			"fall_multiple": r.OverloadMultiple,
			"fall_s":        inSeconds(r.OverloadWindow),
			"warm_after_s":  inSeconds(r.WarmupTime),
		},
		"specifics": map[string]any{
			"batch_by_kind":   []int{1},
			"call_slots":      sc.Fleet.CallSlots,
			"late":            "even",
			"separate_routes": []bool{false},
		},
	}
}

// Compare writes the results of real processes and of the simulation for one scenario side by side.
func Compare(w io.Writer, measured *LiveReport, simulated *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\treal\thollow")
	row := func(name string, a, b float64) { fmt.Fprintf(t, "%s\t%.4g\t%.4g\n", name, a, b) }
	ratio := func(x, n int64) float64 { return float64(x) / float64(max(n, 1)) }
	row("events offered", float64(measured.Offered), float64(simulated.Offered))
	row("delivered, share", ratio(measured.Delivered, measured.Offered), ratio(simulated.Delivered, simulated.Offered))
	row("returned, share", ratio(measured.Returned, measured.Offered), ratio(simulated.Returned, simulated.Offered))
	row("failed, share", ratio(measured.Failed, measured.Offered), ratio(simulated.Failed, simulated.Offered))
	row("no answer to the client, share", ratio(measured.Unanswered, measured.Offered), 0)
	row("calls per event", ratio(measured.Calls, measured.Offered), ratio(simulated.Calls, simulated.Offered))
	row("calls into outages", float64(measured.IntoOutages), float64(simulated.IntoOutages))
	row("connections per event", ratio(measured.Connections, measured.Offered),
		ratio(simulated.Connections, simulated.Offered))
	row("latency p50, ms", measured.Latency.P50, simulated.Latency.P50)
	row("latency p99, ms", measured.Latency.P99, simulated.Latency.P99)
	row("full list, bytes per sender", float64(measured.FullListBytes), float64(simulated.ListBytes.Full))
	row("watches without changes, bytes per sender", float64(measured.EmptyListBytes), float64(simulated.ListBytes.Empty))
	row("CPU time per event, us (hollow: module only)", measured.CPUMicrosPerMessage,
		simulated.Host.StepMicros*ratio(simulated.Steps, simulated.Offered))
	row("memory per sender, MB (real: peak resident; hollow: heap after the start)", measured.MeanPeakMB,
		float64(simulated.Host.HeapPerSender)/1e6)
	row("highest peak resident memory, MB", measured.MaxPeakMB, 0)
	row("time until all are ready, s", measured.ReadySeconds, 0)
	return t.Flush()
}
