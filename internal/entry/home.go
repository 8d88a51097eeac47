package entry

import (
	"cmp"
	"slices"

	"geraniumseam.dev/internal/owner"
	"geraniumseam.dev/pkg/ident"
)

// regionOf returns the region of a data centre; one without a region is a region of its own.
func (i *Instance) regionOf(id ident.CenterID) string { return cmp.Or(i.conf.Regions[id], string(id)) }

// homeOwners returns the owners to which the work may be sent: those in this instance's region and in home regions.
func (i *Instance) homeOwners(w *owner.Work, owners []ident.InstanceID) []ident.InstanceID {
	if !w.Home.Restricted {
		return owners
	}
	view := i.members.current.Load()
	return slices.DeleteFunc(slices.Clone(owners), func(id ident.InstanceID) bool {
		if id == i.conf.Instance {
			return false
		}
		region := i.regionOf(view.all[id].Center)
		return region != i.regionOf(i.conf.Center) && !w.Home.Allows(region)
	})
}
