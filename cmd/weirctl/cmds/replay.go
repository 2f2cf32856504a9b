package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/trace"
)

func replayCommand() *cli.Command {
	return &cli.Command{
		Name:      "replay",
		Usage:     "replay a recorded trace and compare the decisions with the outcomes stated in it",
		ArgsUsage: "FILE",
		UsageText: "weirctl replay pkg/trace/_fixtures/teranga.jsonl",
		Action:    runReplay,
	}
}

// runReplay returns the first difference as an error.
func runReplay(_ context.Context, c *cli.Command) error {
	name, err := nameArgument(c)
	if err != nil {
		return err
	}
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "replay")
	}
	defer func() { _ = file.Close() }() // it was only read
	recorded, err := trace.Read(file)
	if err != nil {
		return errors.Wrap(err, name)
	}
	result, difference := trace.Replay(recorded)
	if difference != nil {
		return errors.Wrap(difference, name)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s: deployment %s, %d steps, %d with a stated outcome, all as stated; %d packets forwarded, %d dropped\n",
		name, recorded.Header.Deployment, result.Steps, result.Stated, result.Forwarded, result.Dropped)
	return err
}
