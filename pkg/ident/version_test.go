package ident

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

// drawVersion draws from all versions, often beside a power of two.
func drawVersion(t *rapid.T, label string) Version {
	number := func(label string) uint64 {
		if rapid.Bool().Draw(t, label+"-any") {
			return rapid.Uint64().Draw(t, label)
		}
		return 1<<rapid.IntRange(0, 63).Draw(t, label+"-power") + rapid.Uint64Range(0, 2).Draw(t, label+"-above") - 1
	}
	return NewVersion(Epoch(number(label+"-epoch")), Revision(number(label+"-revision")))
}

func TestVersionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawVersion(t, "v")
		if out, err := ParseVersion(in.String()); err != nil || out != in || NewVersion(out.Epoch(), out.Revision()) != in {
			t.Fatalf("got %v, %v; want %v", out, err, in)
		}
		if out, err := ParseResourceVersion(in.ResourceVersion()); err != nil || out != in {
			t.Fatalf("resource version %s: got %v, %v; want %v", in.ResourceVersion(), out, err, in)
		}
		type message struct {
			Version Version `json:"version" cbor:"1,keyasint"`
		}
		var fromJSON, fromCBOR message
		text, err := json.Marshal(message{in})
		if err = errors.Join(err, json.Unmarshal(text, &fromJSON)); err != nil || fromJSON.Version != in {
			t.Fatalf("JSON %s: got %v, %v; want %v", text, fromJSON, err, in)
		}
		data, err := cbor.Marshal(message{in})
		if err = errors.Join(err, cbor.Unmarshal(data, &fromCBOR)); err != nil || fromCBOR.Version != in {
			t.Fatalf("CBOR %x: got %v, %v; want %v", data, fromCBOR, err, in)
		}
	})
}

// TestEarlierReleasesReadVersions guards against a version that an instance of an earlier release, which holds it in one number,
// can't read beside this one, or reads as another.
func TestEarlierReleasesReadVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		epoch, revision := rapid.Uint64Range(0, 1<<24-1).Draw(t, "epoch"), rapid.Uint64Range(0, 1<<40-1).Draw(t, "revision")
		earlier := epoch<<40 | revision
		v := NewVersion(Epoch(epoch), Revision(revision))
		text, err := json.Marshal(v)
		if err != nil || string(text) != strconv.FormatUint(earlier, 10) || v.ResourceVersion() != string(text) {
			t.Errorf("JSON %s, %v; resource version %s; want %d", text, err, v.ResourceVersion(), earlier)
		}
		want, _ := cbor.Marshal(earlier)
		if data, err := cbor.Marshal(v); err != nil || !bytes.Equal(data, want) {
			t.Errorf("CBOR %x, %v; want %x", data, err, want)
		}
		if VersionOf(earlier) != v {
			t.Errorf("%d is read as %v, want %v", earlier, VersionOf(earlier), v)
		}
	})
}

// TestVersionsOrderEpochsFirst guards against a revision of a lost history that counts as newer
// than one of the epoch that replaced it, and against a large revision that counts as another epoch.
func TestVersionsOrderEpochsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawVersion(t, "a"), drawVersion(t, "b")
		want := cmp.Or(cmp.Compare(a.Epoch(), b.Epoch()), cmp.Compare(a.Revision(), b.Revision()))
		if got := a.Compare(b); got != want || a.Before(b) != (want < 0) || Latest(a, b).Before(a) || Latest(a, b).Before(b) {
			t.Fatalf("%v against %v: %d, want %d", a, b, got, want)
		}
		if want < 0 && a.Floor() > b.Floor() || a.Floor() > math.MaxUint64-claims/2 {
			t.Fatalf("%v has the floor %d, %v has %d", a, a.Floor(), b, b.Floor())
		}
	})
}

func TestParseVersionRejectsInvalid(t *testing.T) {
	for _, text := range []string{"", ".", "1.", ".1", "-1", "1.2.3", "x", "99999999999999999999"} {
		var parseError *ParseError
		if _, err := ParseVersion(text); !errors.As(err, &parseError) {
			t.Errorf("ParseVersion(%q) = %v, want a ParseError", text, err)
		}
	}
}
