// Package cmds builds the command tree of tanagerweir.
//
// # Usage
//
//	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
//
// Exit codes: 0 after a planned stop, 1 for a failure, 2 for wrong arguments
// or settings, in which case nothing was started.
package cmds

import (
	"context"
	"fmt"
	"io"
	"log"
	"path/filepath"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/process/instance"
	"github.com/tanagerweir/tanagerweir/pkg/process/logs"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/platform"
)

// Exit codes.
const (
	exitDone    = 0
	exitFailed  = 1
	exitMisused = 2
)

// Run runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, problems io.Writer) int {
	err := New(out, problems).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(problems, err)
	var wrong *settings.ProblemsError
	var wrongPlatform *platform.ProblemsError
	if errors.As(err, &wrong) || errors.As(err, &wrongPlatform) || errors.Is(err, tree.ErrMisused) {
		return exitMisused
	}
	return exitFailed
}

// New returns the command tree.
func New(out, problems io.Writer) *cli.Command {
	return tree.Strict(&cli.Command{
		Name:      "tanagerweir",
		Usage:     "run one entry instance of the load balancer",
		UsageText: "tanagerweir --config tanagerweir.ini\ntanagerweir check tanagerweir.ini",
		Writer:    out,
		ErrWriter: problems,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file in INI format"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, problems) },
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file and start nothing",
			ArgsUsage: "FILE",
			Action:    check,
		}, entryCommand(out)},
	})
}

func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.Wrap(tree.ErrMisused, "check takes one settings file")
	}
	name, dataCentre, err := loadNames(c.Args().First())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: settings of instance %s in data centre %s are fine\n", c.Args().First(), name, dataCentre)
	return err
}

// platformSettings is the ending of the platform's settings files.
const platformSettings = ".toml"

// loadNames checks a settings file, ours or the platform's, and returns the
// instance that it is for.
func loadNames(file string) (name, dataCentre string, err error) {
	if filepath.Ext(file) == platformSettings {
		s, err := platform.LoadSettings(file)
		return s.Name, s.DataCentre, err
	}
	s, err := settings.Load(file)
	return s.Name, s.DataCentre, err
}

func serve(ctx context.Context, c *cli.Command, problems io.Writer) error {
	if c.Args().Present() {
		return errors.Wrapf(tree.ErrMisused, "tanagerweir has no command %q", c.Args().First())
	}
	file := c.String("config")
	if file == "" {
		return errors.Wrap(tree.ErrMisused, "--config names the settings file")
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger := logs.New(problems, s.Levels)
	log.SetOutput(logs.Libraries(logger))
	node, closeNode, err := instance.New(s, instance.Options{Logger: logger})
	if err != nil {
		return err
	}
	defer closeNode()
	logger.Info("Instance: started.", "Name", s.Name, "DataCentre", s.DataCentre)
	<-ctx.Done()
	grace, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	return node.Stop(grace)
}
