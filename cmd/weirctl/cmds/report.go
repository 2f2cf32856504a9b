package cmds

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/process/report"
	"github.com/tanagerweir/tanagerweir/service/api"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "show how each class is served against its target, or, from logs of instances, which requests were served and which waited",
		ArgsUsage: "[LOG...]",
		UsageText: "weirctl report\nweirctl --format json report\nweirctl report --format html > report.html\nweirctl --format html report entry-1.log entry-2.log > day.html",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: flagSlow, Value: 200 * time.Millisecond, Usage: "with logs: shortest wait at which an answered request counts as slow"},
		},
		Action: showReport,
	}
}

// flagSlow names the flag with the shortest wait of a slow request.
const flagSlow = "slow"

func showReport(ctx context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return reportDay(c)
	}
	r, err := report.Collect(ctx, instanceCaller(c), c.String(flagInstance))
	if err != nil {
		return err
	}
	switch c.String(flagFormat) {
	case formatJSON:
		return r.WriteJSON(c.Root().Writer)
	case formatHTML:
		return r.WriteHTML(c.Root().Writer)
	}
	return r.WriteTable(c.Root().Writer)
}

func whyCommand() *cli.Command {
	return &cli.Command{
		Name:      "why",
		Usage:     "show the last decisions on a class, service, backend server or data centre, or, from logs of instances, what happened to a request",
		ArgsUsage: "NAME | ID FILE...",
		UsageText: "weirctl why board-1\nweirctl why 3d43d1d16b353858 entry-1.log entry-2.log",
		Action:    showWhy,
	}
}

func showWhy(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 1 {
		return explainRequest(c, c.Args().First(), c.Args().Tail())
	}
	name, err := nameArgument(c)
	if err != nil {
		return err
	}
	answer, err := adminClient(c).Why(ctx, connect.NewRequest(&api.WhyRequest{Subject: name}))
	if err != nil {
		return err
	}
	r := rows{head: []string{"At", "Instance", "Subject", "Action", "Cause"}}
	for _, d := range answer.Msg.GetDecisions() {
		at := time.UnixMilli(d.GetUnixMilliseconds()).UTC().Format(time.RFC3339)
		r.add(at, d.GetInstance(), d.GetSubject(), d.GetAction(), d.GetCause())
	}
	return r.write(c.Root().Writer, c.String(flagFormat))
}
