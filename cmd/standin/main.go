package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"geraniumseam.dev/internal/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := cmds.RunStandin(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
