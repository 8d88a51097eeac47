package main

import (
	"os"

	"geraniumseam.dev/platform"
)

func main() {
	if platform.Serve() != nil {
		os.Exit(1)
	}
}
