package cmds

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/process/explanation"
)

// tellStory prints what became of a request, by logs of instances.
func tellStory(c *cli.Command, id string, files []string) error {
	log := explanation.NewLog()
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return err
		}
	}
	out := c.Root().Writer
	for _, name := range files {
		if skipped := log.Skipped[name]; skipped > 0 {
			fmt.Fprintf(out, "%s: %d lines can't be read and are left out\n", name, skipped)
		}
	}
	story, err := log.Explain(id)
	if err != nil {
		return err
	}
	for _, line := range story.Lines {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintln(out, "Cause:", story.Cause)
	return nil
}

func readLog(log *explanation.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "read logs")
	}
	defer func() { _ = file.Close() }() // it was only read
	return log.Read(name, file)
}
