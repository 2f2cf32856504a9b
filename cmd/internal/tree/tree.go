// Package tree makes command trees strict: an unknown command, an unknown flag or a
// missing flag is returned as an error, and never ends the process.
//
// # Usage
//
//	root := tree.Strict(&cli.Command{...})
//	err := root.Run(ctx, args)
//	if errors.Is(err, tree.ErrUsage) {
//		return 2
//	}
package tree

import (
	"context"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// ErrUsage is returned for wrong arguments; nothing was done.
var ErrUsage = errors.New("wrong arguments")

// Strict changes a command and all its subcommands, and returns the command. A
// command without an action prints its help if it is run without arguments.
func Strict(c *cli.Command) *cli.Command {
	c.OnUsageError = usageError
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	if c.Action == nil {
		c.Action = requireSubcommand
	}
	for _, sub := range c.Commands {
		Strict(sub)
	}
	return c
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Wrap(ErrUsage, err.Error())
}

// requireSubcommand is the action of a command that only has subcommands.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if !c.Args().Present() {
		return cli.ShowSubcommandHelp(c)
	}
	var names []string
	for _, sub := range c.VisibleCommands() {
		names = append(names, sub.Name)
	}
	slices.Sort(names)
	return errors.Wrapf(ErrUsage, "%s has no command %q, its commands are %s", c.FullName(), c.Args().First(), strings.Join(names, ", "))
}
