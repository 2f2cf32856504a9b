package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/service/api"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "create, remove and list services",
		Commands: []*cli.Command{
			{
				Name: "create", ArgsUsage: "NAME", Usage: "create a service; its address comes from the pool",
				UsageText: "weirctl service create board --protocol tcp",
				Flags:     []cli.Flag{&cli.StringFlag{Name: "protocol", Value: "tcp", Usage: "tcp or udp"}},
				Action:    createService,
			},
			{
				Name: "remove", ArgsUsage: "NAME", Usage: "remove a service",
				Action: removeAction(func(name string) *api.Change {
					return &api.Change{Edit: &api.Change_RemoveService{RemoveService: name}}
				}),
			},
			{Name: "list", Usage: "list the services", Action: printRows(serviceRows)},
		},
	}
}

func createService(ctx context.Context, c *cli.Command) error {
	name, err := nameArgument(c)
	if err != nil {
		return err
	}
	protocol := api.Protocol_PROTOCOL_TCP
	switch c.String("protocol") {
	case "tcp":
	case "udp":
		protocol = api.Protocol_PROTOCOL_UDP
	default:
		return errors.Wrapf(tree.ErrUsage, "protocol %q: allowed are tcp and udp", c.String("protocol"))
	}
	put := &api.Service{Name: name, Protocol: protocol}
	return applyChanges(ctx, c, &api.Change{Edit: &api.Change_PutService{PutService: put}})
}

// removeAction returns an action that applies the change for the name in the
// arguments.
func removeAction(change func(name string) *api.Change) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, err := nameArgument(c)
		if err != nil {
			return err
		}
		return applyChanges(ctx, c, change(name))
	}
}

func classCommand() *cli.Command {
	return &cli.Command{
		Name:  "class",
		Usage: "create, remove and list classes of work with their targets",
		Commands: []*cli.Command{
			{
				Name: "create", ArgsUsage: "NAME", Usage: "create a class or change its target",
				UsageText: "weirctl class create sign-off --service board --share 0.99 --within 500ms",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "service", Required: true, Usage: "service that serves the class"},
					&cli.FloatFlag{Name: "share", Value: 0.99, Usage: "share of requests served within the time"},
					&cli.DurationFlag{Name: "within", Value: time.Second, Usage: "time that a request may take"},
					&cli.DurationFlag{Name: "window", Value: 24 * time.Hour, Usage: "window of the target"},
					&cli.FloatFlag{Name: "flow-share", Value: 0.999, Usage: "share of flows not broken"},
					&cli.BoolFlag{Name: "repeatable", Usage: "a request may run twice without harm"},
				},
				Action: createClass,
			},
			{
				Name: "remove", ArgsUsage: "NAME", Usage: "remove a class",
				Action: removeAction(func(name string) *api.Change {
					return &api.Change{Edit: &api.Change_RemoveClass{RemoveClass: name}}
				}),
			},
			{Name: "list", Usage: "list the classes", Action: printRows(classRows)},
		},
	}
}

func createClass(ctx context.Context, c *cli.Command) error {
	name, err := nameArgument(c)
	if err != nil {
		return err
	}
	put := &api.Class{
		Name:       name,
		Service:    c.String("service"),
		Repeatable: c.Bool("repeatable"),
		Target: &api.Target{
			Share:              c.Float("share"),
			WithinMilliseconds: c.Duration("within").Milliseconds(),
			WindowSeconds:      int64(c.Duration("window") / time.Second),
			FlowShare:          c.Float("flow-share"),
		},
	}
	return applyChanges(ctx, c, &api.Change{Edit: &api.Change_PutClass{PutClass: put}})
}

func backendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "admit, remove and list backend servers",
		Commands: []*cli.Command{
			{
				Name: "create", ArgsUsage: "NAME", Usage: "admit a backend server that the platform lists",
				UsageText: "weirctl backend create board-1 --service board",
				Flags:     []cli.Flag{&cli.StringFlag{Name: "service", Required: true, Usage: "service that it serves"}},
				Action:    createBackend,
			},
			{
				Name: "remove", ArgsUsage: "NAME", Usage: "remove a backend server",
				Action: removeAction(func(name string) *api.Change {
					return &api.Change{Edit: &api.Change_RemoveBackend{RemoveBackend: name}}
				}),
			},
			{Name: "list", Usage: "list the backend servers", Action: printRows(backendRows)},
		},
	}
}

func createBackend(ctx context.Context, c *cli.Command) error {
	name, err := nameArgument(c)
	if err != nil {
		return err
	}
	put := &api.Backend{Name: name, Service: c.String("service")}
	return applyChanges(ctx, c, &api.Change{Edit: &api.Change_PutBackend{PutBackend: put}})
}

func waitFlag() cli.Flag {
	return &cli.DurationFlag{Name: flagWait, Value: 5 * time.Second, Usage: "how long to wait for every instance to confirm; 0 doesn't wait"}
}

func dataCentreCommand() *cli.Command {
	return &cli.Command{
		Name:  "datacentre",
		Usage: "take data centres out of service and bring them back",
		Commands: []*cli.Command{
			{
				Name: "out", ArgsUsage: "NAME", Usage: "take a data centre out of service",
				UsageText: "weirctl datacentre out dakar-2",
				Flags:     []cli.Flag{waitFlag()},
				Action:    setDataCentre(api.DataCentreState_DATA_CENTRE_STATE_OUT),
			},
			{
				Name: "in", ArgsUsage: "NAME", Usage: "bring a data centre into service",
				UsageText: "weirctl datacentre in dakar-2",
				Flags:     []cli.Flag{waitFlag()},
				Action:    setDataCentre(api.DataCentreState_DATA_CENTRE_STATE_IN),
			},
			{Name: "list", Usage: "list the data centres", Action: printRows(dataCentreRows)},
		},
	}
}

// setDataCentre returns an action that changes the state of a data centre and waits
// until every instance has confirmed it. While the platform doesn't answer, an
// emergency mark takes the place of a new version.
func setDataCentre(state api.DataCentreState) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, err := nameArgument(c)
		if err != nil {
			return err
		}
		put := &api.DataCentre{Name: name, State: state}
		change := &api.Change{Edit: &api.Change_PutDataCentre{PutDataCentre: put}}
		answer, err := sendChanges(ctx, c, &api.ApplyRequest{ExpectedVersion: c.Uint64(flagSeen), Changes: []*api.Change{change}})
		if err != nil {
			return err
		}
		accepted := fmt.Sprintf("version %d accepted", answer.GetVersion())
		if m := answer.GetMark(); m != nil {
			accepted = fmt.Sprintf("the platform is silent: emergency mark %d is in force and becomes a version later", m.GetNumber())
			put.Mark = m.GetNumber()
		}
		if _, err := fmt.Fprintln(c.Root().Writer, accepted); err != nil {
			return err
		}
		if c.Duration(flagWait) == 0 {
			return nil
		}
		f := &confirmation{command: c, dataCentre: put, version: answer.GetVersion(), confirmed: make(map[string]bool)}
		return f.await(ctx, c.Duration(flagWait))
	}
}

func configurationCommand() *cli.Command {
	return &cli.Command{
		Name:  "configuration",
		Usage: "show, compare and change the configuration",
		Commands: []*cli.Command{
			{Name: "history", Usage: "list the last accepted changes", Action: printRows(historyRows)},
			{
				Name: "diff", ArgsUsage: "[FILE]", Usage: "list what a file would change, or what changed since a version",
				UsageText: "weirctl configuration diff board.ini\nweirctl configuration diff --since 41",
				Flags:     []cli.Flag{&cli.Uint64Flag{Name: flagSince, Usage: "list the changes after this version"}},
				Action:    showDifference,
			},
			{
				Name: "apply", ArgsUsage: "FILE", Usage: "apply a file as one change",
				UsageText: "weirctl configuration apply board.ini --dry-run",
				Flags:     []cli.Flag{&cli.BoolFlag{Name: flagDryRun, Usage: "check the file and show what it would change"}},
				Action:    applyFile,
			},
		},
	}
}

func showDifference(ctx context.Context, c *cli.Command) error {
	if c.IsSet(flagSince) && c.Args().Len() == 0 {
		return printRows(func(current *api.Catalogue) rows { return sinceRows(current, c.Uint64(flagSince)) })(ctx, c)
	}
	path, err := nameArgument(c)
	if err != nil {
		return err
	}
	file, err := readChangeFile(path)
	if err != nil {
		return err
	}
	return dryRun(ctx, c, file)
}

// dryRun has the instance check the changes, and prints what they would change.
func dryRun(ctx context.Context, c *cli.Command, file changeFile) error {
	current, err := readCatalogue(ctx, c)
	if err != nil {
		return err
	}
	changes := effectiveChanges(file.changes, current)
	if len(changes) == 0 {
		_, err := fmt.Fprintln(c.Root().Writer, "nothing would change")
		return err
	}
	answer, err := sendChanges(ctx, c, &api.ApplyRequest{ExpectedVersion: file.baseVersion, Reason: file.reason, Changes: changes, DryRun: true})
	if err != nil {
		return err
	}
	return differenceRows(current, answer.GetCatalogue()).write(c.Root().Writer, c.String(flagFormat))
}

func applyFile(ctx context.Context, c *cli.Command) error {
	path, err := nameArgument(c)
	if err != nil {
		return err
	}
	file, err := readChangeFile(path)
	if err != nil {
		return err
	}
	if seen := c.Uint64(flagSeen); seen != 0 {
		file.baseVersion = seen
	}
	if c.Bool(flagDryRun) {
		return dryRun(ctx, c, file)
	}
	current, err := readCatalogue(ctx, c)
	if err != nil {
		return err
	}
	changes := effectiveChanges(file.changes, current)
	if len(changes) == 0 {
		_, err := fmt.Fprintln(c.Root().Writer, "nothing to change")
		return err
	}
	answer, err := sendChanges(ctx, c, &api.ApplyRequest{ExpectedVersion: file.baseVersion, Reason: file.reason, Changes: changes})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "version %d accepted\n", answer.GetVersion())
	return err
}

func historyRows(c *api.Catalogue) rows {
	r := rows{head: []string{"Version", "At", "Author", "Reason", "Change"}}
	for _, o := range c.GetHistory() {
		at := time.UnixMilli(o.GetUnixMilliseconds()).UTC().Format(time.RFC3339)
		r.add(fmt.Sprint(o.GetVersion()), at, o.GetAuthor(), o.GetReason(), o.GetSummary())
	}
	return r
}
