package entry

import (
	"log/slog"

	"github.com/tanagerweir/tanagerweir/pkg/process/containment"
)

// guards contain the panics of an instance's parts.
//
// Not contained are the adoption of a directory by the forwarding core, as the core would
// go on with an old one that counts as fresh, and the reception and sending of packets,
// which decode nothing.
type guards struct {
	// packets, messages and ticks are those of the decider: each packet, each message of
	// another instance, and each tick.
	packets, messages, ticks *containment.Guard
	// received is that of the goroutine that receives messages of other instances.
	received  *containment.Guard
	exchange  *containment.Guard
	fetcher   *containment.Guard
	follower  *containment.Guard
	early     *containment.Guard
	registrar *containment.Guard
	// web is that of all HTTP handlers.
	web *containment.Guard
}

func newGuards(log *slog.Logger) *guards {
	input := func(part string) *containment.Guard {
		return containment.NewGuard(part, containment.InputLimit, log)
	}
	loop := func(part string) *containment.Guard { return containment.NewGuard(part, containment.LoopLimit, log) }
	return &guards{
		packets: input("Packets"), messages: input("Messages"), ticks: loop("Ticks"),
		received: input("Received"), exchange: loop("Exchange"), fetcher: loop("Fetcher"),
		follower: loop("Follower"), early: loop("EarlyReader"), registrar: loop("Registrar"), web: input("Web"),
	}
}

func (g *guards) all() []*containment.Guard {
	return []*containment.Guard{g.packets, g.messages, g.ticks, g.received, g.exchange, g.fetcher, g.follower, g.early, g.registrar, g.web}
}
