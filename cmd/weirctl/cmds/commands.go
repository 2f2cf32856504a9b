// Package cmds builds the command tree of weirctl.
//
// # Usage
//
//	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
//
// Exit codes: 0 for done, 1 for a failure, 2 for wrong arguments or refused
// values, 3 for a conflict with another operator's change, 4 where a change
// may have run, 5 where a change is accepted but not confirmed everywhere.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/tanagerweir/tanagerweir/cmd/internal/tree"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerweir/tanagerweir/pkg/process/certificate"
	"github.com/tanagerweir/tanagerweir/service/api/apiconnect"
)

// Exit codes.
const (
	exitDone       = 0
	exitFailed     = 1
	exitMisused    = 2
	exitConflict   = 3
	exitMayHaveRun = 4

	exitUnconfirmed = 5
)

// Names of flags that several commands share.
const (
	flagInstance  = "instance"
	flagFormat    = "format"
	flagAuthor    = "author"
	flagReason    = "reason"
	flagOperation = "operation"
	flagSeen      = "seen"
	flagWait      = "wait"
	flagDryRun    = "dry-run"
	flagSince     = "since"
	flagCert      = "certificate"
	flagKey       = "key"
	flagAuthority = "authority"
	formatTable   = "table"
	formatJSON    = "json"
	formatHTML    = "html"
)

// Run runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, problems io.Writer) int {
	err := New(out, problems).Run(ctx, args)
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(problems, explain(err))
	return exitCode(err)
}

func exitCode(err error) int {
	if errors.Is(err, tree.ErrMisused) {
		return exitMisused
	}
	if errors.Is(err, errUnconfirmed) {
		return exitUnconfirmed
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitMisused
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnknown:
		var remote *connect.Error
		if errors.As(err, &remote) {
			return exitMayHaveRun
		}
	}
	return exitFailed
}

// explain says what to do about a failure.
func explain(err error) string {
	if errors.Is(err, errUnconfirmed) {
		return fmt.Sprintf("%v\nThe order is accepted; instances that are cut off follow it when they are reached. See weirctl datacentre list.", err)
	}
	if exitCode(err) == exitMayHaveRun {
		return fmt.Sprintf("%v\nThe change may have run. Repeat the command with --operation and the same identifier; that is harmless.", err)
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable:
		return fmt.Sprintf("%v\nIs the instance running, and does it want a certificate? Name another one with --instance.", err)
	case connect.CodePermissionDenied:
		return fmt.Sprintf("%v\nUse a certificate of that role.", err)
	case connect.CodeAborted:
		return fmt.Sprintf("%v\nRead the configuration anew and repeat the command.", err)
	}
	return err.Error()
}

// New returns the command tree.
func New(out, problems io.Writer) *cli.Command {
	return tree.Strict(&cli.Command{
		Name:      "weirctl",
		Usage:     "operate tanagerweir",
		UsageText: "weirctl --instance 127.0.0.1:7004 report\nweirctl demo",
		Writer:    out,
		ErrWriter: problems,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagInstance, Value: "127.0.0.1:7004", Usage: "admin endpoint of any instance"},
			&cli.StringFlag{Name: flagFormat, Value: formatTable, Usage: "table or json; html for the report", Validator: checkFormat},
			&cli.StringFlag{Name: flagCert, Usage: "PEM file with the operator's certificate; without it the connection is plain"},
			&cli.StringFlag{Name: flagKey, Usage: "PEM file with the operator's private key"},
			&cli.StringFlag{Name: flagAuthority, Usage: "PEM file with the authority that signs certificates"},
			&cli.StringFlag{Name: flagAuthor, Value: "operator", Usage: "who changes the configuration; a certificate goes before it"},
			&cli.StringFlag{Name: flagReason, Usage: "why the configuration is changed"},
			&cli.StringFlag{Name: flagOperation, Usage: "identifier of a change, to repeat one whose answer was lost"},
			&cli.Uint64Flag{Name: flagSeen, Usage: "version that you looked at; objects that others changed since are a conflict"},
		},
		Commands: []*cli.Command{
			classCommand(),
			serviceCommand(),
			backendCommand(),
			dataCentreCommand(),
			configurationCommand(),
			reportCommand(),
			whyCommand(),
			requestCommand(),
			demoCommand(),
			standinCommand(),
			benchCommand(),
			replayCommand(),
			checkCommand(),
			soakCommand(),
			emulateCommand(),
		},
	})
}

func checkFormat(value string) error {
	if value != formatTable && value != formatJSON && value != formatHTML {
		return errors.Errorf("format %q: allowed are table, json and, for the report, html", value)
	}
	return nil
}

func filesOf(c *cli.Command) certificate.Files {
	return certificate.Files{Certificate: c.String(flagCert), Key: c.String(flagKey), Authority: c.String(flagAuthority)}
}

// caller reaches instances with the certificate that the flags name.
func caller(c *cli.Command) certificate.Caller {
	files := filesOf(c)
	if files == (certificate.Files{}) {
		return certificate.PlainCaller()
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return certificate.FailedCaller(errors.Wrap(tree.ErrMisused, "--certificate, --key and --authority go together"))
	}
	source, err := certificate.Load(files, certificate.Options{})
	if err != nil {
		return certificate.FailedCaller(errors.Wrap(tree.ErrMisused, err.Error()))
	}
	return source.Caller()
}

func client(c *cli.Command) apiconnect.AdminClient {
	to := caller(c)
	return apiconnect.NewAdminClient(to, to.URL(c.String(flagInstance)))
}

func oneName(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Wrapf(tree.ErrMisused, "%s takes one name", c.FullName())
	}
	return c.Args().First(), nil
}
