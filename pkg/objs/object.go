package objs

import (
	"encoding/json"

	"geraniumseam.dev/pkg/ident"
)

//go:generate go tool stringer -type=EventType -linecomment -output=eventtype_string.go

// BasePath is the URL path below which the API serves its objects.
const BasePath = "/apis/geraniumseam.dev/v1/"

// OperationKey is the annotation with the name of the operation that last wrote the object.
// A client whose write got no response finds out with it whether the write was applied.
const OperationKey = "geraniumseam.dev/operation"

// Kind is a type of object.
type Kind string

// The kinds of object that geraniumseam stores or reads.
const (
	// Configurations holds the head and the pages of the configuration.
	Configurations Kind = "configurations"
	// Groups holds the published term and primary of each database group.
	Groups Kind = "groups"
	// Shares holds, for each data centre, the part of the rate limits that each instance
	// may grant.
	Shares Kind = "shares"
	// Incidents holds one summary per incident.
	Incidents Kind = "incidents"
	// Instances holds the platform's list of live and leaving instances, which lags behind.
	Instances Kind = "machines"
	// Servers holds the platform's list of backend servers, if the platform keeps one.
	Servers Kind = "servers"
	// Evacuations holds one object for each evacuated data centre, named after it.
	Evacuations Kind = "evacuations"
	// Secrets holds the secret with which the instances of a fleet authenticate to each
	// other.
	Secrets Kind = "secrets"
	// Statuses holds the configuration version in force in each data centre.
	Statuses Kind = "statuses"
)

// Metadata identifies an object and its version.
type Metadata struct {
	Name            string            `json:"name"`
	ResourceVersion string            `json:"resourceVersion,omitempty"`
	Annotations     map[string]string `json:"annotations,omitempty"`
}

// Object is one object of the platform's API.
type Object struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// Version returns the object's resource version, the zero one if it has none.
func (o Object) Version() ident.Version {
	version, _ := ident.ParseResourceVersion(o.Metadata.ResourceVersion)
	return version
}

// Operation returns the name of the operation that last wrote the object.
func (o Object) Operation() string { return o.Metadata.Annotations[OperationKey] }

// List is the objects of one kind as of one version.
type List struct {
	Metadata ListMetadata `json:"metadata"`
	Items    []Object     `json:"items"`
}

// ListMetadata holds the version at which a list was read.
type ListMetadata struct {
	ResourceVersion string `json:"resourceVersion"`
}

// Version returns the version at which the list was read.
func (l List) Version() ident.Version {
	version, _ := ident.ParseResourceVersion(l.Metadata.ResourceVersion)
	return version
}

// EventType is the type of a watch event.
type EventType uint8

// The types of watch event. Unknown stands for any name that this package does not define.
const (
	Unknown  EventType = iota // UNKNOWN
	Added                     // ADDED
	Modified                  // MODIFIED
	Deleted                   // DELETED
	Bookmark                  // BOOKMARK
)

// MarshalText implements encoding.TextMarshaler.
func (t EventType) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name gives Unknown.
func (t *EventType) UnmarshalText(text []byte) error {
	*t = Unknown
	for candidate := Added; candidate <= Bookmark; candidate++ {
		if candidate.String() == string(text) {
			*t = candidate
		}
	}
	return nil
}

// Event is one event of a watch.
type Event struct {
	Type   EventType `json:"type"`
	Object Object    `json:"object"`
}

// LifecycleState says whether the platform is about to remove an instance or a backend
// server.
type LifecycleState string

// The states of an instance or a backend server in the platform's lists.
const (
	Live    LifecycleState = "live"
	Leaving LifecycleState = "leaving"
)

// Server is an entry of the platform's list of backend servers.
type Server struct {
	Group   ident.GroupID  `json:"group"`
	Center  ident.CenterID `json:"center"`
	Address string         `json:"address"`
	Slots   int            `json:"slots"`
	State   LifecycleState `json:"state"`
	// Incarnation is the time of the server's start, in Unix milliseconds.
	Incarnation int64 `json:"born"`
	// Cold is set while the server is slow after its start.
	Cold bool `json:"cold,omitempty"`
	// IsPrimary is set if the server reports that it is its group's primary.
	IsPrimary bool `json:"leads,omitempty"`
}

// ListedInstance is an entry of the platform's list of instances, which lags behind.
type ListedInstance struct {
	Center  ident.CenterID `json:"center"`
	Address string         `json:"address"`
	State   LifecycleState `json:"state"`
	// Weight is the instance's capacity, or 0 if it is not known.
	Weight ident.Millicores `json:"weight,omitempty"`
}
