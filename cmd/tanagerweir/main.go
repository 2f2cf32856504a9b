// Command tanagerweir runs one entry instance of the load balancer.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/tanagerweir/tanagerweir/cmd/tanagerweir/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
