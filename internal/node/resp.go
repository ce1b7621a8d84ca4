package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Limits of a request. Exceeding one is a protocol error.
const (
	maxArgs      = 16
	maxBulkBytes = 64 << 10 // per bulk string, so also the body of a message
	maxLineBytes = 64       // per line with a length
)

// errProtocol marks input that is not a RESP2 request. The connection cannot be used any further.
var errProtocol = errors.New("protocol error")

// readCommand reads one request: an array of bulk strings. Each length is checked before memory is allocated for it.
// acquireLarge is called once, before a request exceeds smallRequestBytes.
func readCommand(r *bufio.Reader, acquireLarge func() error) ([][]byte, error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	if n == 0 {
		return nil, fmt.Errorf("%w: empty request", errProtocol)
	}
	args := make([][]byte, n)
	total, acquired := 0, false
	for i := range args {
		size, err := readLength(r, '$', maxBulkBytes)
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		if total += size; total > maxRequestBytes {
			return nil, fmt.Errorf("%w: request over %d", errProtocol, maxRequestBytes)
		}
		if total > smallRequestBytes && !acquired {
			acquired = true
			if err := acquireLarge(); err != nil {
				return nil, err
			}
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, unexpectedEOF(err)
		}
		if b[size] != '\r' || b[size+1] != '\n' {
			return nil, fmt.Errorf("%w: bulk string without its end", errProtocol)
		}
		args[i] = b[:size]
	}
	return args, nil
}

// readLength reads a line that consists of prefix and a length of at most maxLength.
func readLength(r *bufio.Reader, prefix byte, maxLength int) (int, error) {
	var line []byte
	for {
		c, err := r.ReadByte()
		if err != nil {
			if len(line) > 0 {
				err = unexpectedEOF(err)
			}
			return 0, err
		}
		line = append(line, c)
		if c == '\n' {
			break
		}
		if len(line) >= maxLineBytes {
			return 0, fmt.Errorf("%w: length line too long", errProtocol)
		}
	}
	if len(line) < 4 || line[0] != prefix || line[len(line)-2] != '\r' {
		return 0, fmt.Errorf("%w: want a line of %q and a length", errProtocol, prefix)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-2]), 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: bad length", errProtocol)
	}
	if n > uint64(maxLength) {
		return 0, fmt.Errorf("%w: length over %d", errProtocol, maxLength)
	}
	return int(n), nil
}

// unexpectedEOF replaces io.EOF, which is expected only between requests.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
