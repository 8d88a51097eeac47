package cmds

import (
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/fleet"
	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// standinLine is the JSON line that the stand-ins print once they are up.
type standinLine struct {
	Event    string            `json:"event"`
	Platform string            `json:"platform"`
	Keys     map[string]string `json:"keys"`
	User     string            `json:"backend-user"`
	Password string            `json:"backend-password"`
}

// RunStandin runs the command line of the command standin and returns the exit code.
func RunStandin(ctx context.Context, args []string, out, errs io.Writer) int {
	p := &program{out: out, errs: errs}
	root := &cli.Command{
		Name: "standin", Usage: "run simulated servers in place of the platform and of a deployment's database groups",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "hoang-lien", Usage: "hoang-lien, villasenor or a deployment file"},
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address on which the platform's API listens"},
			&cli.StringSliceFlag{Name: "machine", Usage: "an instance to list, as `NAME@CENTER/HOST:PORT` of its peer address"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the keys"},
		},
		Action: p.standin,
	}
	wrapUsageErrors(root)
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	return exitCode(root.Run(ctx, args), errs)
}

func (p *program) standin(ctx context.Context, c *cli.Command) error {
	deployment, err := fleet.Load(c.String("deployment"))
	if err != nil {
		return err
	}
	deployment.Instances = nil
	f, err := fleet.Start(ctx, fleet.Config{Deployment: deployment, Seed: c.Uint64("seed"), Listen: c.String("listen"), SkipReadyWait: true})
	if err != nil {
		return err
	}
	defer f.Stop()
	for _, text := range c.StringSlice("machine") {
		name, rest, hasCenter := strings.Cut(text, "@")
		center, address, hasAddress := strings.Cut(rest, "/")
		if !hasCenter || !hasAddress {
			return &UsageError{Message: "standin: want --machine NAME@CENTER/HOST:PORT"}
		}
		f.Platform.SetInstance(ident.InstanceID(name), objs.ListedInstance{Center: ident.CenterID(center), Address: address, State: objs.Live})
	}
	line := standinLine{Event: "ready", Platform: f.Platform.URL(), Keys: map[string]string{}, User: fleet.BackendUser, Password: fleet.BackendPassword}
	for id := range deployment.Config.Customers {
		line.Keys[string(id)] = f.Key(id)
	}
	if err := json.NewEncoder(p.out).Encode(line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
