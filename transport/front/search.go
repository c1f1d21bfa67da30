// SPDX-License-Identifier: Apache-2.0

package front

import (
	"context"

	"pinerun.example/pinerun/coordination/relay"
	"pinerun.example/pinerun/protocol"
)

// peersEnough is how many entries to follow end a search: one or two may be gone.
const peersEnough = 3

// search reads the entries' records page by page, from that of its own entry on and round, as
// far as it takes to find peers: a fleet that starts at once, each entry reading all records, would
// read the square of their number over the platform's link.
type search struct {
	objects []protocol.Object
	at      uint64 // the least revision of the pages
	after   string // the name that the next page follows
	begun   bool
	round   bool // the pages went on from the first name
}

// run reads on until a page brings enough entries to follow, and returns all that was read since
// the search began and whether that are all records. A further run reads what follows.
func (s *search) run(ctx context.Context, objects Objects, self protocol.EntryRecord) (protocol.Listing, bool, error) {
	first := justBefore(self.Name)
	if !s.begun {
		*s = search{after: first, begun: true}
	}
	before := len(s.objects)
	for {
		p, err := objects.PageLately(ctx, entryKind, s.after)
		if err != nil {
			return protocol.Listing{}, false, err
		}
		all := s.take(&p, first)
		list := protocol.Listing{Objects: s.objects, At: s.at}
		if all {
			s.begun = false
			return list, true, nil
		}
		if len(peersAmong(s.objects[before:], self)) >= peersEnough {
			return list, false, nil
		}
	}
}

// take takes one page, and reports whether it was the last one that was missing.
func (s *search) take(p *protocol.Page, first string) bool {
	if s.at == 0 || p.At < s.at {
		s.at = p.At
	}
	for _, o := range p.Objects {
		if s.round && o.Name > first {
			return true // where the search began
		}
		s.objects = append(s.objects, o)
		s.after = o.Name
	}
	switch {
	case p.More:
		return false
	case s.round || first == "":
		return true
	default:
		s.round, s.after = true, ""
		return false
	}
}

// peersAmong returns the entries to follow among records.
func peersAmong(objects []protocol.Object, self protocol.EntryRecord) []protocol.EntryRecord {
	var records []protocol.EntryRecord
	for _, o := range objects {
		if record, err := decodeRecord(o); err == nil {
			records = append(records, record)
		}
	}
	return relay.Candidates(self, records)
}

// justBefore returns a string that sorts before a name and after nearly all that do.
func justBefore(name string) string {
	if name == "" || name[len(name)-1] <= ' ' || name[len(name)-1] > '~' {
		return ""
	}
	last := len(name) - 1
	return name[:last] + string(name[last]-1) + "~"
}
