package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// message is one that a client hands in.
type message struct {
	id       string
	class    string
	dest     int
	lifetime time.Duration // d in the request
	key      string        // k in the request; empty for none
	body     string

	sentAt time.Time // when the request's last byte was written
	reply  string    // the sender's reply; empty if there was none
}

func (m *message) taken() bool {
	return strings.HasPrefix(m.reply, "+") || strings.HasPrefix(m.reply, "$")
}

// respCommand encodes a request as an array of bulk strings.
func respCommand(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

func (m *message) command() string {
	list := fmt.Sprintf("c=%s,d=%d,dest=%d", m.class, m.lifetime.Milliseconds(), m.dest)
	if m.key != "" {
		list += ",k=" + m.key
	}
	return respCommand("MSG.PUT", strings.Repeat("0", 16), m.id, list, m.body)
}

// handIn hands in messages on one connection, all commands at once, and reads their replies.
func handIn(r *recorder, addr string, messages []*message) error {
	conn, err := net.DialTimeout("tcp", addr, replyTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.command())
	}
	conn.SetDeadline(time.Now().Add(replyTimeout))
	if _, err := conn.Write([]byte(text.String())); err != nil {
		return err
	}
	for _, m := range messages {
		m.sentAt = time.Now()
		r.line("client: sent %s class %s dest %d d=%dms body %d bytes", m.id, m.class, m.dest,
			m.lifetime.Milliseconds(), len(m.body))
	}
	in := bufio.NewReader(conn)
	for _, m := range messages {
		line, err := in.ReadString('\n')
		if err != nil {
			r.line("client: no reply to %s: %v", m.id, err)
			return err
		}
		m.reply = strings.TrimSpace(line)
		r.line("client: reply to %s: %s", m.id, m.reply)
	}
	return nil
}

// handInAtOnce hands in batches of messages, each on a connection of its own, at the same time.
func handInAtOnce(r *recorder, addr string, batches [][]*message) error {
	errs := make([]error, len(batches))
	var wg sync.WaitGroup
	for i, batch := range batches {
		wg.Go(func() { errs[i] = handIn(r, addr, batch) })
	}
	wg.Wait()
	return errors.Join(errs...)
}
