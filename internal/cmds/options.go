package cmds

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/sets"
)

// Version is the version of this release.
const Version = "0.1.0"

const (
	platformHelp = "URL of the platform's object API"
	reasonHelp   = "why the change is made, kept with the configuration"
	authorHelp   = "who makes the change"
)

// program holds the output streams of all commands.
type program struct {
	out  io.Writer
	errs io.Writer
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	p := &program{out: out, errs: errs}
	root := p.root()
	root.Writer, root.ErrWriter = out, errs
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	wrapUsageErrors(root)
	return exitCode(root.Run(ctx, args), errs)
}

// wrapUsageErrors makes a command and its subcommands return usage errors as UsageError.
func wrapUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, at *cli.Command, err error, _ bool) error {
		return &UsageError{Message: at.FullName() + ": " + err.Error() + "; see --help"}
	}
	for _, sub := range c.Commands {
		wrapUsageErrors(sub)
	}
}

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:                  "geraniumseam",
		Usage:                 "a database proxy with session consistency",
		Version:               Version,
		EnableShellCompletion: true,
		Description: "Start with 'geraniumseam demo': it runs a whole system on loopback, without any setup.\n" +
			"Then read docs/ops/README.md and write settings for 'serve'.",
		Commands: []*cli.Command{
			p.demoCommand(), p.serveCommand(), p.checkCommand(), p.configCommand(), p.customerCommand(), p.keyCommand(),
			p.serviceCommand(), p.exceptionCommand(), p.evacuateCommand(), p.reviewCommand(), p.benchCommand(), p.versionCommand(),
		},
	}
}

func (p *program) versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the release",
		Action: func(context.Context, *cli.Command) error {
			_, err := fmt.Fprintln(p.out, Version)
			return err
		},
	}
}

func (p *program) demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole system on loopback: platform, databases, instances, callers, a failover",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "hoang-lien", Usage: "hoang-lien, villasenor or a deployment file"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long it runs"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON lines"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers"},
		},
		Action: p.demo,
	}
}

func (p *program) serveCommand() *cli.Command {
	return &cli.Command{
		Name: "serve", Usage: "run one entry instance",
		Description: "The settings file has these sections and keys:\n\n" + sets.Help,
		Flags:       []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE`"}},
		Action:      p.serve,
	}
}

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check settings, configuration and deployment files", ArgsUsage: "FILE...",
		Description: "Reports all mistakes at once, each with file, section, key and the expected value.",
		Action:      p.check,
	}
}

func platformFlag() cli.Flag {
	return &cli.StringFlag{Name: "platform", Required: true, Usage: platformHelp, Sources: cli.EnvVars("GERANIUMSEAM_PLATFORM")}
}

// changeFlags returns the flags of a command that changes the configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		platformFlag(),
		&cli.StringFlag{Name: "author", Required: true, Usage: authorHelp, Sources: cli.EnvVars("GERANIUMSEAM_AUTHOR")},
		&cli.StringFlag{Name: "reason", Required: true, Usage: reasonHelp},
	}, more...)
}

func (p *program) configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "read and change the fleet's configuration",
		Commands: []*cli.Command{
			{Name: "get", Usage: "print the configuration in force as INI", Flags: []cli.Flag{platformFlag()}, Action: p.configGet},
			{
				Name: "diff", Usage: "compare a file with the configuration in force", ArgsUsage: "FILE",
				Flags: []cli.Flag{platformFlag()}, Action: p.configDiff,
			},
			{
				Name: "apply", Usage: "put a file in force, unless the configuration has changed since the file was made", ArgsUsage: "FILE",
				Flags:  changeFlags(&cli.StringFlag{Name: "based-on", Usage: "version the file was made from, as 'config get' printed it (default: the one in force)"}),
				Action: p.configApply,
			},
			{
				Name: "status", Usage: "show which version is in force where",
				Flags: []cli.Flag{
					platformFlag(),
					&cli.StringSliceFlag{Name: "instance", Usage: "operator `ADDRESS` of an instance to ask; may be given several times"},
					&cli.BoolFlag{Name: "json", Usage: "print JSON"},
				},
				Action: p.configStatus,
			},
		},
	}
}

func (p *program) customerCommand() *cli.Command {
	return &cli.Command{
		Name: "customer", Usage: "create, change, remove and list customers",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create a customer or change its rate", ArgsUsage: "NAME",
				Flags: changeFlags(
					&cli.FloatFlag{Name: "rate", Required: true, Usage: "requests a second over the whole fleet"},
					&cli.FloatFlag{Name: "burst", Required: true, Usage: "requests at once"},
					&cli.FloatFlag{Name: "weight", Value: 1, Usage: "relative share of a server while requests queue for it"},
				),
				Action: p.customerCreate,
			},
			{Name: "remove", Usage: "remove a customer and its keys", ArgsUsage: "NAME", Flags: changeFlags(), Action: p.customerRemove},
			{Name: "list", Usage: "list customers", Flags: []cli.Flag{platformFlag()}, Action: p.customerList},
		},
	}
}

func (p *program) keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "create, revoke and list customers' keys",
		Commands: []*cli.Command{
			{
				Name: "give", Usage: "create a key and print it once", ArgsUsage: "NAME",
				Flags:  changeFlags(&cli.StringFlag{Name: "customer", Required: true, Usage: "the key's customer"}),
				Action: p.keyGive,
			},
			{Name: "withdraw", Usage: "revoke a key and disconnect the callers that use it", ArgsUsage: "NAME", Flags: changeFlags(), Action: p.keyWithdraw},
			{Name: "list", Usage: "list keys, without their secrets", Flags: []cli.Flag{platformFlag()}, Action: p.keyList},
		},
	}
}

func (p *program) serviceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "create, remove and list services",
		Commands: []*cli.Command{
			{
				Name: "create", Usage: "create a service in front of a database group", ArgsUsage: "NAME",
				Flags:  changeFlags(&cli.StringFlag{Name: "group", Required: true, Usage: "the database group"}),
				Action: p.serviceCreate,
			},
			{Name: "remove", Usage: "remove a service", ArgsUsage: "NAME", Flags: changeFlags(), Action: p.serviceRemove},
			{Name: "list", Usage: "list services", Flags: []cli.Flag{platformFlag()}, Action: p.serviceList},
		},
	}
}

func (p *program) exceptionCommand() *cli.Command {
	return &cli.Command{
		Name: "exception", Usage: "create, remove and list exceptions from the defaults",
		Commands: []*cli.Command{
			{
				Name: "make", Usage: "override one default for one customer or service", ArgsUsage: "NAME",
				Flags: changeFlags(
					&cli.StringFlag{Name: "scope", Required: true, Usage: "customer/NAME or service/NAME"},
					&cli.StringFlag{Name: "default", Required: true, Usage: "name of the default"},
					&cli.StringFlag{Name: "value", Required: true, Usage: "value in this scope"},
					&cli.TimestampFlag{Name: "until", Usage: "when it ends", Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}},
				),
				Action: p.exceptionMake,
			},
			{Name: "end", Usage: "remove an exception", ArgsUsage: "NAME", Flags: changeFlags(), Action: p.exceptionEnd},
			{Name: "list", Usage: "list exceptions with their reasons", Flags: []cli.Flag{platformFlag()}, Action: p.exceptionList},
		},
	}
}

func (p *program) reviewCommand() *cli.Command {
	return &cli.Command{
		Name: "review", Usage: "show incidents, other events and their impact on customers, in order",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "instance", Usage: "operator `ADDRESS` of any instance; it collects the journals of the others"},
			&cli.StringFlag{Name: "platform", Usage: "`URL` of the object API, to read the incidents stored in the platform"},
			&cli.StringFlag{Name: "file", Usage: "`FILE` with a journal saved as JSON"},
			&cli.StringSliceFlag{Name: "log", Usage: "`FILE` with the log lines of one or more instances, - for standard input; may be given several times"},
			&cli.DurationFlag{Name: "since", Value: time.Hour, Usage: "how far back to go"},
			&cli.StringFlag{Name: "trace", Usage: "only events with this trace `ID`"},
			&cli.BoolFlag{Name: "chain", Usage: "with --trace: print the events that may explain the request's outcome, in order"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringFlag{Name: "plot", Usage: "write a timeline to this PNG `FILE`"},
		},
		Action: p.review,
	}
}

func (p *program) benchCommand() *cli.Command {
	return &cli.Command{
		Name: "bench", Usage: "measure a deployment under load and faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "hoang-lien", Usage: "hoang-lien, villasenor or a deployment file"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long load is generated"},
			&cli.FloatFlag{Name: "load", Value: 0.5, Usage: "each customer's demand as a fraction of its rate"},
			&cli.StringFlag{Name: "greedy", Usage: "customer that demands five times its rate"},
			&cli.StringSliceFlag{Name: "fault", Usage: "fault by `NAME`, see --faults; may be given several times"},
			&cli.BoolFlag{Name: "faults", Usage: "list the faults"},
			&cli.StringFlag{Name: "baseline", Usage: "primary-only, first-replica, ack-at-once or static-rates"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers"},
			&cli.BoolFlag{Name: "json", Usage: "print the report as JSON"},
			&cli.StringFlag{Name: "plot", Usage: "write latencies over time to this PNG `FILE`"},
		},
		Commands: []*cli.Command{
			{Name: "compare", Usage: "compare two reports", ArgsUsage: "A.json B.json", Action: p.benchCompare},
		},
		Action: p.bench,
	}
}

// singleArg returns the command's only argument; what names it in the error.
func singleArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", &UsageError{Message: c.FullName() + ": want exactly one " + what}
	}
	return c.Args().First(), nil
}
