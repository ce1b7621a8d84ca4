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
	maxAttributes     = 64
)

// parsePut parses the arguments of MSG.PUT. now is the time of arrival on the persistent clock.
func (c *clientServer) parsePut(args [][]byte, now int64) (*Message, error) {
	if len(args) != 4 {
		return nil, errors.New("MSG.PUT wants a key, an id, a list of names and values, and a body")
	}
	m := &Message{ID: string(args[1]), Body: args[3]}
	if key := string(args[0]); strings.Trim(key, "0") != "" {
		if !isValidID(key) {
			return nil, errors.New("bad key")
		}
		m.OrderKey = key
	}
	if m.ID == "" || !isValidID(m.ID) {
		return nil, errors.New("bad id")
	}
	lifetime, err := m.parseAttributes(string(args[2]))
	if err != nil {
		return nil, err
	}
	m.Deadline = now + lifetime.Microseconds()
	if err := c.checkSettings(m, lifetime); err != nil {
		return nil, err
	}
	return m, nil
}

// parseAttributes sets the fields of a new message that are given as a list of names and values, and returns its lifetime.
// Unknown names are ignored.
func (m *Message) parseAttributes(list string) (lifetime time.Duration, err error) {
	seen := map[string]bool{}
	if strings.Count(list, ",") >= maxAttributes {
		return 0, errors.New("too many names and values")
	}
	for _, pair := range strings.Split(list, ",") {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return 0, errors.New("bad list of names and values")
		}
		if seen[name] {
			return 0, errors.New("a name stands twice")
		}
		seen[name] = true
		switch name {
		case "c":
			m.Class = value
		case "t":
			m.Tenant = value
		case "k":
			if !isValidID(value) {
				return 0, errors.New("bad idempotency key")
			}
			m.IdempotencyKey = value
		case "d":
			ms, err := strconv.ParseInt(value, 10, 64)
			if err != nil || ms < 0 || ms > maxLifetime.Milliseconds() {
				return 0, errors.New("bad time")
			}
			lifetime = time.Duration(ms) * time.Millisecond
		case "dest":
			n, err := strconv.ParseInt(value, 10, 64)
			if err != nil || n < 0 {
				return 0, errors.New("bad destination")
			}
			m.Dest = n
		}
	}
	if !seen["d"] || !seen["dest"] {
		return 0, errors.New("d and dest must be given")
	}
	return lifetime, nil
}

// checkSettings checks a message against the settings of its class and the tenants.
func (c *clientServer) checkSettings(m *Message, lifetime time.Duration) error {
	i, ok := c.cfg.Classes[m.Class]
	if !ok {
		return errors.New("unknown class")
	}
	class := c.cfg.Deployment.Settings.Classes[i]
	if class.Idempotency == logic.IdempotentByKey && m.IdempotencyKey == "" {
		return errors.New("k must be given in a keyed class")
	}
	if lifetime > maxLifetimeFactor*toDuration(class.Deadline) {
		return errors.New("bad time")
	}
	if _, ok := c.cfg.Tenants[m.Tenant]; !ok && m.Tenant != "" {
		return errors.New("unknown tenant")
	}
	return nil
}

// isValidID reports whether s may be used as an id or a key.
func isValidID(s string) bool { return len(s) <= maxIDLen && isHeaderSafe(s) }

// isHeaderSafe reports whether s may be used in an HTTP header: printable ASCII without spaces.
func isHeaderSafe(s string) bool {
	return strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r > '~' }) < 0
}
