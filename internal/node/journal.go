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

// States of a Notice.
const (
	noticeFailed   = "failed"
	noticeReturned = "returned"
)

// Notice reports to the platform that this sender has given a message up.
type Notice struct {
	ID      string `json:"id"`
	State   string `json:"state"` // noticeFailed or noticeReturned
	AfterMS int64  `json:"after_ms,omitempty"`
}

// Entry is the journal's state of a message that has not ended, or whose notice the platform has not confirmed yet. The
// event loop owns it, except for the message, which it shares.
type Entry struct {
	*Message                // without its body once the message is given up
	Attempts        int     `json:"tries,omitempty"`
	InFlight        bool    `json:"open,omitempty"`      // the last attempt has no outcome
	MayHaveRun      bool    `json:"may_run,omitempty"`   // an earlier attempt may have run
	FirstMayRunAt   int64   `json:"first_may,omitempty"` // send time of the first that may have run, persistent clock
	FirstMayRunZone int     `json:"zone,omitempty"`      // zone of that attempt's endpoint
	End             *Notice `json:"end,omitempty"`
	seq             int
	size            int
}

// op is the kind of a record.
type op byte

const (
	opAccept          op = iota + 1 // a message is accepted
	opSend                          // an attempt is about to be made
	opOutcome                       // the attempt has an outcome
	opDone                          // the message is delivered, or the endpoint says that it is over
	opGiveUp                        // this sender gives the message up and owes the platform a notice
	opNoticeConfirmed               // the platform has confirmed the notice
	opClock                         // stamp of the clock that the times of all records refer to
	opHealth                        // what is known about outages of a destination
)

// record is one entry of the journal file.
type record struct {
	Op           op      `json:"op"`
	ID           string  `json:"id,omitempty"`
	Entry        *Entry  `json:"entry,omitempty"`
	At           int64   `json:"at,omitempty"`
	Zone         int     `json:"zone,omitempty"`
	MayHaveRun   bool    `json:"may_run,omitempty"`
	LocalFailure bool    `json:"unsent,omitempty"` // with opOutcome: the attempt does not count
	Notice       *Notice `json:"notice,omitempty"`

	Clock *clock.Anchor `json:"clock,omitempty"`

	Health *healthRecord `json:"health,omitempty"`
}

// writeAhead reports whether the record must be in the file before the step that it describes may be taken. All other
// records describe something that has already happened.
func (r record) writeAhead() bool { return r.Op == opAccept || r.Op == opSend }

const (
	journalFile    = "journal"
	rewriteSuffix  = ".new"     // of the file that a rewrite is writing
	damagedSuffix  = ".damaged" // of the copy of unreadable data
	frameHeaderLen = 8          // length and CRC-32 of the body
	maxRecordBytes = 1 << 20
	// fileDiskShare is the share of the disk limit for one journal file: during a rewrite there are two.
	fileDiskShare = 0.45
	// damagedDiskShare is the share of the disk limit for the copy of damaged records.
	damagedDiskShare = 0.05
	// acceptFileShare is the share of a file that entries may fill before new messages are rejected. The rest is kept free
	// for later records of messages that have already been accepted.
	acceptFileShare = 0.6
	// minRewriteBytes is the size from which a file is rewritten before it reaches its limit, once it has rewriteFactor times
	// the size of its live entries. It bounds the time of a replay, in which no process serves the messages.
	minRewriteBytes = 2 << 20
	rewriteFactor   = 4
	// rewriteRetryDelay is the minimum time between rewrites if one fails while it writes the new file.
	rewriteRetryDelay = 250 * time.Millisecond
	// maxFileBytes is the size limit of a file if the platform sets no lower one; files count as memory.
	maxFileBytes = 16 << 20
)

var (
	// errJournalFull: the journal has no room for another record.
	errJournalFull = errors.New("journal full")
	// errTruncateFailed: records of a failed write may remain in the file until it can be truncated.
	errTruncateFailed = errors.New("cannot truncate the file after a failed write")
)

// Journal keeps accepted messages in a file that survives the process. Records are appended; when the file reaches its
// limit, or is much larger than its live entries, it is rewritten with those only. A Journal is not safe for concurrent use.
type Journal struct {
	dir             string
	file            *os.File
	size            int64 // of the valid part of file
	maxBytes        int64 // size limit of one file
	maxDamagedBytes int64 // size limit of the copy of damaged records
	liveBytes       int64 // estimated size of the file after a rewrite
	seq             int
	entries         map[string]*Entry
	health          map[int64]*healthRecord // by destination; only those of which an outage is known
	clock           *clock.Persistent       // the persistent clock, which the times of all records refer to
	stamp           clock.Anchor
	hasStamp        bool     // replay has read a stamp
	latestTime      int64    // latest time in any record
	pending         []record // records of past events that could not be written yet, in order
	needsTruncate   bool     // there may be invalid bytes after size
	lastWriteFailed bool

	rewriteFailedAt time.Time // when writing the new file of a rewrite last failed
	rewriteAfter    time.Time // no rewrite before the limit of the file until then, since one has failed

	skippedBytes int64 // bytes that replay left out: an incomplete last record, or a damaged one and all that follows

	saveDamagedErr error // why the skipped bytes could not be copied
}

// OpenJournal replays the journal in dir and opens it for appending. The total size of its files stays below diskBytes.
// A failed read is an error, unless lenient is set: then the journal is replayed up to it.
func OpenJournal(dir string, diskBytes int64, lenient bool) (*Journal, error) {
	disk := float64(diskBytes)
	if diskBytes <= 0 || disk*fileDiskShare > maxFileBytes {
		disk = maxFileBytes / fileDiskShare
	}
	j := &Journal{
		dir:             dir,
		entries:         map[string]*Entry{},
		health:          map[int64]*healthRecord{},
		maxBytes:        int64(disk * fileDiskShare),
		maxDamagedBytes: int64(disk * damagedDiskShare),
	}
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

func (j *Journal) path(suffix string) string { return filepath.Join(j.dir, journalFile+suffix) }

// startClock resumes the clock of the records, or starts a new one. A new stamp is written before all other records.
func (j *Journal) startClock() {
	previous := j.stamp
	if j.hasStamp {
		j.clock, j.stamp = clock.Resume(j.stamp, j.latestTime)
	} else { // written by an older build: its times are Unix time
		j.clock, j.stamp = clock.NewWithAnchor()
	}
	if !j.hasStamp || j.stamp != previous {
		j.pending = append(j.pending, record{Op: opClock, Clock: &j.stamp})
	}
}

// replay reads records up to the first incomplete or damaged one. The rest is copied to another file, and truncated
// before the next write.
func (j *Journal) replay(f *os.File, lenient bool) error {
	r := bufio.NewReaderSize(f, 1<<16)
	for {
		rec, n, err := readRecord(r)
		if errors.Is(err, errIncompleteRecord) {
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
	if j.skippedBytes = end - j.size; j.skippedBytes > 0 {
		j.needsTruncate = true
		j.saveDamagedTail(f)
	}
	return nil
}

// errIncompleteRecord: the next bytes are not a complete, valid record.
var errIncompleteRecord = errors.New("incomplete or damaged record")

// readRecord reads the next record and returns its size in the file. Any error other than errIncompleteRecord is a read
// error of the file.
func readRecord(r io.Reader) (rec record, size int64, err error) {
	var head [frameHeaderLen]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return rec, 0, incompleteIfEOF(err)
	}
	n := binary.LittleEndian.Uint32(head[:4])
	if n == 0 || n > maxRecordBytes {
		return rec, 0, errIncompleteRecord
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return rec, 0, incompleteIfEOF(err)
	}
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(head[4:]) || json.Unmarshal(body, &rec) != nil {
		return rec, 0, errIncompleteRecord
	}
	return rec, frameHeaderLen + int64(n), nil
}

// incompleteIfEOF turns an end of file into errIncompleteRecord and returns other read errors as they are.
func incompleteIfEOF(err error) error {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return errIncompleteRecord
	}
	return err
}

// saveDamagedTail copies what follows the last valid record to a separate file, up to a size limit. The copy is for
// later inspection only, so failing to write it does not prevent the start.
func (j *Journal) saveDamagedTail(f *os.File) {
	tail := make([]byte, min(j.skippedBytes, j.maxDamagedBytes))
	n, err := f.ReadAt(tail, j.size)
	if err == nil || err == io.EOF {
		err = os.WriteFile(j.path(damagedSuffix), tail[:n], 0o600)
	}
	j.saveDamagedErr = err
}

// apply updates the entries with a record.
func (j *Journal) apply(rec record) {
	switch rec.Op {
	case opClock:
		if rec.Clock != nil {
			j.stamp, j.hasStamp = *rec.Clock, true
			j.latestTime = max(j.latestTime, rec.Clock.Time)
		}
		return
	case opHealth:
		if rec.Health != nil {
			j.setHealth(rec.Health)
		}
		return
	case opAccept:
		if rec.Entry == nil || rec.Entry.Message == nil || j.entries[rec.Entry.ID] != nil {
			return
		}
		e := rec.Entry
		j.seq++
		e.seq, e.size = j.seq, len(e.Body)*4/3+512
		j.liveBytes += int64(e.size)
		j.entries[e.ID] = e
		j.latestTime = max(j.latestTime, e.FirstMayRunAt)
		return
	}
	e := j.entries[rec.ID]
	if e == nil {
		return
	}
	switch rec.Op {
	case opSend:
		j.latestTime = max(j.latestTime, rec.At)
		e.Attempts++
		e.InFlight = true
		if !e.MayHaveRun {
			e.FirstMayRunAt, e.FirstMayRunZone = rec.At, rec.Zone
		}
	case opOutcome:
		if rec.LocalFailure {
			e.Attempts--
		}
		e.InFlight = false
		e.MayHaveRun = e.MayHaveRun || rec.MayHaveRun
	case opGiveUp:
		e.End = rec.Notice
		e.Message = e.Message.withoutBody() // a call that has not ended may still hold the message itself
		j.liveBytes -= int64(e.size - 512)
		e.size = 512
	case opDone, opNoticeConfirmed:
		j.liveBytes -= int64(e.size)
		delete(j.entries, rec.ID)
	}
}

// HasRoom reports whether the journal can accept a message with a body of this many bytes.
func (j *Journal) HasRoom(body int) bool {
	return float64(j.liveBytes)+float64(body)*4/3+512 <= acceptFileShare*float64(j.maxBytes)
}

// Append writes records in a single write, in order, so that if the process dies a later record is never in the file
// without the earlier ones. On an error the caller must neither accept a message nor make a send that is among recs.
// Records of past events take effect even then, and are written before any others once writing works again.
func (j *Journal) Append(recs []record) error {
	if len(recs) == 0 && len(j.pending) == 0 {
		return nil
	}
	err := j.write(recs)
	if err != nil && j.lastWriteFailed && time.Since(j.rewriteFailedAt) > rewriteRetryDelay &&
		!errors.Is(err, errJournalFull) {
		err = j.rewriteAndAppend(recs, err) // the error may be specific to this file
	}
	j.lastWriteFailed = err != nil
	for _, rec := range recs {
		if err == nil || !rec.writeAhead() {
			j.apply(rec)
		}
		if err != nil && !rec.writeAhead() {
			j.addPending(rec)
		}
	}
	if err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	return nil
}

// rewriteAndAppend rewrites the journal into a new file and appends recs to it. cause is the error of the write to the
// current file.
func (j *Journal) rewriteAndAppend(recs []record, cause error) error {
	if err := j.Compact(); err != nil {
		return errors.Join(cause, err)
	}
	return j.write(recs)
}

// Flushed reports whether no records are waiting to be written.
func (j *Journal) Flushed() bool { return len(j.pending) == 0 }

// write appends the pending records and then recs to the file.
func (j *Journal) write(recs []record) error {
	pending, err := encodeRecords(j.pending)
	if err != nil {
		return err
	}
	added, err := encodeRecords(recs)
	if err != nil {
		return err
	}
	if err := j.truncateTail(); err != nil {
		return err
	}
	size := j.size + int64(len(pending)+len(added))
	switch {
	case size > j.maxBytes:
		if err := j.Compact(); err != nil { // includes the pending records
			return err
		}
		pending = nil
	case size > max(minRewriteBytes, rewriteFactor*j.liveBytes) && time.Now().After(j.rewriteAfter):
		if err := j.Compact(); err != nil { // the file still has room
			j.rewriteAfter = time.Now().Add(rewriteRetryDelay)
		} else {
			pending = nil
		}
	}
	b := append(pending, added...)
	if j.size+int64(len(b)) > j.maxBytes {
		return errJournalFull
	}
	if _, err := j.file.WriteAt(b, j.size); err != nil {
		// A partial write must be removed: it would corrupt later records, and complete records in it must not be replayed.
		// The number of bytes returned by WriteAt leaves out what its last system call wrote.
		j.needsTruncate = true
		if truncateErr := j.truncateTail(); truncateErr != nil {
			return errors.Join(err, errTruncateFailed, truncateErr)
		}
		return err
	}
	j.size += int64(len(b))
	j.pending = nil
	return nil
}

// truncateTail removes everything after the valid part of the file.
func (j *Journal) truncateTail() error {
	if !j.needsTruncate {
		return nil
	}
	if err := j.file.Truncate(j.size); err != nil {
		return err
	}
	j.needsTruncate = false
	return nil
}

// encodeRecords encodes records as they are stored in the file.
func encodeRecords(recs []record) (b []byte, err error) {
	for _, rec := range recs {
		if b, err = appendRecord(b, rec); err != nil {
			return nil, err
		}
	}
	return b, nil
}

func appendRecord(b []byte, rec record) ([]byte, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return b, err
	}
	if len(body) > maxRecordBytes {
		return b, fmt.Errorf("record of %d bytes is too long", len(body))
	}
	b = binary.LittleEndian.AppendUint32(b, uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(body))
	return append(b, body...), nil
}

// Compact rewrites the journal with the live entries only. The old file stays in place until the new one is complete.
func (j *Journal) Compact() error {
	recs := []record{{Op: opClock, Clock: &j.stamp}}
	for _, h := range j.Health() {
		recs = append(recs, record{Op: opHealth, Health: h})
	}
	for _, e := range j.Entries() {
		recs = append(recs, record{Op: opAccept, Entry: e})
	}
	b, err := encodeRecords(recs)
	if err != nil {
		return err
	}
	if int64(len(b)) > j.maxBytes {
		return errJournalFull
	}
	f, err := os.OpenFile(j.path(rewriteSuffix), os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.WriteAt(b, 0); err != nil {
		j.rewriteFailedAt = time.Now()
	} else {
		err = os.Rename(j.path(rewriteSuffix), j.path(""))
	}
	if err != nil {
		f.Close()
		return errors.Join(err, os.Remove(j.path(rewriteSuffix)))
	}
	j.file.Close()
	j.file, j.size, j.needsTruncate, j.pending = f, int64(len(b)), false, nil
	return nil
}

// Entries returns all live entries in the order in which their messages were accepted.
func (j *Journal) Entries() []*Entry {
	list := make([]*Entry, 0, len(j.entries))
	for _, e := range j.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *Entry) int { return a.seq - b.seq })
	return list
}

// Entry returns the entry of a message, or nil if there is none.
func (j *Journal) Entry(id string) *Entry { return j.entries[id] }

// Close closes the journal file.
func (j *Journal) Close() error { return j.file.Close() }
