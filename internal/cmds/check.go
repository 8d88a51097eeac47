package cmds

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/internal/inifl"
	"geraniumseam.dev/internal/sets"
)

// check checks the files given as arguments and reports the mistakes of all of them.
func (p *program) check(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return &UsageError{Message: "check: want at least one FILE"}
	}
	var all inifl.Mistakes
	for _, name := range c.Args().Slice() {
		err := checkFile(name)
		var found inifl.Mistakes
		switch {
		case errors.As(err, &found):
			all = append(all, found...)
		case err != nil:
			return err
		default:
			p.print("%s: no mistakes\n", name)
		}
	}
	if len(all) > 0 {
		return all
	}
	return nil
}

// checkFile checks a settings, deployment or configuration file; it tells them apart by
// their sections.
func checkFile(name string) error {
	f, err := inifl.Open(name)
	if err != nil {
		return err
	}
	switch {
	case f.HasSection("instance"):
		_, err = sets.Read(name)
	case f.HasSection("deployment"):
		_, err = fleet.Read(f)
	default:
		_, err = inifl.ReadConfig(f)
	}
	return err
}
