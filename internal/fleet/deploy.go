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

// Deployment describes a whole system.
type Deployment struct {
	Name          string
	Config        conf.Config
	Instances     map[ident.CenterID]int
	Latency       time.Duration
	CallerLatency time.Duration
	ConnectTime   time.Duration
	ServiceTime   time.Duration
	// Mix gives each kind of request its share of all.
	Mix map[string]int
	// Worth says how much a request of each kind counts.
	Worth map[string]int
}

// Load reads an example by its name, or a deployment file by its path.
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

// Read reads a deployment file: a configuration and a section [deployment].
func Read(f *inifl.File) (*Deployment, error) {
	s := f.Section("deployment")
	d := &Deployment{
		Instances: counts[ident.CenterID](s, "instances"), Latency: s.Duration("latency", 0), CallerLatency: s.Duration("caller-latency", 0),
		ConnectTime: s.Duration("connect-time", 10*time.Millisecond), ServiceTime: s.Duration("service-time", 0),
		Mix: counts[string](s, "mix"), Worth: counts[string](s, "worth"),
	}
	d.Config = inifl.ReadParts(f)
	for _, m := range conf.Check(&d.Config) {
		f.Fault(m.Section, m.Key, m.Want)
	}
	for id := range d.Instances {
		if _, known := d.Config.Centers[id]; !known {
			s.Fault("instances", "data centres that have a section [center NAME], unlike "+string(id))
		}
	}
	return d, f.End()
}

// counts reads NAME:COUNT, NAME:COUNT.
func counts[K ~string](s *inifl.Section, key string) map[K]int {
	found := map[K]int{}
	for _, text := range s.List(key) {
		name, number, ok := strings.Cut(text, ":")
		count, err := strconv.Atoi(number)
		if !ok || err != nil || count < 0 {
			s.Fault(key, "NAME:COUNT, NAME:COUNT")
			continue
		}
		found[K(name)] = count
	}
	return found
}

// Deployment returns what the fleet runs.
func (f *Fleet) Deployment() *Deployment { return f.conf.Deployment }
