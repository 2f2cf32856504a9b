package emulation

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/pacing"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/transfer"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
)

// instance runs the real engine of an instance, package entry, on an emulated
// machine and in virtual time. It implements entry.Host.
type instance struct {
	node
	world                        *world
	packetEndpoint, peerEndpoint netip.AddrPort
	cores                        float64
	// number is its place within its data centre, from 0 on.
	number int
	// deployed says that the instance is part of the deployment, and running that
	// its process runs. boot numbers the starts of the process; work of an earlier
	// boot is discarded.
	deployed, running bool
	boot              int
	engine            *entry.Engine
	ctx               context.Context
	cancel            context.CancelFunc
	processes         []*timeline.Process
	transport         *storeTransport
	startedAt         time.Duration
	// accepting says that packets are read from the socket; heldPackets are those
	// that arrived before.
	accepting   bool
	heldPackets []func()
	fetching    bool
	// busyUntil is the time until which the processor is busy, and queuedPackets how
	// many packets wait for it. Each takes slowFactor times as long if that is above
	// 1.
	busyUntil     time.Duration
	queuedPackets int
	slowFactor    float64
	// frozenUntil is the time until which the process is suspended.
	frozenUntil time.Duration
	// retired says that the instance was removed and never starts again.
	retired bool
	// currentPacket is the packet that the engine handles now; SendPacket refers to
	// it.
	currentPacket *transit
	// outgoing holds the packets that wait for the link.
	outgoing *pacing.Queue[func()]
	// seenVersion is the highest configuration version whose effect was observed in
	// this boot, and seenVersionAt when it was first observed.
	seenVersion   version
	seenVersionAt time.Duration
	// failedProbes counts the routers' probes that failed since the last success.
	failedProbes int
}

// transit is a caller's packet on its way through an instance.
type transit struct {
	flow  *flow
	bytes []byte
	// sentAt is when the caller sent the packet. via and boot are the instance that
	// received it and the boot of its process.
	sentAt time.Duration
	via    *instance
	boot   int
}

// start begins a boot, unless the process runs or was removed for good. The engine
// starts after StartTime.
func (i *instance) start() {
	if i.running || i.retired {
		return
	}
	i.boot++
	i.running = true
	i.fetching, i.accepting, i.heldPackets, i.queuedPackets, i.seenVersion = false, false, nil, 0, 0
	boot := i.boot
	i.world.clock.After(time.Duration(float64(i.world.day.Instances.StartTime)*max(i.slowFactor, 1)), func() {
		if i.boot == boot && i.running {
			i.startEngine()
		}
	})
}

// startEngine creates the engine and starts its processes and periodic calls.
func (i *instance) startEngine() {
	w := i.world
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.startedAt = w.clock.Now()
	i.transport = &storeTransport{instance: i, store: w.store}
	i.outgoing = pacing.New[func()](i.bytesPerSecond)
	o := w.instanceOptions(i)
	engine, err := entry.NewEngine(o, i)
	if err != nil {
		w.fail(errors.Wrapf(err, "start instance %q", i.name))
		return
	}
	i.engine = engine
	i.startProcess(func() { engine.Follow(i.ctx) })
	i.startProcess(func() { engine.FollowEarly(i.ctx) })
	i.startProcess(func() { engine.Register(i.ctx) })
	i.every(entry.TickPeriod, engine.Tick)
	i.every(entry.ExchangePeriod, engine.SendState)
}

func (i *instance) startProcess(run func()) {
	i.processes = append(i.processes, i.world.clock.Go(run))
}

// every calls a function at once and then periodically, until the boot ends. While
// the process is frozen, calls wait.
func (i *instance) every(period time.Duration, do func()) {
	boot := i.boot
	var next func()
	next = func() {
		if i.boot != boot || !i.running {
			return
		}
		if now := i.world.clock.Now(); i.frozenUntil > now {
			i.world.clock.At(i.frozenUntil, next)
			return
		}
		do()
		i.world.clock.After(period, next)
	}
	next()
}

// whenRunning calls a function at once, or when the process is no longer frozen. It
// drops the call if the process ends before.
func (i *instance) whenRunning(do func()) {
	boot := i.boot
	if now := i.world.clock.Now(); i.frozenUntil > now {
		i.world.clock.At(i.frozenUntil, func() {
			if i.boot == boot {
				i.whenRunning(do)
			}
		})
		return
	}
	if i.running {
		do()
	}
}

// kill ends the process without any of the work of a planned stop.
func (i *instance) kill() {
	if !i.running {
		return
	}
	i.running = false
	i.boot++
	if i.cancel != nil {
		i.cancel()
	}
	for _, p := range i.processes {
		p.Interrupt()
	}
	i.processes, i.engine, i.heldPackets, i.frozenUntil = nil, nil, nil, 0
}

// stop ends the process as planned, within the grace time, and calls then once it
// has ended. A process whose engine hasn't started is killed.
func (i *instance) stop(then func()) {
	if !i.running || i.engine == nil {
		i.kill()
		then()
		return
	}
	boot, engine, grace := i.boot, i.engine, i.world.day.Bounds.Grace
	end := func() {
		if i.boot == boot && i.running {
			i.kill()
			then()
		}
	}
	i.startProcess(func() {
		engine.Stop(i.ctx, grace)
		end()
	})
	i.world.clock.After(grace, end)
}

// ready reports whether a router's probe of the instance succeeds now.
func (i *instance) ready() bool {
	return i.running && i.engine != nil && i.frozenUntil <= i.world.clock.Now() && i.engine.Ready()
}

// receivePacket queues a caller's packet as it arrives. It drops the packet if the
// process doesn't run or the queue is full.
func (i *instance) receivePacket(t *transit) {
	if !i.running || i.queuedPackets >= i.world.day.Instances.QueuePackets {
		return
	}
	i.queuedPackets++
	t.via, t.boot = i, i.boot
	if !i.accepting {
		i.heldPackets = append(i.heldPackets, func() { i.processPacket(t) })
		return
	}
	i.processPacket(t)
}

// processPacket hands a packet to the engine once the processor has time for it.
func (i *instance) processPacket(t *transit) {
	w := i.world
	now := w.clock.Now()
	cost := time.Duration(float64(w.day.Instances.PacketTime) / i.cores * max(i.slowFactor, 1))
	i.busyUntil = max(i.busyUntil, now, i.frozenUntil) + cost
	w.clock.At(i.busyUntil, func() {
		if i.boot != t.boot {
			return
		}
		i.whenRunning(func() {
			i.queuedPackets--
			i.currentPacket = t
			i.engine.HandlePacket(append(make([]byte, w.platform.Headroom(), w.platform.Headroom()+len(t.bytes)), t.bytes...))
			i.currentPacket = nil
		})
	})
}

// Now returns the virtual time since the engine started.
func (i *instance) Now() time.Duration { return i.world.clock.Now() - i.startedAt }

// Pause suspends the calling process for a duration of virtual time. It returns at
// once if the context is done.
func (i *instance) Pause(ctx context.Context, d time.Duration) {
	if ctx.Err() != nil {
		return
	}
	i.world.clock.Wait(func(done func()) {
		i.world.clock.After(d, func() { i.whenRunning(done) })
	})
}

type deadlineKey struct{}

// Transfer returns a context whose deadline in virtual time moves on as a response
// arrives.
func (i *instance) Transfer(ctx context.Context, l transfer.Limit) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	meter := transfer.NewMeter(i.world.clock.Now(), l)
	ctx = context.WithValue(ctx, deadlineKey{}, meter.Deadline)
	return transfer.WithTrace(ctx, transfer.Trace{
		Began:    func(int64) { meter.Begin(i.world.clock.Now()) },
		Received: func(bytes int) { meter.Receive(i.world.clock.Now(), bytes) },
	}), cancel
}

// Deadline returns a context that carries a deadline in virtual time. [deadlineOf]
// reads it; the context itself doesn't expire.
func (i *instance) Deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	deadline := i.world.clock.Now() + d
	return context.WithValue(bounded, deadlineKey{}, func() time.Duration { return deadline }), cancel
}

// deadlineOf returns the deadline of a context in virtual time, or the fallback if it
// has none. That of a context that has ended is 0.
func deadlineOf(ctx context.Context, fallback time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	if d, ok := ctx.Value(deadlineKey{}).(func() time.Duration); ok {
		return d()
	}
	return fallback
}

// AcceptPackets begins to read packets, first those that arrived before.
func (i *instance) AcceptPackets() {
	if i.accepting {
		return
	}
	i.accepting = true
	for _, process := range i.heldPackets {
		process()
	}
	i.heldPackets = nil
}

// SendPacket sends a datagram, which belongs to the packet that is handled now, to a
// caller or a backend server, once the link is free.
func (i *instance) SendPacket(datagram []byte, flow uint64, to netip.AddrPort) {
	if !i.running || i.currentPacket == nil {
		return
	}
	t, sent := i.currentPacket, append([]byte{}, datagram...)
	send := func() { i.world.deliverForwarded(i, t, sent, to) }
	now := i.world.clock.Now()
	if i.outgoing.Pass(now, len(datagram)) {
		send()
		return
	}
	if _, waiting := i.outgoing.Wait(now); i.outgoing.Add(now, flow, len(datagram), send) && !waiting {
		i.sendOutgoing(i.boot)
	}
}

// sendOutgoing sends the packets that wait for the link, until none is left or the boot
// ends.
func (i *instance) sendOutgoing(boot int) {
	if i.boot != boot {
		return
	}
	now := i.world.clock.Now()
	for send, ok := i.outgoing.Next(now); ok; send, ok = i.outgoing.Next(now) {
		send()
	}
	if wait, waiting := i.outgoing.Wait(now); waiting {
		i.world.clock.After(max(wait, time.Microsecond), func() { i.whenRunning(func() { i.sendOutgoing(boot) }) })
	}
}

// SendMessage sends a message to another instance. It copies the datagram.
func (i *instance) SendMessage(datagram []byte, to netip.AddrPort) {
	other, ok := i.world.byPeerAddress[to]
	if !ok || !i.running {
		return
	}
	message := append([]byte{}, datagram...)
	i.world.network.sendDatagram(&i.node, &other.node, len(message), func() {
		arrived := i.world.clock.Now()
		other.whenRunning(func() {
			if other.engine != nil {
				other.engine.HandleMessage(message, i.peerEndpoint, i.world.clock.Now()-arrived)
				other.fetchRequested()
			}
		})
	})
}

// fetchRequested fetches the changes that received messages announced, one peer at a
// time.
func (i *instance) fetchRequested() {
	if i.fetching {
		return
	}
	i.fetching = true
	boot, engine := i.boot, i.engine
	i.startProcess(func() {
		for engine.FetchRequested(i.ctx) && i.boot == boot {
			continue
		}
		if i.boot == boot {
			i.fetching = false
		}
	})
}

// errNoPeerAnswer says that the other instance didn't answer before the deadline.
var errNoPeerAnswer = errors.New("emulation: the instance didn't answer in time")

// Fetch requests the changes after a position from another instance. It must be
// called by a process of the timeline.
func (i *instance) Fetch(ctx context.Context, from netip.AddrPort, after replica.Position) (replica.Batch, error) {
	other, known := i.world.byPeerAddress[from]
	clock, network := i.world.clock, i.world.network
	deadline := func() time.Duration { return deadlineOf(ctx, clock.Now()+time.Second) }
	first := deadline()
	var arriving *arrivingBody
	err := errNoPeerAnswer
	clock.Wait(func(done func()) {
		clock.At(first, done)
		if !known {
			return
		}
		network.sendStream(&i.node, &other.node, first, func() {
			other.whenRunning(func() {
				if other.engine == nil {
					return
				}
				var body []byte
				if body, err = other.engine.ServeFetch(after); err != nil {
					network.sendStream(&other.node, &i.node, first, done)
					return
				}
				arriving = &arrivingBody{clock: clock, ctx: ctx, deadline: deadline, data: body}
				network.sendTransfer(delivery{
					from: &other.node, to: &i.node, size: len(body), deadline: deadline,
					deliver: func(arrived int) {
						i.whenRunning(func() {
							arriving.extend(arrived)
							done()
						})
					},
				})
			})
		})
	})
	if ctx.Err() != nil {
		return replica.Batch{}, ctx.Err()
	}
	if arriving == nil {
		return replica.Batch{}, err
	}
	return entry.DecodeFetch(transfer.Reader(ctx, int64(len(arriving.data)), arriving))
}
