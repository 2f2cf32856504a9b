package cmds

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/service/api"
)

// applyChanges sends changes to the instance and prints the version that has them.
func applyChanges(ctx context.Context, c *cli.Command, changes ...*api.Change) error {
	answer, err := sendChanges(ctx, c, &api.ApplyRequest{ExpectedVersion: c.Uint64(flagSeen), Changes: changes})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(c.Root().Writer, "version %d accepted\n", answer.GetVersion())
	return err
}

// sendChanges fills in the operation's identifier, the author and the reason from the
// flags, and sends the request; the request's own reason stays if that flag isn't
// set. An error names the operation, so that a change that may have run can be
// repeated with the same identifier.
func sendChanges(ctx context.Context, c *cli.Command, r *api.ApplyRequest) (*api.ApplyResponse, error) {
	r.Identifier = c.String(flagOperation)
	if r.GetIdentifier() == "" {
		r.Identifier = newIdentifier(c)
	}
	r.Author = c.String(flagAuthor)
	if reason := c.String(flagReason); reason != "" {
		r.Reason = reason
	}
	answer, err := adminClient(c).Apply(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, errors.Wrapf(err, "operation %s", r.GetIdentifier())
	}
	return answer.Msg, nil
}

// newIdentifier makes an operation's identifier of the author and the current time.
func newIdentifier(c *cli.Command) string {
	return fmt.Sprintf("%s-%d", c.String(flagAuthor), time.Now().UnixNano())
}

// readCatalogue returns the configuration that the instance has.
func readCatalogue(ctx context.Context, c *cli.Command) (*api.Catalogue, error) {
	answer, err := adminClient(c).Read(ctx, connect.NewRequest(&api.ReadRequest{}))
	if err != nil {
		return nil, err
	}
	return answer.Msg.GetCatalogue(), nil
}
