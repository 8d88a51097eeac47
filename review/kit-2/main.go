// Command kit-2 has the stand-ins for the cases of the second review and runs one case: the platform's store and
// its promotion API, one service, clients, and the entry instances as processes of their own.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// cases return true if the rule held.
var cases = map[string]func(dir string, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(c func(string, bool) bool, folder string) (code int) {
	var err error
	if recordFile, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Println(err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer os.RemoveAll(dir)
	defer func() {
		if failed := recover(); failed != nil {
			note("the case could not run: %v", failed)
			code = 2
		}
	}()
	if c(dir, os.Getenv("TROUBLE") != "0") {
		note("the rule held")
		return 0
	}
	note("the rule was broken")
	return 1
}
