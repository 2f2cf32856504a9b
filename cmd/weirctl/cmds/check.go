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
	"github.com/tanagerweir/tanagerweir/pkg/emulation/experiment"
	"github.com/tanagerweir/tanagerweir/pkg/process/policy"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/platform"
)

// deployFile is the name of the users' deploy file. Other TOML files are settings of
// instances on the users' platform.
const deployFile = "system.toml"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings files and deploy files, and list all their problems",
		Description: "INI files are settings or policies of tanagerweir or emulated days, " + deployFile + " is the users' deploy file, other TOML files are settings of their platform. Exit codes: 0 all files are fine, 1 a file can't be read, 2 a file has problems.",
		ArgsUsage:   "FILE...",
		UsageText:   "weirctl check deploy/system.toml tanagerweir.ini local.toml",
		Action:      runCheck,
	}
}

// ErrInvalidFile is returned if a checked file has problems.
var ErrInvalidFile = errors.Wrap(tree.ErrUsage, "a file has problems")

func runCheck(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return errors.Wrap(tree.ErrUsage, "check takes at least one file")
	}
	anyProblem := false
	for _, file := range c.Args().Slice() {
		problems, err := checkFile(file)
		if err != nil {
			return err
		}
		for _, problem := range problems {
			anyProblem = true
			fmt.Fprintf(c.Root().Writer, "%s: %s\n", file, problem)
		}
		if len(problems) == 0 {
			fmt.Fprintf(c.Root().Writer, "%s: fine\n", file)
		}
	}
	if anyProblem {
		return ErrInvalidFile
	}
	return nil
}

// checkINI checks an INI file: settings of an instance, a policy, an emulated day or an
// experiment.
func checkINI(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if day.IsDay(data) {
		_, err = day.Load(file)
		return err
	}
	if experiment.IsExperiment(data) {
		_, err = experiment.Parse(data)
		return err
	}
	if policy.IsPolicy(data) {
		_, err = policy.Parse(data)
		return err
	}
	_, err = settings.Load(file)
	return err
}

// checkFile returns the problems of a file, and an error if it can't be read.
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
	var settingsProblems *settings.ProblemsError
	var platformProblems *platform.ProblemsError
	switch {
	case errors.As(err, &settingsProblems):
		return settingsProblems.List, nil
	case errors.As(err, &platformProblems):
		return platformProblems.List, nil
	}
	return nil, err
}
