package cmds

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:      "demo",
		Usage:     "run a whole deployment in this process and show how it serves requests",
		UsageText: "weirctl demo\nweirctl demo --for 0 --certificates demo-certificates",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: time.Second, Usage: "how long to keep running after the demonstration; 0 runs until interrupted"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers"},
			&cli.StringFlag{Name: "certificates", Usage: "directory to write the operator's certificate to, for use with other commands"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	return demo.Run(ctx, c.Root().Writer, demo.Options{
		For:          c.Duration("for"),
		Seed:         c.Uint64("seed"),
		Certificates: c.String("certificates"),
	})
}
