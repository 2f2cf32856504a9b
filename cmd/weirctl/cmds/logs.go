package cmds

import (
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/process/dayreport"
	"github.com/tanagerweir/tanagerweir/pkg/process/explanation"
)

// explainRequest prints what happened to a request according to instances' logs,
// and the cause of its outcome.
func explainRequest(c *cli.Command, id string, files []string) error {
	log, err := readLogs(c, files)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	result, err := log.Explain(id)
	if err != nil {
		return err
	}
	for _, line := range result.Lines {
		fmt.Fprintln(out, line)
	}
	fmt.Fprintln(out, "Cause:", result.Cause)
	return nil
}

// reportDay writes the report on one day according to instances' logs.
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

// readLogs reads log files, and writes to the error output how many lines of each
// were skipped because they can't be parsed.
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
