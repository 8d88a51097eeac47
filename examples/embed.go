package examples

import "embed"

// Files holds the example deployments, each as NAME.ini.
//
//go:embed *.ini
var Files embed.FS
