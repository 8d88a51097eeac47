package ident

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Epoch counts how often the platform's store has come back from an older copy, without
// writes that it had acknowledged.
type Epoch uint64

// Revision is a state of the platform's store within one epoch. In a later epoch the store
// uses the revisions that it has lost again.
type Revision uint64

// Version is a resource version of the platform's object API: an epoch and a revision of the
// store. Every version of an epoch is above those of earlier epochs, so versions only increase.
// The zero Version stands for none.
type Version struct {
	epoch    Epoch
	revision Revision
}

// A version that fits is written as one number with the revision in the lower bits, as earlier releases write
// every version.
const (
	revisionBits = 40
	epochBits    = 64 - revisionBits
)

// NewVersion returns the version of a revision of the store in an epoch.
func NewVersion(e Epoch, r Revision) Version { return Version{epoch: e, revision: r} }

// VersionOf returns the version that is written as one number.
func VersionOf(number uint64) Version {
	return Version{epoch: Epoch(number >> revisionBits), revision: Revision(number & (1<<revisionBits - 1))}
}

// number returns the version as one number, if it fits.
func (v Version) number() (uint64, bool) {
	fits := v.epoch < 1<<epochBits && v.revision < 1<<revisionBits
	return uint64(v.epoch)<<revisionBits | uint64(v.revision), fits
}

// Cut returns what releases that hold versions in one number take the version for.
func (v Version) Cut() Version {
	number, _ := v.number()
	return VersionOf(number)
}

// claims is how many claims can be numbered above the highest Floor.
const claims = 1 << 32

// Floor returns a number below that of the first claim made at the version. It never decreases from one version to a
// later one, and increases with the epoch while that fits.
func (v Version) Floor() uint64 {
	const maxEpoch, maxRevision = 1<<epochBits - 1, 1<<revisionBits - claims
	if v.epoch > maxEpoch {
		v = NewVersion(maxEpoch, maxRevision)
	}
	return uint64(v.epoch)<<revisionBits | uint64(min(v.revision, maxRevision))
}

// Epoch returns the epoch of the store that the version belongs to.
func (v Version) Epoch() Epoch { return v.epoch }

// Revision returns the revision of the store within the epoch.
func (v Version) Revision() Revision { return v.revision }

// Next returns the version of the next revision in the epoch.
func (v Version) Next() Version { return NewVersion(v.epoch, v.revision+1) }

// IsZero reports whether this is no version.
func (v Version) IsZero() bool { return v == Version{} }

// Compare returns -1, 0 or 1 if the version is below, equal to or above another one.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.epoch, other.epoch), cmp.Compare(v.revision, other.revision))
}

// Before reports whether the version is below another one.
func (v Version) Before(other Version) bool { return v.Compare(other) < 0 }

// Latest returns the higher of two versions.
func Latest(a, b Version) Version {
	if a.Before(b) {
		return b
	}
	return a
}

// String formats the version as EPOCH.REVISION, or as REVISION in epoch 0.
func (v Version) String() string {
	if v.epoch == 0 {
		return strconv.FormatUint(uint64(v.revision), 10)
	}
	return v.pair()
}

// pair formats the version as EPOCH.REVISION.
func (v Version) pair() string {
	return strconv.FormatUint(uint64(v.epoch), 10) + "." + strconv.FormatUint(uint64(v.revision), 10)
}

// ParseVersion parses the output of Version.String.
func ParseVersion(text string) (Version, error) {
	epochText, revisionText, found := strings.Cut(text, ".")
	if !found {
		epochText, revisionText = "0", text
	}
	epoch, err := strconv.ParseUint(epochText, 10, 64)
	if err != nil {
		return Version{}, &ParseError{What: "version", Text: text, Want: "REVISION or EPOCH.REVISION"}
	}
	revision, err := strconv.ParseUint(revisionText, 10, 64)
	if err != nil {
		return Version{}, &ParseError{What: "version", Text: text, Want: "REVISION or EPOCH.REVISION"}
	}
	return NewVersion(Epoch(epoch), Revision(revision)), nil
}

// ResourceVersion formats the version as the object API does: as one number, or as EPOCH.REVISION if it doesn't fit.
func (v Version) ResourceVersion() string {
	if number, fits := v.number(); fits {
		return strconv.FormatUint(number, 10)
	}
	return v.pair()
}

// ParseResourceVersion parses the output of Version.ResourceVersion.
func ParseResourceVersion(text string) (Version, error) {
	if strings.Contains(text, ".") {
		return ParseVersion(text)
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return Version{}, &ParseError{What: "resource version", Text: text, Want: "a number or EPOCH.REVISION"}
	}
	return VersionOf(number), nil
}

// MarshalJSON implements json.Marshaler: a number, or the text of ResourceVersion if it doesn't fit.
func (v Version) MarshalJSON() ([]byte, error) {
	if number, fits := v.number(); fits {
		return strconv.AppendUint(nil, number, 10), nil
	}
	return json.Marshal(v.pair())
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Version) UnmarshalJSON(data []byte) error {
	text := string(data)
	if text == "null" {
		return nil
	}
	if strings.HasPrefix(text, `"`) {
		if err := json.Unmarshal(data, &text); err != nil {
			return err
		}
	}
	parsed, err := ParseResourceVersion(text)
	*v = parsed
	return err
}

// MarshalCBOR implements cbor.Marshaler, in the same form as MarshalJSON.
func (v Version) MarshalCBOR() ([]byte, error) {
	if number, fits := v.number(); fits {
		return cbor.Marshal(number)
	}
	return cbor.Marshal(v.pair())
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (v *Version) UnmarshalCBOR(data []byte) error {
	var number uint64
	if cbor.Unmarshal(data, &number) == nil {
		*v = VersionOf(number)
		return nil
	}
	var text string
	if err := cbor.Unmarshal(data, &text); err != nil {
		return err
	}
	parsed, err := ParseVersion(text)
	*v = parsed
	return err
}
