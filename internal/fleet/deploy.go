package fleet

import (
	"io/fs"
	"strconv"
	"strings"
	"time"

	"geraniumseam.dev/examples"
	"geraniumseam.dev/internal/inifl"
	"geraniumseam.dev/internal/rule/conf"
	"geraniumseam.dev/pkg/ident"
)

// Deployment describes a whole system: its configuration, its size and the timing
// and load that are emulated.
type Deployment struct {
	Name   string
	Config conf.Config
	// Instances is the number of entry instances in each data centre.
	Instances map[ident.CenterID]int
	// Latency is the one-way latency between data centres.
	Latency time.Duration
	// CallerLatency is the one-way latency from a caller to its entry instance.
	CallerLatency time.Duration
	// ConnectTime is how long a backend server takes to accept a connection.
	ConnectTime time.Duration
	// ServiceTime is how long a backend server takes to run a statement.
	ServiceTime time.Duration
	// Mix is the relative frequency of each kind of request.
	Mix map[string]int
	// Worth is the weight of a request of each kind in the share of requests served.
	Worth map[string]int
}

// Load reads the embedded example of the given name, or else the deployment file at that path.
func Load(name string) (*Deployment, error) {
	var f *inifl.File
	content, err := fs.ReadFile(examples.Files, name+".ini")
	if err == nil {
		f, err = inifl.Parse(name+".ini", content)
	} else {
		f, err = inifl.Open(name)
	}
	if err != nil {
		return nil, err
	}
	d, err := Read(f)
	if err != nil {
		return nil, err
	}
	d.Name = strings.TrimSuffix(name, ".ini")
	return d, nil
}

// Read reads a deployment file, which has the sections of a configuration and a section [deployment].
func Read(f *inifl.File) (*Deployment, error) {
	s := f.Section("deployment")
	d := &Deployment{
		Instances: parseCounts[ident.CenterID](s, "instances"), Latency: s.Duration("latency", 0), CallerLatency: s.Duration("caller-latency", 0),
		ConnectTime: s.Duration("connect-time", 10*time.Millisecond), ServiceTime: s.Duration("service-time", 0),
		Mix: parseCounts[string](s, "mix"), Worth: parseCounts[string](s, "worth"),
	}
	d.Config = inifl.ReadSections(f)
	for _, m := range conf.Check(&d.Config) {
		f.AddMistake(m.Section, m.Key, m.Want)
	}
	for id := range d.Instances {
		if _, known := d.Config.Centers[id]; !known {
			s.AddMistake("instances", "data centres that have a section [center NAME], unlike "+string(id))
		}
	}
	return d, f.Finish()
}

// parseCounts parses a list NAME:COUNT, NAME:COUNT.
func parseCounts[K ~string](s *inifl.Section, key string) map[K]int {
	parsed := map[K]int{}
	for _, text := range s.List(key) {
		name, number, ok := strings.Cut(text, ":")
		count, err := strconv.Atoi(number)
		if !ok || err != nil || count < 0 {
			s.AddMistake(key, "NAME:COUNT, NAME:COUNT")
			continue
		}
		parsed[K(name)] = count
	}
	return parsed
}

// Deployment returns the deployment that the fleet runs.
func (f *Fleet) Deployment() *Deployment { return f.conf.Deployment }
