package node

// Message is a message as submitted by a client. It is immutable once parsePut, the journal's replay or a handover has
// created it: the event loop, the journal and calls in other goroutines share it by pointer, and none of them may change
// it or the bytes of its body. What changes in the course of its delivery is in Entry and activeMessage.
type Message struct {
	ID             string `json:"id"`
	IdempotencyKey string `json:"key,omitempty"`
	OrderKey       string `json:"order,omitempty"`
	Class          string `json:"class"`
	Tenant         string `json:"tenant,omitempty"`
	Dest           int64  `json:"dest"`
	Deadline       int64  `json:"deadline"` // microseconds on the persistent clock
	Body           []byte `json:"body,omitempty"`
}

// withoutBody returns a copy of the message that has no body.
func (m *Message) withoutBody() *Message {
	header := *m
	header.Body = nil
	return &header
}
