package cmds

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/pkg/process/entry"
	"github.com/tanagerweir/tanagerweir/platform"
)

func entryCommand(out io.Writer) *cli.Command {
	return &cli.Command{
		Name:      "entry",
		Usage:     "run one instance on the users' platform, with the settings file that " + platform.SettingsVariable + " names",
		UsageText: "tanagerweir entry",
		Action:    func(ctx context.Context, c *cli.Command) error { return enter(ctx, c, out) },
	}
}

func enter(ctx context.Context, c *cli.Command, out io.Writer) error {
	if c.Args().Present() {
		return errors.Wrapf(tree.ErrMisused, "entry takes no argument %q", c.Args().First())
	}
	s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	store, closeStore := platform.NewStore(s.Store.Endpoint)
	defer closeStore()
	logger := slog.New(slog.NewJSONHandler(out, nil))
	node, closeNode, err := entry.New(entry.Options{
		Name: s.Name, DataCentre: s.DataCentre, Packets: s.Packets, Ready: s.Ready, ReadyPath: platform.ReadyPath,
		Peers: s.Peers, Seeds: s.Seeds, Format: platform.Format{}, Store: store,
		HistoryGone: func(err error) bool { return errors.Is(err, platform.ErrHistoryGone) },
		Translate:   platform.Translate, EncodeInstance: platform.EncodeInstance, MaxFlow: s.Bounds.MaxFlow,
		Logger: logger, Seed: rand.Uint64(),
	})
	if err != nil {
		return err
	}
	defer closeNode()
	<-ctx.Done()
	node.Stop(s.Bounds.Grace)
	return nil
}
