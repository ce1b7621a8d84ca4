package logic

import (
	"container/heap"
	"slices"
)

// The books of what waits: for each destination that has any, a backlog; of all backlogs, which is to be
// looked at when; of all waiting messages, whose time is up first. They only keep state: what to do with it
// is decided in logic.go.

// queue is a priority queue whose items know their place in it.
type queue[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(T) *int // where an item keeps its place, from one on; 0 if it is not in the queue
}

func (q *queue[T]) Len() int           { return len(q.items) }
func (q *queue[T]) Less(i, j int) bool { return q.less(q.items[i], q.items[j]) }
func (q *queue[T]) Swap(i, j int) {
	q.items[i], q.items[j] = q.items[j], q.items[i]
	*q.place(q.items[i]), *q.place(q.items[j]) = i+1, j+1
}

func (q *queue[T]) Push(x any) {
	q.items = append(q.items, x.(T))
	*q.place(x.(T)) = len(q.items)
}

func (q *queue[T]) Pop() any {
	var none T
	last := len(q.items) - 1
	x := q.items[last]
	q.items[last], q.items = none, q.items[:last]
	*q.place(x) = 0
	return x
}

// put takes x in, or moves it to where it belongs now.
func (q *queue[T]) put(x T) {
	if i := *q.place(x); i > 0 {
		heap.Fix(q, i-1)
	} else {
		heap.Push(q, x)
	}
}

// drop takes x out, if it is in.
func (q *queue[T]) drop(x T) {
	if i := *q.place(x); i > 0 {
		heap.Remove(q, i-1)
	}
}

// backlog is what waits for a destination, one message at least.
type backlog struct {
	dest    *dest
	waiting []*msg       // in no order
	turn    int          // where in waiting the last sample ended
	front   []*msg       // the most urgent ones left by the last look, and new ones; some may have gone
	expiry  [2][]*expiry // by what bounds the time, and class
	again   Micros       // when to look at it next
	place   int          // in Sender.looks

	// Of the look at hand, or the last one.
	looked  int     // its step
	due     bool    // it was time, or something had changed
	soon    Micros  // the earliest time at which a message that was held back may go
	left    int     // messages that were held back
	best    float64 // the highest rate among them
	ready   int     // in front, those that were not held back by themselves
	scanned int     // messages in the samples since one could go for itself
	scarce  [2]int  // place in Sender.scarce
}

// What bounds the time of a waiting message.
const (
	byDeadline = iota // it has to be answered by then
	byWindow          // keyed, and may have run: it has to be sent again by then
)

// expiry is what waits for a destination in one class, by when its time is up.
type expiry struct {
	dest  *dest
	class int
	kind  int // byDeadline or byWindow
	queue queue[*msg]
	key   Micros
	in    int // which of Sender.expiries it is in
	place int // and where
}

// What a backlog that waits for a free slot lacks.
const (
	anySlot   = iota
	trialSlot // one of those for calls to endpoints that seem out
)

// index is the books of all that waits.
type index struct {
	count int // messages
	turn  int // which of looks was looked at last out of its time
	looks queue[*backlog]
	// scarce are the backlogs held back by want of a slot, the highest rate first.
	scarce [2]queue[*backlog]
	// expiries: the first is by when the last moment to send comes, and holds windows and those whose
	// destination's own usual time is known. That of the others is their class's: each has a queue, by
	// when their time is up.
	expiries []queue[*expiry]
	looking  []*backlog // in the step at hand
}

func newIndex(classes int) index {
	x := index{looks: queue[*backlog]{less: func(a, b *backlog) bool { return a.again < b.again },
		place: func(b *backlog) *int { return &b.place }}}
	for i := range x.scarce {
		x.scarce[i] = queue[*backlog]{less: func(a, b *backlog) bool { return a.best > b.best },
			place: func(b *backlog) *int { return &b.scarce[i] }}
	}
	for range 1 + classes {
		x.expiries = append(x.expiries, queue[*expiry]{less: func(a, b *expiry) bool { return a.key < b.key },
			place: func(g *expiry) *int { return &g.place }})
	}
	return x
}

// enqueue takes a message into the books that waits from now on.
func (s *Sender) enqueue(m *msg) {
	d := m.dest
	if d.backlog == nil {
		d.backlog = &backlog{dest: d}
	}
	b := d.backlog
	s.wait.count++
	b.waiting = append(b.waiting, m)
	m.place = len(b.waiting)
	s.expireAt(m, byDeadline, m.deadline)
	if m.mayRun && m.class.Idempotency == IdempotentByKey {
		s.expireAt(m, byWindow, m.firstMay+m.class.DedupWindow)
	}
	s.advance(m)
}

// expireAt files a waiting message by when its time is up.
func (s *Sender) expireAt(m *msg, kind int, end Micros) {
	b := m.dest.backlog
	if b.expiry[kind] == nil {
		b.expiry[kind] = make([]*expiry, len(s.set.Classes))
	}
	g := b.expiry[kind][m.ci]
	if g == nil {
		g = &expiry{dest: m.dest, class: m.ci, kind: kind, queue: queue[*msg]{
			less:  func(a, b *msg) bool { return a.ends[kind] < b.ends[kind] },
			place: func(m *msg) *int { return &m.expiry[kind] }}}
		b.expiry[kind][m.ci] = g
	}
	m.ends[kind] = end
	g.queue.put(m)
	s.refile(g)
}

// dequeue takes a message out of the books, if it is in them.
func (s *Sender) dequeue(m *msg) {
	if m.place == 0 {
		return
	}
	b, i := m.dest.backlog, m.place-1
	s.wait.count--
	last := len(b.waiting) - 1
	b.waiting[i] = b.waiting[last]
	b.waiting[i].place = m.place
	b.waiting[last], b.waiting = nil, b.waiting[:last]
	m.place = 0
	for kind, place := range m.expiry {
		if place > 0 {
			g := b.expiry[kind][m.ci]
			g.queue.drop(m)
			s.refile(g)
		}
	}
	if last == 0 {
		s.wait.looks.drop(b)
		for i := range s.wait.scarce {
			s.wait.scarce[i].drop(b)
		}
		m.dest.backlog = nil
	}
}

// advance puts a waiting message among those looked at first.
func (s *Sender) advance(m *msg) {
	if b := m.dest.backlog; len(b.front) < 4*sampleSize {
		b.front = append(b.front, m)
	}
	s.touch(m.dest)
}

// touch notes that something has changed at a destination.
func (s *Sender) touch(d *dest) {
	if b := d.backlog; b != nil {
		b.again = s.now
		s.wait.looks.put(b)
	}
}

// relearn notes that the latencies known of a destination have changed.
func (s *Sender) relearn(d *dest) {
	if d.backlog == nil {
		return
	}
	for _, g := range d.backlog.expiry[byDeadline] { // the windows do not depend on them
		if g != nil {
			s.refile(g)
		}
	}
}

// refile puts g where it belongs now.
func (s *Sender) refile(g *expiry) {
	to := 0
	if g.kind == byDeadline && g.dest.hist.total < minSamples {
		to = 1 + g.class
	}
	if to != g.in || len(g.queue.items) == 0 {
		s.wait.expiries[g.in].drop(g)
	}
	if g.in = to; len(g.queue.items) == 0 {
		return
	}
	g.key = g.queue.items[0].ends[g.kind]
	if to == 0 {
		g.key -= s.minTimeLeft(g)
	}
	s.wait.expiries[to].put(g)
}

// candidates are the messages to look at in this step: all that wait, if they are few. Of many, those of the
// destinations where something has changed or come due, or for which a slot is free, and of some in turn.
func (s *Sender) candidates() (q []*msg) {
	x := &s.wait
	x.looking = x.looking[:0]
	if x.count <= s.few {
		for _, m := range s.held {
			if m.place > 0 {
				m.stands = 1
				q = append(q, m)
			}
		}
		return q
	}
	look := func(b *backlog, due bool) {
		if b.looked != s.step {
			if b.looked, b.due = s.step, due; b.scanned == 0 {
				b.soon = never
			}
			x.looking = append(x.looking, b)
			q = b.sample(s.step, q)
		}
	}
	for top := x.looks.items[0]; top.again <= s.now && top.looked != s.step; top = x.looks.items[0] {
		top.again = never
		x.looks.put(top)
		look(top, true)
	}
	for i, free := range s.freeSlots() {
		for range 2 * free {
			if len(x.scarce[i].items) == 0 {
				break
			}
			look(heap.Pop(&x.scarce[i]).(*backlog), false)
		}
	}
	for range backlogsPerRound {
		x.turn = (x.turn + 1) % len(x.looks.items)
		look(x.looks.items[x.turn], false)
	}
	return q
}

// sample adds messages of b to q: all, if they are few, else the front and the next ones in turn. Each of
// these last stands for several in the count of those that wait.
func (b *backlog) sample(step int, q []*msg) []*msg {
	from := len(q)
	add := func(m *msg, stands float64) {
		if m.place > 0 && m.seen != step {
			m.seen, m.stands = step, stands
			q = append(q, m)
		}
	}
	if b.whole() {
		for _, m := range b.waiting {
			add(m, 1)
		}
		return q
	}
	for _, m := range b.front {
		add(m, 1)
	}
	stands := float64(len(b.waiting)-len(q)+from) / sampleSize
	for range sampleSize {
		b.turn = (b.turn + 1) % len(b.waiting)
		add(b.waiting[b.turn], max(stands, 1))
	}
	return q
}

// whole says whether a look is at all that waits.
func (b *backlog) whole() bool { return len(b.waiting) <= 2*sampleSize }

// file notes what came of the look at q, which is in order: what is left in front, and when to look again. A
// message that is held back by itself says nothing of the others.
func (s *Sender) file(q []*msg, itself func(*msg) (held, timed bool)) {
	x := &s.wait
	if len(x.looking) == 0 {
		return
	}
	for _, b := range x.looking {
		b.left, b.ready, b.front = 0, 0, b.front[:0]
	}
	for _, m := range q {
		if m.place == 0 {
			continue
		}
		b := m.dest.backlog
		if b.left++; b.left == 1 {
			b.best = m.prio
		}
		switch held, timed := itself(m); {
		case !held && b.ready < sampleSize:
			b.ready++
			b.front = append(b.front, m)
		case timed && len(b.front)-b.ready < sampleSize:
			b.front = append(b.front, m)
		}
	}
	free := s.freeSlots()
	for _, b := range x.looking {
		if len(b.waiting) == 0 {
			continue
		}
		b.scanned += sampleSize
		switch {
		case b.whole() || b.ready > 0 || b.left > 0 && b.scanned >= len(b.waiting):
			b.again, b.scanned = b.soon, 0
		case b.due || b.left == 0: // the others have not been asked
			b.again = s.now
		default:
			b.again, b.scanned = min(b.again, b.soon), 0
		}
		x.looks.put(b)
		for i := range x.scarce {
			if b.left > 0 && free[i] == 0 {
				x.scarce[i].put(b)
			} else {
				x.scarce[i].drop(b)
			}
		}
	}
	for i := range x.scarce {
		if free[i] > 0 && len(x.scarce[i].items) > 0 {
			s.at(s.now)
		}
	}
	if len(x.looks.items) > 0 {
		s.at(x.looks.items[0].again)
	}
}

// hold adds a message to those that are not over.
func (s *Sender) hold(m *msg) {
	s.held = append(s.held, m)
	s.open++
}

// letGo takes one off. The list is cleared of such when they are many, not each time.
func (s *Sender) letGo(m *msg) {
	m.over = true
	s.open--
	s.dequeue(m)
	if len(s.held) > 2*s.open+sampleSize {
		s.held = slices.DeleteFunc(s.held, func(m *msg) bool { return m.over })
	}
}
