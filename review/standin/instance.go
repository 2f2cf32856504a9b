package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// probePeriod is the time between two readiness probes of the routers, and missLimit the
	// number of misses after which an instance is out of rotation.
	probePeriod = 500 * time.Millisecond
	missLimit   = 2
	// restartDelay is the pause between the end of a process and its next start.
	restartDelay = 300 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
)

// instance is a process of the deploy file with its addresses and its link to the store.
type instance struct {
	fleet      *fleet
	name, zone string
	address    netip.Addr
	settings   string
	proxy      *proxy
	inRotation atomic.Bool
	// disturbed is when the instance was last disturbed, in nanoseconds since the Unix epoch.
	disturbed atomic.Int64

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func newInstance(f *fleet, n int) (*instance, error) {
	zone := f.site.zone(n)
	i := &instance{fleet: f, name: fmt.Sprintf("front-%s-%d", zone, n/len(f.site.zones)+1), zone: zone, address: f.address(10 + n)}
	p, err := newProxy(f.address(100+n), f.store.Endpoint())
	if err != nil {
		return nil, err
	}
	i.proxy = p
	i.settings = filepath.Join(f.directory, i.name+".toml")
	return i, os.WriteFile(i.settings, []byte(i.settingsText()), 0o600)
}

func (i *instance) packets() netip.AddrPort { return netip.AddrPortFrom(i.address, i.fleet.port) }

// settingsFormat is the settings file of a machine of the small deployments.
const settingsFormat = `nodeName = %[1]q
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = %[2]q
zone = %[3]q
region = %[11]q
internalPorts = [%[4]d, %[5]d]
seeds = [%[6]s]
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "announce"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","flows","places","platform"]
hash = "steady"
encap = "echo"
[zones]
%[12]s
[listen]
packetAddr = %[7]q
ready = %[8]q
control = %[9]q
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
rollbackSlackMs = 250
maxStretchMs = 12000
coldOverage = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
flowTimeoutMs = 2000
maxFlowS = 60
[platform]
address = %[10]q
encap = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
`

// settingsText returns the contents of the instance's settings file.
func (i *instance) settingsText() string {
	var seeds, zones []string
	for n := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", netip.AddrPortFrom(i.fleet.address(10+n), controlPort)))
	}
	for _, zone := range i.fleet.site.zones {
		zones = append(zones, fmt.Sprintf("%s = %q", zone, i.fleet.site.region))
	}
	return fmt.Sprintf(settingsFormat, i.name, i.address, i.zone, internalPort, internalPort+15, strings.Join(seeds, ", "), i.packets(),
		netip.AddrPortFrom(i.address, readyPort), netip.AddrPortFrom(i.address, controlPort), i.proxy.endpoint(),
		i.fleet.site.region, strings.Join(zones, "\n"))
}

// launch starts the process as the deploy file does.
func (i *instance) launch() error {
	log, err := os.OpenFile(i.settings+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	command := exec.Command("target/tanagerweir", "entry")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TANAGERWEIR_CONFIG=" + i.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go i.reap(command, exited)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.command, i.exited = command, exited
	return nil
}

// reap waits for the end of the process, and closes exited then.
func (i *instance) reap(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // its log shows how it ended
	close(exited)
}

func (i *instance) process() (*exec.Cmd, chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.command, i.exited
}

// kill ends the process at once.
func (i *instance) kill() {
	command, exited := i.process()
	if command != nil {
		i.disturb()
		_ = command.Process.Kill() // it may have ended already
		<-exited
	}
}

// restart stops the process as planned and starts it again.
func (i *instance) restart() error {
	command, exited := i.process()
	i.disturb()
	_ = command.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(grace):
		i.kill()
	}
	time.Sleep(restartDelay)
	i.disturb()
	return i.launch()
}

func (i *instance) disturb() { i.disturbed.Store(time.Now().UnixNano()) }

// inTouch reports whether the instance was undisturbed for stable before the given time.
func (i *instance) inTouch(at time.Time) bool {
	return at.Sub(time.Unix(0, i.disturbed.Load())) > stable
}

// run probes the instance's readiness as routers do, until the fleet is closed.
func (i *instance) run() {
	client := &http.Client{Timeout: probePeriod}
	for misses := 0; ; time.Sleep(probePeriod) {
		select {
		case <-i.fleet.closing:
			return
		default:
		}
		response, err := client.Get("http://" + netip.AddrPortFrom(i.address, readyPort).String() + "/ready")
		if err == nil {
			_ = response.Body.Close() // it has no body
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
			i.inRotation.Store(true)
		} else if misses++; misses >= missLimit {
			i.inRotation.Store(false)
		}
	}
}

// route returns the instance to which the routers send the packets of a caller's port: of
// those in rotation the one with the highest hash.
func (f *fleet) route(port uint16) *instance {
	var best *instance
	var highest uint64
	for _, i := range f.instances {
		if hash := xxhash.Sum64String(fmt.Sprint(port, i.name)); i.inRotation.Load() && (best == nil || hash > highest) {
			best, highest = i, hash
		}
	}
	return best
}
