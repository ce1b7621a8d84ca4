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
	readyTimeout       = 30 * time.Second       // a process has so long until it serves
	stopTimeout        = 5 * time.Second        // and so long from SIGTERM to its end
	liveClientTimeout  = 400 * time.Millisecond // a client waits so long ("Clients to senders")
	maxBodyBytes       = 64 << 10               // most bytes of a body (the protocol's bound)
	procTicksPerSecond = 100                    // of /proc/PID/stat, a second (USER_HZ on Linux)
	maxLiveSenders     = 200                    // processes
	maxLiveEndpoints   = 2000                   // endpoints, each with a listener of its own
)

// LiveReport is what a run with real processes measured. It differs from run to run.
type LiveReport struct {
	Senders int `json:"senders"`
	Counts
	Unanswered          int64     `json:"not_heard"` // events whose client got no answer in its time
	Latency             Quantiles `json:"latency_ms"`
	FullListBytes       int64     `json:"whole_list_bytes_per_sender"` // bodies
	EmptyListBytes      int64     `json:"empty_list_bytes_per_sender"`
	CPUMicrosPerMessage float64   `json:"cpu_us_per_event"` // user and system time of the senders
	MeanPeakMB          float64   `json:"peak_mb"`          // resident memory of a sender at its peak, mean
	MaxPeakMB           float64   `json:"worst_peak_mb"`
	ReadySeconds        float64   `json:"ready_s"` // until the last of them served and had the list
}

// live is a run of real processes against the stand-ins of the simulation, in real time.
type liveRun struct {
	scenario  *Scenario
	startedAt time.Time
	fullList  []byte // the list as discovery sends it

	mu           sync.Mutex // over all below, and over the destinations
	destinations []*destination
	stats        *stats
	messages     map[string]*liveMessage // by message id
	listBytes    ListBytes
	err          error
}

// liveOffer is an event of a live run.
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

// Live plays a scenario with real processes of a program on loopback, in real time, against the destinations of
// [Run]: same limits, same times, same traffic. Of faults it plays outages that answer 503. The network is loopback,
// so that a call has no delay and no handshake but the machine's own.
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
	began := time.Now()
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
	out := &LiveReport{Senders: len(senders), ReadySeconds: time.Since(began).Seconds()}
	before, err := cpuSeconds(senders)
	if err != nil {
		return nil, err
	}
	l.play(ctx, senders)
	after, err := cpuSeconds(senders)
	if err != nil {
		return nil, err
	}
	for _, s := range senders {
		mb, err := s.peakMB()
		if err != nil {
			return nil, err
		}
		out.MeanPeakMB += mb / float64(len(senders))
		out.MaxPeakMB = max(out.MaxPeakMB, mb)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out.Counts = l.stats.Counts
	out.Held = l.stats.open() - l.stats.withClients
	out.Unanswered = l.stats.withClients
	out.Latency = latencyQuantiles(l.stats.latency)
	n := int64(len(senders))
	out.FullListBytes, out.EmptyListBytes = l.listBytes.Full/n, l.listBytes.Empty/n
	if out.Offered > 0 {
		out.CPUMicrosPerMessage = (after - before) * 1e6 / float64(out.Offered)
	}
	return out, l.err
}

// liveProblem says what of a scenario cannot be played live.
func validateLive(sc *Scenario) error {
	eps := sc.Destinations.Count * sc.Destinations.Endpoints
	switch {
	case sc.Fleet.Senders > maxLiveSenders:
		return fmt.Errorf("fleet.senders: want %d or less for real processes, not %d", maxLiveSenders, sc.Fleet.Senders)
	case eps > maxLiveEndpoints:
		return fmt.Errorf("destinations: want %d endpoints or less for real listeners, not %d", maxLiveEndpoints, eps)
	case sc.Discovery.ChangesPerDay > 0 || sc.Fleet.RestartsPerDay > 0 || sc.Fleet.LossesPerDay > 0 || sc.Destinations.DownShare > 0:
		return errors.New("changes, restarts, losses and shares that are down are not played live: want 0 of each")
	}
	for i, x := range sc.Faults {
		if x.Kind != faultOutage || x.OutageMode != outageUnavailable {
			return fmt.Errorf("fault[%d]: want an outage that answers 503: no other is played live", i)
		}
	}
	return nil
}

// serve runs a server on an address of its own until ctx is over, and says where.
func (l *liveRun) serve(ctx context.Context, all *sync.WaitGroup, h http.Handler, idle time.Duration, state func(net.Conn, http.ConnState)) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, IdleTimeout: idle, ReadHeaderTimeout: readyTimeout, ConnState: state,
		BaseContext: func(net.Listener) context.Context { return ctx }}
	all.Add(2)
	go func() {
		defer all.Done()
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			l.fail(err)
		}
	}()
	go func() {
		defer all.Done()
		<-ctx.Done()
		srv.Close() // its connections are of no use any more
	}()
	return ln.Addr().String(), nil
}

// serveDestinations opens a listener for each endpoint and writes the list of them.
func (l *liveRun) serveDestinations(ctx context.Context, all *sync.WaitGroup) error {
	whole := listResponse{Generation: 1, Reset: true}
	for i := range l.scenario.Destinations.Count {
		d := newDestination(i, l.scenario)
		l.destinations = append(l.destinations, d)
		for k := range l.scenario.Destinations.Endpoints {
			zone := (i + k*max(l.scenario.Fleet.Zones/l.scenario.Destinations.Endpoints, 1)) % l.scenario.Fleet.Zones
			mux := http.NewServeMux()
			mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) { l.handleInbox(w, r, d) })
			addr, err := l.serve(ctx, all, mux, toDuration(l.scenario.Destinations.ConnIdleTimeout), func(_ net.Conn, s http.ConnState) {
				if s == http.StateNew {
					l.mu.Lock()
					l.stats.Connections++
					l.mu.Unlock()
				}
			})
			if err != nil {
				return err
			}
			x := node.Instance{ID: fmt.Sprintf("s-%08x", len(whole.Instances)), HostPort: addr, Zone: fmt.Sprint("z", zone),
				Kind: machineType, Dest: int64(i), Lifecycle: "up", Weight: 1}
			if l.scenario.Destinations.NominalWeights {
				x.Weight = l.scenario.Destinations.Rate
			}
			whole.Instances = append(whole.Instances, instance{Instance: x})
		}
	}
	var err error
	l.fullList, err = json.Marshal(whole)
	return err
}

func toDuration(s Span) time.Duration { return time.Duration(s.Micros) * time.Microsecond }

// inbox answers a call as the destination of the simulation would ("Senders to endpoints").
func (l *liveRun) handleInbox(w http.ResponseWriter, r *http.Request, d *destination) {
	if _, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBodyBytes)); err != nil {
		return // it broke off: not a call
	}
	l.mu.Lock()
	now, set := l.now(), &l.scenario.Destinations
	o := l.messages[r.Header.Get("X-Trace-Id")]
	l.stats.Calls++
	l.endExpiredOutage(d, now)
	status, takes := http.StatusServiceUnavailable, logic.Micros(0)
	switch {
	case o == nil:
		status = http.StatusBadRequest
		l.err = errors.Join(l.err, fmt.Errorf("a call with a message that no client handed in: %q", r.Header.Get("X-Trace-Id")))
	case d.outage != nil:
		l.stats.IntoOutages++
		l.setLoadHeader(w, d, now)
	case d.recordArrival(now, o.sender):
		l.stats.Relapses++
		l.startOutage(d, toDuration(l.scenario.Recovery.RelapseDuration))
	case !d.admit(now):
		l.stats.OverLimit++
		if set.RefusalStatus == "429" {
			status = http.StatusTooManyRequests
			w.Header().Set("X-Come-Back-Ms", strconv.FormatInt(int64(set.RetryAfter.Micros)/1000, 10))
		}
		l.setLoadHeader(w, d, now)
	default:
		status, takes = http.StatusOK, d.drawServiceTime()
	}
	l.mu.Unlock()
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	work := time.NewTimer(time.Duration(takes) * time.Microsecond)
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		return
	}
	l.mu.Lock()
	if o.executions++; o.executions > 1 {
		l.stats.Repeats++
	}
	l.endMessage(o, delivered)
	l.setLoadHeader(w, d, l.now())
	l.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// report adds what answers tell, where they do. The lock is held.
func (l *liveRun) setLoadHeader(w http.ResponseWriter, d *destination, now logic.Micros) {
	if load := d.loadReport(now); load != nil {
		w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf("x0=%.3f,x1=%.3f", load[0], load[1]))
	}
}

// end counts the first end of an event. The lock is held.
func (l *liveRun) endMessage(o *liveMessage, e endState) {
	if !o.ended {
		o.ended = true
		l.stats.countEnd(logic.Micros(time.Since(o.createdAt)/time.Microsecond), e, &l.scenario.Classes[o.class])
	}
}

// down takes a destination down for a while, after which it is cold. The lock is held.
func (l *liveRun) startOutage(d *destination, span time.Duration) {
	l.stats.Outages++
	d.outage, d.outageEnd = &outage{mode: outageUnavailable, startedAt: l.now()}, l.now()+logic.Micros(span/time.Microsecond)
}

// back ends an outage whose time is up. The lock is held.
func (l *liveRun) endExpiredOutage(d *destination, now logic.Micros) {
	if d.outage != nil && now >= d.outageEnd {
		d.outage, d.recoveredAt, d.recentArrivals = nil, d.outageEnd, nil
		d.bucket.tokens, d.bucket.refilledAt = 0, d.outageEnd
	}
}

// platform is discovery's agent of all senders, and hears of ends ("Discovery", "Notices").
func (l *liveRun) platformHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		body, empty := l.fullList, r.URL.Query().Get("from") != ""
		if empty {
			ms, err := strconv.Atoi(r.URL.Query().Get("hold_ms"))
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			hold := time.NewTimer(time.Duration(ms) * time.Millisecond)
			defer hold.Stop()
			select {
			case <-hold.C:
			case <-r.Context().Done():
				return
			}
			body = []byte(`{"generation":1,"reset":false,"instances":[]}`)
		}
		l.mu.Lock()
		if empty {
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
			var x node.Notice
			if err := dec.Decode(&x); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			e := failed
			if x.State == "returned" {
				e = returned
			}
			l.mu.Lock()
			if o := l.messages[x.ID]; o != nil {
				l.endMessage(o, e)
			}
			l.mu.Unlock()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// play has clients hand messages to all senders, and the outages of the timeline happen, for the scenario's time.
func (l *liveRun) play(ctx context.Context, senders []*liveSender) {
	l.mu.Lock()
	l.startedAt = time.Now()
	l.mu.Unlock()
	var all sync.WaitGroup
	for _, s := range senders {
		all.Go(func() { l.generateArrivals(ctx, s) })
	}
	for _, x := range l.scenario.Faults {
		all.Go(func() {
			sleep(ctx, toDuration(x.At))
			if ctx.Err() == nil {
				l.mu.Lock()
				for _, d := range l.destinations[x.First : x.First+x.Count] {
					l.startOutage(d, toDuration(x.Duration))
				}
				l.mu.Unlock()
			}
		})
	}
	all.Wait()
	sleep(ctx, toDuration(l.scenario.Drain))
}

// rest waits for d or until ctx is over.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// arrivals has clients hand messages to a sender, drawn as in the simulation.
func (l *liveRun) generateArrivals(ctx context.Context, s *liveSender) {
	r := newRand(l.scenario.Seed, "clients", s.number)
	shares, sum := []float64(nil), 0.0
	for _, c := range l.scenario.Classes {
		sum += c.Share
		shares = append(shares, sum)
	}
	gap := func() time.Duration {
		return time.Duration(float64(l.scenario.Fleet.Senders) / l.scenario.Traffic.Rate * float64(time.Second) * r.ExpFloat64())
	}
	var puts sync.WaitGroup
	defer puts.Wait()
	end, next := l.startedAt.Add(toDuration(l.scenario.Duration)), l.startedAt
	for n := 0; ; n++ {
		next = next.Add(gap())
		sleep(ctx, time.Until(next))
		if ctx.Err() != nil || next.After(end) {
			return
		}
		o := &liveMessage{sender: s.number, createdAt: time.Now(), class: pickWeighted(shares, r)}
		id, dest := fmt.Sprintf("m-%d-%d", s.number, n), r.IntN(l.scenario.Destinations.Count)
		l.mu.Lock()
		l.stats.Offered++
		l.messages[id] = o
		l.mu.Unlock()
		puts.Go(func() { l.put(s, id, o, dest) })
	}
}

// put hands a message in and takes the answer. One that is not taken on has ended.
func (l *liveRun) put(s *liveSender, id string, o *liveMessage, dest int) {
	c := &l.scenario.Classes[o.class]
	opts := fmt.Sprintf("c=%s,d=%d,dest=%d,k=%s", c.Name, int64(c.Deadline.Micros)/1000, dest, id)
	text := "*5\r\n"
	for _, a := range []string{"MSG.PUT", "0000", id, opts, "body of " + id} {
		text += fmt.Sprintf("$%d\r\n%s\r\n", len(a), a)
	}
	answer, err := s.command(text)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.stats.withClients++
	case strings.HasPrefix(answer, "-BUSY"):
		l.endMessage(o, returned)
	case !strings.HasPrefix(answer, "+OK"):
		l.endMessage(o, failed)
	}
}

// liveSender is a process of the program.
type liveSender struct {
	number    int
	cmd       *exec.Cmd
	readyAddr chan string // of clients; one value, once it serves and has the list
	addr      string
	exited    chan struct{} // closed when its log and the process have ended

	mu   sync.Mutex
	idle []*liveConn
}

type liveConn struct {
	net.Conn
	reader *bufio.Reader
}

// startSender starts a process with what the platform would tell it.
func (l *liveRun) startSender(number int, program, dir, discovery string) (*liveSender, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	config := filepath.Join(dir, "config.json")
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", number), "listen": "127.0.0.1:0", "discovery": discovery,
		"seed": strconv.FormatUint(deriveSeed(l.scenario.Seed, "module", number<<16), 16), "limits": node.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 32},
		"settings": l.scenario.wireSettings(number)})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return nil, err
	}
	state := filepath.Join(dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		return nil, err
	}
	s := &liveSender{number: number, cmd: exec.Command(program), readyAddr: make(chan string, 1), exited: make(chan struct{})}
	s.cmd.Env = append(os.Environ(), "BALANCER_NAME="+fmt.Sprint("n", number), "BALANCER_LISTEN=127.0.0.1:0",
		"BALANCER_DISCOVERY="+discovery, "BALANCER_STATE="+state, "BALANCER_CONFIG="+config)
	logs, err := s.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := s.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		defer close(s.exited)
		addr, listed, told := "", false, false
		for lines := bufio.NewScanner(logs); lines.Scan(); {
			if _, rest, ok := strings.Cut(lines.Text(), "msg=ready "); ok {
				_, addr, _ = strings.Cut(rest, "addr=")
				addr, _, _ = strings.Cut(addr, " ")
			}
			listed = listed || strings.Contains(lines.Text(), "msg=list ")
			if addr != "" && listed && !told {
				told = true
				s.readyAddr <- addr
			}
		}
		var status *exec.ExitError
		if err := s.cmd.Wait(); err != nil && !errors.As(err, &status) {
			l.fail(err)
		}
	}()
	return s, nil
}

// awaitReady waits until the sender serves.
func (s *liveSender) awaitReady(ctx context.Context) error {
	select {
	case s.addr = <-s.readyAddr:
		return nil
	case <-s.exited:
		return fmt.Errorf("sender %d ended before it served", s.number)
	case <-time.After(readyTimeout):
		return fmt.Errorf("sender %d did not serve within %v", s.number, readyTimeout)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stop ends the process: with SIGTERM, and with SIGKILL if that does not do.
func (s *liveSender) stop() {
	s.mu.Lock()
	for _, c := range s.idle {
		c.Close()
	}
	s.idle = nil
	s.mu.Unlock()
	_ = s.cmd.Process.Signal(syscall.SIGTERM) // it may have ended by itself
	select {
	case <-s.exited:
	case <-time.After(stopTimeout):
		_ = s.cmd.Process.Kill()
		<-s.exited
	}
}

// do sends a command over an idle connection or a new one, and reads one line. A sender may close a connection between
// requests: what crosses that is sent once more, on a new one ("Clients to senders").
func (s *liveSender) command(text string) (string, error) {
	s.mu.Lock()
	var c *liveConn
	if n := len(s.idle); n > 0 {
		c = s.idle[n-1]
		s.idle = s.idle[:n-1]
	}
	s.mu.Unlock()
	if c != nil {
		if line, err := s.exchange(c, text); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return line, err
		}
	}
	conn, err := net.DialTimeout("tcp", s.addr, liveClientTimeout)
	if err != nil {
		return "", err
	}
	return s.exchange(&liveConn{conn, bufio.NewReader(conn)}, text)
}

// ask sends a command and keeps the connection if the answer comes in time.
func (s *liveSender) exchange(c *liveConn, text string) (line string, err error) {
	if err = c.SetDeadline(time.Now().Add(liveClientTimeout)); err == nil {
		if _, err = io.WriteString(c, text); err == nil {
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

// cpuOf sums up the processor time of the senders so far, in seconds.
func cpuSeconds(senders []*liveSender) (sum float64, err error) {
	for _, s := range senders {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", s.cmd.Process.Pid))
		if err != nil {
			return 0, err
		}
		_, rest, _ := strings.Cut(string(text), ") ") // the name may hold spaces
		fields := strings.Fields(rest)
		if len(fields) < 13 {
			return 0, fmt.Errorf("stat of sender %d: %d fields", s.number, len(fields))
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

// peakMB is the most memory that the process has had resident, in 10^6 bytes.
func (s *liveSender) peakMB() (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseFloat(strings.Fields(kb)[0], 64)
			return n * 1024 / 1e6, err
		}
	}
	return 0, fmt.Errorf("status of sender %d names no peak", s.number)
}

// wireSettings are the settings of a sender in the form of its configuration.
func (sc *Scenario) wireSettings(number int) map[string]any {
	d, c := &sc.Destinations, &sc.Recovery
	s := func(x Span) float64 { return float64(x.Micros) / 1e6 }
	zones := make([]string, sc.Fleet.Zones)
	for i := range zones {
		zones[i] = fmt.Sprint("z", i)
	}
	classes := []map[string]any{}
	for _, x := range sc.Classes {
		effect := []string{"retryable", "dedup", "fragile"}[slices.Index(effectNames, x.Effect)]
		classes = append(classes, map[string]any{"name": x.Name, "aim_s": s(x.LatencyTarget), "deadline_s": s(x.Deadline), "worth": x.Worth,
			"late_worth": x.LateWorth, "idempotency": effect, "group": "all", "window_s": s(x.Window)})
	}
	load := map[string]any{"how": "off"}
	if d.ReportsLoad {
		load = map[string]any{"how": "answers", "names": []string{"x0", "x1"}}
	}
	weights := "off"
	if d.NominalWeights {
		weights = "nominal"
	}
	return map[string]any{"balancers": sc.Fleet.Senders, "me": number, "zone": number % sc.Fleet.Zones, "zones": zones,
		"tick_s": s(sc.Fleet.Tick), "membership_mode": "pushed", "weights": weights, "machine_types": []string{machineType},
		"classes": classes, "load_info": load,
		"limits": map[string]any{"conn_idle_s": s(d.ConnIdleTimeout), "connect_timeout_s": s(d.ConnectTimeout), "max_attempts": sc.Fleet.MaxAttempts,
			"max_open": sc.Fleet.MaxOpen, "max_retry_after_s": 2, "multiplex": 1, "may_cancel": true, "retry_after": true},
		"rules": map[string]any{"cold_from": c.InitialShare, "drain_grace_s": 1, "fall_multiple": c.RelapseMultiple, "fall_s": s(c.RelapseWindow),
			"warm_after_s": s(c.WarmUpTime)},
		"specifics": map[string]any{"batch_by_kind": []int{1}, "call_slots": sc.Fleet.Slots, "late": "even", "separate_routes": []bool{false}}}
}

// Compare writes what real processes and hollow senders did on one scenario side by side.
func Compare(w io.Writer, real *LiveReport, model *Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "figure\treal\thollow")
	row := func(name string, a, b float64) { fmt.Fprintf(t, "%s\t%.4g\t%.4g\n", name, a, b) }
	per := func(x, n int64) float64 { return float64(x) / float64(max(n, 1)) }
	row("events offered", float64(real.Offered), float64(model.Offered))
	row("delivered, share", per(real.Delivered, real.Offered), per(model.Delivered, model.Offered))
	row("returned, share", per(real.Returned, real.Offered), per(model.Returned, model.Offered))
	row("failed, share", per(real.Failed, real.Offered), per(model.Failed, model.Offered))
	row("no answer to the client, share", per(real.Unanswered, real.Offered), 0)
	row("calls an event", per(real.Calls, real.Offered), per(model.Calls, model.Offered))
	row("calls into outages", float64(real.IntoOutages), float64(model.IntoOutages))
	row("connections an event", per(real.Connections, real.Offered), per(model.Connections, model.Offered))
	row("latency p50, ms", real.Latency.P50, model.Latency.P50)
	row("latency p99, ms", real.Latency.P99, model.Latency.P99)
	row("whole list, bytes a sender", float64(real.FullListBytes), float64(model.ListBytes.Full))
	row("watches without news, bytes a sender", float64(real.EmptyListBytes), float64(model.ListBytes.Empty))
	row("processor time an event, us (hollow: module alone)", real.CPUMicrosPerMessage, model.Host.StepMicros*per(model.Steps, model.Offered))
	row("memory a sender, MB (real: peak resident; hollow: heap after the start)", real.MeanPeakMB, float64(model.Host.HeapPerSender)/1e6)
	row("worst peak resident, MB", real.MaxPeakMB, 0)
	row("all ready after, s", real.ReadySeconds, 0)
	return t.Flush()
}
