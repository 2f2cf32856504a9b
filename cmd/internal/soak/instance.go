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
	instancesAtStart = 4
	// probeEvery is how often routers ask for readiness, and missesAllowed how
	// many misses in a row take an instance out of rotation.
	probeEvery    = 500 * time.Millisecond
	missesAllowed = 2
	// restartAfter is the pause between the end of a process and its next start.
	restartAfter = 300 * time.Millisecond
	// graceFor is the time from SIGTERM to SIGKILL.
	graceFor = 6 * time.Second
	// memoryBytes is what the settings allow a process.
	memoryBytes = 284 << 20
)

// instance is one process and what the platform knows of it.
type instance struct {
	world    *world
	name     string
	packets  netip.AddrPort
	ready    netip.AddrPort
	settings string
	proxy    *proxy
	rotating atomic.Bool

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	ended   bool
}

func newInstance(w *world, n int, port uint16) (*instance, error) {
	i := &instance{world: w, name: fmt.Sprintf("entry-%d", n), packets: netip.AddrPortFrom(addressOf(n), port)}
	ready, err := freePort()
	if err != nil {
		return nil, err
	}
	peers, err := freePort()
	if err != nil {
		return nil, err
	}
	if i.proxy, err = newProxy(w.store.Endpoint()); err != nil {
		return nil, err
	}
	i.ready = netip.AddrPortFrom(addressOf(n), ready)
	i.settings = filepath.Join(w.directory, i.name+".toml")
	text := standin.SettingsText(platform.Settings{
		Name: i.name, DataCentre: centres[n%len(centres)], Packets: i.packets, Ready: i.ready,
		Peers: netip.AddrPortFrom(addressOf(n), peers), Heartbeat: time.Second, MemoryBytes: memoryBytes,
		Store: platform.StoreSettings{Endpoint: i.proxy.endpoint()}, Bounds: standin.SampleBounds(),
	})
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	return i, nil
}

// addressOf gives each instance an address of its own on loopback.
func addressOf(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 1, byte(n + 1)}) }

// launch starts the process.
func (i *instance) launch() error {
	log, err := os.OpenFile(i.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command(i.world.options.Binary, "entry", "--metrics-port", "0")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	exited := make(chan struct{})
	go i.await(command, exited)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.process, i.exited = command, exited
	return nil
}

// await reaps the process.
func (i *instance) await(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // how it ended shows in its log
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

// again waits for the end of the process and starts the next one.
func (i *instance) again(ctx context.Context, within time.Duration) {
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
	wait(ctx, restartAfter)
	i.mu.Lock()
	ended := i.ended
	i.mu.Unlock()
	if ctx.Err() != nil || ended {
		return
	}
	if err := i.launch(); err != nil {
		i.world.broken("%s doesn't start: %v", i.name, err)
	}
}

// end ends the process for good.
func (i *instance) end() {
	i.mu.Lock()
	i.ended = true
	exited := i.exited
	i.mu.Unlock()
	i.signal(syscall.SIGCONT)
	i.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
	i.proxy.close()
}

// probe asks for readiness as the routers do.
func (i *instance) probe(ctx context.Context) {
	client := &http.Client{Timeout: probeEvery}
	misses := 0
	for ctx.Err() == nil {
		response, err := client.Get("http://" + i.ready.String() + platform.ReadyPath)
		if err == nil {
			_ = response.Body.Close() // it has no body
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			i.rotating.Store(true)
		} else if misses++; misses >= missesAllowed {
			i.rotating.Store(false)
		}
		wait(ctx, probeEvery)
	}
}

// routed returns the instance that gets a flow's packets: the highest hash of
// those in rotation.
func (w *world) routed(f segment.Flow) *instance {
	var best *instance
	var most uint64
	for _, i := range w.instances {
		if h := xxhash.Sum64String(f.Caller.String() + f.Route.String() + i.name); i.rotating.Load() && h >= most {
			best, most = i, h
		}
	}
	return best
}

// byMark returns the server that a mark names, nil for none.
func (w *world) byMark(m uint32) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		if uint32(mark.Of(s.id)) == m {
			return s
		}
	}
	return nil
}

// configure writes the next version of the configuration.
func (w *world) configure() {
	w.mu.Lock()
	w.version++
	routes := []directory.Route{route(boardRoute), route(ledgerRoute)}
	if w.version%2 == 1 {
		routes = append(routes, route(seasonalRoute))
		delete(w.removed, seasonalRoute.String())
	} else {
		w.removed[seasonalRoute.String()] = time.Now()
	}
	c := directory.Configuration{Version: directory.Version(w.version), Routes: routes, IdleTimeout: 15 * time.Second}
	w.mu.Unlock()
	for _, name := range services {
		c.Services = append(c.Services, directory.Service{Name: name, ColdFor: 2 * time.Second, ColdRate: 4})
	}
	if err := w.store.Configure(c); err != nil {
		w.broken("the configuration can't be written: %v", err)
	}
}

func route(at netip.AddrPort) directory.Route {
	return directory.Route{
		Name: at.String(), Endpoint: at, Kind: directory.Repeatable, Shares: []directory.Share{{Service: serviceOf(at), Weight: 1}},
	}
}
