// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/protocol"
)

// enoughPeers is how many entries that can be followed end a search: one or two may be gone.
const enoughPeers = 3

// peerSearch reads the entries' records page by page, beginning with that of its own entry and
// continuing from the first name after the last one, until it has found peers. If each entry of a
// fleet that starts at once read all records, the traffic over the platform's link would grow with
// the square of the number of entries.
type peerSearch struct {
	objects  []protocol.Object
	revision protocol.Revision // the lowest revision of the pages
	after    string            // the name that the next page follows
	started  bool
	wrapped  bool // the pages continued from the first name
}

// run reads pages until one has enough entries to follow. It returns all records read since the
// search began, and whether the search has covered all records. Otherwise, a further run continues
// after the last one.
func (s *peerSearch) run(ctx context.Context, objects Objects, self protocol.EntryRecord) (protocol.Listing, bool, error) {
	start := justBefore(self.Name)
	if !s.started {
		*s = peerSearch{after: start, started: true}
	}
	before := len(s.objects)
	for {
		p, err := objects.PageStale(ctx, entryKind, s.after)
		if err != nil {
			return protocol.Listing{}, false, err
		}
		all := s.addPage(&p, start)
		list := protocol.Listing{Objects: s.objects, Revision: s.revision}
		if all {
			s.started = false
			return list, true, nil
		}
		if len(peersAmong(s.objects[before:], self)) >= enoughPeers {
			return list, false, nil
		}
	}
}

// addPage adds the records of a page, and reports whether it was the last page that was missing.
func (s *peerSearch) addPage(p *protocol.Page, start string) bool {
	if s.revision.IsZero() || p.Revision.Before(s.revision) {
		s.revision = p.Revision
	}
	for _, o := range p.Objects {
		if s.wrapped && o.Name > start {
			return true // the search began here
		}
		s.objects = append(s.objects, o)
		s.after = o.Name
	}
	switch {
	case p.More:
		return false
	case s.wrapped || start == "":
		return true
	default:
		s.wrapped, s.after = true, ""
		return false
	}
}

// peersAmong returns the entries that can be followed among the records.
func peersAmong(objects []protocol.Object, self protocol.EntryRecord) []protocol.EntryRecord {
	var records []protocol.EntryRecord
	for _, o := range objects {
		if record, err := decodeRecord(o); err == nil {
			records = append(records, record)
		}
	}
	return relay.Candidates(self, records)
}

// justBefore returns a string that sorts before a name and after nearly all names that sort before
// it.
func justBefore(name string) string {
	if name == "" || name[len(name)-1] <= ' ' || name[len(name)-1] > '~' {
		return ""
	}
	last := len(name) - 1
	return name[:last] + string(name[last]-1) + "~"
}
