package main

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/tanagerweir/tanagerweir/platform"
)

const (
	// probePeriod is the time between two readiness probes, and missLimit the number of
	// misses that takes an instance out of rotation.
	probePeriod = 500 * time.Millisecond
	missLimit   = 2
)

// Programs of the present build and of the production version.
const (
	currentProgram    = "target/tanagerweir"
	productionProgram = "target/review-2-production/tanagerweir"
)

// zones are the names of the zones.
var zones = []string{"plateau", "almadies"}

// instance is one process of the system.
type instance struct {
	world      *world
	name       string
	address    netip.Addr
	settings   string
	inRotation atomic.Bool
	proxy      *proxy
	// program is the path of the build that runs.
	program string
	process *exec.Cmd
	exited  chan struct{}
}

// newInstance prepares the settings of instance n. Every second one is in another zone.
func newInstance(w *world, n int) (*instance, error) {
	i := &instance{world: w, name: fmt.Sprintf("front-%d", n+1), address: w.address(10 + n), program: currentProgram}
	var err error
	if i.proxy, err = newProxy(w.store.Endpoint()); err != nil {
		return nil, err
	}
	i.settings = filepath.Join(w.directory, i.name+".toml")
	return i, os.WriteFile(i.settings, []byte(i.settingsText(n)), 0o600)
}

// settingsText returns a settings file with the figures of a small deployment.
func (i *instance) settingsText(n int) string {
	w := i.world
	var seeds []string
	for k := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(w.address(10+k), w.controlPort)))
	}
	return fmt.Sprintf(`nodeName = %q
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = %q
zone = %q
region = "dakar"
internalPorts = [%d, %d]
seeds = [%s]
bootstrap = true
discovery = "platform"
entry = "announce"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "recover", "flows", "places", "platform"]
hash = "steady"
encap = "echo"
[zones]
plateau = "dakar"
almadies = "dakar"
[listen]
packetAddr = "%s:%d"
ready = "%s:%d"
control = "%s:%d"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[faultTolerance]
machines = 2
zones = 1
[bounds]
stableMs = 4000
drainMs = 3000
graceS = 6
configApplyMs = 3000
maxStretchMs = 12000
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
maxFlowS = 60
[platform]
address = %q
writesPerS = 400
readsPerS = 2000
historyS = 20
minTtlMs = 1000
`, i.name, i.address, zones[n%len(zones)], w.peerPort, w.peerPort, strings.Join(seeds, ", "),
		i.address, w.packetPort, i.address, w.readyPort, i.address, w.controlPort, i.proxy.endpoint())
}

// launch starts the process with the command of the deploy file.
func (i *instance) launch() error {
	log, err := os.OpenFile(i.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(i.program, "entry")
	command.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", i.name)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	i.process, i.exited = command, exited
	i.world.record("%s started, %s", i.name, i.program)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.world.record("%s gets %v", i.name, s)
	_ = i.process.Process.Signal(s)
}

// restart stops the process as planned and starts it again.
func (i *instance) restart() error {
	i.signal(syscall.SIGTERM)
	select {
	case <-i.exited:
		i.world.record("%s has ended", i.name)
	case <-time.After(graceTime):
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
	i.world.pause(restartDelay)
	if err := i.launch(); err != nil {
		return err
	}
	if !i.awaitRotation(10 * time.Second) {
		return errors.Errorf("%s doesn't get ready again", i.name)
	}
	return nil
}

// close kills the process.
func (i *instance) close() {
	if i.process != nil {
		_ = i.process.Process.Kill()
		<-i.exited
	}
	i.proxy.close()
}

// probe probes readiness as the platform does, until the context ends.
func (i *instance) probe(ctx context.Context) {
	client := &http.Client{Timeout: probePeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for ctx.Err() == nil {
		ready := false
		if response, err := client.Get(fmt.Sprintf("http://%s:%d%s", i.address, i.world.readyPort, platform.ReadyPath)); err == nil {
			_ = response.Body.Close()
			ready = response.StatusCode == http.StatusOK
		}
		if misses++; ready {
			misses = 0
		}
		if rotates := ready || misses < missLimit && i.inRotation.Load(); rotates != i.inRotation.Swap(rotates) {
			i.world.record("%s in rotation: %t", i.name, rotates)
		}
		time.Sleep(probePeriod)
	}
}

// awaitRotation waits until the instance is in rotation, and reports whether it is.
func (i *instance) awaitRotation(most time.Duration) bool {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if i.inRotation.Load() {
			return true
		}
	}
	return false
}
