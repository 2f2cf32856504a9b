package cmds

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/service/api"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

const (
	confirmInterval    = 200 * time.Millisecond // between two polls of all instances
	confirmTimeout     = 1 * time.Second        // for all answers of one poll
	confirmConcurrency = 32                     // instances called at once
)

// errUnconfirmed is returned if an instance hasn't confirmed a change in time.
var errUnconfirmed = errors.New("not every instance has confirmed in time")

// confirmation waits until every known instance has applied a change of a data
// centre's state.
type confirmation struct {
	command *cli.Command
	// dataCentre is the state to confirm, with the emergency mark's number if the
	// change was made by one.
	dataCentre *api.DataCentre
	version    uint64
	// confirmed has the names of instances that have confirmed.
	confirmed map[string]bool
	instances []*api.InstanceVersion
}

// await polls the instances until all have confirmed or the limit is over, and
// prints each one that confirms.
func (f *confirmation) await(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		f.poll(ctx)
		missing := f.missing()
		if len(missing) == 0 && len(f.instances) > 0 {
			_, err := fmt.Fprintf(f.command.Root().Writer, "all %d instances have confirmed\n", len(f.instances))
			return err
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(errUnconfirmed, "missing: %s", strings.Join(missing, ", "))
		case <-time.After(confirmInterval):
		}
	}
}

// poll reads the list of instances from the instance that the flags name, and asks
// those on it that haven't confirmed. Errors leave the state as it was.
func (f *confirmation) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	answer, err := adminClient(f.command).InForce(pollCtx, connect.NewRequest(&api.InForceRequest{}))
	if err != nil {
		return
	}
	f.instances = answer.Msg.GetInstances()
	confirmed := make([]bool, len(f.instances))
	var calls sync.WaitGroup
	slots := make(chan struct{}, confirmConcurrency)
	for i, n := range f.instances {
		if f.confirmed[n.GetInstance()] {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			confirmed[i] = f.hasConfirmed(pollCtx, n)
		})
	}
	calls.Wait()
	for i, n := range f.instances {
		if confirmed[i] {
			f.confirmed[n.GetInstance()] = true
			fmt.Fprintf(f.command.Root().Writer, "confirmed by %s in %s\n", n.GetInstance(), n.GetDataCentre())
		}
	}
}

// hasConfirmed asks an instance directly whether it has applied the state, by a
// configuration of at least the change's version and mark. Without an answer it
// returns false.
func (f *confirmation) hasConfirmed(ctx context.Context, n *api.InstanceVersion) bool {
	caller := instanceCaller(f.command)
	answer, err := apiconnect.NewAdminClient(caller, caller.URL(n.GetAdmin())).InForce(ctx, connect.NewRequest(&api.InForceRequest{}))
	if err != nil {
		return false
	}
	return slices.ContainsFunc(answer.Msg.GetDataCentres(), func(d *api.DataCentre) bool {
		return d.GetName() == f.dataCentre.GetName() && d.GetState() == f.dataCentre.GetState() &&
			(answer.Msg.GetSelf().GetVersion() >= f.version && d.GetMark() >= f.dataCentre.GetMark())
	})
}

// missing lists the instances that haven't confirmed, each with the age of its last
// heartbeat.
func (f *confirmation) missing() []string {
	var names []string
	for _, n := range f.instances {
		if !f.confirmed[n.GetInstance()] {
			age := time.Duration(n.GetAgeMilliseconds()) * time.Millisecond
			names = append(names, fmt.Sprintf("%s in %s (last heartbeat %s ago)", n.GetInstance(), n.GetDataCentre(), age))
		}
	}
	if len(f.instances) == 0 {
		return []string{"the instance named by --instance doesn't answer"}
	}
	return names
}
