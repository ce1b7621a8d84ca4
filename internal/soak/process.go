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
	killAfter  = 3700 * time.Millisecond // from SIGTERM to SIGKILL
	downTime   = 600 * time.Millisecond  // from SIGKILL to the next start
	upgradeFor = 6 * time.Second         // for the new process to say that it is ready
	pollEvery  = 15 * time.Millisecond
)

// sender is one place of the fleet, and the process in it.
type sender struct {
	number  int
	run     *run
	dir     string
	listen  string
	agent   *agent
	serving sync.Mutex    // held by what moves the process
	begun   chan struct{} // closed once there is a process, or there will be none

	mu    sync.Mutex
	cmd   *process
	moved time.Duration // when it was last told of another discovery
}

// process is one process of a sender.
type process struct {
	cmd    *exec.Cmd
	admin  string
	log    *os.File
	done   chan struct{}
	wanted bool // its end is; under the lock of sender
}

// Ports of senders lie below those that the system gives to outgoing connections, which would take one that is free
// for the time of a restart.
const (
	firstPort = 10000
	lastPort  = 32000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 131) }

// freeAddress finds a port that nobody has now and that no other run of this process was given.
func freeAddress() (string, error) {
	for range lastPort - firstPort {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%(lastPort-firstPort))
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
	began := faultinject.Now() - s.run.ledger.now()
	return s.run.sc.plan(s.number, began, s.stateDir()).Save(filepath.Join(s.dir, "plan"))
}

// writeConfig replaces the configuration file.
func (s *sender) writeConfig() error {
	sc := s.run.sc
	text, err := json.Marshal(map[string]any{"name": fmt.Sprint("n", s.number), "listen": s.listen, "discovery": s.agent.address(),
		"seed":   fmt.Sprintf("%x", sc.Seed<<8+uint64(s.number)),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512, "disk_mb": sc.DiskMB},
		"known":  s.run.known, "settings": sc.wire(s.number)})
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
func (s *sender) start() (*process, error) {
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	logs, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command(s.run.opt.Program), admin: admin, log: logs, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = logs, logs
	p.cmd.Env = append(os.Environ(), "BALANCER_NAME="+fmt.Sprint("n", s.number), "BALANCER_LISTEN="+s.listen, "BALANCER_ADMIN_ADDR="+admin,
		"BALANCER_DISCOVERY="+s.agent.address(), "BALANCER_STATE="+s.stateDir(), "BALANCER_CONFIG="+filepath.Join(s.dir, "config.json"),
		faultinject.EnvPlan+"="+filepath.Join(s.dir, "plan"))
	if err := p.cmd.Start(); err != nil {
		logs.Close()
		return nil, err
	}
	go func() {
		err := p.cmd.Wait()
		logs.Close()
		s.mu.Lock()
		wanted := p.wanted
		s.mu.Unlock()
		if !wanted {
			s.run.ledger.broken(RuleCrash, s.number, "the process ended: %v: %s", err, lastLine(logs.Name()))
		}
		close(p.done)
	}()
	return p, nil
}

func lastLine(path string) string {
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
func (p *process) ask(call string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
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
func (s *sender) pings() bool {
	conn, err := net.DialTimeout("tcp", s.listen, time.Second)
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
func (s *sender) awaitReady(p *process) bool {
	by := max(s.run.ledger.now(), s.run.sc.ends(s.number)) + soonReady
	for !s.pings() {
		select {
		case <-p.done:
			return false
		case <-time.After(pollEvery):
		}
		if s.run.ledger.now() > by {
			s.run.ledger.broken(RuleReady, s.number, "does not serve")
			return false
		}
	}
	return true
}

// begin starts the first process of a sender.
func (s *sender) begin() {
	s.serving.Lock()
	defer s.serving.Unlock()
	defer close(s.begun)
	p, err := s.start()
	if err != nil {
		s.run.fail(err)
		return
	}
	s.mu.Lock()
	s.cmd = p
	s.mu.Unlock()
	s.awaitReady(p)
}

func (s *sender) process() *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd
}

// want notes that the end of a process is wanted.
func (s *sender) want(p *process) {
	s.mu.Lock()
	p.wanted = true
	s.mu.Unlock()
}

// end kills a process, after SIGTERM and its time if the end is planned.
func (s *sender) end(p *process, planned bool) {
	s.want(p)
	if planned {
		p.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.done:
			return
		case <-time.After(killAfter):
		}
	}
	p.cmd.Process.Kill()
	<-p.done
}

// restart replaces the process after its end.
func (s *sender) restart(planned bool) {
	s.serving.Lock()
	defer s.serving.Unlock()
	o := s.run.ledger.goes(s.number)
	s.end(s.process(), planned)
	s.agent.askedFrom(never)
	s.run.ledger.gone(s.number, o)
	for _, d := range s.run.destinations {
		d.forget(s.number)
	}
	time.Sleep(downTime)
	p, err := s.start()
	if err != nil {
		s.run.fail(err)
		return
	}
	s.agent.askedFrom(s.run.ledger.now())
	s.mu.Lock()
	s.cmd = p
	s.mu.Unlock()
	if s.awaitReady(p) {
		s.run.ledger.serves(o)
	}
}

// upgrade starts a second process beside the first, which goes once the other is ready.
func (s *sender) upgrade() {
	s.serving.Lock()
	defer s.serving.Unlock()
	old := s.process()
	next, err := s.start()
	if err != nil {
		s.run.fail(err)
		return
	}
	for by := time.Now().Add(upgradeFor); time.Now().Before(by); time.Sleep(pollEvery) {
		if answer, err := next.ask("ready"); err == nil && strings.HasPrefix(answer, "+OK") {
			break
		}
	}
	s.mu.Lock()
	s.cmd = next
	s.mu.Unlock()
	// Where the old process hands over, the new one goes on at once; where it cannot, this is a restart.
	o := s.run.ledger.goes(s.number)
	s.end(old, true)
	if s.awaitReady(next) {
		s.run.ledger.serves(o)
	}
}

// reload moves discovery and tells the process.
func (s *sender) reload() {
	s.serving.Lock()
	defer s.serving.Unlock()
	closeOld, err := s.agent.move()
	if err != nil {
		s.run.fail(err)
		return
	}
	if err := s.writeConfig(); err != nil {
		s.run.fail(err)
		return
	}
	s.mu.Lock()
	s.moved = s.run.ledger.now()
	s.mu.Unlock()
	s.process().cmd.Process.Signal(syscall.SIGHUP)
	time.AfterFunc(1500*time.Millisecond, closeOld)
}

// drain has an operator send the clients away for a while.
func (s *sender) drain(span time.Duration) {
	s.serving.Lock()
	defer s.serving.Unlock()
	p := s.process()
	p.ask("drain")
	time.Sleep(span)
	p.ask("resume")
}

// violations is what the sender's own checks counted, as its operators are told.
func (p *process) violations() string {
	text, err := p.ask("show-stat")
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
