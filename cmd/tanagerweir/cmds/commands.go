// Package cmds builds the command tree of tanagerweir.
//
// # Usage
//
//	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
//
// Exit codes: 0 after success or a planned stop, 1 for a failure, 2 for wrong
// arguments or settings, with which nothing is started.
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
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Run runs the command line args, whose first element is the program's name, and
// returns the exit code. Errors are written to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := New(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, err)
	var settingsProblems *settings.ProblemsError
	var platformProblems *platform.ProblemsError
	if errors.As(err, &settingsProblems) || errors.As(err, &platformProblems) || errors.Is(err, tree.ErrUsage) {
		return exitUsage
	}
	return exitFailed
}

// New returns the command tree. Commands write to out, and errors and logs to errOut;
// the command entry logs to out.
func New(out, errOut io.Writer) *cli.Command {
	return tree.Strict(&cli.Command{
		Name:      "tanagerweir",
		Usage:     "run one entry instance of the load balancer",
		UsageText: "tanagerweir --config tanagerweir.ini\ntanagerweir check tanagerweir.ini",
		Writer:    out,
		ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "settings file in INI format"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return serve(ctx, c, errOut) },
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check a settings file without starting an instance",
			ArgsUsage: "FILE",
			Action:    check,
		}, entryCommand(out)},
	})
}

func check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.Wrap(tree.ErrUsage, "check takes one settings file")
	}
	name, dataCentre, err := loadNames(c.Args().First())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: settings of instance %s in data centre %s are fine\n", c.Args().First(), name, dataCentre)
	return err
}

// platformSettingsExtension is the file name extension of settings on the users'
// platform; other settings files are in INI format.
const platformSettingsExtension = ".toml"

// loadNames checks a settings file of either format, and returns the names of its
// instance and data centre.
func loadNames(file string) (name, dataCentre string, err error) {
	if filepath.Ext(file) == platformSettingsExtension {
		s, err := platform.LoadSettings(file)
		return s.Name, s.DataCentre, err
	}
	s, err := settings.Load(file)
	return s.Name, s.DataCentre, err
}

// serve runs an instance with the settings file that --config names, until the
// context ends; then the instance has its grace time to stop.
func serve(ctx context.Context, c *cli.Command, errOut io.Writer) error {
	if c.Args().Present() {
		return errors.Wrapf(tree.ErrUsage, "tanagerweir has no command %q", c.Args().First())
	}
	file := c.String("config")
	if file == "" {
		return errors.Wrap(tree.ErrUsage, "name the settings file with --config")
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	logger := logs.New(errOut, s.Levels)
	log.SetOutput(logs.Libraries(logger))
	node, closeNode, err := instance.New(s, instance.Options{Logger: logger})
	if err != nil {
		return err
	}
	defer closeNode()
	logger.Info("Instance: started.", "Name", s.Name, "DataCentre", s.DataCentre)
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	return node.Stop(stopCtx)
}
