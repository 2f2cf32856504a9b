package cmds

import (
	"context"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/request/verdict"
	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

func requestCommand() *cli.Command {
	return &cli.Command{
		Name:      "request",
		Usage:     "send one request as a caller would, and print its verdict and answer",
		ArgsUsage: "TEXT...",
		UsageText: "weirctl request --entrance 127.0.0.1:7002 --class sign-off checklist 12",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "entrance", Value: "127.0.0.1:7002", Usage: "request endpoint of any instance"},
			&cli.StringFlag{Name: "class", Required: true, Usage: "class of the request"},
			&cli.StringFlag{Name: "key", Usage: "ticket or UUID with which the request can be repeated safely"},
		},
		Action: sendRequest,
	}
}

func sendRequest(ctx context.Context, c *cli.Command) error {
	client := apiconnect.NewEntranceClient(http.DefaultClient, "http://"+c.String("entrance"))
	answer, err := client.Submit(ctx, connect.NewRequest(&api.SubmitRequest{
		Class: c.String("class"),
		Key:   c.String("key"),
		Body:  []byte(strings.Join(c.Args().Slice(), " ")),
	}))
	if err != nil {
		return err
	}
	r := rows{head: []string{"Verdict", "Cause", "Ticket", "Answer"}}
	v := api.VerdictFromWire(answer.Msg.GetVerdict())
	r.add(v.String(), answer.Msg.GetCause(), answer.Msg.GetTicket(), string(answer.Msg.GetBody()))
	if err := r.write(c.Root().Writer, c.String(flagFormat)); err != nil {
		return err
	}
	switch v {
	case verdict.Ran:
		return nil
	case verdict.MayHaveRun:
		return connect.NewError(connect.CodeUnknown, errors.New("the request may have run"))
	}
	return errors.New("the request did not run")
}
