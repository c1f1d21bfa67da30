// SPDX-License-Identifier: Apache-2.0

package protocol

// MaxObjectBytes is the largest value that the platform holds.
const MaxObjectBytes = 1 << 20

// Object is one value in the platform with the version that conditional updates
// compare. Version 0 means that the object does not exist.
type Object struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// VM is one line of the platform's list of VMs, which lags behind the truth.
type VM struct {
	Name       string `json:"name"`
	DataCenter string `json:"data_center"`
	Leaving    bool   `json:"leaving"`
}

// The kinds of objects that pinerun keeps in the platform.
const (
	ObjectManifest = "manifest"
	ObjectPart     = "part"
	ObjectClaim    = "claim"
	ObjectLease    = "lease"
	ObjectPlan     = "plan"
	ObjectEntry    = "entry"
	// ManifestName is the name of the one manifest.
	ManifestName = "current"
)

// Listing is every object of a kind and the revision from which to watch it.
// Relayed says that another entry passed it on, so that it proves nothing about what
// the platform holds now.
type Listing struct {
	Objects  []Object
	Revision uint64
	Relayed  bool
}

// Page is a part of a Listing, in order of name, as it was at its revision. More says that
// names follow.
type Page struct {
	Listing
	More bool
}

// Changes are the changes of a kind in order, and the revision from which to
// watch on. Relayed says that another entry passed them on, so that they prove
// nothing about what the platform holds now.
type Changes struct {
	Changes  []Change
	Revision uint64
	Relayed  bool
}

// Change is an object as it now is, or was when it went.
type Change struct {
	Object  Object
	Deleted bool
}
