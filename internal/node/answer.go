package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"rundeal/logic"
)

const (
	maxResponseSize = 64 << 10              // head and body of an answer, with interim ones ahead
	headTimeout     = time.Second           // for the rest of an answer that matters, once it has begun
	drainTimeout    = 50 * time.Millisecond // for what does not; a connection that is slower is not used again
)

// loadHeader carries a load report.
const loadReportHeader = "Endpoint-Load-Metrics"

// errSpoilt says that an answer can't be read.
var errMalformedResponse = errors.New("spoilt answer")

// readAnswer reads the answer to a call that was written, and says whether the
// connection can carry another. net/http's reader would not do: the first line
// counts even where the rest of the head can't be read, and lengths that leave a
// doubt are no lengths.
func readResponse(r *bufio.Reader, limit *callDeadline) (callResult, bool) {
	return readResponseBody(r, limit, nil)
}

// readWhole also takes the body, if it is wanted. Then 200 counts only with all that follows.
func readResponseBody(r *bufio.Reader, limit *callDeadline, body *bytes.Buffer) (callResult, bool) {
	for {
		limit.limitIO(0)
		if _, err := r.Peek(1); err != nil {
			if !isTimeout(err) {
				return limit.resultOfError(err), false
			}
			given := limit.timeoutOutcome()
			limit.abort()
			if _, err := r.Peek(1); err != nil {
				return callResult{outcome: given}, false
			}
		}
		limit.limitIO(headTimeout)
		status, err := readStatusLine(r)
		if err != nil {
			return limit.resultOfError(err), false
		}
		if status == http.StatusOK && body == nil { // true whatever follows
			limit.limitIO(drainTimeout)
			header, keep, err := readHeaderAndBody(r, status, io.Discard)
			return callResult{outcome: logic.Completed, loadReport: header.Get(loadReportHeader)}, err == nil && keep
		}
		if status/100 == 1 && status != http.StatusSwitchingProtocols {
			if _, err := readHeader(r); err != nil {
				return limit.resultOfError(err), false
			}
			continue // an interim answer; the outcome is yet to come
		}
		var to io.Writer = io.Discard
		if body != nil {
			to = body
		}
		header, keep, err := readHeaderAndBody(r, status, to)
		if err != nil && status != http.StatusInternalServerError {
			return limit.resultOfError(err), false
		}
		out := resultOfResponse(status, header)
		out.loadReport = header.Get(loadReportHeader)
		return out, keep && err == nil
	}
}

// broken is the outcome of an answer that did not come whole.
func (l *callDeadline) resultOfError(err error) callResult {
	switch {
	case l.ended():
		return callResult{outcome: l.timeoutOutcome()}
	case errors.Is(err, errMalformedResponse), isTimeout(err):
		return callResult{outcome: logic.Spoilt}
	}
	return callResult{outcome: logic.Severed}
}

// readStatus reads the first line of an answer, however long. A line that does not end says nothing: what it
// tells so far was not written whole, and the call may end either way.
func readStatusLine(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	text := string(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = r.ReadSlice('\n')
	}
	if err != nil {
		return 0, err
	}
	if len(text) < 13 || !strings.HasPrefix(text, "HTTP/1.") || !allDigits(text[7:8]) || text[8] != ' ' ||
		!allDigits(text[9:12]) || !strings.ContainsAny(text[12:13], " \r\n") {
		return 0, fmt.Errorf("%w: first line %.40q", errMalformedResponse, text)
	}
	return strconv.Atoi(text[9:12])
}

func allDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

func readHeader(r *bufio.Reader) (http.Header, error) {
	header, err := textproto.NewReader(r).ReadMIMEHeader()
	return http.Header(header), markMalformed(err)
}

// spoilt marks an error as one of what was read, unless it comes from the connection itself.
func markMalformed(err error) error {
	var n net.Error
	if err == nil || errors.As(err, &n) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return fmt.Errorf("%w: %w", errMalformedResponse, err)
}

// readRest reads head and body, and says whether the connection can be used again.
func readHeaderAndBody(r *bufio.Reader, status int, body io.Writer) (http.Header, bool, error) {
	header, err := readHeader(r)
	if err != nil {
		return header, false, err
	}
	lengths, codings := header.Values("Content-Length"), header.Values("Transfer-Encoding")
	keep := !strings.EqualFold(header.Get("Connection"), "close")
	switch {
	case len(lengths)+len(codings) > 1:
		return header, false, fmt.Errorf("%w: more than one length", errMalformedResponse)
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case len(lengths) == 1:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil || !allDigits(lengths[0]) || n > maxResponseSize {
			return header, false, fmt.Errorf("%w: length %.40q", errMalformedResponse, lengths[0])
		}
		if _, err := io.CopyN(body, r, n); err != nil {
			return header, false, err
		}
	case len(codings) == 1:
		if !strings.EqualFold(codings[0], "chunked") {
			return header, false, fmt.Errorf("%w: coding %.40q", errMalformedResponse, codings[0])
		}
		if _, err := io.Copy(body, httputil.NewChunkedReader(r)); err != nil {
			return header, false, markMalformed(err)
		}
		if _, err := readHeader(r); err != nil { // trailers
			return header, false, err
		}
	default: // the body ends with the connection
		keep = false
		if _, err := io.Copy(body, r); err != nil {
			return header, false, err
		}
	}
	return header, keep && r.Buffered() == 0, nil
}

// outcomeOf reads an answer that came whole.
func resultOfResponse(status int, header http.Header) callResult {
	switch status {
	case http.StatusOK:
		return callResult{outcome: logic.Completed, retryAfter: parseRetryAfter(header)}
	case http.StatusTooManyRequests:
		return callResult{outcome: logic.Full, retryAfter: parseRetryAfter(header)}
	case http.StatusServiceUnavailable:
		if header.Get("X-Line-Busy") == "1" {
			return callResult{outcome: logic.Moot}
		}
		return callResult{outcome: logic.Full}
	case http.StatusGatewayTimeout:
		return callResult{outcome: logic.Moot}
	case http.StatusGone:
		return callResult{outcome: logic.Moot, messageGone: true}
	}
	return callResult{outcome: logic.Errored}
}

// waitOf is the wait that an answer tells; 0 if none.
func parseRetryAfter(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get("X-Come-Back-Ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, maxHold.Milliseconds())) * time.Millisecond
}

// loadOf reads a load report: the values in the order of names. One that can't be read is none.
func parseLoadReport(report string, names []string) []float64 {
	if report == "" || len(names) == 0 {
		return nil
	}
	out := make([]float64, len(names))
	for _, pair := range strings.Split(report, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
			return nil
		}
		if i := slices.Index(names, name); i >= 0 {
			out[i] = x
		}
	}
	return out
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
