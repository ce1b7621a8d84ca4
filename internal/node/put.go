package node

import (
	"errors"
	"strconv"
	"strings"
	"time"

	"rundeal/logic"
)

const (
	maxLifetime       = 24 * time.Hour // of any message; also caps the wait that an endpoint may request
	maxLifetimeFactor = 10             // maximum lifetime as a multiple of the deadline of the message's class
	maxIDLen          = 128
)

// parsePut parses the arguments of MSG.PUT. now is the time of arrival on the persistent clock.
func (c *clientServer) parsePut(args [][]byte, now int64) (*Message, error) {
	m := new(Message)
	if len(args) != 4 {
		return nil, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m.ID, m.Body = string(args[1]), args[3]
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		if len(key) > maxIDLen || !isHeaderSafe(key) {
			return nil, errors.New("bad key")
		}
		m.OrderKey = key
	}
	if m.ID == "" || len(m.ID) > maxIDLen || !isHeaderSafe(m.ID) {
		return nil, errors.New("bad id")
	}
	var lifetime time.Duration
	seen := map[string]bool{}
	for _, pair := range strings.Split(string(args[2]), ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return nil, errors.New("bad list of names and values")
		}
		if seen[name] {
			return nil, errors.New("a name stands twice")
		}
		seen[name] = true
		switch name {
		case "c":
			m.Class = value
		case "t":
			m.Tenant = value
		case "k":
			if len(value) > maxIDLen || !isHeaderSafe(value) {
				return nil, errors.New("bad idempotency key")
			}
			m.IdempotencyKey = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms < 0 || ms > maxLifetime.Milliseconds() {
				return nil, errors.New("bad time")
			}
			lifetime = time.Duration(ms) * time.Millisecond
			m.Deadline = now + lifetime.Microseconds()
		case "dest":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return nil, errors.New("bad destination")
			}
			m.Dest = n
		}
	}
	if !seen["d"] || !seen["dest"] {
		return nil, errors.New("d and dest must be given")
	}
	i, ok := c.cfg.Classes[m.Class]
	if !ok {
		return nil, errors.New("unknown class")
	}
	class := c.cfg.Deployment.Settings.Classes[i]
	if class.Idempotency == logic.IdempotentByKey && m.IdempotencyKey == "" {
		return nil, errors.New("k must be given in a keyed class")
	}
	if lifetime > maxLifetimeFactor*toDuration(class.Deadline) {
		return nil, errors.New("bad time")
	}
	if _, ok := c.cfg.Tenants[m.Tenant]; !ok && m.Tenant != "" {
		return nil, errors.New("unknown tenant")
	}
	return m, nil
}

// isHeaderSafe reports whether s may be used in an HTTP header: printable ASCII without spaces.
func isHeaderSafe(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
