package soak

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"sync"
	"time"
)

// Rule names what a sender owes.
type Rule string

// The rules that a run checks.
const (
	RuleLost      Rule = "lost"           // taken on, and no end in its time or after it
	RuleLate      Rule = "late"           // ended after its time
	RuleDuplicate Rule = "duplicate"      // run again where it must not be
	RuleCopy      Rule = "second-copy"    // sent while a call with it was out
	RuleRefused   Rule = "refused-run"    // refused or returned, and run
	RuleEnded     Rule = "sent-after-end" // sent after a notice of its end
	RuleDrain     Rule = "drain"          // sent to an endpoint that drains or is gone
	RuleWait      Rule = "wait"           // sent before a told wait was over
	RuleRamp      Rule = "cold-ramp"      // too much sent to a destination after an outage
	RuleForeign   Rule = "foreign"        // not as a client handed it in, or to another destination
	RuleUntried   Rule = "untried"        // most of what a restart found untried was given up with no call
	RuleClosed    Rule = "closed"         // closed twice over one request
	RuleCrash     Rule = "crash"          // ended by itself
	RuleReady     Rule = "not-ready"      // not ready in time after trouble had ended
	RuleSilent    Rule = "bad-client"     // neither an error nor a close for a peer that sends no request
	RuleInside    Rule = "own-check"      // the sender's own check counted a violation
)

// Violation is a rule that was broken.
type Violation struct {
	Rule   Rule
	Sender int
	At     time.Duration // of the run
	What   string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: sender %d at %.2fs: %s", v.Rule, v.Sender, v.At.Seconds(), v.What)
}

// Bounds beside those of the settings.
const (
	answerSlack  = 350 * time.Millisecond // after a message's time, for its end (300 ms, and 50 ms on sockets)
	machineSlack = 250 * time.Millisecond // for this machine, which plays all sides
	readyGrace   = 1500*time.Millisecond + machineSlack
	waitSlack    = 100 * time.Millisecond
	toldAtLatest = 6 * time.Second
	movedAtLast  = 4 * time.Second // after a reload
	soonReady    = 10 * time.Second
	giveUpAnswer = 400 * time.Millisecond // a client waits so long
	copySlack    = 60 * time.Millisecond  // for the end of a connection to be seen
	untriedLeast = 8                      // messages untried at a restart before their fate counts
)

// answered is what a client heard.
type answered int

const (
	noAnswer answered = iota
	takenOn
	refused
	failed
)

// attempt is a call that came whole to an endpoint.
type attempt struct {
	endpoint *endpoint
	began    time.Duration // its first byte
	at       time.Duration // its last
	neverRan bool          // it was answered so
	ended    time.Duration // answered, or its connection ended; 0 while it is out
}

// message is what is known of a message from outside.
type message struct {
	id       string
	class    *Class
	dest     int
	sender   int
	body     string
	sent     time.Duration
	deadline time.Duration
	answer   answered
	answerAt time.Duration
	attempts []*attempt
	over     time.Duration // delivered
	notice   string
	noticeAt time.Duration
}

// outage is the time in which a process is gone, until it serves again.
type outage struct {
	from, ready time.Duration
	untried     []*message
}

// Counts are the totals of a run.
type Counts struct {
	Offered, TakenOn, Refused, Failed, NotHeard int
	Delivered, Returned, FailedLater            int
	Calls, Repeats, Restarts                    int
}

// Ledger hears of all that passes between a fleet and its peers.
type Ledger struct {
	sc    *Scenario
	began time.Time

	mu         sync.Mutex
	messages   map[string]*message
	outages    [][]*outage                   // by sender
	told       []map[*endpoint]time.Duration // by sender: since when it knows that an endpoint wants no calls
	waits      []map[int][2]time.Duration    // by sender and destination: told at, until
	violations []Violation
	calls      int
}

func newLedger(sc *Scenario, began time.Time) *Ledger {
	l := &Ledger{sc: sc, began: began, messages: map[string]*message{}, outages: make([][]*outage, sc.Senders)}
	for range sc.Senders {
		l.told = append(l.told, map[*endpoint]time.Duration{})
		l.waits = append(l.waits, map[int][2]time.Duration{})
	}
	return l
}

func (l *Ledger) now() time.Duration { return time.Since(l.began) }

// broken notes a violation.
func (l *Ledger) broken(rule Rule, sender int, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(rule, sender, format, args...)
}

// add is broken, under the lock.
func (l *Ledger) add(rule Rule, sender int, format string, args ...any) {
	l.violations = append(l.violations, Violation{rule, sender, l.now(), fmt.Sprintf(format, args...)})
}

// offer notes a message that a client has just sent whole.
func (l *Ledger) offer(m *message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.sent = l.now()
	l.messages[m.id] = m
}

// answered notes what its client heard.
func (l *Ledger) answered(m *message, a answered) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.answer, m.answerAt = a, l.now()
	if a == refused {
		l.checkRefused(m)
	}
}

// mayRun are the attempts of a message that may have taken effect.
func (m *message) mayRun() (list []*attempt) {
	for _, a := range m.attempts {
		if !a.neverRan {
			list = append(list, a)
		}
	}
	return list
}

// checkRefused: what was refused or returned is handed in again, so it must not have run where that would be twice.
func (l *Ledger) checkRefused(m *message) {
	if m.answer != refused && m.notice != "returned" || m.class.Effect == Retryable || m.class.Effect == Dedup && !m.class.ByZone {
		return
	}
	for _, a := range m.mayRun() {
		if a.ended != 0 || m.answer == refused { // an answer that proves that it never ran may yet come
			l.add(RuleRefused, m.sender, "%s of class %s was refused or returned, and came whole at %.2fs", m.id, m.class.Name, a.at.Seconds())
			return
		}
	}
}

// arrive takes a call that has come whole, with the messages in it.
func (l *Ledger) arrive(e *endpoint, began time.Duration, ids []string, bodies []string) (list []*attempt, messages []*message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	now := l.now()
	for i, id := range ids {
		m := l.messages[id]
		if m == nil || m.dest != e.dest.number || m.body != bodies[i] {
			l.add(RuleForeign, -1, "message %q at destination %d", id, e.dest.number)
			continue
		}
		a := &attempt{endpoint: e, began: began, at: now}
		l.checkRepeat(m, a)
		m.attempts = append(m.attempts, a)
		list, messages = append(list, a), append(messages, m)
		if m.noticeAt != 0 && m.noticeAt+l.endSlack(m) < began {
			l.add(RuleEnded, m.sender, "%s was %s at %.2fs and sent at %.2fs", id, m.notice, m.noticeAt.Seconds(), began.Seconds())
		}
		if m.answer == refused && m.answerAt+10*time.Millisecond < began {
			l.add(RuleRefused, m.sender, "%s was refused at %.2fs and sent at %.2fs", id, m.answerAt.Seconds(), began.Seconds())
		}
	}
	if len(messages) == 0 {
		return list, messages
	}
	sender := messages[0].sender
	if since, ok := l.told[sender][e]; ok && began > since+l.sc.Grace+50*time.Millisecond+machineSlack {
		l.add(RuleDrain, sender, "%s sent to %s %.2f s after that was told to drain", messages[0].id, e.name, (began - since).Seconds())
	}
	if w, ok := l.waits[sender][e.dest.number]; ok && began > w[0]+waitSlack+50*time.Millisecond && began < w[1]-20*time.Millisecond {
		l.add(RuleWait, sender, "%s sent %.3f s before a wait of %.3f s was over", messages[0].id, (w[1] - began).Seconds(), (w[1] - w[0]).Seconds())
	}
	return list, messages
}

// endSlack is how long after its notice a message may still be seen to be sent. A sender may be held up for 0.15 s while
// it writes, and what it wrote off then has failed; what it returned was not about to be written.
func (l *Ledger) endSlack(m *message) time.Duration {
	if m.notice == "failed" {
		return 160 * time.Millisecond
	}
	return 10 * time.Millisecond
}

// checkRepeat holds a call against the earlier ones with its message.
func (l *Ledger) checkRepeat(m *message, a *attempt) {
	if !l.sc.SecondCopies {
		for _, x := range m.attempts {
			if x.ended == 0 {
				time.AfterFunc(2*copySlack, func() { l.checkCopy(m, x, a) })
			}
		}
	}
	earlier := m.mayRun()
	if len(earlier) == 0 {
		return
	}
	first := earlier[0]
	switch m.class.Effect {
	case Fragile:
		l.add(RuleDuplicate, m.sender, "%s of class %s sent again %.2f s after it may have run", m.id, m.class.Name, (a.at - first.at).Seconds())
	case Dedup:
		if m.class.ByZone && a.endpoint.zone != first.endpoint.zone {
			l.add(RuleDuplicate, m.sender, "%s of class %s sent again to another zone", m.id, m.class.Name)
		}
		if late := a.began - first.began - m.class.Window; late > 50*time.Millisecond+machineSlack {
			l.add(RuleDuplicate, m.sender, "%s of class %s sent again %.2f s after its window", m.id, m.class.Name, late.Seconds())
		}
	}
}

func (l *Ledger) checkCopy(m *message, earlier, a *attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if earlier.ended == 0 || earlier.ended > a.at+copySlack {
		l.add(RuleCopy, m.sender, "%s sent again while a call with it was out", m.id)
	}
}

// end notes how calls ended. A delivery counts once its first line is written.
func (l *Ledger) end(list []*attempt, messages []*message, neverRan, delivered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, a := range list {
		m := messages[i]
		if delivered && m.over == 0 { // also if the end of the connection was seen first
			m.over = l.now()
		}
		if a.ended != 0 {
			continue
		}
		a.ended, a.neverRan = l.now(), neverRan
		if !neverRan {
			l.checkRefused(m)
		}
	}
}

// wait notes that a destination has told a sender to come back later.
func (l *Ledger) wait(sender int, dest int, span time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if w := l.waits[sender][dest]; now+span > w[1] {
		if w[1] < now {
			w[0] = now
		}
		l.waits[sender][dest] = [2]time.Duration{w[0], now + span}
	}
}

// drains notes that a sender knows, or counts as told, that an endpoint wants no calls.
func (l *Ledger) drains(sender int, e *endpoint, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if was, ok := l.told[sender][e]; !ok || at < was {
		l.told[sender][e] = at
	}
}

// noticed takes a notice that has come to the platform.
func (l *Ledger) noticed(sender int, id, state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.messages[id]
	if m == nil || m.sender != sender {
		l.add(RuleForeign, sender, "notice of %q", id)
		return
	}
	if m.notice == "" {
		m.notice, m.noticeAt = state, l.now()
		l.checkRefused(m)
	}
}

// goes notes that a process is about to be stopped.
func (l *Ledger) goes(sender int) *outage {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := &outage{from: l.now()}
	l.outages[sender] = append(l.outages[sender], o)
	return o
}

// gone notes that it has ended; what it had taken on and not tried is for the next one.
func (l *Ledger) gone(sender int, o *outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.waits[sender])
	clear(l.told[sender]) // the next process is told anew
	now := l.now()
	for _, m := range l.messages {
		if m.sender == sender && m.answer == takenOn && m.over == 0 && m.notice == "" && len(m.attempts) == 0 &&
			m.deadline-now > (m.deadline-m.sent)/2 {
			o.untried = append(o.untried, m)
		}
	}
}

// serves notes that the next one is ready.
func (l *Ledger) serves(o *outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o.ready = l.now()
}

// due is when a message must have its end.
func (l *Ledger) due(m *message) time.Duration {
	due := m.deadline + answerSlack
	for _, o := range l.outages[m.sender] {
		if o.from < due && (o.ready == 0 || o.ready+readyGrace > due) {
			due = o.ready + readyGrace
			if o.ready == 0 {
				due = time.Duration(math.MaxInt64 / 2)
			}
		}
	}
	return due + machineSlack
}

// close checks what every message came to, and counts.
func (l *Ledger) close() (Counts, []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := Counts{Calls: l.calls}
	ids := make([]string, 0, len(l.messages))
	for id := range l.messages {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		m := l.messages[id]
		c.Offered++
		c.Repeats += max(len(m.attempts)-1, 0)
		switch m.answer {
		case refused:
			c.Refused++
			continue
		case failed:
			c.Failed++
			continue
		case noAnswer:
			c.NotHeard++
			continue
		}
		c.TakenOn++
		end := m.over
		switch {
		case m.over != 0:
			c.Delivered++
		case m.notice == "returned":
			c.Returned++
			end = m.noticeAt
		case m.notice != "":
			c.FailedLater++
			end = m.noticeAt
		}
		if m.over != 0 && m.notice != "" {
			end = min(m.over, m.noticeAt)
		}
		switch due := l.due(m); {
		case end == 0:
			l.add(RuleLost, m.sender, "%s of class %s, sent at %.2fs, due at %.2fs, %d attempts", id, m.class.Name, m.sent.Seconds(), due.Seconds(), len(m.attempts))
		case end > due:
			l.add(RuleLate, m.sender, "%s of class %s ended %.2f s late, at %.2fs, %d attempts", id, m.class.Name, (end - due).Seconds(), end.Seconds(), len(m.attempts))
		}
	}
	for sender, list := range l.outages {
		c.Restarts += len(list)
		for _, o := range list {
			l.checkUntried(sender, o)
		}
	}
	return c, slices.Clone(l.violations)
}

// checkUntried: a restart must not give up early, with no call, most of what it finds untried with half of its time left.
func (l *Ledger) checkUntried(sender int, o *outage) {
	given := 0
	for _, m := range o.untried {
		early := m.sent + (m.deadline-m.sent)*7/10
		if len(m.attempts) == 0 && m.over == 0 && m.notice != "" && m.noticeAt < early {
			given++
		}
	}
	if len(o.untried) >= untriedLeast && 2*given > len(o.untried) {
		l.add(RuleUntried, sender, "%d of %d untried messages given up early after the restart at %.2fs", given, len(o.untried), o.from.Seconds())
	}
}
