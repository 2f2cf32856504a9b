package cmds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"
	"github.com/tanagerweir/tanagerweir/pkg/emulation/day"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/platform"
)

// deployFile is the name of the users' deploy file; other TOML files are
// settings of their platform.
const deployFile = "system.toml"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and deploy files and name all problems at once",
		Description: "INI files are our settings or emulated days, " + deployFile + " is the users' deploy file, other TOML files are settings of their platform. Exit codes: 0 all are fine, 1 a file can't be read, 2 a file is wrong.",
		ArgsUsage:   "FILE...",
		UsageText:   "weirctl check deploy/system.toml tanagerweir.ini local.toml",
		Action:      runCheck,
	}
}

// ErrWrongFile says that a checked file is wrong.
var ErrWrongFile = errors.Wrap(tree.ErrMisused, "a file is wrong")

func runCheck(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errors.Wrap(tree.ErrMisused, "check takes one file at least")
	}
	wrong := false
	for _, file := range c.Args().Slice() {
		problems, err := checkFile(file)
		if err != nil {
			return err
		}
		for _, problem := range problems {
			wrong = true
			fmt.Fprintf(c.Root().Writer, "%s: %s\n", file, problem)
		}
		if len(problems) == 0 {
			fmt.Fprintf(c.Root().Writer, "%s: fine\n", file)
		}
	}
	if wrong {
		return ErrWrongFile
	}
	return nil
}

// checkINI checks settings of an instance or of an emulated day.
func checkINI(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if day.IsDay(data) {
		_, err = day.Load(file)
		return err
	}
	_, err = settings.Load(file)
	return err
}

// checkFile returns what is wrong with a file, and an error if it can't be read.
func checkFile(file string) ([]string, error) {
	var err error
	switch {
	case filepath.Base(file) == deployFile:
		err = platform.CheckDeploy(file)
	case strings.HasSuffix(file, ".toml"):
		_, err = platform.LoadSettings(file)
	default:
		err = checkINI(file)
	}
	var ours *settings.ProblemsError
	var theirs *platform.ProblemsError
	switch {
	case errors.As(err, &ours):
		return ours.List, nil
	case errors.As(err, &theirs):
		return theirs.List, nil
	}
	return nil, err
}
