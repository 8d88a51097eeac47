//go:build ignore

// The stand-ins, the clients and the checks of the scripts in review/. The argument is the name of a case.
package main

import "os"

func main() {
	cases := map[string]func(){"smuggle": smuggled, "stale": staleOrder, "restarted": orderOfRestarted, "crash": crashOnJoin, "route": serviceAsDatabase}
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		os.Exit(unable)
	}
	cases[os.Args[1]]()
}
