package main

import (
	"os"

	"k8s.io/klog/v2"

	"geraniumseam.dev/platform"
)

func main() {
	if err := platform.Serve(); err != nil {
		klog.ErrorS(err, "instance ended")
		os.Exit(1)
	}
}
