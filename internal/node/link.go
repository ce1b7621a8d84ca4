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
	linkTimeout         = time.Second // for writing a frame, and for each step of a handover
	maxFrameBytes       = 16 << 20
	lockPollInterval    = 20 * time.Millisecond // between tries to take a lock that is held
	maxAcceptRetryDelay = time.Second           // of a listener that keeps failing
)

// errBadFrame: the data received on the link is not a complete, valid frame.
var errBadFrame = errors.New("invalid frame")

// tryLock takes the lock on the state folder, and returns nil if another process holds it. The lock is released when
// the file is closed or the process ends.
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

// withSocketAddr calls f with the address of the handover socket in dir. The length of a socket's path is limited, so
// the address refers to dir by a file descriptor.
func withSocketAddr(dir string, f func(*net.UnixAddr) error) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return f(&net.UnixAddr{Net: "unix", Name: fmt.Sprintf("/proc/self/fd/%d/%s", folder.Fd(), handoverSocket)})
}

// listenHandover listens on the handover socket in dir. It replaces the socket of the previous holder of the lock.
func listenHandover(dir string) (ln *net.UnixListener, err error) {
	if err := os.Remove(filepath.Join(dir, handoverSocket)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	err = withSocketAddr(dir, func(at *net.UnixAddr) error {
		if ln, err = net.ListenUnix("unix", at); err == nil {
			ln.SetUnlinkOnClose(false) // by then the file may be the successor's socket
		}
		return err
	})
	return ln, err
}

// link is the connection between the two processes of a handover. Only one goroutine may read from it; any number may
// write.
type link struct {
	conn *net.UnixConn
	mu   sync.Mutex // held while a frame is written
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

// write sends v as a frame: length, CRC-32 and the JSON encoding of v.
func (l *link) write(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(body) > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes is too long", len(body))
	}
	b := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn.SetWriteDeadline(time.Now().Add(linkTimeout))
	if _, err = l.conn.Write(append(b, body...)); err != nil {
		l.conn.Close() // nothing may follow a partly written frame
	}
	return err
}

// read reads the next frame into v. Its first byte must arrive before the given time; zero means no limit.
func (l *link) read(v any, startBy time.Time) error {
	l.conn.SetReadDeadline(startBy)
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
		return fmt.Errorf("%w: length of %d bytes", errBadFrame, n)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(l.conn, body); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(head[4:]) {
		return fmt.Errorf("%w: wrong checksum", errBadFrame)
	}
	if err := json.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", errBadFrame, err)
	}
	return nil
}

// greeting is the first frame in each direction. The owner sends its listener after it.
type greeting struct {
	Version int
	Listen  string // configured address for clients
}

// receiveListener is the successor's side of the greeting: it receives the listener on which the owner serves clients.
func (l *link) receiveListener(listen string) (net.Listener, error) {
	if err := l.write(greeting{Version: linkProtocolVersion, Listen: listen}); err != nil {
		return nil, err
	}
	var owner greeting
	if err := l.read(&owner, time.Now().Add(linkTimeout)); err != nil {
		return nil, err
	}
	buf, oob := make([]byte, 1), make([]byte, syscall.CmsgSpace(4))
	l.conn.SetReadDeadline(time.Now().Add(linkTimeout))
	_, n, _, _, err := l.conn.ReadMsgUnix(buf, oob)
	if err != nil {
		return nil, err
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:n])
	if err != nil || len(messages) != 1 {
		return nil, errors.Join(errors.New("received no listener from the owner"), err)
	}
	fds, err := syscall.ParseUnixRights(&messages[0])
	if err != nil || len(fds) != 1 {
		return nil, errors.Join(errors.New("received no listener from the owner"), err)
	}
	syscall.CloseOnExec(fds[0])
	f := os.NewFile(uintptr(fds[0]), "clients")
	defer f.Close()
	ln, err := net.FileListener(f)
	switch {
	case err != nil:
		return nil, err
	case owner.Version != linkProtocolVersion, owner.Listen != listen:
		ln.Close()
		return nil, fmt.Errorf("the owner has protocol version %d and listens on %s", owner.Version, owner.Listen)
	}
	return ln, nil
}

// readGreeting reads and checks the successor's greeting.
func (l *link) readGreeting() error {
	var successor greeting
	if err := l.read(&successor, time.Now().Add(linkTimeout)); err != nil {
		return err
	}
	if successor.Version != linkProtocolVersion {
		return fmt.Errorf("the successor has protocol version %d", successor.Version)
	}
	return nil
}

// sendListener replies to the successor's greeting and sends it the listener on which this process serves clients.
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
