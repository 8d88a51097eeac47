package plat

import (
	"fmt"
	"testing"

	"geraniumseam.dev/pkg/ident"
	"geraniumseam.dev/pkg/objs"
)

// TestNamesAreNoPartOfARequest guards against a name that addresses another object, all of a kind, or a second call.
func TestNamesAreNoPartOfARequest(t *testing.T) {
	_, c := startPlatform(t)
	odd := []string{"a b", "a/b", "a?b", "a#b", "a%2fb", "%", "a\r\nX: y", "a\nb", "a\x00b", "é", "../secrets/fleet", "..", ".", "", "..."}
	for _, name := range odd {
		for at, kind := range []objs.Kind{objs.Groups, objs.Secrets} {
			spec := fmt.Sprintf(`"%d of %x"`, at, name)
			stored, err := c.Put(t.Context(), objs.Object{Kind: kind, Metadata: objs.Metadata{Name: name}, Spec: []byte(spec)})
			if name == "" || name == "." || name == ".." {
				_, missing := c.Get(t.Context(), kind, name)
				if removed := c.Delete(t.Context(), kind, name, ident.Version{}); !HasCause(err, Rejected) || !HasCause(missing, Rejected) || !HasCause(removed, Rejected) {
					t.Errorf("%s %q: %v, %v, %v; want Rejected", kind, name, err, missing, removed)
				}
				continue
			}
			if err != nil || stored.Metadata.Name != name {
				t.Errorf("put %s %q: %+v, %v", kind, name, stored, err)
			}
			if found, err := c.Get(t.Context(), kind, name); err != nil || string(found.Spec) != spec || found.Metadata.Name != name {
				t.Errorf("get %s %q: %+v, %v", kind, name, found, err)
			}
		}
	}
	before, err := c.List(t.Context(), objs.Groups)
	if err != nil || len(before.Items) != len(odd)-3 {
		t.Fatalf("%d objects, %v; want one for each of the names", len(before.Items), err)
	}
	for _, o := range before.Items {
		if err := c.Delete(t.Context(), o.Kind, o.Metadata.Name, o.Version()); err != nil {
			t.Errorf("delete %q: %v", o.Metadata.Name, err)
		}
	}
	after, err := c.List(t.Context(), objs.Groups)
	if err != nil || len(after.Items) > 0 {
		t.Errorf("%d objects are left, %v", len(after.Items), err)
	}
	if secrets, err := c.List(t.Context(), objs.Secrets); err != nil || len(secrets.Items) != len(odd)-3 {
		t.Errorf("%d secrets, %v; want all", len(secrets.Items), err)
	}
}
