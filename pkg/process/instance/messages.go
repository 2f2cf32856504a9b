package instance

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/tanagerweir/tanagerweir/pkg/connection/flow"
	"github.com/tanagerweir/tanagerweir/pkg/process/control"
	"github.com/tanagerweir/tanagerweir/pkg/process/journal"
	"github.com/tanagerweir/tanagerweir/pkg/process/roster"
	"github.com/tanagerweir/tanagerweir/pkg/request/budget"
	"github.com/tanagerweir/tanagerweir/service/api"
)

// messageTimeout limits the sending of one message to a peer.
const messageTimeout = 500 * time.Millisecond

// peerMessage is a message between the packet core and that of a peer, with the
// peer's name.
type peerMessage struct {
	peer    string
	message flow.Message
}

// coreInputs is what the packet core takes from the control core at each tick.
type coreInputs struct {
	members    []roster.Member
	conditions []flow.Condition
}

// tick gives the packet core the reachable members, the conditions of backend
// servers and the time. Then it sends the core's messages and reads its state and
// counts.
func (p *packets) tick() {
	now := p.node.now()
	var inputs coreInputs
	p.node.state.withCore(func(now time.Time, c *control.Core) {
		inputs.conditions = c.FlowConditions(now)
		inputs.members = c.Reachable(now)
	})
	p.core.SetMembers(now, p.flowMembers(inputs.members))
	p.core.SetConditions(now, inputs.conditions)
	p.queueMessages(p.core.Tick(now))
	p.synchronised.Store(!p.core.Unsynchronised())
	p.handedOver.Store(p.core.HandedOver())
	p.journalEvents()
	p.drops.logDropped(now)
	p.countEndedFlows(now)
}

// flowMembers converts the members for the packet core, and records the endpoints
// at which they receive passed packets.
func (p *packets) flowMembers(members []roster.Member) []flow.Member {
	clear(p.passEndpoints)
	reachable := make([]flow.Member, 0, len(members))
	for _, m := range members {
		p.passEndpoints[m.Name] = m.Passed
		reachable = append(reachable, flow.Member{Name: m.Name, Leaving: m.Leaving})
	}
	return reachable
}

// journalEvents adds the packet core's events to the journal.
func (p *packets) journalEvents() {
	for _, e := range p.core.Events() {
		entry := journal.Entry{At: e.At, Subject: e.Subject, Action: e.Action, Cause: "packet decisions"}
		p.node.state.withCore(func(_ time.Time, c *control.Core) { c.AddDecision(entry) })
	}
}

// countEndedFlows counts the flows that ended well and those that broke since the
// last call. Flows that ended because their data centre was taken out count as
// neither.
func (p *packets) countEndedFlows(now time.Time) {
	for _, s := range p.core.Counts().Services {
		before := p.lastCounts[s.Service]
		p.lastCounts[s.Service] = s
		if s.Ended < before.Ended {
			before = flow.ServiceCounts{} // the service was removed and another one has its name
		}
		good := s.Ended - before.Ended
		broken := s.Silent + s.Guessed - before.Silent - before.Guessed
		p.node.state.withCore(func(_ time.Time, c *control.Core) {
			c.CountFlows(now, s.Service, budget.Good, good)
			c.CountFlows(now, s.Service, budget.Broken, broken)
		})
	}
}

// queueMessages queues messages for runMessageSender. A full queue drops them: the
// packet core recovers from lost messages.
func (p *packets) queueMessages(envelopes []flow.Envelope) {
	for _, e := range envelopes {
		select {
		case p.outgoingMessages <- peerMessage{peer: e.To, message: e.Message}:
		default:
			p.node.log.Debug("Packets: a message to a peer was dropped because the send queue is full.", "Peer", e.To)
		}
	}
}

// runMessageSender sends the packet core's messages to peers, one at a time.
func (p *packets) runMessageSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.outgoingMessages:
			if err := p.sendMessage(ctx, m); err != nil {
				p.node.log.Debug("Packets: sending a message to a peer failed.", "Peer", m.peer, "Error", err)
			}
		}
	}
}

func (p *packets) sendMessage(ctx context.Context, m peerMessage) error {
	to, ok := p.node.state.member(m.peer)
	if !ok || !to.Peer.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	connection, err := p.node.exchange.connection(to.Peer)
	if err != nil {
		return err
	}
	_, err = api.NewFlowPeerClient(connection).Tell(ctx, api.FlowMessageToWire(p.node.Name(), m.message))
	return err
}

// flowPeer receives the messages of peers' packet cores.
type flowPeer struct {
	api.UnimplementedFlowPeerServer
	incoming chan<- peerMessage
}

// Tell queues one message for the packet core. It fails with ResourceExhausted
// while the queue is full.
func (f *flowPeer) Tell(_ context.Context, r *api.TellRequest) (*api.TellResponse, error) {
	select {
	case f.incoming <- peerMessage{peer: r.GetFrom(), message: api.FlowMessageFromWire(r)}:
		return &api.TellResponse{}, nil
	default:
		return nil, status.Error(codes.ResourceExhausted, "the queue of incoming messages is full")
	}
}
