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
	maxResponseSize = 64 << 10              // bytes of a response, interim responses before it included
	headTimeout     = time.Second           // for the rest of a response that determines the outcome, once it has begun
	drainTimeout    = 50 * time.Millisecond // for the rest of a 200 response; a slower connection is not reused
)

// loadReportHeader carries an endpoint's load report.
const loadReportHeader = "Endpoint-Load-Metrics"

var errMalformedResponse = errors.New("malformed response")

// readResponse reads the response to a written request and reports whether the connection can be reused. It does not
// use net/http's reader for two reasons: a status line of 200 counts even if the rest of the header is malformed, and
// ambiguous body lengths must be rejected.
func readResponse(r *bufio.Reader, deadline *callDeadline) (callResult, bool) {
	return readResponseBody(r, deadline, nil)
}

// readResponseBody is readResponse that also copies the body if body is not nil. In that case a 200 response counts
// only if it is read completely.
func readResponseBody(r *bufio.Reader, deadline *callDeadline, body *bytes.Buffer) (callResult, bool) {
	for {
		deadline.limitIO(0)
		if _, err := r.Peek(1); err != nil {
			if !isTimeout(err) {
				return deadline.resultOfError(err), false
			}
			timedOut := deadline.timeoutOutcome()
			deadline.abort()
			if _, err := r.Peek(1); err != nil {
				return callResult{outcome: timedOut}, false
			}
		}
		deadline.limitIO(headTimeout)
		status, err := readStatusLine(r)
		if err != nil {
			return deadline.resultOfError(err), false
		}
		if status == http.StatusOK && body == nil { // delivered, whatever follows
			deadline.limitIO(drainTimeout)
			header, reusable, err := readHeaderAndBody(r, status, io.Discard)
			return callResult{outcome: logic.Delivered, loadReport: header.Get(loadReportHeader)}, err == nil && reusable
		}
		if status/100 == 1 && status != http.StatusSwitchingProtocols {
			if _, err := readHeader(r); err != nil {
				return deadline.resultOfError(err), false
			}
			continue // interim response; the final one follows
		}
		var dst io.Writer = io.Discard
		if body != nil {
			dst = body
		}
		header, reusable, err := readHeaderAndBody(r, status, dst)
		if err != nil && status != http.StatusInternalServerError {
			return deadline.resultOfError(err), false
		}
		res := resultOfResponse(status, header)
		res.loadReport = header.Get(loadReportHeader)
		return res, reusable && err == nil
	}
}

// resultOfError returns the result of a call whose response could not be read completely because of err.
func (d *callDeadline) resultOfError(err error) callResult {
	switch {
	case d.ended():
		return callResult{outcome: d.timeoutOutcome()}
	case errors.Is(err, errMalformedResponse), isTimeout(err):
		return callResult{outcome: logic.Unreadable}
	}
	return callResult{outcome: logic.ConnLost}
}

// readStatusLine reads the status line of a response, of any length. An incomplete line is an error even if a status
// code is visible: the endpoint has not finished writing it, and the call may still end either way.
func readStatusLine(r *bufio.Reader) (int, error) {
	line, err := r.ReadSlice('\n')
	start := string(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		_, err = r.ReadSlice('\n')
	}
	if err != nil {
		return 0, err
	}
	if len(start) < 13 || !strings.HasPrefix(start, "HTTP/1.") || !allDigits(start[7:8]) || start[8] != ' ' ||
		!allDigits(start[9:12]) || !strings.ContainsAny(start[12:13], " \r\n") {
		return 0, fmt.Errorf("%w: status line %.40q", errMalformedResponse, start)
	}
	return strconv.Atoi(start[9:12])
}

func allDigits(s string) bool {
	return s != "" && strings.Trim(s, "0123456789") == ""
}

func readHeader(r *bufio.Reader) (http.Header, error) {
	header, err := textproto.NewReader(r).ReadMIMEHeader()
	return http.Header(header), markMalformed(err)
}

// markMalformed wraps a parse error with errMalformedResponse. Errors of the connection itself are returned unchanged.
func markMalformed(err error) error {
	var netErr net.Error
	if err == nil || errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return err
	}
	return fmt.Errorf("%w: %w", errMalformedResponse, err)
}

// readHeaderAndBody reads what follows the status line and reports whether the connection can be reused.
func readHeaderAndBody(r *bufio.Reader, status int, body io.Writer) (http.Header, bool, error) {
	header, err := readHeader(r)
	if err != nil {
		return header, false, err
	}
	lengths, encodings := header.Values("Content-Length"), header.Values("Transfer-Encoding")
	reusable := !strings.EqualFold(header.Get("Connection"), "close")
	switch {
	case len(lengths)+len(encodings) > 1:
		return header, false, fmt.Errorf("%w: more than one body length", errMalformedResponse)
	case status == http.StatusNoContent || status == http.StatusNotModified:
	case len(lengths) == 1:
		n, err := strconv.ParseInt(lengths[0], 10, 64)
		if err != nil || !allDigits(lengths[0]) || n > maxResponseSize {
			return header, false, fmt.Errorf("%w: Content-Length %.40q", errMalformedResponse, lengths[0])
		}
		if _, err := io.CopyN(body, r, n); err != nil {
			return header, false, err
		}
	case len(encodings) == 1:
		if !strings.EqualFold(encodings[0], "chunked") {
			return header, false, fmt.Errorf("%w: Transfer-Encoding %.40q", errMalformedResponse, encodings[0])
		}
		if _, err := io.Copy(body, httputil.NewChunkedReader(r)); err != nil {
			return header, false, markMalformed(err)
		}
		if _, err := readHeader(r); err != nil { // trailers
			return header, false, err
		}
	default: // the end of the connection delimits the body
		reusable = false
		if _, err := io.Copy(body, r); err != nil {
			return header, false, err
		}
	}
	return header, reusable && r.Buffered() == 0, nil
}

// resultOfResponse returns the result for a complete response.
func resultOfResponse(status int, header http.Header) callResult {
	switch status {
	case http.StatusOK:
		return callResult{outcome: logic.Delivered, retryAfter: parseRetryAfter(header)}
	case http.StatusTooManyRequests:
		return callResult{outcome: logic.Refused, retryAfter: parseRetryAfter(header)}
	case http.StatusServiceUnavailable:
		if header.Get("X-Line-Busy") == "1" {
			return callResult{outcome: logic.Skipped}
		}
		return callResult{outcome: logic.Refused}
	case http.StatusGatewayTimeout:
		return callResult{outcome: logic.Skipped}
	case http.StatusGone:
		return callResult{outcome: logic.Skipped, messageEnded: true}
	}
	return callResult{outcome: logic.Errored}
}

// parseRetryAfter returns the wait that a response requests, 0 if none.
func parseRetryAfter(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get("X-Come-Back-Ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(min(ms, maxLifetime.Milliseconds())) * time.Millisecond
}

// parseLoadReport returns the values of a load report in the order of names, and nil if the report is empty or
// malformed.
func parseLoadReport(report string, names []string) []float64 {
	if report == "" || len(names) == 0 {
		return nil
	}
	values := make([]float64, len(names))
	for _, pair := range strings.Split(report, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		if i := slices.Index(names, name); i >= 0 {
			values[i] = v
		}
	}
	return values
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
