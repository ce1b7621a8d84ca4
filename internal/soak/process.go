package soak

import (
	"bufio"
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

// Times of a process, as the platform has them.
const (
	stopTimeout    = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	restartDelay   = 600 * time.Millisecond  // from SIGKILL to the next start
	upgradeTimeout = 6 * time.Second         // for the new process to say that it is ready
	pollInterval   = 15 * time.Millisecond
)

// sender is one place of the fleet, and the process in it.
type sender struct {
	number      int
	run         *run
	dir         string
	listenAddr  string
	agent       *discoveryAgent
	processLock sync.Mutex    // held by what moves the process
	started     chan struct{} // closed once there is a process, or there will be none

	mu               sync.Mutex
	current          *process
	discoveryMovedAt time.Duration // when it was last told of another discovery
}

// process is one process of a sender.
type process struct {
	cmd         *exec.Cmd
	adminAddr   string
	log         *os.File
	done        chan struct{}
	endExpected bool // its end is; under the lock of sender
}

// Ports of senders lie below those that the system gives to outgoing connections, which would take one that is free
// for the time of a restart.
const (
	minPort = 10000
	maxPort = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 131) }

// freeAddress finds a port that nobody has now and that no other run of this process was given.
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

// prepare makes the folder, the plan and the configuration of a sender.
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
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", s.number), "listen": s.listenAddr, "discovery": s.agent.address(),
		"seed":   fmt.Sprintf("%x", sc.Seed<<8+uint64(s.number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512, "disk_mb": sc.DiskMB},
		"known":  s.run.initialList, "settings": sc.settings(s.number)})
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, "config.json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start starts a process.
func (s *sender) startProcess() (*process, error) {
	adminAddr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(s.run.options.Program), adminAddr: adminAddr, log: logFile, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME="+fmt.Sprint("n", s.number), "BALANCER_LISTEN="+s.listenAddr, "BALANCER_ADMIN_ADDR="+adminAddr,
		"BALANCER_DISCOVERY="+s.agent.address(), "BALANCER_STATE="+s.stateDir(), "BALANCER_CONFIG="+filepath.Join(s.dir, "config.json"),
		faultinject.EnvPlan+"="+filepath.Join(s.dir, "plan"))
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
			s.run.checker.report(RuleCrash, s.number, "the process ended: %v: %s", err, crashSummary(logFile.Name()))
		}
		close(p.done)
	}()
	return p, nil
}

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

// ask makes one call to the operators' address.
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

// pings says whether clients are served.
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

// awaitReady waits until a process serves. It has soonReady from its start, or from the end of what hinders it.
func (s *sender) waitReady(p *process) bool {
	deadline := max(s.run.checker.elapsed(), s.run.scenario.systemFaultsEnd(s.number)) + readyTimeout
	for !s.answersPing() {
		select {
		case <-p.done:
			return false
		case <-time.After(pollInterval):
		}
		if s.run.checker.elapsed() > deadline {
			s.run.checker.report(RuleNotReady, s.number, "does not serve")
			return false
		}
	}
	return true
}

// begin starts the first process of a sender.
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

// want notes that the end of a process is wanted.
func (s *sender) expectEnd(p *process) {
	s.mu.Lock()
	p.endExpected = true
	s.mu.Unlock()
}

// end kills a process, after SIGTERM and its time if the end is planned.
func (s *sender) stop(p *process, graceful bool) {
	s.expectEnd(p)
	if graceful {
		p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
			return
		case <-time.After(stopTimeout):
		}
	}
	p.cmd.Process.Kill()
	<-p.done
}

// restart replaces the process after its end.
func (s *sender) restart(graceful bool) {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	downtime := s.run.checker.beginDowntime(s.number)
	s.stop(s.currentProcess(), graceful)
	s.agent.setProcessStart(distantFuture)
	s.run.checker.recordExit(s.number, downtime)
	for _, d := range s.run.destinations {
		d.forgetSender(s.number)
	}
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

// upgrade starts a second process beside the first, which goes once the other is ready.
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
	// Where the old process hands over, the new one goes on at once; where it cannot, this is a restart.
	downtime := s.run.checker.beginDowntime(s.number)
	s.stop(old, true)
	if s.waitReady(next) {
		s.run.checker.endDowntime(downtime)
	}
}

// reload moves discovery and tells the process.
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

// drain has an operator send the clients away for a while.
func (s *sender) drain(duration time.Duration) {
	s.processLock.Lock()
	defer s.processLock.Unlock()
	p := s.currentProcess()
	p.adminCall("drain")
	time.Sleep(duration)
	p.adminCall("resume")
}

// violations is what the sender's own checks counted, as its operators are told.
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
