package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"rundeal/internal/faultinject"
)

// Timing of process control, as on the platform.
const (
	stopTimeout    = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartDelay   = 600 * time.Millisecond  // from the exit of a process to the next start
	upgradeTimeout = 6 * time.Second         // for the new process to report that it is ready
	pollInterval   = 15 * time.Millisecond
)

// sender is one member of the fleet. Restarts and upgrades replace its process.
type sender struct {
	number      int
	run         *run
	dir         string
	listenAddr  string
	agent       *discoveryAgent
	processLock sync.Mutex    // held while the process is started, stopped, replaced or reconfigured
	started     chan struct{} // closed when startFirst returns; current is nil then if it failed

	mu               sync.Mutex
	current          *process
	discoveryMovedAt time.Duration // when it was last told to reload with a new discovery address; 0 if never
}

// process is one operating system process of a sender.
type process struct {
	cmd         *exec.Cmd
	adminAddr   string
	log         *os.File
	done        chan struct{}
	endExpected bool // it is being stopped, so its exit is no violation; protected by sender.mu
}

// Ports of senders are below the ephemeral range. Otherwise an outgoing connection could take a port while its sender
// restarts.
const (
	minPort = 10000
	maxPort = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 131) }

// freeAddress returns an address with a port that is free and that was not given to another run of this process.
func freeAddress() (string, error) {
	for range maxPort - minPort {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+nextPort.Add(1)%(maxPort-minPort))
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

func (s *sender) stateDir() string { return filepath.Join(s.dir, "state") }

// prepare creates the state folder and the configuration of a sender.
func (s *sender) prepare() error {
	if err := os.MkdirAll(s.stateDir(), 0o700); err != nil {
		return err
	}
	return s.writeConfig()
}

func (s *sender) writePlan() error {
	runStart := faultinject.Now() - s.run.checker.elapsed()
	return s.run.scenario.syscallPlan(s.number, runStart, s.stateDir()).Save(filepath.Join(s.dir, "plan"))
}

// writeConfig replaces the configuration file.
func (s *sender) writeConfig() error {
	sc := s.run.scenario
	text, err := json.Marshal(map[string]any{
		"name":      fmt.Sprint("n", s.number),
		"listen":    s.listenAddr,
		"discovery": s.agent.address(),
		"seed":      fmt.Sprintf("%x", sc.Seed<<8+uint64(s.number)),
		"limits":    map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512, "disk_mb": sc.DiskMB},
		"known":     s.run.initialList,
		"settings":  sc.settings(s.number),
	})
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// startProcess starts a process without waiting until it is ready.
func (s *sender) startProcess() (*process, error) {
	adminAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{
		cmd:       exec.Command(s.run.options.Program),
		adminAddr: adminAddr,
		log:       logFile,
		done:      make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.Env = append(os.Environ(),
		"BALANCER_NAME="+fmt.Sprint("n", s.number),
		"BALANCER_LISTEN="+s.listenAddr,
		"BALANCER_ADMIN_ADDR="+adminAddr,
		"BALANCER_DISCOVERY="+s.agent.address(),
		"BALANCER_STATE="+s.stateDir(),
		"BALANCER_CONFIG="+filepath.Join(s.dir, "config.json"),
		faultinject.EnvPlan+"="+filepath.Join(s.dir, "plan"),
	)
	if err := p.cmd.Start(); err != nil {
		logFile.Close()
		return nil, err
	}
	go func() {
		err := p.cmd.Wait()
		logFile.Close()
		s.mu.Lock()
		expected := p.endExpected
		s.mu.Unlock()
		if !expected {
			s.run.checker.report(RuleCrash, s.number,
				"the process exited unexpectedly: %v: %s", err, crashSummary(logFile.Name()))
		}
		close(p.done)
	}()
	return p, nil
}

// crashSummary returns the start of the panic or fatal error in a log, or its last line if there is none.
func crashSummary(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return strings.Join(lines[i:min(i+12, len(lines))], " | ")
		}
	}
	return lines[len(lines)-1]
}

// adminCall sends one command to the admin address and returns the answer.
func (p *process) adminCall(call string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.adminAddr, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, call+"\n"); err != nil {
		return "", err
	}
	text, err := io.ReadAll(conn)
	return string(text), err
}

// answersPing reports whether the sender answers a PING of a client.
func (s *sender) answersPing() bool {
	conn, err := net.DialTimeout("tcp", s.listenAddr, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// waitReady waits until a process answers clients. It must do so within readyTimeout after its start, or after the end
// of the faults in its system calls and wall clock.
func (s *sender) waitReady(p *process) bool {
	deadline := max(s.run.checker.elapsed(), s.run.scenario.systemFaultsEnd(s.number)) + readyTimeout
	for !s.answersPing() {
		select {
		case <-p.done:
			return false
		case <-time.After(pollInterval):
		}
		if s.run.checker.elapsed() > deadline {
			s.run.checker.report(RuleNotReady, s.number, "does not answer a PING in time")
			return false
		}
	}
	return true
}

// startFirst starts the first process of a sender and waits until it is ready.
func (s *sender) startFirst() {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	defer close(s.started)
	p, err := s.startProcess()
	if err != nil {
		s.run.addError(err)
		return
	}
	s.mu.Lock()
	s.current = p
	s.mu.Unlock()
	s.waitReady(p)
}

func (s *sender) currentProcess() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// expectEnd records that a process is about to be stopped.
func (s *sender) expectEnd(p *process) {
	s.mu.Lock()
	p.endExpected = true
	s.mu.Unlock()
}

// stop kills a process. If graceful is set, it sends SIGTERM first and waits up to stopTimeout, in which more signals
// may follow.
func (s *sender) stop(p *process, graceful bool, more ...syscall.Signal) {
	s.expectEnd(p)
	if graceful {
		kill := time.After(stopTimeout)
		p.cmd.Process.Signal(syscall.SIGTERM)
		for _, signal := range more {
			time.Sleep(signalSeriesPause)
			p.cmd.Process.Signal(signal)
		}
		select {
		case <-p.done:
			return
		case <-kill:
		}
	}
	p.cmd.Process.Kill()
	<-p.done
}

// stopWithSignalSeries reloads the configuration and then restarts the process with several signals.
func (s *sender) stopWithSignalSeries(ctx context.Context) {
	s.reload()
	if sleep(ctx, signalSeriesPause) {
		s.restart(true, syscall.SIGHUP, syscall.SIGTERM)
	}
}

// restart stops the process and starts a new one. If graceful is set, more signals may follow SIGTERM.
func (s *sender) restart(graceful bool, more ...syscall.Signal) {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	known := s.destinationsKnown()
	downtime := s.run.checker.beginDowntime(s.number)
	s.stop(s.currentProcess(), graceful, more...)
	s.agent.setProcessStart(distantFuture)
	s.run.checker.recordExit(s.number, downtime)
	s.forgetOutages(known)
	time.Sleep(restartDelay)
	p, err := s.startProcess()
	if err != nil {
		s.run.addError(err)
		return
	}
	s.agent.setProcessStart(s.run.checker.elapsed())
	s.mu.Lock()
	s.current = p
	s.mu.Unlock()
	if s.waitReady(p) {
		s.run.checker.endDowntime(downtime)
	}
}

// upgrade starts a second process and stops the first one once the second one is ready.
func (s *sender) upgrade() {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	old := s.currentProcess()
	next, err := s.startProcess()
	if err != nil {
		s.run.addError(err)
		return
	}
	for deadline := time.Now().Add(upgradeTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if answer, err := next.adminCall("ready"); err == nil && strings.HasPrefix(answer, "+OK") {
			break
		}
	}
	s.mu.Lock()
	s.current = next
	s.mu.Unlock()
	// If the old process hands over, the new one serves at once. If it cannot, this amounts to a restart.
	downtime := s.run.checker.beginDowntime(s.number)
	s.stop(old, true)
	if s.waitReady(next) {
		s.run.checker.endDowntime(downtime)
	}
}

// reload moves discovery to its other address and makes the process reload its configuration.
func (s *sender) reload() {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	closeOld, err := s.agent.switchAddress()
	if err != nil {
		s.run.addError(err)
		return
	}
	if err := s.writeConfig(); err != nil {
		s.run.addError(err)
		return
	}
	s.mu.Lock()
	s.discoveryMovedAt = s.run.checker.elapsed()
	s.mu.Unlock()
	s.currentProcess().cmd.Process.Signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, closeOld)
}

// drain makes the process reject messages of its clients for a while, as an operator would.
func (s *sender) drain(duration time.Duration) {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	p := s.currentProcess()
	p.adminCall("drain")
	time.Sleep(duration)
	p.adminCall("resume")
}

// violations returns the first nonzero counter of violations that the process's internal checks found, or an empty
// string.
func (p *process) violations() string {
	text, err := p.adminCall("show-stat")
	if err != nil {
		return ""
	}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if strings.Contains(name, ".violations") && value != "0" {
			return line
		}
	}
	return ""
}
