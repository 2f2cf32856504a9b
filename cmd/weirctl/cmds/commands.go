// Package cmds builds the command tree of weirctl.
//
// # Usage
//
//	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
//
// Exit codes: 0 for success, 1 for a failure, 2 for wrong arguments or refused
// values, 3 for a conflict with another operator's change, 4 if a change may
// have run, 5 if a change is accepted but not confirmed by every instance.
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
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitMayHaveRun = 4

	exitUnconfirmed = 5
)

// Names of flags that several commands share, and the values of --format.
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

// Run runs the command line args, whose first element is the program's name, and
// returns the exit code. Errors are written to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	err := New(out, errOut).Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(errOut, describeError(err))
	return exitCode(err)
}

func exitCode(err error) int {
	if errors.Is(err, tree.ErrUsage) {
		return exitUsage
	}
	if errors.Is(err, errUnconfirmed) {
		return exitUnconfirmed
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeAborted:
		return exitConflict
	case connect.CodeUnknown:
		// CodeOf also returns CodeUnknown for errors that no instance sent.
		var remote *connect.Error
		if errors.As(err, &remote) {
			return exitMayHaveRun
		}
	}
	return exitFailed
}

// describeError returns the error's text with advice on what to do next.
func describeError(err error) string {
	if errors.Is(err, errUnconfirmed) {
		return fmt.Sprintf("%v\nThe change is accepted; an instance that can't be reached now applies it once it can be reached. See weirctl datacentre list.", err)
	}
	if exitCode(err) == exitMayHaveRun {
		return fmt.Sprintf("%v\nThe change may have run. Repeat the command with --operation and the same identifier; that is harmless.", err)
	}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable:
		return fmt.Sprintf("%v\nIs the instance running, and does it require a certificate? Try another instance with --instance.", err)
	case connect.CodePermissionDenied:
		return fmt.Sprintf("%v\nUse a certificate with the required role.", err)
	case connect.CodeAborted:
		return fmt.Sprintf("%v\nRead the configuration again and repeat the command.", err)
	}
	return err.Error()
}

// New returns the command tree. Commands write to out, and errors to errOut.
func New(out, errOut io.Writer) *cli.Command {
	return tree.Strict(&cli.Command{
		Name:      "weirctl",
		Usage:     "operate tanagerweir",
		UsageText: "weirctl --instance 127.0.0.1:7004 report\nweirctl demo",
		Writer:    out,
		ErrWriter: errOut,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagInstance, Value: "127.0.0.1:7004", Usage: "admin endpoint of any instance"},
			&cli.StringFlag{Name: flagFormat, Value: formatTable, Usage: "output format: table or json, for the report also html", Validator: checkFormat},
			&cli.StringFlag{Name: flagCert, Usage: "PEM file with the operator's certificate; without one, connections are unencrypted"},
			&cli.StringFlag{Name: flagKey, Usage: "PEM file with the operator's private key"},
			&cli.StringFlag{Name: flagAuthority, Usage: "PEM file with the certificate of the authority that signs certificates"},
			&cli.StringFlag{Name: flagAuthor, Value: "operator", Usage: "author of the change; the name in a certificate takes precedence"},
			&cli.StringFlag{Name: flagReason, Usage: "reason for the change"},
			&cli.StringFlag{Name: flagOperation, Usage: "identifier of the change; give the same one to repeat a change whose answer was lost"},
			&cli.Uint64Flag{Name: flagSeen, Usage: "configuration version that the change is based on; changing an object that was changed since is a conflict"},
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
			experimentCommand(),
		},
	})
}

func checkFormat(value string) error {
	if value != formatTable && value != formatJSON && value != formatHTML {
		return errors.Errorf("format %q: allowed are table, json and, for the report, html", value)
	}
	return nil
}

func certificateFiles(c *cli.Command) certificate.Files {
	return certificate.Files{Certificate: c.String(flagCert), Key: c.String(flagKey), Authority: c.String(flagAuthority)}
}

// instanceCaller returns a Caller that uses the certificate named by the flags. If
// the flags can't be used, each of its calls fails with the reason.
func instanceCaller(c *cli.Command) certificate.Caller {
	files := certificateFiles(c)
	if files == (certificate.Files{}) {
		return certificate.PlainCaller()
	}
	if files.Certificate == "" || files.Key == "" || files.Authority == "" {
		return certificate.FailingCaller(errors.Wrap(tree.ErrUsage, "--certificate, --key and --authority must be given together"))
	}
	source, err := certificate.Load(files, certificate.Options{})
	if err != nil {
		return certificate.FailingCaller(errors.Wrap(tree.ErrUsage, err.Error()))
	}
	return source.Caller()
}

func adminClient(c *cli.Command) apiconnect.AdminClient {
	caller := instanceCaller(c)
	return apiconnect.NewAdminClient(caller, caller.URL(c.String(flagInstance)))
}

// nameArgument returns the only argument of a command that takes one name.
func nameArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errors.Wrapf(tree.ErrUsage, "%s takes one name", c.FullName())
	}
	return c.Args().First(), nil
}
