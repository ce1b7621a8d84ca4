package node

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

func openJournal(t *testing.T, dir string, bytes int64) *Journal {
	t.Helper()
	j, err := OpenJournal(dir, bytes, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { j.Close() })
	return j
}

func acceptRecord(id string, body int) record {
	return record{Op: opAccept, Entry: &Entry{Message: &Message{ID: id, Class: "safe", Dest: 1, Deadline: 1,
		Body: bytes.Repeat([]byte("b"), body)}}}
}

func mustAppend(t *testing.T, j *Journal, recs ...record) {
	t.Helper()
	if err := j.Append(recs); err != nil {
		t.Fatal(err)
	}
}

// After a crash the replayed journal decides whether a message is sent again, so replay must restore the state of each
// message exactly, before and after a rewrite.
func TestJournalReplay(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("sent", 3), acceptRecord("done", 3), acceptRecord("never", 3),
		acceptRecord("may", 3), acceptRecord("ended", 3), acceptRecord("confirmed", 3))
	for _, id := range []string{"sent", "done", "never", "may"} {
		mustAppend(t, j, record{Op: opSend, ID: id, At: 100, Zone: 1})
	}
	mustAppend(t, j, record{Op: opDone, ID: "done"}, record{Op: opOutcome, ID: "never"},
		record{Op: opOutcome, ID: "may", MayHaveRun: true}, record{Op: opSend, ID: "may", At: 200, Zone: 0},
		record{Op: opGiveUp, ID: "ended", Notice: &Notice{ID: "ended", State: "failed"}},
		record{Op: opGiveUp, ID: "confirmed", Notice: &Notice{ID: "confirmed", State: "failed"}},
		record{Op: opNoticeConfirmed, ID: "confirmed"})
	check := func(when string) {
		t.Helper()
		j := openJournal(t, dir, 3e6)
		var ids []string
		for _, e := range j.Entries() {
			ids = append(ids, e.ID)
		}
		if got := fmt.Sprint(ids); got != "[sent never may ended]" {
			t.Fatalf("%s: entries %v", when, got)
		}
		if e := j.Entry("sent"); e.Attempts != 1 || !e.InFlight || e.MayHaveRun || e.FirstMayRunAt != 100 ||
			e.FirstMayRunZone != 1 || string(e.Body) != "bbb" {
			t.Errorf("%s: sent: %+v", when, e)
		}
		if e := j.Entry("never"); e.Attempts != 1 || e.InFlight || e.MayHaveRun {
			t.Errorf("%s: never: %+v", when, e)
		}
		// The window of a keyed message starts with the first attempt that may have run, not with the last.
		if e := j.Entry("may"); e.Attempts != 2 || !e.InFlight || !e.MayHaveRun || e.FirstMayRunAt != 100 ||
			e.FirstMayRunZone != 1 {
			t.Errorf("%s: may: %+v", when, e)
		}
		if e := j.Entry("ended"); e.End == nil || e.End.State != "failed" {
			t.Errorf("%s: ended: %+v", when, e)
		}
	}
	check("appended")
	if err := j.Compact(); err != nil {
		t.Fatal(err)
	}
	check("compacted")
}

// A process can die in the middle of a write. Whatever the last bytes of the file are, the complete records before them
// must be replayed, and records appended afterwards must be readable.
func TestJournalTornTail(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10))
	first := j.size
	mustAppend(t, j, acceptRecord("b", 10))
	whole, err := os.ReadFile(filepath.Join(dir, journalFile))
	if err != nil {
		t.Fatal(err)
	}
	tails := [][]byte{}
	for i := int(first); i < len(whole); i++ {
		tails = append(tails, whole[:i])
	}
	flipped := bytes.Clone(whole)
	flipped[len(flipped)-1] ^= 1
	huge := append(bytes.Clone(whole[:first]), 0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0)
	tails = append(tails, flipped, huge, append(bytes.Clone(whole[:first]), make([]byte, 64)...))
	for i, data := range tails {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, journalFile), data, 0o600); err != nil {
			t.Fatal(err)
		}
		j := openJournal(t, dir, 3e6)
		if j.Entry("a") == nil || j.Entry("b") != nil {
			t.Fatalf("tail %d: a %v, b %v", i, j.Entry("a"), j.Entry("b"))
		}
		mustAppend(t, j, acceptRecord("c", 10))
		if j := openJournal(t, dir, 3e6); j.Entry("a") == nil || j.Entry("c") == nil {
			t.Fatalf("tail %d: the record appended after it is lost", i)
		}
	}
}

// Valid records after a damaged one are dropped. They must not reappear when a record of the same length is written
// over the damaged one.
func TestJournalDropsRecordsAfterDamage(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10))
	at := j.size + frameHeaderLen
	mustAppend(t, j, acceptRecord("b", 10), acceptRecord("c", 10))
	if _, err := j.file.WriteAt([]byte{0}, at); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, openJournal(t, dir, 3e6), acceptRecord("d", 10))
	if j := openJournal(t, dir, 3e6); len(j.entries) != 2 || j.Entry("a") == nil || j.Entry("d") == nil {
		t.Errorf("entries %v", j.entries)
	}
}

// diskUse returns the size of the files in dir as the platform computes it.
func diskUse(t *testing.T, dir string) int64 {
	t.Helper()
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var sum int64
	for _, file := range files {
		if info, err := file.Info(); err == nil {
			sum += (info.Size() + 511) / 512 * 512
		}
	}
	return sum
}

// The platform treats a state folder above its disk limit as a crash. Entries of ended messages must be removed to make
// room. If no message has ended, new messages must be rejected while there is still room for further records of the
// accepted ones.
func TestJournalStaysWithinDiskLimit(t *testing.T) {
	dir := t.TempDir()
	const disk = 100_000
	j := openJournal(t, dir, disk)
	for i := range 2000 {
		id := fmt.Sprint("m", i)
		mustAppend(t, j, acceptRecord(id, 1000), record{Op: opSend, ID: id, At: 1}, record{Op: opDone, ID: id})
		if used := diskUse(t, dir); used > disk/2 {
			t.Fatalf("%d bytes without a live entry", used)
		}
	}
	n := 0
	for ; j.HasRoom(1000); n++ {
		mustAppend(t, j, acceptRecord(fmt.Sprint("f", n), 1000))
	}
	if n < 5 {
		t.Fatalf("room for %d messages only", n)
	}
	for i := range 2000 {
		mustAppend(t, j, record{Op: opSend, ID: "f0", At: int64(i)}, record{Op: opOutcome, ID: "f0"})
		if used := diskUse(t, dir); used > disk/2 {
			t.Fatalf("%d bytes with %d live entries", used, n)
		}
	}
	if e := openJournal(t, dir, disk).Entry("f0"); e == nil || e.Attempts != 2000 {
		t.Errorf("after many rewrites: %+v", e)
	}
	if err := j.Append([]record{acceptRecord("big", 40_000)}); !errors.Is(err, errJournalFull) {
		t.Errorf("got %v, want errJournalFull", err)
	}
}

// A failed write must not leave a partial record behind, nor accept a message. Past events among its records must not
// be lost.
func TestJournalWriteError(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 3e6)
	mustAppend(t, j, acceptRecord("a", 10), acceptRecord("b", 10))
	writable := j.file
	readOnly, err := os.Open(writable.Name())
	if err != nil {
		t.Fatal(err)
	}
	j.file = readOnly
	err = j.Append([]record{{Op: opDone, ID: "a"}, acceptRecord("c", 10), {Op: opSend, ID: "b", At: 1}})
	if err == nil {
		t.Fatal("no error")
	}
	if j.Entry("c") != nil || j.Entry("b").Attempts != 0 || j.Entry("a") != nil {
		t.Errorf("after the error: a %v, b %+v, c %v", j.Entry("a"), j.Entry("b"), j.Entry("c"))
	}
	mustAppend(t, j, acceptRecord("d", 10)) // writes a new file
	writable.Close()
	k := openJournal(t, dir, 3e6)
	if k.Entry("a") != nil || k.Entry("b") == nil || k.Entry("c") != nil || k.Entry("d") == nil {
		t.Errorf("after the rewrite: %v", k.entries)
	}
}

// A message whose class has been removed from the settings must not be treated as one of another class: it fails if it
// may have run, and is returned otherwise.
func TestUnknownClassInJournal(t *testing.T) {
	p, e, dir, known := newSingleEndpoint(t)
	j := openJournal(t, dir, 3e6)
	for _, id := range []string{"ran", "waits"} {
		mustAppend(t, j, record{Op: opAccept, Entry: &Entry{Message: &Message{
			ID:       id,
			Class:    "removed",
			Dest:     1,
			Deadline: j.clock.Now() + time.Minute.Microseconds(),
			Body:     []byte("x"),
		}}})
	}
	mustAppend(t, j, record{Op: opSend, ID: "ran", At: j.clock.Now()})
	n := startNode(t, p, dir, known)
	ends := map[string]string{}
	for range 2 {
		notice := receive(t, p.notices, "notice")
		ends[notice.ID] = notice.State
	}
	if ends["ran"] != noticeFailed || ends["waits"] != noticeReturned {
		t.Errorf("ended as %v", ends)
	}
	e.expectNoCall(t)
	stopAndCheckEmpty(t, n)
}

// Guards against a long replay, in which no process serves the messages: a file with few live entries is rewritten long
// before it reaches its limit, also after a rewrite has failed.
func TestJournalIsRewrittenBeforeItsLimit(t *testing.T) {
	dir := t.TempDir()
	j := openJournal(t, dir, 100e6)
	blocked := filepath.Join(dir, journalFile+rewriteSuffix)
	if err := os.MkdirAll(filepath.Join(blocked, "x"), 0o700); err != nil {
		t.Fatal(err)
	}
	mustAppend(t, j, acceptRecord("live", 1000))
	appendEnded := func(bytes int) {
		for i := 0; bytes > 0; i++ {
			id := fmt.Sprint("m", i)
			mustAppend(t, j, acceptRecord(id, 10000), record{Op: opDone, ID: id})
			bytes -= 10000
		}
	}
	appendEnded(2 * minRewriteBytes)
	if j.size < 2*minRewriteBytes {
		t.Fatalf("rewritten to %d bytes although the new file could not be created", j.size)
	}
	if err := os.RemoveAll(blocked); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * rewriteRetryDelay)
	for range 3 {
		appendEnded(minRewriteBytes)
		if j.size > minRewriteBytes+20000 {
			t.Errorf("%d bytes with one live entry", j.size)
		}
	}
	again := openJournal(t, dir, 100e6)
	if again.Entry("live") == nil || len(again.entries) != 1 {
		t.Errorf("%d entries after a replay", len(again.entries))
	}
}
