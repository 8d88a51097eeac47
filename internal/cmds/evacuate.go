package cmds

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

func (p *program) evacuateCommand() *cli.Command {
	return &cli.Command{
		Name: "evacuate", Usage: "send nothing more to the backend servers of a data centre, or end that", ArgsUsage: "CENTER",
		Description: "Instances obey if their settings have evacuations = yes in [platform].",
		Flags: []cli.Flag{
			platformFlag(),
			&cli.StringFlag{Name: "reason", Usage: "why the data centre is evacuated, kept with the evacuation"},
			&cli.BoolFlag{Name: "end", Usage: "end the evacuation"},
		},
		Action: p.evacuate,
	}
}

func (p *program) evacuate(ctx context.Context, c *cli.Command) error {
	name, err := singleArg(c, "CENTER")
	if err != nil {
		return err
	}
	if c.Bool("end") {
		return p.endEvacuation(ctx, c, name)
	}
	if c.String("reason") == "" {
		return &UsageError{Message: c.FullName() + ": want --reason"}
	}
	config, b, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	if !b.Version.IsZero() && !conf.NewSnapshot(config, b.Version).KnowsCenter(ident.CenterID(name)) {
		return &NotFoundError{Kind: "data centre", Name: name}
	}
	spec, err := json.Marshal(map[string]string{"reason": c.String("reason")})
	if err != nil {
		return errors.Trace(err)
	}
	stored, err := platformClient(c).Put(ctx, objs.Object{Kind: objs.Evacuations, Metadata: objs.Metadata{Name: name}, Spec: spec})
	if plat.HasCause(err, plat.Conflict) {
		return &ExistsError{Kind: "evacuation of data centre", Name: name}
	}
	if err != nil {
		return err
	}
	p.print("evacuation of %s accepted, version %s\n", name, stored.Version())
	return nil
}

func (p *program) endEvacuation(ctx context.Context, c *cli.Command, name string) error {
	s := platformClient(c)
	// A deletion of what does not exist is no error of the platform's.
	_, err := s.Get(ctx, objs.Evacuations, name)
	if plat.HasCause(err, plat.NotFound) {
		return &NotFoundError{Kind: "evacuation of data centre", Name: name}
	}
	if err != nil {
		return err
	}
	if err := s.Delete(ctx, objs.Evacuations, name, ident.Version{}); err != nil {
		return err
	}
	p.print("end of the evacuation of %s accepted\n", name)
	return nil
}
