package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/juju/errors"
)

// ReadReports reads a file with one report, or with several, one a line.
func ReadReports(name string) ([]Report, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	decoder := json.NewDecoder(f)
	var all []Report
	for decoder.More() {
		var r Report
		if err := decoder.Decode(&r); err != nil {
			return nil, errors.Annotatef(err, "%s", name)
		}
		all = append(all, r)
	}
	return all, nil
}

// spread is the least, the mean and the most of a figure over several runs.
type spread struct{ least, mean, most float64 }

func spreadOf(reports []Report, field int) spread {
	s := spread{}
	for at := range reports {
		v := figure(reflect.ValueOf(reports[at]).Field(field))
		if at == 0 {
			s.least, s.most = v, v
		}
		s.least, s.most = min(s.least, v), max(s.most, v)
		s.mean += v / float64(len(reports))
	}
	return s
}

func figure(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int())
	case reflect.Float64:
		return v.Float()
	}
	return 0
}

// Compare prints each figure of two sets of reports, its spread and its change.
func Compare(w io.Writer, a, b []Report) {
	fmt.Fprintf(w, "%-40s %28s %28s %9s\n", "figure", "before (least..most)", "after (least..most)", "change")
	kind := reflect.TypeFor[Report]()
	for at := range kind.NumField() {
		f := kind.Field(at)
		if k := f.Type.Kind(); k != reflect.Int && k != reflect.Int64 && k != reflect.Float64 {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		before, after := spreadOf(a, at), spreadOf(b, at)
		change := "-"
		if before.mean != 0 {
			change = fmt.Sprintf("%+.1f%%", (after.mean/before.mean-1)*100)
		}
		fmt.Fprintf(w, "%-40s %28s %28s %9s\n", name, before, after, change)
	}
}

// String prints a spread.
func (s spread) String() string { return fmt.Sprintf("%.4g (%.4g..%.4g)", s.mean, s.least, s.most) }
