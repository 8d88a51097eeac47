package conf

import (
	"fmt"
	"strconv"
	"time"
)

// Defaults are the limits and timings of the whole fleet; an Exception overrides one of
// them for one scope.
type Defaults struct {
	ReadWait          time.Duration `json:"read-wait"`
	PrimaryCost       time.Duration `json:"primary-cost"`
	StatementDeadline time.Duration `json:"statement-deadline"`
	QueueDeadline     time.Duration `json:"queue-deadline"`
	QueueLength       int           `json:"queue-length"`
	AckDeadline       time.Duration `json:"ack-deadline"`
	IdleTransaction   time.Duration `json:"idle-transaction"`
	Poll              time.Duration `json:"poll"`
	Silence           time.Duration `json:"silence"`
	PathSilence       time.Duration `json:"path-silence"`
	Stagger           time.Duration `json:"stagger"`
	StepTime          time.Duration `json:"step-time"`
	RateWait          time.Duration `json:"rate-wait"`
	ShareLease        time.Duration `json:"share-lease"`
	ShareGrace        time.Duration `json:"share-grace"`
	ShareReserve      float64       `json:"share-reserve"`
	KeyGrace          time.Duration `json:"key-grace"`
	RetryRatio        float64       `json:"retry-ratio"`
	DrainTime         time.Duration `json:"drain-time"`
	RateUnit          RateUnit      `json:"rate-unit,omitempty"`
}

//go:generate go tool stringer -type=RateUnit -linecomment -output=rateunit_string.go

// RateUnit is the unit that a customer's rate counts.
type RateUnit uint8

// Rate units.
const (
	// PerStatement counts each statement except the one that ends a transaction.
	PerStatement RateUnit = iota // statement
	// PerOperation counts a whole transaction as one request.
	PerOperation // operation
)

// DefaultValues returns the defaults of a new configuration.
func DefaultValues() Defaults {
	return Defaults{
		ReadWait:          80 * time.Millisecond,
		PrimaryCost:       150 * time.Millisecond,
		StatementDeadline: 10 * time.Second,
		QueueDeadline:     2 * time.Second,
		QueueLength:       128,
		AckDeadline:       5 * time.Second,
		IdleTransaction:   time.Minute,
		Poll:              50 * time.Millisecond,
		Silence:           400 * time.Millisecond,
		PathSilence:       3 * time.Second,
		Stagger:           250 * time.Millisecond,
		StepTime:          600 * time.Millisecond,
		RateWait:          500 * time.Millisecond,
		ShareLease:        time.Minute,
		ShareGrace:        15 * time.Minute,
		ShareReserve:      0.3,
		KeyGrace:          10 * time.Minute,
		RetryRatio:        0.1,
		DrainTime:         10 * time.Second,
	}
}

// Setting describes one default: its name, accepted values, meaning, and conversion from
// and to text.
type Setting struct {
	Name  string
	Want  string
	Help  string
	Get   func(*Defaults) string
	Parse func(*Defaults, string) error
}

func duration(name, help string, lowest, highest time.Duration, field func(*Defaults) *time.Duration) Setting {
	want := fmt.Sprintf("a duration from %v to %v, such as %v", lowest, highest, lowest)
	return Setting{
		Name: name, Want: want, Help: help,
		Get: func(d *Defaults) string { return field(d).String() },
		Parse: func(d *Defaults, text string) error {
			value, err := time.ParseDuration(text)
			if err != nil || value < lowest || value > highest {
				return &ValueError{Name: name, Text: text, Want: want}
			}
			*field(d) = value
			return nil
		},
	}
}

func count(name, help string, lowest, highest int, field func(*Defaults) *int) Setting {
	want := fmt.Sprintf("a whole number from %d to %d", lowest, highest)
	return Setting{
		Name: name, Want: want, Help: help,
		Get: func(d *Defaults) string { return strconv.Itoa(*field(d)) },
		Parse: func(d *Defaults, text string) error {
			value, err := strconv.Atoi(text)
			if err != nil || value < lowest || value > highest {
				return &ValueError{Name: name, Text: text, Want: want}
			}
			*field(d) = value
			return nil
		},
	}
}

func fraction(name, help string, field func(*Defaults) *float64) Setting {
	want := "a fraction from 0 to 1"
	return Setting{
		Name: name, Want: want, Help: help,
		Get: func(d *Defaults) string { return strconv.FormatFloat(*field(d), 'g', -1, 64) },
		Parse: func(d *Defaults, text string) error {
			value, err := strconv.ParseFloat(text, 64)
			if err != nil || !(value >= 0 && value <= 1) {
				return &ValueError{Name: name, Text: text, Want: want}
			}
			*field(d) = value
			return nil
		},
	}
}

// Settings lists all defaults in display order.
var Settings = []Setting{
	duration("read-wait", "maximum time a read waits for a replica to reach the required position", 0, time.Second, func(d *Defaults) *time.Duration { return &d.ReadWait }),
	duration("primary-cost", "extra cost of reading from the primary when a server is chosen", 0, time.Second, func(d *Defaults) *time.Duration { return &d.PrimaryCost }),
	duration("statement-deadline", "maximum run time of one statement", 10*time.Millisecond, time.Hour, func(d *Defaults) *time.Duration { return &d.StatementDeadline }),
	duration("queue-deadline", "maximum wait for a backend connection", time.Millisecond, time.Minute, func(d *Defaults) *time.Duration { return &d.QueueDeadline }),
	count("queue-length", "maximum number of requests that wait for one server", 1, 100_000, func(d *Defaults) *int { return &d.QueueLength }),
	duration("ack-deadline", "maximum wait until a majority has received a write", 10*time.Millisecond, time.Minute, func(d *Defaults) *time.Duration { return &d.AckDeadline }),
	duration("idle-transaction", "maximum time a caller may be idle inside a transaction", time.Second, time.Hour, func(d *Defaults) *time.Duration { return &d.IdleTransaction }),
	duration("poll", "time between two polls of an idle server", 5*time.Millisecond, 10*time.Second, func(d *Defaults) *time.Duration { return &d.Poll }),
	duration("silence", "time without an answer after which a primary is suspected", 50*time.Millisecond, time.Minute, func(d *Defaults) *time.Duration { return &d.Silence }),
	duration("path-silence", "time without an answer to any instance after which a primary is replaced although its replicas still hear it", 100*time.Millisecond, 10*time.Minute, func(d *Defaults) *time.Duration { return &d.PathSilence }),
	duration("stagger", "delay that each further instance adds before it replaces a primary", 10*time.Millisecond, time.Minute, func(d *Defaults) *time.Duration { return &d.Stagger }),
	duration("step-time", "maximum duration of one promotion step", 50*time.Millisecond, time.Minute, func(d *Defaults) *time.Duration { return &d.StepTime }),
	duration("rate-wait", "maximum wait for the rate limit before a request is refused", 0, time.Minute, func(d *Defaults) *time.Duration { return &d.RateWait }),
	duration("share-lease", "how long an instance may spend its share of the rates without a renewal", 2*time.Second, time.Hour, func(d *Defaults) *time.Duration { return &d.ShareLease }),
	duration("share-grace", "how long an instance may spend the reserved fraction of its share without a renewal", 2*time.Second, 24*time.Hour, func(d *Defaults) *time.Duration { return &d.ShareGrace }),
	fraction("share-reserve", "fraction of a share that remains usable from the end of share-lease until the end of share-grace", func(d *Defaults) *float64 { return &d.ShareReserve }),
	duration("key-grace", "how long keys are accepted while neither the platform nor a peer connected to it answers", 30*time.Second, 24*time.Hour, func(d *Defaults) *time.Duration { return &d.KeyGrace }),
	fraction("retry-ratio", "maximum ratio of retries to requests", func(d *Defaults) *float64 { return &d.RetryRatio }),
	{
		Name: "rate-unit", Want: "statement or operation", Help: "what a rate counts: each statement, or a whole transaction as one",
		Get: func(d *Defaults) string { return d.RateUnit.String() },
		Parse: func(d *Defaults, text string) error {
			for _, u := range []RateUnit{PerStatement, PerOperation} {
				if u.String() == text {
					d.RateUnit = u
					return nil
				}
			}
			return &ValueError{Name: "rate-unit", Text: text, Want: "statement or operation"}
		},
	},
	duration("drain-time", "maximum wait for callers at shutdown before their idle connections are closed", 0, time.Hour, func(d *Defaults) *time.Duration { return &d.DrainTime }),
}

// SettingNamed returns the setting with the given name.
func SettingNamed(name string) (Setting, bool) {
	for _, s := range Settings {
		if s.Name == name {
			return s, true
		}
	}
	return Setting{}, false
}
