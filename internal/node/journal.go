package node

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"rundeal/internal/clock"
)

// Message is a message as a client handed it in.
type Message struct {
	ID       string `json:"id"`
	Key      string `json:"key,omitempty"`   // idempotency key
	Order    string `json:"order,omitempty"` // order key
	Class    string `json:"class"`
	Tenant   string `json:"tenant,omitempty"`
	Dest     int64  `json:"dest"`
	Deadline int64  `json:"deadline"` // on the journal's lasting clock, microseconds
	Body     []byte `json:"body,omitempty"`
}

// The states of a Notice.
const (
	noticeFailed   = "failed"
	noticeReturned = "returned"
)

// Notice is the end of a message as the platform is told of it.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // failed or returned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Entry is what the journal knows of a message that is not over, or whose end the
// platform has yet to confirm.
type Entry struct {
	Message
	Tries     int     `json:"tries,omitempty"`
	Open      bool    `json:"open,omitempty"`      // the last attempt has no outcome
	MayRun    bool    `json:"may_run,omitempty"`   // an earlier one may have run
	FirstMay  int64   `json:"first_may,omitempty"` // when the first that may have run was sent, on the lasting clock
	FirstZone int     `json:"zone,omitempty"`      // zone of its endpoint
	End       *Notice `json:"end,omitempty"`
	seq       int
	size      int
}

// op is the kind of a record.
type op byte

const (
	opAccept  op = iota + 1 // a message is taken on
	opSend                  // an attempt is about to be made
	opOutcome               // it has its outcome
	opDone                  // delivered, or over without our word
	opEnd                   // ended by us; the notice is owed
	opNoticed               // the notice is confirmed
	opClock                 // what the times of all records count on
)

// record is one line of the journal.
type record struct {
	Op     op      `json:"op"`
	ID     string  `json:"id,omitempty"`
	Entry  *Entry  `json:"entry,omitempty"`
	At     int64   `json:"at,omitempty"`
	Zone   int     `json:"zone,omitempty"`
	MayRun bool    `json:"may_run,omitempty"`
	Unsent bool    `json:"unsent,omitempty"` // with opOutcome: the attempt does not count
	Notice *Notice `json:"notice,omitempty"`

	Clock *clock.Anchor `json:"clock,omitempty"`
}

// binds says whether a record must be in the file before what it tells of may happen. Others only tell of the past.
func (r record) binds() bool { return r.Op == opAccept || r.Op == opSend }

const (
	journalName = "journal"
	newSuffix   = ".new"     // of a file that is being written
	asideSuffix = ".damaged" // of what could not be read
	headerLen   = 8          // length and CRC-32 of what follows
	maxRecord   = 1 << 20
	// filePart is the part of the disk that the journal's file may take: for the time of a rewrite there are two.
	filePart = 0.45
	// asidePart is the part of the disk that damaged records may take, which are kept aside.
	asidePart = 0.05
	// acceptPart is the part of a file that entries may fill before new messages are turned away: the rest is
	// room for what becomes of those already taken on.
	acceptPart = 0.6
	// rewritePause is the time between rewrites that fail half way.
	rewritePause = 250 * time.Millisecond
	// mostFile bounds a file where the platform sets no tighter limit; files count as memory.
	mostFile = 16 << 20
)

var (
	// errFull says that the journal has no room for another record.
	errFull = errors.New("journal full")
	// errUncertain says that records which do not count may be in the file all the same, until it can be cut.
	errUncertain = errors.New("the file could not be cut back")
)

// Journal keeps accepted messages in a file that outlives the process. Its
// records are appended; a file that grows too long is rewritten with what is
// still owed. It is not safe for concurrent use.
type Journal struct {
	dir     string
	file    *os.File
	size    int64 // of the part that counts
	limit   int64 // of one file
	aside   int64 // most bytes that are kept aside
	live    int64 // rough size of what a rewrite keeps
	seq     int
	entries map[string]*Entry
	clock   *clock.Persistent
	stamp   clock.Anchor
	stamped bool     // a stamp was read
	latest  int64    // the latest time on record
	pending []record // of the past, in order: they could not be written yet
	torn    bool     // there may be bytes behind size
	failed  bool     // the last write did

	rewriteFailed time.Time // when a rewrite last failed half way

	cut int64 // bytes that could not be read at the start: a torn end, or damage and all behind it

	asideErr error // why they could not be kept aside
}

// OpenJournal replays the journal in dir and makes it ready for appending.
// Together its files stay under diskBytes. A read that fails is an error, unless
// lenient: then the journal ends before it.
func OpenJournal(dir string, diskBytes int64, lenient bool) (*Journal, error) {
	disk := float64(diskBytes)
	if diskBytes <= 0 || disk*filePart > mostFile {
		disk = mostFile / filePart
	}
	j := &Journal{dir: dir, entries: map[string]*Entry{}, limit: int64(disk * filePart), aside: int64(disk * asidePart)}
	f, err := os.OpenFile(j.path(""), os.O_RDWR, 0o600)
	if errors.Is(err, os.ErrNotExist) {
		f, err = os.OpenFile(j.path(""), os.O_RDWR|os.O_CREATE, 0o600)
	}
	if err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if err := j.replay(f, lenient); err != nil {
		f.Close()
		return nil, fmt.Errorf("journal: %w", err)
	}
	j.file = f
	j.startClock()
	return j, nil
}

func (j *Journal) path(suffix string) string { return filepath.Join(j.dir, journalName+suffix) }

// startClock goes on with the clock of the records, or begins one. A stamp that is new comes before all other records.
func (j *Journal) startClock() {
	was := j.stamp
	if j.stamped {
		j.clock, j.stamp = clock.Resume(j.stamp, j.latest)
	} else { // a journal of an older build: its times are Unix time
		j.clock, j.stamp = clock.NewWithAnchor()
	}
	if !j.stamped || j.stamp != was {
		j.pending = append(j.pending, record{Op: opClock, Clock: &j.stamp})
	}
}

// replay reads records up to the first that is not whole. What follows is kept aside, and cut off before the next write.
func (j *Journal) replay(f *os.File, lenient bool) error {
	r := bufio.NewReaderSize(f, 1<<16)
	for {
		rec, n, err := readRecord(r)
		if errors.Is(err, errNotWhole) {
			break
		}
		if err != nil && !lenient {
			return err
		}
		if err != nil {
			break
		}
		j.apply(rec)
		j.size += n
	}
	end, err := f.Seek(0, io.SeekEnd)
	if err != nil {
		return err
	}
	if j.cut = end - j.size; j.cut > 0 {
		j.torn = true
		j.keepAside(f)
	}
	return nil
}

// errNotWhole says that no whole record comes next.
var errNotWhole = errors.New("no whole record")

// readRecord reads the next record and says how many bytes it took. An error other than errNotWhole is one of the file.
func readRecord(r io.Reader) (rec record, size int64, err error) {
	var head [headerLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return rec, 0, orNotWhole(err)
	}
	n := binary.LittleEndian.Uint32(head[:4])
	if n == 0 || n > maxRecord {
		return rec, 0, errNotWhole
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return rec, 0, orNotWhole(err)
	}
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(head[4:]) || json.Unmarshal(body, &rec) != nil {
		return rec, 0, errNotWhole
	}
	return rec, headerLen + int64(n), nil
}

// orNotWhole tells the end of a file from a read that failed.
func orNotWhole(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errNotWhole
	}
	return err
}

// keepAside copies what follows the last whole record to a file of its own, within its bound. It is there for people to
// look at: a disk that has no room for it is no reason not to start.
func (j *Journal) keepAside(f *os.File) {
	tail := make([]byte, min(j.cut, j.aside))
	n, err := f.ReadAt(tail, j.size)
	if err == nil || err == io.EOF {
		err = os.WriteFile(j.path(asideSuffix), tail[:n], 0o600)
	}
	j.asideErr = err
}

// apply brings the entries up to date with a record.
func (j *Journal) apply(rec record) {
	switch rec.Op {
	case opClock:
		if rec.Clock != nil {
			j.stamp, j.stamped = *rec.Clock, true
			j.latest = max(j.latest, rec.Clock.Time)
		}
		return
	case opAccept:
		if rec.Entry == nil || j.entries[rec.Entry.ID] != nil {
			return
		}
		e := rec.Entry
		j.seq++
		e.seq, e.size = j.seq, len(e.Body)*4/3+512
		j.live += int64(e.size)
		j.entries[e.ID] = e
		j.latest = max(j.latest, e.FirstMay)
		return
	}
	e := j.entries[rec.ID]
	if e == nil {
		return
	}
	switch rec.Op {
	case opSend:
		j.latest = max(j.latest, rec.At)
		e.Tries++
		e.Open = true
		if !e.MayRun {
			e.FirstMay, e.FirstZone = rec.At, rec.Zone
		}
	case opOutcome:
		if rec.Unsent {
			e.Tries--
		}
		e.Open = false
		e.MayRun = e.MayRun || rec.MayRun
	case opEnd:
		e.End = rec.Notice
		e.Body = nil
		j.live -= int64(e.size - 512)
		e.size = 512
	case opDone, opNoticed:
		j.live -= int64(e.size)
		delete(j.entries, rec.ID)
	}
}

// Room says whether the journal can take on a message with such a body.
func (j *Journal) Room(body int) bool {
	return float64(j.live)+float64(body)*4/3+512 <= acceptPart*float64(j.limit)
}

// Append writes records in one go, so that a process that dies leaves all of the
// earlier ones before any later one. On an error none of them counts: the caller
// must not act on a message taken on or a send. What only tells of the past
// counts all the same, and is written before anything else as soon as that works.
func (j *Journal) Append(recs []record) error {
	if len(recs) == 0 && len(j.pending) == 0 {
		return nil
	}
	err := j.write(recs)
	if err != nil && j.failed && time.Since(j.rewriteFailed) > rewritePause && !errors.Is(err, errFull) {
		err = j.writeAnew(recs, err) // it may be the file that fails
	}
	j.failed = err != nil
	for _, rec := range recs {
		if err == nil || !rec.binds() {
			j.apply(rec)
		}
		if err != nil && !rec.binds() {
			j.pending = append(j.pending, rec)
		}
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// writeAnew puts what is owed into another file, and recs behind it. Why is the error of the file at hand.
func (j *Journal) writeAnew(recs []record, why error) error {
	if err := j.Compact(); err != nil {
		return errors.Join(why, err)
	}
	return j.write(recs)
}

// Settled says whether all that counts is in the file.
func (j *Journal) Settled() bool { return len(j.pending) == 0 }

// write writes what is pending and then recs.
func (j *Journal) write(recs []record) error {
	earlier, err := frames(j.pending)
	if err != nil {
		return err
	}
	later, err := frames(recs)
	if err != nil {
		return err
	}
	if err := j.cutBack(); err != nil {
		return err
	}
	if j.size+int64(len(earlier)+len(later)) > j.limit {
		if err := j.Compact(); err != nil { // it writes what is pending too
			return err
		}
		earlier = nil
	}
	b := append(earlier, later...)
	if j.size+int64(len(b)) > j.limit {
		return errFull
	}
	if _, err := j.file.WriteAt(b, j.size); err != nil {
		// What was written in part must not stand before later records, and what of it is whole must not count.
		j.torn = true // WriteAt does not count what its last write moved before the error
		if cut := j.cutBack(); cut != nil {
			return errors.Join(err, errUncertain, cut)
		}
		return err
	}
	j.size += int64(len(b))
	j.pending = nil
	return nil
}

// cutBack takes off what stands behind the part that counts.
func (j *Journal) cutBack() error {
	if !j.torn {
		return nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return err
	}
	j.torn = false
	return nil
}

// frames encodes records for the file.
func frames(recs []record) (b []byte, err error) {
	for _, rec := range recs {
		if b, err = frame(b, rec); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func frame(b []byte, rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return b, err
	}
	if len(body) > maxRecord {
		return b, fmt.Errorf("record of %d bytes", len(body))
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	return append(b, body...), nil
}

// Compact rewrites the journal with what is still owed. The old file stands until
// the new one is whole.
func (j *Journal) Compact() error {
	recs := []record{{Op: opClock, Clock: &j.stamp}}
	for _, e := range j.Entries() {
		recs = append(recs, record{Op: opAccept, Entry: e})
	}
	b, err := frames(recs)
	if err != nil {
		return err
	}
	if int64(len(b)) > j.limit {
		return errFull
	}
	f, err := os.OpenFile(j.path(newSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, 0); err != nil {
		j.rewriteFailed = time.Now()
	} else {
		err = os.Rename(j.path(newSuffix), j.path(""))
	}
	if err != nil {
		f.Close()
		return errors.Join(err, os.Remove(j.path(newSuffix)))
	}
	j.file.Close()
	j.file, j.size, j.torn, j.pending = f, int64(len(b)), false, nil
	return nil
}

// Entries lists what is owed, in the order in which it was taken on.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return a.seq - b.seq })
	return list
}

// Entry returns what is known of a message; nil if nothing is owed for it.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Close closes the file.
func (j *Journal) Close() error { return j.file.Close() }
