package flow

import (
	"slices"
	"strings"
)

// outbox collects the messages of one tick, at most one for each peer.
type outbox struct {
	core     *Core
	messages map[string]*Message
}

// message returns the message to a peer, and adds an empty one if there is none.
func (o *outbox) message(to string) *Message {
	m, ok := o.messages[to]
	if !ok {
		m = &Message{}
		o.messages[to] = m
	}
	return m
}

// addRecord adds a flow's record to the message to a member and counts it
// against the limit. It skips the instance itself and unreachable members.
func (o *outbox) addRecord(to int32, e *entry) {
	c := o.core
	if to == noMember || to == c.members.self || !c.members.alive[to] {
		return
	}
	c.recordCredit--
	m := o.message(c.members.names[to])
	code := c.registry.servers[e.server()].code
	if n := len(m.Records); n > 0 && m.Records[n-1] == (Record{Fingerprint: e.fingerprint(), Server: code}) {
		return
	}
	m.Records = append(m.Records, Record{Fingerprint: e.fingerprint(), Server: code})
}

// envelopes returns the messages with the present progress, ordered by receiver.
func (o *outbox) envelopes() []Envelope {
	envelopes := make([]Envelope, 0, len(o.messages))
	for to, m := range o.messages {
		m.Progress = o.core.own
		envelopes = append(envelopes, Envelope{To: to, Message: *m})
	}
	slices.SortFunc(envelopes, func(a, b Envelope) int { return strings.Compare(a.To, b.To) })
	return envelopes
}
