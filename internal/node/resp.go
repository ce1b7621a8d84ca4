package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
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
// acquireLarge is called once, before a request exceeds smallRequestBytes. If it fails, the rest of the request is read
// without being kept, and its error returned.
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
	var tooLarge error
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
			tooLarge = acquireLarge()
		}
		if tooLarge != nil {
			err = discardString(r, size)
		} else {
			args[i], err = readString(r, size)
		}
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if tooLarge != nil {
		return nil, tooLarge
	}
	return args, nil
}

// skipCommand reads one request without keeping it, and returns the name of its command if that is short.
func skipCommand(r *bufio.Reader) (name string, err error) {
	n, err := readLength(r, '*', maxArgs)
	if err != nil {
		return "", err
	}
	for i := range n {
		size, err := readLength(r, '$', maxBulkBytes)
		if err != nil {
			return name, unexpectedEOF(err)
		}
		if i > 0 || size > maxLineBytes {
			err = discardString(r, size)
		} else {
			var b []byte
			b, err = readString(r, size)
			name = strings.ToUpper(string(b))
		}
		if err != nil {
			return name, unexpectedEOF(err)
		}
	}
	return name, nil
}

// stringEnd follows the bytes of a bulk string.
const stringEnd = "\r\n"

var errStringEnd = fmt.Errorf("%w: bulk string without its end", errProtocol)

// readString reads the bytes of a bulk string and its end.
func readString(r *bufio.Reader, size int) ([]byte, error) {
	b := make([]byte, size+len(stringEnd))
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	if string(b[size:]) != stringEnd {
		return nil, errStringEnd
	}
	return b[:size], nil
}

// discardString is readString without the bytes.
func discardString(r *bufio.Reader, size int) error {
	if _, err := r.Discard(size); err != nil {
		return err
	}
	_, err := readString(r, 0)
	return err
}

// readLength reads a line that consists of prefix and a length of at most maxLength. It does not read a line that begins
// otherwise, since that may be a request.
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
		if len(line) == 0 && c != prefix {
			r.UnreadByte()
			break
		}
		line = append(line, c)
		if c == '\n' {
			break
		}
		if len(line) >= maxLineBytes {
			return 0, fmt.Errorf("%w: length line too long", errProtocol)
		}
	}
	if len(line) < 4 || line[len(line)-2] != '\r' {
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
