package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout   = 10 * time.Second       // from the start of a process to its first +PONG
	restartDelay   = 600 * time.Millisecond // from SIGKILL to the next start
	replyTimeout   = 400 * time.Millisecond // that a client gives a reply
	pingInterval   = 20 * time.Millisecond
	processEndTime = 5 * time.Second // for a killed process to be reaped
)

// sender starts processes of one sender with the command of the deploy file. They share the state folder.
type sender struct {
	record  *recorder
	root    string // of the repository
	command string // run in the deploy file
	dir     string // temporary folder
	listen  string
	admin   string // address for operators of the current process
	config  map[string]any
	process *exec.Cmd
	exited  chan error
}

// started holds all processes that this program has started.
var started struct {
	mu        sync.Mutex
	processes []*os.Process
}

// killStarted ends all processes that this program has started.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, process := range started.processes {
		process.Kill() // an error means that it has ended
	}
}

// startSender writes the configuration, creates the folders in dir, starts the first process and waits until it is ready.
func startSender(env *environment, dir, discovery string, o options, list hostList) (*sender, error) {
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	s := &sender{record: env.record, root: env.root, command: env.command, dir: dir, listen: listen}
	for _, folder := range []string{"state", "tmp"} {
		if err := os.MkdirAll(filepath.Join(dir, folder), 0o700); err != nil {
			return nil, err
		}
	}
	s.config = map[string]any{
		"name":      "n0",
		"listen":    listen,
		"discovery": discovery,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"known":     list,
		"settings":  o.settings(),
	}
	if err := s.writeConfig(); err != nil {
		return nil, err
	}
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		s.stop()
		return nil, err
	}
	return s, nil
}

func (s *sender) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig replaces the configuration file.
func (s *sender) writeConfig() error {
	text, err := json.MarshalIndent(s.config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.configPath()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(s.configPath()+".new", s.configPath())
}

// start starts a process, with an operators' address of its own. Its log is appended to sender.log in the temporary folder.
func (s *sender) start() (err error) {
	if s.admin, err = freeAddr(); err != nil {
		return err
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, "sender.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", s.command)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, logFile, logFile
	cmd.Env = append(os.Environ(),
		"BALANCER_NAME=n0",
		"BALANCER_LISTEN="+s.listen,
		"BALANCER_ADMIN_ADDR="+s.admin,
		"BALANCER_DISCOVERY="+s.config["discovery"].(string),
		"BALANCER_STATE="+filepath.Join(s.dir, "state"),
		"BALANCER_CONFIG="+s.configPath(),
		"TMPDIR="+filepath.Join(s.dir, "tmp"),
	)
	if err := cmd.Start(); err != nil {
		return err
	}
	s.process, s.exited = cmd, make(chan error, 1)
	started.mu.Lock()
	started.processes = append(started.processes, cmd.Process)
	started.mu.Unlock()
	go func(exited chan<- error) { exited <- cmd.Wait() }(s.exited)
	s.record.line("platform: starts the sender, process %d", cmd.Process.Pid)
	return nil
}

// awaitReady waits until the sender answers PING with +PONG.
func (s *sender) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(pingInterval) {
		if conn, err := net.DialTimeout("tcp", s.listen, replyTimeout); err == nil {
			conn.SetDeadline(time.Now().Add(replyTimeout))
			fmt.Fprint(conn, respCommand("PING"))
			line, _ := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			if strings.TrimSpace(line) == "+PONG" {
				s.record.line("sender: ready")
				return nil
			}
		}
	}
	return fmt.Errorf("the sender was not ready within %v", readyTimeout)
}

// signal sends a signal to the current process.
func (s *sender) signal(sig syscall.Signal) {
	s.record.line("platform: signal %v to process %d", sig, s.process.Process.Pid)
	s.process.Process.Signal(sig)
}

// kill ends the current process with SIGKILL and waits for its end.
func (s *sender) kill() error {
	s.signal(syscall.SIGKILL)
	select {
	case <-s.exited:
		return nil
	case <-time.After(processEndTime):
		return fmt.Errorf("process %d did not end", s.process.Process.Pid)
	}
}

// restart kills the current process and starts the next one with the same folder, as the platform does.
func (s *sender) restart() error {
	if err := s.kill(); err != nil {
		return err
	}
	time.Sleep(restartDelay)
	if err := s.start(); err != nil {
		return err
	}
	return s.awaitReady()
}

// stop ends the current process with SIGKILL, if there is one.
func (s *sender) stop() {
	if s.process != nil {
		s.process.Process.Kill()
	}
}

// Ports of senders lie below the range of outgoing connections, so that none takes the port while a sender restarts.
const (
	minPort   = 10000
	maxPort   = 32000
	portTries = 200
)

// freeAddr returns a loopback address with a port that is free now.
func freeAddr() (string, error) {
	for range portTries {
		addr := fmt.Sprintf("127.0.0.1:%d", minPort+rand.IntN(maxPort-minPort))
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}
