package examples

import "embed"

// Files are the example deployments, NAME.ini each.
//
//go:embed *.ini
var Files embed.FS
