package cmds

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/process/dayreport"
	"github.com/tanagerweir/tanagerweir/pkg/process/explanation"
)

// tellStory prints what became of a request, by logs of instances.
func tellStory(c *cli.Command, id string, files []string) error {
	log, err := readLogs(c, files)
	if err != nil {
		return err
	}
	out := c.Root().Writer
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

// reportDay writes the report on one day, by logs of instances.
func reportDay(c *cli.Command) error {
	log, err := readLogs(c, c.Args().Slice())
	if err != nil {
		return err
	}
	r := dayreport.New(log.Lines(), c.Duration(flagSlow))
	switch c.String(flagFormat) {
	case formatJSON:
		return r.WriteJSON(c.Root().Writer)
	case formatHTML:
		return r.WriteHTML(c.Root().Writer)
	}
	return r.WriteTable(c.Root().Writer)
}

// readLogs reads files, and says on the error output what can't be read.
func readLogs(c *cli.Command, files []string) (*explanation.Log, error) {
	log := explanation.NewLog()
	for _, name := range files {
		if err := readLog(log, name); err != nil {
			return nil, err
		}
		if skipped := log.Skipped[name]; skipped > 0 {
			fmt.Fprintf(c.Root().ErrWriter, "%s: %d lines can't be read and are left out\n", name, skipped)
		}
	}
	return log, nil
}

func readLog(log *explanation.Log, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return errors.Wrap(err, "read logs")
	}
	defer func() { _ = file.Close() }() // it was only read
	return log.Read(name, file)
}
