// Package wire encodes and decodes the line protocol between the simulator and the
// decision module of package logic: frames of events in, lines of actions out. It
// also parses the JSON settings of a deployment. It makes no decisions itself.
package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"rundeal/logic"
)

// InstanceEvent is one event of a frame, addressed to an instance. At most one of
// Create, Halt and Event is set; none is set for a line that the module has no use
// for.
type InstanceEvent struct {
	Instance int
	Create   *Create
	Halt     bool
	Event    logic.Event
}

// Create starts an instance.
type Create struct {
	Seed     uint64
	Settings logic.Settings
}

// Frame is one batch of events.
type Frame struct {
	Clock  logic.Micros
	Round  string
	Events []InstanceEvent
}

// Error reports where a frame is malformed.
type Error struct {
	Line  int
	Field string
	Msg   string
}

func (e *Error) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d: %s", e.Line, e.Msg)
	}
	return fmt.Sprintf("line %d: field %s: %s", e.Line, e.Field, e.Msg)
}

// maxLists is the number of endpoint lists that the protocol can address by set_id.
const maxLists = 16

// Decoder reads frames. It keeps the endpoint lists that were registered in earlier
// frames, as later ones refer to them by number.
type Decoder struct {
	r     *bufio.Reader
	line  int
	lists [maxLists][]logic.EndpointEntry // by set_id
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, 1<<16)}
}

// readLine returns the next line without its line ending. It returns io.EOF only
// when no byte of a line is left; a last line may lack its line ending.
func (d *Decoder) readLine() (string, error) {
	s, err := d.r.ReadString('\n')
	if err == io.EOF && s != "" {
		err = nil
	}
	if err != nil {
		return "", err
	}
	d.line++
	return strings.TrimRight(s, "\r\n"), nil
}

// Next returns the next frame, or io.EOF if the input ends between two frames.
func (d *Decoder) Next() (*Frame, error) {
	s, err := d.readLine()
	for err == nil && s == "" {
		s, err = d.readLine()
	}
	if err != nil {
		return nil, err
	}
	f := d.newFieldReader(s)
	if f.name != "frame" {
		return nil, &Error{d.line, "", "expected frame, got " + strconv.Quote(f.name)}
	}
	frame := &Frame{Clock: f.seconds("clock_s"), Round: f.word("round")}
	if _, err := strconv.ParseUint(frame.Round, 10, 64); err != nil {
		f.fail("round", "not an integer")
	}
	if err := f.finish(); err != nil {
		return nil, err
	}
	for {
		if s, err = d.readLine(); err == io.EOF {
			return nil, &Error{d.line + 1, "", "unexpected end of input in a frame"}
		} else if err != nil {
			return nil, err
		}
		switch name, _, _ := strings.Cut(s, " "); name {
		case "":
			continue
		case "eob":
			return frame, nil
		case "register":
			err = d.decodeList(d.newFieldReader(s))
		default:
			var event InstanceEvent
			if event, err = d.decodeEvent(d.newFieldReader(s)); err == nil {
				frame.Events = append(frame.Events, event)
			}
		}
		if err != nil {
			return nil, err
		}
	}
}

// decodeList reads a register line and the entries that follow it.
func (d *Decoder) decodeList(f *fieldReader) error {
	setID, rowCount := f.integer("set_id"), f.integer("rows")
	if setID < 0 || setID >= maxLists {
		f.fail("set_id", "out of range")
	}
	if rowCount < 0 {
		f.fail("rows", "negative")
	}
	if err := f.finish(); err != nil {
		return err
	}
	var rows []logic.EndpointEntry
	for i := int64(0); i < rowCount; i++ {
		s, err := d.readLine()
		if err == io.EOF {
			return &Error{d.line + 1, "rows", "unexpected end of input in an endpoint list"}
		} else if err != nil {
			return err
		}
		fields := d.newFieldReader(s)
		if fields.name != "entry" {
			return &Error{d.line, "", "expected entry, got " + strconv.Quote(fields.name)}
		}
		row := logic.EndpointEntry{
			Endpoint:    fields.endpointID(),
			Zone:        int(fields.integer("zone")),
			Kind:        int(fields.integer("kind")),
			Dest:        fields.integer("cell"),
			State:       fields.readiness(),
			NominalRate: fields.number("nominal"),
		}
		fields.seconds("born_s")
		if err := fields.finish(); err != nil {
			return err
		}
		rows = append(rows, row)
	}
	d.lists[setID] = rows
	return nil
}

func (d *Decoder) decodeEvent(f *fieldReader) (InstanceEvent, error) {
	event := InstanceEvent{Instance: int(f.integer("who"))}
	switch f.name {
	case "create":
		create := &Create{Seed: f.seed("random_seed")}
		text := f.takeRemaining()
		if f.err != nil {
			return event, f.err
		}
		settings, err := ParseSettings([]byte(text))
		if err != nil {
			return event, &Error{d.line, "setup", err.Error()}
		}
		create.Settings = settings
		event.Create = create
		return event, nil
	case "halt":
		event.Halt = true
	case "endpoints":
		event.Event = d.decodeEndpoints(f)
	case "call":
		event.Event = decodeCall(f)
	case "started":
		event.Event = logic.StreamStarted{ID: f.word("req"), Attempt: int(f.integer("copy"))}
		f.endpointID()
		f.seconds("time_taken_s")
	case "reply":
		event.Event = decodeReply(f)
	case "client_gone":
		event.Event = logic.ClientGone{ID: f.word("req")}
	case "due":
		event.Event = logic.TimerFired{Token: f.token("ctx")}
	case "health_result":
		outcome := f.outcome()
		f.seconds("time_taken_s")
		event.Event = logic.ProbeResult{Outcome: outcome, Endpoint: f.endpointID(), Load: f.loadReport()}
	case "peer":
		// The module uses no messages between senders. The line is checked and discarded.
		f.integer("neighbour")
		f.word("msg")
		event.Event = nil
	default:
		return event, &Error{d.line, "", "unknown event " + strconv.Quote(f.name)}
	}
	return event, f.finish()
}

// decodeEndpoints decodes an endpoints line: an update of the endpoint list, which an earlier register line holds.
func (d *Decoder) decodeEndpoints(f *fieldReader) logic.Event {
	kind := f.integer("form")
	f.integer("stamp")
	if kind < int64(logic.UpdateDelta) || kind > int64(logic.UpdateFailed) {
		f.fail("form", "out of range")
		return nil
	}
	event := logic.EndpointUpdate{Kind: logic.UpdateKind(kind)}
	if event.Kind == logic.UpdateFailed {
		f.word("set_id")
		return event
	}
	setID := f.integer("set_id")
	if setID < 0 || setID >= maxLists {
		f.fail("set_id", "out of range")
		return nil
	}
	event.Entries = d.lists[setID]
	return event
}

// decodeCall decodes a call line: a new message from a client.
func decodeCall(f *fieldReader) logic.Event {
	message := logic.Message{ID: f.word("req")}
	f.flag("repeat")
	message.TimeLeft = f.seconds("grace_s")
	f.flag("came_back")
	f.number("expected_s")
	message.OrderKey = f.optionalWord("key")
	f.flag("is_write")
	message.Dest = f.integer("to_exchange")
	message.Tenant = -1
	if tenant := f.optionalWord("realm"); tenant != "" {
		message.Tenant = int(f.parseInteger("realm", tenant))
	}
	message.Class = int(f.integer("category"))
	return message
}

// decodeReply decodes a reply line: the outcome of an attempt.
func decodeReply(f *fieldReader) logic.Event {
	result := logic.AttemptResult{
		ID:       f.word("req"),
		Final:    f.flag("no_more"),
		Endpoint: f.endpointID(),
		Attempt:  int(f.integer("copy")),
		Outcome:  f.outcome(),
		Latency:  f.seconds("time_taken_s"),
	}
	detail := int64(0)
	if w := f.optionalWord("detail"); w != "" {
		detail = f.parseInteger("detail", w)
	}
	// With the outcome "saturated", the detail is the wait that the endpoint requested, in milliseconds.
	if result.Outcome == logic.Refused && detail > 0 {
		result.RetryAfter = logic.Micros(detail) * logic.Second / 1000
	}
	result.Load = f.loadReport()
	return result
}

// fieldReader reads the values of one line in order and records the first error.
type fieldReader struct {
	name, remaining string
	line            int
	err             error
}

func (d *Decoder) newFieldReader(s string) *fieldReader {
	name, remaining, _ := strings.Cut(s, " ")
	return &fieldReader{name: name, remaining: remaining, line: d.line}
}

func (f *fieldReader) fail(field, msg string) {
	if f.err == nil {
		f.err = &Error{f.line, field, msg}
	}
}

// finish returns the first error. Values that were not read are an error too.
func (f *fieldReader) finish() error {
	if f.err == nil && f.remaining != "" {
		f.fail("", "more values than "+f.name+" takes")
	}
	return f.err
}

func (f *fieldReader) takeRemaining() string {
	s := f.remaining
	f.remaining = ""
	return s
}

func (f *fieldReader) word(field string) string {
	w, remaining, _ := strings.Cut(f.remaining, " ")
	f.remaining = remaining
	if w == "" {
		f.fail(field, "missing")
	}
	return w
}

// optionalWord reads a word that may be absent, which is written as "-"; it is then empty.
func (f *fieldReader) optionalWord(field string) string {
	w := f.word(field)
	if w == "-" {
		return ""
	}
	return w
}

func (f *fieldReader) parseInteger(field, w string) int64 {
	n, err := strconv.ParseInt(w, 10, 64)
	if err != nil {
		// The simulator may write an integer as a float with a zero fraction.
		x, ferr := strconv.ParseFloat(w, 64)
		if ferr != nil || x != float64(int64(x)) {
			f.fail(field, "not an integer: "+strconv.Quote(w))
		}
		n = int64(x)
	}
	return n
}

func (f *fieldReader) integer(field string) int64 { return f.parseInteger(field, f.word(field)) }

func (f *fieldReader) token(field string) uint64 {
	n, err := strconv.ParseUint(f.word(field), 10, 64)
	if err != nil {
		f.fail(field, "not an unsigned integer")
	}
	return n
}

// seed reads a signed or unsigned 64-bit integer.
func (f *fieldReader) seed(field string) uint64 {
	w := f.word(field)
	if n, err := strconv.ParseInt(w, 10, 64); err == nil {
		return uint64(n)
	}
	n, err := strconv.ParseUint(w, 10, 64)
	if err != nil {
		f.fail(field, "not an integer: "+strconv.Quote(w))
	}
	return n
}

func (f *fieldReader) endpointID() logic.EndpointID {
	n := f.integer("endpoint")
	if n < 0 || n > 1<<32-1 {
		f.fail("endpoint", "out of range")
	}
	return logic.EndpointID(n)
}

func (f *fieldReader) flag(field string) bool {
	w := f.word(field)
	if w != "0" && w != "1" && w != "-" {
		f.fail(field, "expected 0, 1 or -, got "+strconv.Quote(w))
	}
	return w == "1"
}

func (f *fieldReader) number(field string) float64 {
	w := f.optionalWord(field)
	if w == "" {
		return 0
	}
	x, err := strconv.ParseFloat(w, 64)
	if err != nil || x-x != 0 {
		f.fail(field, "not a number: "+strconv.Quote(w))
		return 0
	}
	return x
}

func (f *fieldReader) seconds(field string) logic.Micros {
	w := f.optionalWord(field)
	if w == "" {
		return 0
	}
	t, err := ParseSeconds(w)
	if err != nil {
		f.fail(field, err.Error())
	}
	return t
}

func (f *fieldReader) loadReport() []float64 {
	w := f.optionalWord("pressure")
	if w == "" {
		return nil
	}
	var values []float64
	for _, part := range strings.Split(w, ",") {
		x, err := strconv.ParseFloat(part, 64)
		if err != nil || x-x != 0 {
			f.fail("pressure", "not a number: "+strconv.Quote(part))
			return nil
		}
		values = append(values, x)
	}
	return values
}

func (f *fieldReader) outcome() logic.Outcome {
	w := f.word("reason")
	for i, name := range outcomeNames {
		if w == name {
			return logic.Outcome(i)
		}
	}
	f.fail("reason", "unknown outcome "+strconv.Quote(w))
	return 0
}

// outcomeNames holds the protocol's words for the outcomes that it can report.
var outcomeNames = [...]string{
	logic.Delivered:   "completed",
	logic.Errored:     "errored",
	logic.Refused:     "saturated",
	logic.TimedOut:    "overdue",
	logic.ConnRefused: "refused_conn",
	logic.ConnLost:    "severed",
	logic.Cancelled:   "recalled",
	logic.Skipped:     "superseded",
}

func (f *fieldReader) readiness() logic.Readiness {
	switch n := f.integer("readiness"); n {
	case 0:
		return logic.Ready
	case 3:
		return logic.Draining
	case 1:
		return logic.Removed
	default:
		f.fail("readiness", fmt.Sprintf("unknown state %d", n))
		return logic.Removed
	}
}

// ParseSeconds parses a decimal number of seconds into microseconds. Without an
// exponent the result is exact; digits past the sixth decimal are cut off.
func ParseSeconds(w string) (logic.Micros, error) {
	unsigned, negative := strings.CutPrefix(w, "-")
	intPart, frac, _ := strings.Cut(unsigned, ".")
	if strings.ContainsAny(unsigned, "eE") {
		x, err := strconv.ParseFloat(w, 64)
		if err != nil || x-x != 0 || x > 1e12 || x < -1e12 {
			return 0, fmt.Errorf("not a time: %q", w)
		}
		if x < 0 {
			return -logic.Micros(-x*1e6 + 0.5), nil
		}
		return logic.Micros(x*1e6 + 0.5), nil
	}
	if len(frac) > 6 {
		if strings.Trim(frac[6:], "0123456789") != "" {
			return 0, fmt.Errorf("not a time: %q", w)
		}
		frac = frac[:6]
	}
	digits := intPart + frac + "000000"[len(frac):]
	n, err := strconv.ParseUint(digits, 10, 63)
	if err != nil || intPart == "" {
		return 0, fmt.Errorf("not a time: %q", w)
	}
	if negative {
		return -logic.Micros(n), nil
	}
	return logic.Micros(n), nil
}

// AppendSeconds appends t in seconds, exactly and without trailing zeros.
func AppendSeconds(b []byte, t logic.Micros) []byte {
	if t < 0 {
		b = append(b, '-')
		t = -t
	}
	b = strconv.AppendInt(b, int64(t/logic.Second), 10)
	frac := int64(t % logic.Second)
	if frac == 0 {
		return b
	}
	return append(b, strings.TrimRight(fmt.Sprintf(".%06d", frac), "0")...)
}

// AppendAction appends one action of an instance as a line. An instance of the simulator stores nothing, so there is none
// for a record of health.
func AppendAction(b []byte, instance int, a logic.Action) []byte {
	id := strconv.Itoa(instance)
	switch a := a.(type) {
	case logic.Send:
		b = append(b, "call_out "+id+" "+a.ID+" "...)
		b = AppendSeconds(b, a.Timeout)
		b = append(b, ' ')
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.Cancel:
		b = append(b, "stop_attempt "+id+" "+a.ID+" "+strconv.Itoa(a.Attempt)...)
	case logic.Reject:
		b = append(b, "say_no "+id+" "+a.ID+" "...)
		if a.RetryAfter > 0 {
			b = AppendSeconds(b, a.RetryAfter)
		} else {
			b = append(b, '-')
		}
	case logic.Fail:
		b = append(b, "surrender "+id+" "+a.ID...)
	case logic.SetTimer:
		b = append(b, "notify_me "+id+" "...)
		b = AppendSeconds(b, a.Wait)
		b = append(b, ' ')
		b = strconv.AppendUint(b, a.Token, 10)
	case logic.Probe:
		b = append(b, "sample "+id+" "...)
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.ReleaseConns:
		b = append(b, "release "+id+" "...)
		b = strconv.AppendUint(b, uint64(a.Endpoint), 10)
	case logic.Subscribe:
		b = append(b, "listen "+id+" 1"...)
	case logic.RecordHealth:
		return b
	case logic.Log:
		b = append(b, "journal_line "+id+" "+strings.ReplaceAll(a.Text, "\n", " ")...)
	}
	return append(b, '\n')
}
