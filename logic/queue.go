package logic

import (
	"container/heap"
	"slices"
)

// The indexes over the waiting messages: a backlog for each destination that has any, a queue of the backlogs
// by the time of their next scan, and queues of the messages by the time at which they expire. This file only
// maintains them; what to do with a message is decided in logic.go.

// priorityQueue is a heap whose items store their own position in it, so that an item can be moved or removed
// without a search.
type priorityQueue[T any] struct {
	items []T
	less  func(a, b T) bool
	pos   func(T) *int // where an item stores its position, counted from 1; 0 if it is not in the queue
}

func (q *priorityQueue[T]) Len() int           { return len(q.items) }
func (q *priorityQueue[T]) Less(i, j int) bool { return q.less(q.items[i], q.items[j]) }
func (q *priorityQueue[T]) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	*q.pos(q.items[i]), *q.pos(q.items[j]) = i+1, j+1
}

func (q *priorityQueue[T]) Push(item any) {
	q.items = append(q.items, item.(T))
	*q.pos(item.(T)) = len(q.items)
}

func (q *priorityQueue[T]) Pop() any {
	var zero T
	last := len(q.items) - 1
	item := q.items[last]
	q.items[last], q.items = zero, q.items[:last]
	*q.pos(item) = 0
	return item
}

// put adds item, or moves it to its new position if it is already in the queue.
func (q *priorityQueue[T]) put(item T) {
	if i := *q.pos(item); i > 0 {
		heap.Fix(q, i-1)
	} else {
		heap.Push(q, item)
	}
}

// remove removes item if it is in the queue.
func (q *priorityQueue[T]) remove(item T) {
	if i := *q.pos(item); i > 0 {
		heap.Remove(q, i-1)
	}
}

// backlog holds the waiting messages of one destination. It exists only while there is at least one.
type backlog struct {
	dest         *dest
	waiting      []*msg // unordered
	sampleCursor int    // index in waiting of the last message that a sample took in turn
	// front is sampled first: the most urgent messages left by the last scan, then new ones. Some may have been
	// dequeued since.
	front        []*msg
	expiryGroups [2][]*expiryGroup // by byDeadline or byWindow, then by class
	nextScanAt   Micros
	scanPos      int // position in waitIndex.scanQueue

	// Results of the current scan, or of the last one.
	scannedStep  int     // step of the scan
	due          bool    // scanned because nextScanAt had come, not for a free slot or in turn
	earliestSend Micros  // when the first message that was not sent in this pass may be sent
	unsentCount  int     // scanned messages that were not sent
	bestPriority float64 // highest priority among them
	sendable     int     // messages in front that wait for something shared, such as a slot or the pace
	sampledCount int     // messages sampled in this pass, which ends once one is sendable or all were seen
	slotWaitPos  [2]int  // positions in waitIndex.slotWaiters
}

// The limits that a waiting message may expire by.
const (
	byDeadline = iota // it has to be answered by its deadline
	byWindow          // keyed and may have run: it has to be resent within the deduplication window of its class
)

// expiryGroup holds the waiting messages of one destination and class that have the same kind of limit,
// ordered by the time at which they expire.
type expiryGroup struct {
	dest       *dest
	class      int // index in the settings
	bound      int // byDeadline or byWindow
	messages   priorityQueue[*msg]
	sortKey    Micros // order in its queue of waitIndex.expiryQueues
	queueIndex int    // index of that queue
	pos        int    // position in it
}

// The kinds of slots that a backlog may wait for.
const (
	anySlot   = iota
	trialSlot // for trials at ejected endpoints, whose number is limited
)

// waitIndex indexes all waiting messages.
type waitIndex struct {
	count      int // waiting messages
	scanCursor int // index in scanQueue of the backlog that was last scanned in turn, before it was due
	scanQueue  priorityQueue[*backlog]
	// slotWaiters are the backlogs that lack a free slot, by anySlot or trialSlot, highest priority first.
	slotWaiters [2]priorityQueue[*backlog]
	// expiryQueues[0] is ordered by the last moment at which sending makes sense. It holds the groups limited by
	// a window and those whose destination has a known median latency. The other groups use the median latency
	// of their class: each class has a queue of its own, at 1 + its index, ordered by expiry.
	expiryQueues []priorityQueue[*expiryGroup]
	scanned      []*backlog // in the current step
}

func newWaitIndex(classes int) waitIndex {
	index := waitIndex{
		scanQueue: priorityQueue[*backlog]{
			less: func(a, b *backlog) bool { return a.nextScanAt < b.nextScanAt },
			pos:  func(b *backlog) *int { return &b.scanPos },
		},
	}
	for i := range index.slotWaiters {
		index.slotWaiters[i] = priorityQueue[*backlog]{
			less: func(a, b *backlog) bool { return a.bestPriority > b.bestPriority },
			pos:  func(b *backlog) *int { return &b.slotWaitPos[i] },
		}
	}
	for range 1 + classes {
		index.expiryQueues = append(index.expiryQueues, priorityQueue[*expiryGroup]{
			less: func(a, b *expiryGroup) bool { return a.sortKey < b.sortKey },
			pos:  func(g *expiryGroup) *int { return &g.pos },
		})
	}
	return index
}

// enqueue adds a message that waits from now on to the indexes.
func (s *Sender) enqueue(m *msg) {
	d := m.dest
	if d.backlog == nil {
		d.backlog = &backlog{dest: d}
	}
	b := d.backlog
	s.waiting.count++
	b.waiting = append(b.waiting, m)
	m.waitPos = len(b.waiting)
	s.setExpiry(m, byDeadline, m.deadline)
	if m.mayHaveRun && m.class.Idempotency == IdempotentByKey {
		s.setExpiry(m, byWindow, m.mayHaveRunAt+m.class.DedupWindow)
	}
	s.scanFirst(m)
}

// setExpiry sets when a waiting message expires, by its deadline or its window, and indexes it by that time.
func (s *Sender) setExpiry(m *msg, bound int, at Micros) {
	b := m.dest.backlog
	if b.expiryGroups[bound] == nil {
		b.expiryGroups[bound] = make([]*expiryGroup, len(s.cfg.Classes))
	}
	g := b.expiryGroups[bound][m.classIndex]
	if g == nil {
		g = &expiryGroup{dest: m.dest, class: m.classIndex, bound: bound, messages: priorityQueue[*msg]{
			less: func(a, b *msg) bool { return a.expiresAt[bound] < b.expiresAt[bound] },
			pos:  func(m *msg) *int { return &m.expiryPos[bound] }}}
		b.expiryGroups[bound][m.classIndex] = g
	}
	m.expiresAt[bound] = at
	g.messages.put(m)
	s.updateExpiryGroup(g)
}

// dequeue removes a message from the indexes if it is in them.
func (s *Sender) dequeue(m *msg) {
	if m.waitPos == 0 {
		return
	}
	b, i := m.dest.backlog, m.waitPos-1
	s.waiting.count--
	last := len(b.waiting) - 1
	b.waiting[i] = b.waiting[last]
	b.waiting[i].waitPos = m.waitPos
	b.waiting[last], b.waiting = nil, b.waiting[:last]
	m.waitPos = 0
	for bound, pos := range m.expiryPos {
		if pos > 0 {
			g := b.expiryGroups[bound][m.classIndex]
			g.messages.remove(m)
			s.updateExpiryGroup(g)
		}
	}
	if last == 0 {
		s.waiting.scanQueue.remove(b)
		for i := range s.waiting.slotWaiters {
			s.waiting.slotWaiters[i].remove(b)
		}
		m.dest.backlog = nil
	}
}

// scanFirst puts a waiting message among those that the next scan examines first, and schedules that scan.
func (s *Sender) scanFirst(m *msg) {
	if b := m.dest.backlog; len(b.front) < 4*sampleSize {
		b.front = append(b.front, m)
	}
	s.scheduleScan(m.dest)
}

// scheduleScan schedules a scan of a destination's backlog in this step, because something has changed there.
func (s *Sender) scheduleScan(d *dest) {
	if b := d.backlog; b != nil {
		b.nextScanAt = s.now
		s.waiting.scanQueue.put(b)
	}
}

// latencyChanged reorders the expiry groups of a destination after a change of its latency histogram.
func (s *Sender) latencyChanged(d *dest) {
	if d.backlog == nil {
		return
	}
	for _, g := range d.backlog.expiryGroups[byDeadline] { // windows do not depend on the latency
		if g != nil {
			s.updateExpiryGroup(g)
		}
	}
}

// updateExpiryGroup moves g to the queue and position that follow from its messages and the known latency.
func (s *Sender) updateExpiryGroup(g *expiryGroup) {
	target := 0
	if g.bound == byDeadline && g.dest.latency.total < minSamples {
		target = 1 + g.class
	}
	if target != g.queueIndex || len(g.messages.items) == 0 {
		s.waiting.expiryQueues[g.queueIndex].remove(g)
	}
	if g.queueIndex = target; len(g.messages.items) == 0 {
		return
	}
	g.sortKey = g.messages.items[0].expiresAt[g.bound]
	if target == 0 {
		g.sortKey -= s.minTimeLeft(g)
	}
	s.waiting.expiryQueues[target].put(g)
}

// candidates returns the messages to examine in this step. If few wait, these are all of them. Otherwise they
// are a sample of each backlog that is due for a scan or that lacked a slot where one is free now, and of a
// few more backlogs in turn.
func (s *Sender) candidates() (candidates []*msg) {
	index := &s.waiting
	index.scanned = index.scanned[:0]
	if index.count <= s.fullScanMax {
		for _, m := range s.held {
			if m.waitPos > 0 {
				m.sampleWeight = 1
				candidates = append(candidates, m)
			}
		}
		return candidates
	}
	scan := func(b *backlog, due bool) {
		if b.scannedStep != s.step {
			if b.scannedStep, b.due = s.step, due; b.sampledCount == 0 {
				b.earliestSend = never
			}
			index.scanned = append(index.scanned, b)
			candidates = b.sample(s.step, candidates)
		}
	}
	for top := index.scanQueue.items[0]; top.nextScanAt <= s.now &&
		top.scannedStep != s.step; top = index.scanQueue.items[0] {
		top.nextScanAt = never
		index.scanQueue.put(top)
		scan(top, true)
	}
	for i, free := range s.freeSlots() {
		for range 2 * free {
			if len(index.slotWaiters[i].items) == 0 {
				break
			}
			scan(heap.Pop(&index.slotWaiters[i]).(*backlog), false)
		}
	}
	for range backlogsPerRound {
		index.scanCursor = (index.scanCursor + 1) % len(index.scanQueue.items)
		scan(index.scanQueue.items[index.scanCursor], false)
	}
	return candidates
}

// sample appends messages of b to candidates: all if they are few, else the front and the next ones in turn.
// Each of the latter has a weight of at least 1, since it also stands for messages outside the sample.
func (b *backlog) sample(step int, candidates []*msg) []*msg {
	before := len(candidates)
	add := func(m *msg, weight float64) {
		if m.waitPos > 0 && m.sampledStep != step {
			m.sampledStep, m.sampleWeight = step, weight
			candidates = append(candidates, m)
		}
	}
	if b.fullySampled() {
		for _, m := range b.waiting {
			add(m, 1)
		}
		return candidates
	}
	for _, m := range b.front {
		add(m, 1)
	}
	weight := float64(len(b.waiting)-len(candidates)+before) / sampleSize
	for range sampleSize {
		b.sampleCursor = (b.sampleCursor + 1) % len(b.waiting)
		add(b.waiting[b.sampleCursor], max(weight, 1))
	}
	return candidates
}

// fullySampled reports whether a sample takes all messages of b.
func (b *backlog) fullySampled() bool { return len(b.waiting) <= 2*sampleSize }

// recordScan records the outcome of a scan of candidates, sorted by priority: which messages are left in
// front of each backlog, and when to scan it next. blockedByItself reports whether a message is blocked for a
// reason that does not affect others for its destination, and whether it is blocked until a known time.
func (s *Sender) recordScan(candidates []*msg, blockedByItself func(*msg) (blocked, timed bool)) {
	index := &s.waiting
	if len(index.scanned) == 0 {
		return
	}
	for _, b := range index.scanned {
		b.unsentCount, b.sendable, b.front = 0, 0, b.front[:0]
	}
	for _, m := range candidates {
		if m.waitPos == 0 {
			continue
		}
		b := m.dest.backlog
		if b.unsentCount++; b.unsentCount == 1 {
			b.bestPriority = m.priority
		}
		switch blocked, timed := blockedByItself(m); {
		case !blocked && b.sendable < sampleSize:
			b.sendable++
			b.front = append(b.front, m)
		case timed && len(b.front)-b.sendable < sampleSize:
			b.front = append(b.front, m)
		}
	}
	free := s.freeSlots()
	for _, b := range index.scanned {
		if len(b.waiting) == 0 {
			continue
		}
		b.sampledCount += sampleSize
		switch {
		case b.fullySampled() || b.sendable > 0 || b.unsentCount > 0 && b.sampledCount >= len(b.waiting):
			b.nextScanAt, b.sampledCount = b.earliestSend, 0
		case b.due || b.unsentCount == 0: // the rest of the backlog has not been sampled yet
			b.nextScanAt = s.now
		default:
			b.nextScanAt, b.sampledCount = min(b.nextScanAt, b.earliestSend), 0
		}
		index.scanQueue.put(b)
		for i := range index.slotWaiters {
			if b.unsentCount > 0 && free[i] == 0 {
				index.slotWaiters[i].put(b)
			} else {
				index.slotWaiters[i].remove(b)
			}
		}
	}
	for i := range index.slotWaiters {
		if free[i] > 0 && len(index.slotWaiters[i].items) > 0 {
			s.wakeBy(s.now)
		}
	}
	if len(index.scanQueue.items) > 0 {
		s.wakeBy(index.scanQueue.items[0].nextScanAt)
	}
}

// addHeld adds a message to the held ones.
func (s *Sender) addHeld(m *msg) {
	s.held = append(s.held, m)
	s.heldCount++
}

// releaseHeld marks a message as ended, so that it is no longer held. Ended messages are removed from the
// slice together once they are many, not one by one.
func (s *Sender) releaseHeld(m *msg) {
	m.ended = true
	s.heldCount--
	s.dequeue(m)
	if len(s.held) > 2*s.heldCount+sampleSize {
		s.held = slices.DeleteFunc(s.held, func(m *msg) bool { return m.ended })
	}
}
