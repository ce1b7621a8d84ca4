package node

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	lockFile            = "lock"
	handoverSocket      = "handover"
	linkProtocolVersion = 1
	linkTimeout         = time.Second // for one frame to be written, and for each step of a handover
	maxFrameBytes       = 16 << 20
	lockPollInterval    = 20 * time.Millisecond // between looks at a lock that is taken
	maxAcceptRetryDelay = time.Second           // the longest pause of a listener that fails
)

// errTorn says that what came over the link is not a whole frame.
var errBadFrame = errors.New("torn frame")

// tryLock takes the lock on the state folder; nil if another process has it. The lock goes with the process.
func tryLock(dir string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock of the state folder: %w", err)
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, nil
	}
	return nil, fmt.Errorf("lock of the state folder: %w", err)
}

// inFolder calls f with the address of the socket in dir. A socket's path must be short, so it goes by way of the
// folder's descriptor.
func withSocketAddr(dir string, f func(*net.UnixAddr) error) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return f(&net.UnixAddr{Net: "unix", Name: fmt.Sprintf("/proc/self/fd/%d/%s", d.Fd(), handoverSocket)})
}

// listenForSuccessor takes the socket in dir over from whoever had the lock before.
func listenHandover(dir string) (ln *net.UnixListener, err error) {
	if err := os.Remove(filepath.Join(dir, handoverSocket)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = withSocketAddr(dir, func(at *net.UnixAddr) error {
		if ln, err = net.ListenUnix("unix", at); err == nil {
			ln.SetUnlinkOnClose(false) // by then it may be the successor's
		}
		return err
	})
	return ln, err
}

// link joins the two processes of a replacement. Frames are read by one goroutine and written by any.
type link struct {
	conn *net.UnixConn
	mu   sync.Mutex // of writes
}

func dialOwner(dir string) (l *link, err error) {
	err = withSocketAddr(dir, func(at *net.UnixAddr) error {
		conn, err := net.DialUnix("unix", nil, at)
		l = &link{conn: conn}
		return err
	})
	return l, err
}

func (l *link) close() { l.conn.Close() }

// write sends a frame: its length, its checksum and JSON.
func (l *link) write(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes", len(body))
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	if _, err = l.conn.Write(append(b, body...)); err != nil {
		l.conn.Close() // what was written in part can't be followed by anything
	}
	return err
}

// read takes the next frame, which must have begun to come by then; zero for no such time.
func (l *link) read(v any, by time.Time) error {
	l.conn.SetReadDeadline(by)
	var head [frameHeaderLen]byte
	if _, err := io.ReadFull(l.conn, head[:1]); err != nil {
		return err
	}
	l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	if _, err := io.ReadFull(l.conn, head[1:]); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	n := binary.LittleEndian.Uint32(head[:4])
	if n > maxFrameBytes {
		return fmt.Errorf("%w of %d bytes", errBadFrame, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(l.conn, body); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(head[4:]) {
		return fmt.Errorf("%w: checksum", errBadFrame)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return nil
}

// greeting is the first frame of either side. The owner's has a socket with it.
type greeting struct {
	Version int
	Listen  string // the owner's, as configured
}

// greet is the successor's side: it is given the socket on which the owner takes clients.
func (l *link) receiveListener(listen string) (net.Listener, error) {
	if err := l.write(greeting{Version: linkProtocolVersion, Listen: listen}); err != nil {
		return nil, err
	}
	var from greeting
	if err := l.read(&from, time.Now().Add(linkTimeout)); err != nil {
		return nil, err
	}
	b, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	_, n, _, _, err := l.conn.ReadMsgUnix(b, oob)
	if err != nil {
		return nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("no socket came"), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("no socket came"), err)
	}
	syscall.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "clients")
	defer f.Close()
	ln, err := net.FileListener(f)
	switch {
	case err != nil:
		return nil, err
	case from.Version != linkProtocolVersion, from.Listen != listen:
		ln.Close()
		return nil, fmt.Errorf("the owner speaks version %d and listens at %s", from.Version, from.Listen)
	}
	return ln, nil
}

// hear takes the successor's greeting.
func (l *link) readGreeting() error {
	var from greeting
	if err := l.read(&from, time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	if from.Version != linkProtocolVersion {
		return fmt.Errorf("the successor speaks version %d", from.Version)
	}
	return nil
}

// welcome gives the successor the socket on which the owner takes clients.
func (l *link) sendListener(listen string, ln *net.TCPListener) error {
	if err := l.write(greeting{Version: linkProtocolVersion, Listen: listen}); err != nil {
		return err
	}
	f, err := ln.File()
	if err != nil {
		return err
	}
	defer f.Close()
	l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	_, _, err = l.conn.WriteMsgUnix([]byte{0}, syscall.UnixRights(int(f.Fd())), nil)
	return err
}
