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

// ReadReports reads a file with one or more JSON reports, one a line.
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

// summary is the minimum, mean and maximum of a measurement over several runs.
type summary struct{ low, mean, high float64 }

// summarize summarizes a field of Report, given by its index.
func summarize(reports []Report, field int) summary {
	s := summary{}
	for at := range reports {
		v := toFloat(reflect.ValueOf(reports[at]).Field(field))
		if at == 0 {
			s.low, s.high = v, v
		}
		s.low, s.high = min(s.low, v), max(s.high, v)
		s.mean += v / float64(len(reports))
	}
	return s
}

// toFloat converts a numeric field to float64.
func toFloat(v reflect.Value) float64 {
	switch v.Kind() {
	case reflect.Int, reflect.Int64:
		return float64(v.Int())
	case reflect.Float64:
		return v.Float()
	}
	return 0
}

// Compare writes a table of the numeric fields of two sets of reports: mean, minimum and maximum
// of each set, and the change of the mean.
func Compare(w io.Writer, a, b []Report) {
	fmt.Fprintf(w, "%-40s %28s %28s %9s\n", "figure", "before (min..max)", "after (min..max)", "change")
	kind := reflect.TypeFor[Report]()
	for at := range kind.NumField() {
		f := kind.Field(at)
		if k := f.Type.Kind(); k != reflect.Int && k != reflect.Int64 && k != reflect.Float64 {
			continue
		}
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		before, after := summarize(a, at), summarize(b, at)
		change := "-"
		if before.mean != 0 {
			change = fmt.Sprintf("%+.1f%%", (after.mean/before.mean-1)*100)
		}
		fmt.Fprintf(w, "%-40s %28s %28s %9s\n", name, before, after, change)
	}
}

// String returns the mean, with the minimum and maximum in parentheses.
func (s summary) String() string { return fmt.Sprintf("%.4g (%.4g..%.4g)", s.mean, s.low, s.high) }
