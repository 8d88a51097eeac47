package admit

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// coldOverage and coldSlack are the tolerances of the bound on requests to a cold server in any second.
const (
	coldOverage = 1.5
	coldSlack   = 5
)

// TestColdServerGetsItsRate replays the loads in testdata/cold. It guards against owners that together send a cold server
// too much in some second, and against limits that leave most of the rate unused.
func TestColdServerGetsItsRate(t *testing.T) {
	files, err := filepath.Glob("testdata/cold/*.load")
	if err != nil || len(files) == 0 {
		t.Fatalf("files %v, error %v", files, err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			text, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			var owners int
			var rate float64
			var path time.Duration
			var arrivals []time.Time
			random := rand.New(rand.NewPCG(1, 1))
			now, busy := time.Unix(1000, 0), time.Duration(0)
			var limiters []ColdLimiter
			for line := range strings.Lines(string(text)) {
				var key, value string
				var each float64
				if strings.HasPrefix(line, "#") {
					continue
				}
				if n, err := fmt.Sscan(line, &key, &value, &each); n < 2 {
					t.Fatalf("%q: %v", line, err)
				}
				length, _ := time.ParseDuration(value)
				switch key {
				case "owners":
					fmt.Sscan(value, &owners)
					limiters = make([]ColdLimiter, owners)
				case "rate":
					fmt.Sscan(value, &rate)
				case "path":
					path = length
				case "phase":
					if each*float64(owners) > rate {
						busy += length
					}
					for range int(length / time.Millisecond) {
						now = now.Add(time.Millisecond)
						for at := range limiters {
							if random.Float64()*1000 >= each {
								continue
							}
							if wait, admitted := limiters[at].Reserve(now, ColdPart(rate, owners), 100*time.Millisecond); admitted {
								arrivals = append(arrivals, now.Add(wait+time.Duration(random.Int64N(int64(path)))))
							}
						}
					}
				}
			}
			slices.SortFunc(arrivals, time.Time.Compare)
			most, from := 0, 0
			for at, arrived := range arrivals {
				for !arrived.Before(arrivals[from].Add(time.Second)) {
					from++
				}
				most = max(most, at-from+1)
			}
			if float64(most) > rate*coldOverage+coldSlack {
				t.Errorf("%d requests in a second, want at most %v", most, rate*coldOverage+coldSlack)
			}
			if least := 0.8 * rate * busy.Seconds(); float64(len(arrivals)) < least {
				t.Errorf("%d requests in %v of demand, want at least %.0f", len(arrivals), busy, least)
			}
		})
	}
}
