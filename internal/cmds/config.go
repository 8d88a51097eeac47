package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/maphash"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pmezard/go-difflib/difflib"
	"github.com/urfave/cli/v3"

	"geraniumseam.dev/internal/confs"
	"geraniumseam.dev/internal/inifl"
	"geraniumseam.dev/internal/oper"
	"geraniumseam.dev/internal/plat"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// statusTimeout bounds one HTTP request to an instance.
const statusTimeout = 3 * time.Second

// platformClient returns a client for the platform named by the flag --platform.
func platformClient(c *cli.Command) *plat.Client {
	return newPlatformClient(strings.TrimSuffix(c.String("platform"), "/"), nil, maphash.String(maphash.MakeSeed(), "operator"))
}

// loadConfig returns the configuration in force, or one with only the defaults if there is none yet.
func loadConfig(ctx context.Context, c *cli.Command) (conf.Config, confs.Bundle, error) {
	b, err := confs.Load(ctx, platformClient(c))
	if err != nil {
		return conf.Config{}, b, err
	}
	if b.Version.IsZero() {
		return conf.New(), b, nil
	}
	loaded, err := b.Config()
	return loaded, b, err
}

// changeConfig applies edit to the configuration in force and publishes the result as one
// new version. It fails if somebody else changed the configuration in the meantime.
func (p *program) changeConfig(ctx context.Context, c *cli.Command, edit func(*conf.Config) error) error {
	current, b, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	if err := edit(&current); err != nil {
		return err
	}
	version, err := confs.Apply(ctx, platformClient(c), current, b.Version, c.String("author"), c.String("reason"))
	if err != nil {
		return err
	}
	p.print("configuration %s accepted\n", version)
	return nil
}

func (p *program) configGet(ctx context.Context, c *cli.Command) error {
	current, b, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	p.print("; configuration %s, written by %s: %s\n", b.Version, b.Head.Author, b.Head.Reason)
	_, err = p.out.Write(inifl.WriteConfig(current))
	return err
}

func readConfigFile(name string) (conf.Config, error) {
	f, err := inifl.Open(name)
	if err != nil {
		return conf.Config{}, err
	}
	return inifl.ReadConfig(f)
}

// readConfigArg reads the configuration file that is the command's only argument, and also
// returns the file's name.
func readConfigArg(c *cli.Command) (string, conf.Config, error) {
	name, err := singleArg(c, "FILE")
	if err != nil {
		return "", conf.Config{}, err
	}
	wanted, err := readConfigFile(name)
	return name, wanted, err
}

func (p *program) configDiff(ctx context.Context, c *cli.Command) error {
	name, wanted, err := readConfigArg(c)
	if err != nil {
		return err
	}
	current, b, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	text, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(string(inifl.WriteConfig(current))), B: difflib.SplitLines(string(inifl.WriteConfig(wanted))),
		FromFile: fmt.Sprintf("configuration %s", b.Version), ToFile: name, Context: 2,
	})
	if err != nil {
		return errors.Trace(err)
	}
	p.print("%s", text)
	return nil
}

func (p *program) configApply(ctx context.Context, c *cli.Command) error {
	_, wanted, err := readConfigArg(c)
	if err != nil {
		return err
	}
	basedOn, err := ident.ParseVersion(c.String("based-on"))
	if !c.IsSet("based-on") {
		var b confs.Bundle
		_, b, err = loadConfig(ctx, c)
		basedOn = b.Version
	}
	if err != nil {
		return err
	}
	version, err := confs.Apply(ctx, platformClient(c), wanted, basedOn, c.String("author"), c.String("reason"))
	if err != nil {
		return err
	}
	p.print("configuration %s accepted\n", version)
	return nil
}

// configStatus prints the latest accepted version, the version in force in each data
// centre, and that of the instances named by --instance.
func (p *program) configStatus(ctx context.Context, c *cli.Command) error {
	_, b, err := loadConfig(ctx, c)
	if err != nil {
		return err
	}
	report := statusReport{Version: b.Version, Author: b.Head.Author, Reason: b.Head.Reason}
	report.Centers, err = confs.Statuses(ctx, platformClient(c))
	if err != nil {
		return err
	}
	for _, address := range c.StringSlice("instance") {
		report.Instances = append(report.Instances, fetchStatus(ctx, address))
	}
	if c.Bool("json") {
		return json.NewEncoder(p.out).Encode(report)
	}
	p.print("accepted: %s, written by %s: %s\n", report.Version, report.Author, report.Reason)
	for _, s := range report.Centers {
		p.print("data centre %s: in force %s at %s (%d instances, reported by %s)\n", s.Center, s.Least, s.At.Format(time.RFC3339), s.Instances, s.By)
	}
	for _, s := range report.Instances {
		p.print("instance %s in %s: in force %s, confirmed %d ms ago %s\n", s.Instance, s.Center, s.Version, s.SinceConfirmedMillis, s.NotReadyReason)
	}
	return nil
}

type statusReport struct {
	Version   ident.Version        `json:"version"`
	Author    string               `json:"author"`
	Reason    string               `json:"reason"`
	Centers   []confs.CenterStatus `json:"centers"`
	Instances []oper.Status        `json:"instances,omitempty"`
}

// fetchStatus asks an instance for its status; a failed request is reported in the
// returned status.
func fetchStatus(ctx context.Context, address string) oper.Status {
	var s oper.Status
	if err := getJSON(ctx, "http://"+address+"/status", &s); err != nil {
		return oper.Status{Instance: ident.InstanceID(address), NotReadyReason: err.Error()}
	}
	return s
}

// HTTPError says that an instance's HTTP response had a status other than 200.
type HTTPError struct {
	URL    string
	Status int
}

// Error implements error.
func (e *HTTPError) Error() string { return fmt.Sprintf("%s: status %d, want 200", e.URL, e.Status) }

func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Trace(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return &HTTPError{URL: url, Status: response.StatusCode}
	}
	return json.NewDecoder(response.Body).Decode(into)
}
