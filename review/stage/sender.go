package main

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
)

const (
	deployFile   = "deploy/balancer.toml"
	readyTimeout = 30 * time.Second       // a sender has to be ready by then
	pollInterval = 20 * time.Millisecond  // between PINGs
	restartDelay = 600 * time.Millisecond // from SIGKILL to the next start
	killDelay    = 3700 * time.Millisecond
)

// limits are the limits of a sender's machine.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
	DiskMB   float64 `json:"disk_mb"`
}

var smallLimits = limits{Cores: 1, MemoryMB: 128, Sockets: 512, DiskMB: 3}

// sender is one sender. A restart or an upgrade replaces its process.
type sender struct {
	stage    *stage
	name     string
	listen   string
	settings map[string]any
	limits   limits

	mu        sync.Mutex
	processes []*process
	over      bool // no further process may be started
}

// process is one process of a sender.
type process struct {
	cmd   *exec.Cmd
	admin string
	done  chan struct{} // closed when it has ended
}

// Ports of senders are below the range of outgoing connections, one of which could otherwise take the port of a sender
// while that restarts.
const (
	firstPort = 12000
	portCount = 20000
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 131) }

// freeAddress returns a loopback address with a free port that it has not returned before.
func freeAddress() (string, error) {
	for range portCount {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%portCount)
		if ln, err := net.Listen("tcp", addr); err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// newSender prepares a sender; it starts no process.
func (s *stage) newSender(number int, settings map[string]any, machine limits) (*sender, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	x := &sender{stage: s, name: fmt.Sprint("n", number), listen: addr, settings: settings, limits: machine}
	s.addSender(x)
	if err := os.MkdirAll(x.path("state"), 0o700); err != nil {
		return nil, err
	}
	return x, x.writeConfig()
}

func (x *sender) path(name string) string { return filepath.Join(x.stage.dir, x.name+"-"+name) }

func (x *sender) writeConfig() error {
	text, err := json.Marshal(map[string]any{
		"name":      x.name,
		"listen":    x.listen,
		"discovery": x.stage.agent.addr,
		"seed":      fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":    x.limits,
		"known":     x.stage.agent.known(),
		"settings":  x.settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(x.path("config.json"), text, 0o600)
}

// runCommand returns the command of the deploy file that starts a sender.
func runCommand() (string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if name, value, _ := strings.Cut(line, "="); strings.TrimSpace(name) == "run" {
			if parts := strings.Split(value, `"`); len(parts) > 1 {
				return parts[1], nil
			}
		}
	}
	return "", errors.New("the deploy file has no run command")
}

// start starts a process. It does not wait until that is ready.
func (x *sender) start() (*process, error) {
	command, err := runCommand()
	if err != nil {
		return nil, err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return nil, errors.New("the case is over")
	}
	admin, err := freeAddress()
	if err != nil {
		return nil, err
	}
	log, err := os.Create(x.path(fmt.Sprintf("%d.log", len(x.processes)+1)))
	if err != nil {
		return nil, err
	}
	p := &process{cmd: exec.Command("/bin/sh", "-c", command), admin: admin, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this program is killed
	p.cmd.Env = append(os.Environ(),
		"BALANCER_NAME="+x.name,
		"BALANCER_LISTEN="+x.listen,
		"BALANCER_ADMIN_ADDR="+admin,
		"BALANCER_DISCOVERY="+x.stage.agent.addr,
		"BALANCER_STATE="+x.path("state"),
		"BALANCER_CONFIG="+x.path("config.json"),
	)
	if err := p.cmd.Start(); err != nil {
		log.Close()
		return nil, err
	}
	x.processes = append(x.processes, p)
	x.stage.record.printf("%s: process %d started", x.name, len(x.processes))
	go func() {
		p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
	return p, nil
}

// startReady starts a process and waits until it answers clients.
func (x *sender) startReady() (*process, error) {
	p, err := x.start()
	if err != nil {
		return nil, err
	}
	return p, x.awaitReady()
}

// awaitReady waits until the sender answers PING.
func (x *sender) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if x.answersPing() {
			x.stage.record.printf("%s: ready", x.name)
			return nil
		}
	}
	return errors.New("the sender is not ready in time")
}

func (x *sender) answersPing() bool {
	conn, err := net.DialTimeout("tcp", x.listen, time.Second)
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

// call makes an operator's call and returns the first line of the reply.
func (p *process) call(line string) string {
	conn, err := net.DialTimeout("tcp", p.admin, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, line+"\r\n")
	reply, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(reply)
}

// awaitYes waits until the process answers an operator that it is ready.
func (p *process) awaitYes() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if strings.HasPrefix(p.call("ready"), "+OK") {
			return nil
		}
	}
	return errors.New("the new process is not ready in time")
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// end kills the process if it still runs, and waits for its end.
func (p *process) end() {
	p.cmd.Process.Kill()
	<-p.done
}

// running reports whether the process has not ended.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// endAll ends all processes of the sender.
func (x *sender) endAll() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	for _, p := range x.processes {
		p.end()
	}
}
