package flow

import "github.com/tanagerweir/tanagerweir/pkg/version/table"

// A caller whose packets get no answer retransmits the same TCP segment at
// growing intervals. A healthy idle flow sends nothing, or probes of at most one
// byte; a healthy busy one sends new segments. So a segment that is still
// retransmitted after a long time belongs to a dead flow.
const (
	silenceAfter = 20 // seconds without an answer after which a retransmission ends the flow
	probeLength  = 1  // bytes of payload of a keep-alive or window probe
)

// segmentHash returns a hash by which an entry recognises a segment, or 0 for a
// packet without data or with a probe only.
func (p *Packet) segmentHash() uint16 {
	if p.Length <= probeLength {
		return 0
	}
	return uint16(table.Mix(uint64(p.Sequence)<<16|uint64(p.Length))) | 1
}

// retransmits reports whether the packet carries the flow's last segment again,
// and remembers its segment otherwise.
func (e *entry) retransmits(p *Packet) bool {
	segment := p.segmentHash()
	if segment == 0 {
		return false
	}
	if e.lastSegment == segment {
		return true
	}
	e.lastSegment = segment
	return false
}
