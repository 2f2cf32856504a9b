// Command weirctl is the tool with which operators configure, inspect and test
// tanagerweir.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tanagerweir/tanagerweir/cmd/weirctl/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
