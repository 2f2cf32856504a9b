package cmds

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/tanagerweir/tanagerweir/pkg/process/listing"
	"github.com/tanagerweir/tanagerweir/pkg/process/settings"
	"github.com/tanagerweir/tanagerweir/pkg/process/store"
	"github.com/tanagerweir/tanagerweir/pkg/standin/backend"
	"github.com/tanagerweir/tanagerweir/pkg/standin/platform"
)

const flagPlatform = "platform"

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform or a backend server, for trials on one machine",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "run the platform's key-value service, and list the instances of these settings files in it",
				ArgsUsage: "SETTINGS...",
				UsageText: "weirctl standin platform --listen 127.0.0.1:2379 entry-1.ini entry-2.ini",
				Flags:     []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:2379", Usage: "TCP endpoint"}},
				Action:    runPlatform,
			},
			{
				Name: "backend", ArgsUsage: "NAME", Usage: "run a backend server and list it in the platform",
				UsageText: "weirctl standin backend board-1 --datacentre dakar-1",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagPlatform, Value: "127.0.0.1:2379", Usage: "endpoint of the platform"},
					&cli.StringFlag{Name: "datacentre", Required: true, Usage: "data centre of the backend server"},
					&cli.Uint32Flag{Name: "slots", Value: 3, Usage: "number of requests that it runs at once"},
					&cli.DurationFlag{Name: "work", Usage: "time that each request takes"},
				},
				Action: runBackend,
			},
		},
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	var entries []listing.Entry
	for _, file := range c.Args().Slice() {
		s, err := settings.Load(file)
		if err != nil {
			return errors.Wrapf(tree.ErrUsage, "%s: %v", file, err)
		}
		entries = append(entries, listing.Entry{
			Name: s.Name, Kind: listing.EntryInstance, State: listing.Live, DataCentre: s.DataCentre,
			Packets: s.Packets, Passed: s.Passed, Requests: s.Requests, Admin: s.Admin, Peer: s.Peer,
		})
	}
	listener, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	rpc := grpc.NewServer()
	platform.Register(rpc, platform.New(time.Now))
	serveErr := make(chan error, 1)
	go func() { serveErr <- rpc.Serve(listener) }()
	defer rpc.Stop()
	if err := putEntries(ctx, listener.Addr().String(), entries...); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "platform stand-in on %s lists %d instances\n", listener.Addr(), len(entries))
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
		return nil
	}
}

func runBackend(ctx context.Context, c *cli.Command) error {
	name, err := nameArgument(c)
	if err != nil {
		return err
	}
	server, closeServer, err := backend.New(name, c.Uint32("slots"))
	if err != nil {
		return err
	}
	defer closeServer()
	server.SetWork(c.Duration("work"))
	err = putEntries(ctx, c.String(flagPlatform), listing.Entry{
		Name: name, Kind: listing.BackendServer, State: listing.Live, DataCentre: c.String("datacentre"),
		Packets: server.Packets(), Requests: server.Requests(), Slots: c.Uint32("slots"),
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "backend server stand-in %s: requests on %s\n", name, server.Requests())
	<-ctx.Done()
	fmt.Fprintf(c.Root().Writer, "backend server stand-in %s ran %d requests\n", name, server.TotalRuns())
	return nil
}

// putEntries writes entries to the list in the platform at the endpoint, and replaces
// those with the same names.
func putEntries(ctx context.Context, endpoint string, entries ...listing.Entry) (putErr error) {
	client, closeClient, err := store.Dial(endpoint, insecure.NewCredentials())
	if err != nil {
		return err
	}
	defer func() { putErr = errors.Join(putErr, closeClient()) }()
	for _, e := range entries {
		data, err := e.Encode()
		if err != nil {
			return err
		}
		present, _, err := client.Get(ctx, listing.Prefix+e.Name)
		if err != nil {
			return err
		}
		if _, err := client.Swap(ctx, listing.Prefix+e.Name, present.Revision, data); err != nil {
			return err
		}
	}
	return nil
}
