package emulation

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/emulation/timeline"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/version/replica"
	wire "github.com/tanagerweir/tanagerweir/service/entry"
)

// instance runs an instance's real duties on an emulated machine, in turns of the
// timeline. It is their entry.Host.
type instance struct {
	place
	world          *world
	packets, peers netip.AddrPort
	cores          float64
	// present says that it is part of the deployment, and running that its process
	// is; each start of the process is a boot.
	present, running bool
	boot             int
	duties           *entry.Duties
	ctx              context.Context
	cancel           context.CancelFunc
	processes        []*timeline.Process
	transport        *storeTransport
	began            time.Duration
	// accepts says that packets are read; those that came before wait in the
	// socket.
	accepts  bool
	held     []func()
	fetching bool
	// busy is until when the processor is taken, queued how many packets wait for
	// it, slow by how much it takes longer.
	busy   time.Duration
	queued int
	slow   float64
	// frozen is until when the process stands still.
	frozen time.Duration
	// leaving says that it doesn't start again.
	leaving bool
	// packet is what the duties decide about now.
	packet *transit
	// shown is the highest version whose effect was seen in this boot, and shownAt
	// when it was first.
	shown   version
	shownAt time.Duration
	// misses counts the routers' probes in a row that failed.
	misses int
}

// transit is a caller's packet on its way through an instance.
type transit struct {
	flow  *flow
	bytes []byte
	// sent is when the caller sent it, and via where it was decided about.
	sent time.Duration
	via  *instance
	boot int
}

// start begins a boot: the process runs a little later.
func (i *instance) start() {
	if i.running || i.leaving {
		return
	}
	i.boot++
	i.running = true
	i.fetching, i.accepts, i.held, i.queued, i.shown = false, false, nil, 0, 0
	boot := i.boot
	i.world.line.After(time.Duration(float64(i.world.day.Instances.StartTime)*max(i.slow, 1)), func() {
		if i.boot == boot && i.running {
			i.run()
		}
	})
}

// run starts the duties.
func (i *instance) run() {
	w := i.world
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.began = w.line.Now()
	i.transport = &storeTransport{instance: i, store: w.store}
	o := w.options(i)
	d, err := entry.NewDuties(o, i)
	if err != nil {
		w.fail(errors.Wrapf(err, "start instance %q", i.name))
		return
	}
	i.duties = d
	i.process(func() { d.Follow(i.ctx) })
	i.process(func() { d.Register(i.ctx) })
	i.every(entry.TickPeriod, d.Tick)
	i.every(entry.ExchangePeriod, d.Tell)
}

func (i *instance) process(run func()) {
	i.processes = append(i.processes, i.world.line.Go(run))
}

// every repeats a duty until the boot ends.
func (i *instance) every(period time.Duration, do func()) {
	boot := i.boot
	var next func()
	next = func() {
		if i.boot != boot || !i.running {
			return
		}
		if now := i.world.line.Now(); i.frozen > now {
			i.world.line.At(i.frozen, next)
			return
		}
		do()
		i.world.line.After(period, next)
	}
	next()
}

// whenRunning does something in this boot, after a freeze if it stands still.
func (i *instance) whenRunning(do func()) {
	boot := i.boot
	if now := i.world.line.Now(); i.frozen > now {
		i.world.line.At(i.frozen, func() {
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

// kill ends the process at once.
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
	i.processes, i.duties, i.held, i.frozen = nil, nil, nil, 0
}

// stop ends the process as planned, and calls then.
func (i *instance) stop(then func()) {
	if !i.running || i.duties == nil {
		i.kill()
		then()
		return
	}
	boot, d, grace := i.boot, i.duties, i.world.day.Bounds.Grace
	end := func() {
		if i.boot == boot && i.running {
			i.kill()
			then()
		}
	}
	i.process(func() {
		d.Stop(i.ctx, grace)
		end()
	})
	i.world.line.After(grace, end)
}

// probe says whether a router's probe succeeds.
func (i *instance) probe() bool {
	return i.running && i.duties != nil && i.frozen <= i.world.line.Now() && i.duties.Ready()
}

// receive takes a caller's packet as it arrives.
func (i *instance) receive(t *transit) {
	if !i.running || i.queued >= i.world.day.Instances.QueuePackets {
		return
	}
	i.queued++
	t.via, t.boot = i, i.boot
	if !i.accepts {
		i.held = append(i.held, func() { i.decide(t) })
		return
	}
	i.decide(t)
}

// decide lets the processor come to a packet.
func (i *instance) decide(t *transit) {
	w := i.world
	now := w.line.Now()
	cost := time.Duration(float64(w.day.Instances.PacketTime) / i.cores * max(i.slow, 1))
	i.busy = max(i.busy, now, i.frozen) + cost
	w.line.At(i.busy, func() {
		if i.boot != t.boot {
			return
		}
		i.whenRunning(func() {
			i.queued--
			i.packet = t
			i.duties.Packet(append(make([]byte, w.platform.Headroom(), w.platform.Headroom()+len(t.bytes)), t.bytes...))
			i.packet = nil
		})
	})
}

// Now is the time since the boot.
func (i *instance) Now() time.Duration { return i.world.line.Now() - i.began }

// Pause waits in virtual time.
func (i *instance) Pause(ctx context.Context, d time.Duration) {
	if ctx.Err() != nil {
		return
	}
	i.world.line.Wait(func(done func()) {
		i.world.line.After(d, func() { i.whenRunning(done) })
	})
}

type deadlineKey struct{}

// Deadline bounds what is done with the context, in virtual time.
func (i *instance) Deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	bounded, cancel := context.WithCancel(ctx)
	return context.WithValue(bounded, deadlineKey{}, i.world.line.Now()+d), cancel
}

func deadlineOf(ctx context.Context, none time.Duration) time.Duration {
	if d, ok := ctx.Value(deadlineKey{}).(time.Duration); ok {
		return d
	}
	return none
}

// Accept lets packets come in.
func (i *instance) Accept() {
	if i.accepts {
		return
	}
	i.accepts = true
	for _, decide := range i.held {
		decide()
	}
	i.held = nil
}

// SendPacket sends to a caller or a backend server.
func (i *instance) SendPacket(datagram []byte, to netip.AddrPort) {
	if i.running && i.packet != nil {
		i.world.forwarded(i, i.packet, append([]byte{}, datagram...), to)
	}
}

// SendWord sends to another instance.
func (i *instance) SendWord(datagram []byte, to netip.AddrPort) {
	other, ok := i.world.byPeers[to]
	if !ok || !i.running {
		return
	}
	word := append([]byte{}, datagram...)
	i.world.network.datagram(&i.place, &other.place, len(word), func() {
		other.whenRunning(func() {
			if other.duties != nil {
				other.duties.Word(word, i.peers)
				other.fetch()
			}
		})
	})
}

// fetch brings changes that a word told of, one instance at a time.
func (i *instance) fetch() {
	if i.fetching {
		return
	}
	i.fetching = true
	boot, d := i.boot, i.duties
	i.process(func() {
		for d.FetchWanted(i.ctx) && i.boot == boot {
			continue
		}
		if i.boot == boot {
			i.fetching = false
		}
	})
}

// errNoInstance says that no instance answered in time.
var errNoInstance = errors.New("emulation: the instance didn't answer in time")

// Fetch asks another instance for its changes after a revision.
func (i *instance) Fetch(ctx context.Context, from netip.AddrPort, after uint64) (replica.Batch, error) {
	other, known := i.world.byPeers[from]
	line, network := i.world.line, i.world.network
	deadline := deadlineOf(ctx, line.Now()+time.Second)
	var body []byte
	var err error
	answered := false
	line.Wait(func(done func()) {
		line.At(deadline, done)
		if !known {
			return
		}
		network.stream(&i.place, &other.place, deadline, func() {
			other.whenRunning(func() {
				if other.duties == nil {
					return
				}
				body, err = wire.EncodeBatch(other.duties.Since(after))
				wait, _ := network.occupy(&other.place, len(body)/packing)
				line.After(wait, func() {
					network.stream(&other.place, &i.place, deadline, func() {
						answered = true
						i.whenRunning(done)
					})
				})
			})
		})
	})
	switch {
	case ctx.Err() != nil:
		return replica.Batch{}, ctx.Err()
	case err != nil:
		return replica.Batch{}, err
	case !answered:
		return replica.Batch{}, errNoInstance
	}
	return wire.DecodeBatch(body)
}

// packing is by how much the compression of a fetch shortens it: a copy of 100 KB
// packs to 10 KB.
const packing = 10
