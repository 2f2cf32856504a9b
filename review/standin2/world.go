package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

// Figures of a small deployment, from its settings.
const (
	drainTime    = 3 * time.Second
	stableTime   = 4 * time.Second
	graceTime    = 6 * time.Second
	restartDelay = 300 * time.Millisecond
)

// routeEndpoint is the address that clients connect to.
var routeEndpoint = netip.MustParseAddrPort("198.18.0.1:443")

// world holds all parts of a case.
type world struct {
	began     time.Time
	directory string
	// network holds the second and third number of all loopback addresses.
	network [2]byte
	// packetPort is the port of packetAddr, at which clients receive too. The other ports
	// are the same on all machines as well.
	packetPort, readyPort, controlPort, peerPort uint16
	store                                        *standin.Store
	closeStore                                   func()
	instances                                    []*instance
	clients                                      *clients

	context context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup

	mu      sync.Mutex
	output  *os.File
	targets []*target
}

func newWorld(recordFile string) (*world, error) {
	output, err := os.Create(recordFile)
	if err != nil {
		return nil, errors.Wrap(err, "create the record")
	}
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, errors.Wrap(err, "create a temporary folder")
	}
	w := &world{
		began: time.Now(), directory: directory, output: output,
		network: [2]byte{byte(20 + rand.IntN(200)), byte(1 + rand.IntN(250))},
	}
	w.context, w.cancel = context.WithCancel(context.Background())
	for _, port := range []*uint16{&w.packetPort, &w.readyPort, &w.controlPort, &w.peerPort} {
		if *port, err = freePort(); err != nil {
			return nil, err
		}
	}
	w.store, w.closeStore = standin.New()
	if w.clients, err = newClients(w, "client", 200); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all processes and parts.
func (w *world) close() {
	w.cancel()
	for _, i := range w.instances {
		i.close()
	}
	w.mu.Lock()
	targets := w.targets
	w.mu.Unlock()
	for _, t := range targets {
		_ = t.conn.Close()
	}
	_ = w.clients.conn.Close()
	w.tasks.Wait()
	w.closeStore()
	_ = os.RemoveAll(w.directory)
	_ = w.output.Close()
}

// address returns the loopback address with that last number.
func (w *world) address(n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.network[0], w.network[1], byte(n)})
}

// record writes a line with the time since the start.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.output, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// pause waits for d.
func (w *world) pause(d time.Duration) { time.Sleep(d) }

// recordRuns writes how many requests each target began to work on, and how many of all ran
// more than once.
func (w *world) recordRuns() {
	w.mu.Lock()
	targets := w.targets
	w.mu.Unlock()
	runs := make(map[string]int)
	for _, t := range targets {
		t.mu.Lock()
		w.record("target %s began to work on %d requests", t.id, len(t.ran))
		for id, n := range t.ran {
			runs[id] += n
		}
		t.mu.Unlock()
	}
	repeated := 0
	for _, n := range runs {
		if n > 1 {
			repeated++
		}
	}
	w.record("%d requests ran, %d of them more than once", len(runs), repeated)
}

// configure writes the first configuration: one route, one service.
func (w *world) configure(kind string, coldPerSecond float64) {
	w.store.Put("op/config", fmt.Appendf(nil, `{"configVersion":3,"routes":[{"name":"r-signoff","host":%q,"prefix":"/%d/","routeKind":%q,`+
		`"timeoutMs":4000,"aimMs":250,"priority":1,"service":"board","maxAttempts":2}],"services":[{"name":"board","healthPath":"/health",`+
		`"maxConns":2000,"protocol":"h1","tls":false,"coldS":2.0,"coldPerS":%g}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,`+
		`"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, routeEndpoint.Addr(), routeEndpoint.Port(), kind, coldPerSecond))
}

// addInstances prepares that many instances.
func (w *world) addInstances(n int) error {
	for k := range n {
		i, err := newInstance(w, k)
		if err != nil {
			return err
		}
		w.instances = append(w.instances, i)
	}
	return nil
}

// startInstances starts all instances, and returns once they are ready.
func (w *world) startInstances() error {
	for _, i := range w.instances {
		if err := i.launch(); err != nil {
			return err
		}
		w.tasks.Go(func() { i.probe(w.context) })
	}
	for _, i := range w.instances {
		if !i.awaitRotation(10 * time.Second) {
			return errors.Errorf("%s doesn't get ready", i.name)
		}
	}
	return nil
}

// instanceFor returns the instance to which the routers send a flow's packets, nil for none.
// Only the flows of an instance that joins or leaves the rotation move.
func (w *world) instanceFor(f segment.Flow) *instance {
	var best *instance
	var highest uint64
	for _, i := range w.instances {
		if hash := xxhash.Sum64String(f.Caller.String() + " " + f.Route.String() + " " + i.name); i.inRotation.Load() && hash >= highest {
			best, highest = i, hash
		}
	}
	return best
}

// freePort returns a port that is free for UDP and TCP.
func freePort() (uint16, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "find a free port")
	}
	defer func() { _ = listener.Close() }()
	return uint16(listener.Addr().(*net.TCPAddr).Port), nil
}
