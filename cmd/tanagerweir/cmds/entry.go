package cmds

import (
	"context"
	"io"
	"log"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/pkg/connection/admission"
	"github.com/tanagerweir/tanagerweir/pkg/connection/forwarding"
	"github.com/tanagerweir/tanagerweir/pkg/process/build"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/process/policy"
	"github.com/tanagerweir/tanagerweir/platform"
)

func entryCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run one instance on the users' platform",
		Description: "Reads the settings file that the environment variable " + platform.SettingsVariable +
			" names. SIGTERM starts a planned stop, SIGHUP reads the settings file again.",
		UsageText: "tanagerweir entry [--policy FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Value: "info", Usage: "lowest level that is logged: LEVEL, or LEVEL,Part=LEVEL,..."},
			&cli.StringFlag{Name: "policy", Usage: "INI `FILE` with the policy for hard load; without it the defaults hold"},
			&cli.Uint16Flag{Name: "metrics-port", Value: entry.DefaultMetricsPort, Usage: "port that serves metrics"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runEntry(ctx, c, out) },
	}
}

// heapGrowthPercent is how much the heap may grow between two garbage collections.
// The live heap is about 1 MB, and memory costs more than the time to collect it.
const heapGrowthPercent = 30

// memoryLimitPercent is the runtime's soft memory limit in percent of the allowed
// memory. Near it garbage is collected more and more often; the rest is for stacks
// and for memory that the kernel holds.
const memoryLimitPercent = 75

// runEntry runs an instance on the users' platform until the context ends.
func runEntry(ctx context.Context, c *cli.Command, out io.Writer) error {
	if c.Args().Present() {
		return errors.Wrapf(tree.ErrUsage, "entry takes no argument %q", c.Args().First())
	}
	debug.SetGCPercent(heapGrowthPercent)
	// The handler is registered first: without it SIGHUP ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	file := os.Getenv(platform.SettingsVariable)
	s, err := platform.LoadSettings(file)
	if err != nil {
		return err
	}
	p, err := loadPolicy(c.String("policy"))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.MemoryBytes / 100 * memoryLimitPercent)
	store, closeStore := platform.NewStore(s.Store.Endpoint)
	defer closeStore()
	levels, err := logs.ParseLevels(c.String("log"))
	if err != nil {
		return errors.Wrapf(tree.ErrUsage, "log: %v", err)
	}
	logger, closeLog := logs.NewStream(out, levels, time.Now)
	defer closeLog()
	logger = logger.With("Instance", s.Name)
	log.SetOutput(logs.Libraries(logger))
	logger.InfoContext(logs.Always(), "Instance: started.", "Build", build.Read().String(), "DataCentre", s.DataCentre, "Packets", s.Packets, "Peers", s.Peers, "Store", s.Store.Endpoint, "Off", p.Off.String())
	node, closeNode, err := entry.New(entryOptions(s, p, store, logger, c.Uint16("metrics-port")))
	if err != nil {
		return err
	}
	defer closeNode()
	for {
		select {
		case <-hangups:
			s = reload(file, s, node, logger)
		case <-ctx.Done():
			node.Stop(s.Bounds.Grace)
			return nil
		}
	}
}

// loadPolicy reads the policy file, and returns the defaults if none is named.
func loadPolicy(file string) (policy.Policy, error) {
	if file == "" {
		return policy.Default(), nil
	}
	return policy.Load(file)
}

// admissionOptions returns the settings of admission, nil if it is off.
func admissionOptions(p policy.Policy) *admission.Options {
	if !p.Admission {
		return nil
	}
	// The instance's monotonic clock starts a moment later; instances need to agree only
	// within a small part of LongestStarvation.
	return &admission.Options{LongestStarvation: p.LongestStarvation, Epoch: time.Duration(time.Now().UnixNano())}
}

// healthOptions returns the settings of what is learnt of servers' health, which is on where
// the platform's settings ask for it.
func healthOptions(s platform.Settings, p policy.Policy) forwarding.HealthOptions {
	return forwarding.HealthOptions{
		Enabled: slices.Contains(s.Contracts, platform.ContractHealth), EjectionOff: !p.Ejection,
		GreatestEjectedPart: p.GreatestEjectedPart, ShortestEjection: p.ShortestEjection, LongestEjection: p.LongestEjection,
	}
}

func entryOptions(s platform.Settings, p policy.Policy, store *platform.Store, logger *slog.Logger, metricsPort uint16) entry.Options {
	return entry.Options{
		Name: s.Name, DataCentre: s.DataCentre,
		Packets: s.Packets, Ready: s.Ready, ReadyPath: platform.ReadyPath, Peers: s.Peers, Seeds: s.Seeds,
		Format: platform.Format{}, Store: store, Translate: platform.Translate, EncodeInstance: platform.EncodeInstance, EarlyPrefixes: platform.EarlyPrefixes(),
		ChangesLost:        platform.ChangesLost,
		Metrics:            netip.AddrPortFrom(s.Packets.Addr(), metricsPort),
		LinkBytesPerSecond: s.LinkBytesPerSecond,
		MaxStretch:         s.Bounds.MaxStretch,
		ChangeBound:        s.Bounds.Change,
		MaxFlow:            s.Bounds.MaxFlow, ColdFactor: s.Bounds.ColdFactor, ColdSlack: s.Bounds.ColdSlack, Logger: logger, Seed: rand.Uint64(),
		Admission: admissionOptions(p), Health: healthOptions(s, p), Off: p.Off,
	}
}

// reload reads the settings file again, applies the seeds and the maximum duration of
// flows, and returns the settings in force. Endpoints stay as they are until the next
// start. A file with problems changes nothing.
func reload(file string, before platform.Settings, node *entry.Instance, logger *slog.Logger) platform.Settings {
	after, err := platform.LoadSettings(file)
	if err != nil {
		logger.ErrorContext(logs.Always(), "Settings: the file can't be used, nothing changes.", "Error", err)
		return before
	}
	if after.Packets != before.Packets || after.Ready != before.Ready || after.Peers != before.Peers || after.Store != before.Store {
		logger.WarnContext(logs.Always(), "Settings: the changed endpoints take effect at the next start.")
	}
	node.UpdateSettings(after.Seeds, after.Bounds.MaxFlow)
	logger.InfoContext(logs.Always(), "Settings: read again.", "Seeds", after.Seeds, "MaxFlow", after.Bounds.MaxFlow, "Grace", after.Bounds.Grace)
	return after
}
