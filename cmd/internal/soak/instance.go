package soak

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/pkg/connection/mark"
	"github.com/tanagerweir/tanagerweir/pkg/connection/segment"
	"github.com/tanagerweir/tanagerweir/pkg/version/directory"
	"github.com/tanagerweir/tanagerweir/platform"
	"github.com/tanagerweir/tanagerweir/platform/standin"
)

const (
	// instanceCount is the number of instances where the options name none.
	instanceCount = 4
	// probeInterval is the time between two readiness probes of the routers, and
	// missLimit the number of failures in a row that takes an instance out of rotation.
	probeInterval = 500 * time.Millisecond
	missLimit     = 2
	// restartDelay is the pause between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// stopGrace is the time from SIGTERM to SIGKILL.
	stopGrace = 6 * time.Second
	// memoryBytes is the memory that the settings allow a process.
	memoryBytes = 284 << 20
)

// instance is one instance's process with its endpoints, and whether the routers have
// it in rotation.
type instance struct {
	harness    *harness
	name       string
	centre     string
	packets    netip.AddrPort
	ready      netip.AddrPort
	settings   string
	proxy      *proxy
	inRotation atomic.Bool

	// restarting is held while a process is started again: faults overlap, and one process may
	// be waited for by several restarts.
	restarting sync.Mutex

	mu      sync.Mutex
	process *exec.Cmd // started last
	// launches is how often a process was started.
	launches int
	// exited is closed when the process has ended.
	exited chan struct{}
	closed bool // the process isn't started again
}

func newInstance(h *harness, n int, port uint16) (*instance, error) {
	i := &instance{harness: h, name: fmt.Sprintf("entry-%d", n), centre: centres[n%len(centres)], packets: netip.AddrPortFrom(addressOf(n), port)}
	ready, err := freePort()
	if err != nil {
		return nil, err
	}
	peers, err := freePort()
	if err != nil {
		return nil, err
	}
	if i.proxy, err = newProxy(h.store.Endpoint()); err != nil {
		return nil, err
	}
	i.ready = netip.AddrPortFrom(addressOf(n), ready)
	i.settings = filepath.Join(h.directory, i.name+".toml")
	text := standin.SettingsText(platform.Settings{
		Name: i.name, DataCentre: i.centre, Packets: i.packets, Ready: i.ready,
		Peers: netip.AddrPortFrom(addressOf(n), peers), Heartbeat: time.Second, MemoryBytes: memoryBytes,
		Store: platform.StoreSettings{Endpoint: i.proxy.endpoint()}, Bounds: standin.SampleBounds(),
	})
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return i, nil
}

// addressOf returns the loopback address of instance n, one for each.
func addressOf(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}) }

// launch starts the process.
func (i *instance) launch() error {
	log, err := os.OpenFile(i.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(i.nextBinary(), "entry", "--metrics-port", "0")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	exited := make(chan struct{})
	go i.reap(command, exited)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process, i.exited = command, exited
	return nil
}

// nextBinary returns the program of the next process.
func (i *instance) nextBinary() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.launches++
	if previous := i.harness.options.Previous; previous != "" && i.launches%2 == 1 {
		return previous
	}
	return i.harness.options.Binary
}

// reap waits for the end of the process, and closes exited then.
func (i *instance) reap(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // its log shows how it ended
	close(exited)
}

// signal sends a signal to the process that was started last.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.process != nil {
		_ = i.process.Process.Signal(s) // it may have ended already
	}
}

// restart waits for the end of the process, kills it after the given time, and starts
// it again.
func (i *instance) restart(ctx context.Context, within time.Duration) {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
	case <-ctx.Done():
		return
	case <-time.After(within):
		i.signal(syscall.SIGKILL)
		<-exited
	}
	wait(ctx, restartDelay)
	i.restarting.Lock()
	defer i.restarting.Unlock()
	if ctx.Err() != nil || !i.needsStart(exited) {
		return
	}
	if err := i.launch(); err != nil {
		i.harness.reportBroken("%s can't be started: %v", i.name, err)
	}
}

// needsStart reports whether no other restart has started a process since the one that ended.
func (i *instance) needsStart(exited chan struct{}) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.closed && i.exited == exited
}

// close kills the process, paused or not, and prevents its restart.
func (i *instance) close() {
	i.restarting.Lock()
	defer i.restarting.Unlock()
	i.mu.Lock()
	i.closed = true
	exited := i.exited
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	i.proxy.close()
}

// probe probes the instance's readiness as the routers do, until the context ends.
func (i *instance) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeInterval}
	misses := 0
	for ctx.Err() == nil {
		if i.isReady(client) {
			misses = 0
			i.inRotation.Store(true)
		} else if misses++; misses >= missLimit {
			i.inRotation.Store(false)
		}
		wait(ctx, probeInterval)
	}
}

// isReady reports whether the instance answers that it is ready.
func (i *instance) isReady(client *http.Client) bool {
	response, err := client.Get("http://" + i.ready.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // it has no body
	return response.StatusCode == http.StatusOK
}

// instanceFor returns the instance to which the routers send a flow's packets, nil for
// none: of those in rotation the one with the highest hash.
func (h *harness) instanceFor(f segment.Flow) *instance {
	var best *instance
	var highest uint64
	for _, i := range h.instances {
		if hash := xxhash.Sum64String(f.Caller.String() + f.Route.String() + i.name); i.inRotation.Load() && hash >= highest {
			best, highest = i, hash
		}
	}
	return best
}

// serverByMark returns the server with the mark, nil for none.
func (h *harness) serverByMark(m uint32) *server {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		if uint32(mark.Of(s.id)) == m {
			return s
		}
	}
	return nil
}

// configure writes the next version of the configuration. Odd versions have the
// seasonal route, even ones don't.
func (h *harness) configure() {
	h.configuring.Lock()
	defer h.configuring.Unlock()
	h.mu.Lock()
	h.version++
	if h.version%2 == 1 {
		delete(h.removed, seasonalRoute.String())
	} else {
		h.removed[seasonalRoute.String()] = time.Now()
	}
	version := h.version
	h.mu.Unlock()
	h.putConfiguration(version)
}

// putConfiguration writes a version of the configuration; odd ones have the seasonal
// route.
func (h *harness) putConfiguration(version int) {
	routes := []directory.Route{newRoute(boardRoute), newRoute(ledgerRoute)}
	if version%2 == 1 {
		routes = append(routes, newRoute(seasonalRoute))
	}
	c := directory.Configuration{Version: directory.Version(version), Routes: routes, IdleTimeout: 15 * time.Second}
	for _, name := range services {
		c.Services = append(c.Services, directory.Service{Name: name, ColdFor: 2 * time.Second, ColdRate: 4})
	}
	if err := h.store.PutConfiguration(c); err != nil {
		h.reportBroken("the configuration can't be written: %v", err)
	}
}

func newRoute(endpoint netip.AddrPort) directory.Route {
	return directory.Route{
		Name: endpoint.String(), Endpoint: endpoint, Kind: directory.Repeatable, Shares: []directory.Share{{Service: serviceOf(endpoint), Weight: 1}},
	}
}
