// SPDX-License-Identifier: Apache-2.0

package protocol

// MaxObjectBytes is the maximum size of a value in the platform.
const MaxObjectBytes = 1 << 20

// Object is a value in the platform with the version that conditional updates
// compare: the revision of its last change. The zero Version means that the object does not exist.
type Object struct {
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Version Revision `json:"version"`
	Value   []byte   `json:"value"`
}

// VM is an item of the platform's list of VMs. The list lags behind the actual state.
type VM struct {
	Name       string `json:"name"`
	DataCenter string `json:"data_center"`
	Leaving    bool   `json:"leaving"`
}

// The kinds of objects that pinerun stores in the platform.
const (
	ObjectManifest = "manifest"
	ObjectPart     = "part"
	ObjectClaim    = "claim"
	ObjectLease    = "lease"
	ObjectPlan     = "plan"
	ObjectEntry    = "entry"
	// ManifestName is the name of the only manifest.
	ManifestName = "current"
)

// Listing holds all objects of a kind and the revision from which to watch for changes.
// Relayed means that another entry forwarded it, so it does not prove what the platform
// holds now.
type Listing struct {
	Objects  []Object
	Revision Revision
	Relayed  bool
}

// Page is a part of a Listing, ordered by name, as of its revision. More means that
// further names follow.
type Page struct {
	Listing
	More bool
}

// Changes holds the changes of a kind in order, and the revision from which to continue
// watching. Relayed means that another entry forwarded them, so they do not prove what
// the platform holds now.
type Changes struct {
	Changes  []Change
	Revision Revision
	Relayed  bool
}

// Change is the new state of an object, or its last state if it was deleted.
type Change struct {
	Object  Object
	Deleted bool
}
