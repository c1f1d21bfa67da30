// SPDX-License-Identifier: Apache-2.0

package forward

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"pinerun.example/pinerun/coordination/path"
	"pinerun.example/pinerun/protocol"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// ranksPerTeam is how many route ranks lie between two team ranks.
const ranksPerTeam = 3

// encode returns the request as an attempt sends it: method, path and body as received, and the
// headers without those of the caller's connection.
func (x *exchange) encode(a *attempt) []byte {
	h := x.request.Header.Clone()
	stripHopHeaders(h)
	h.Del("Content-Length")
	x.forwarder.Headers.SetAttemptHeaders(h, x.attemptTerms(a), a.sentAt)
	var b bytes.Buffer
	b.Grow(1024 + len(x.body))
	b.WriteString(x.request.Method)
	b.WriteByte(' ')
	b.WriteString(x.request.RequestURI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(x.request.Host)
	b.WriteString("\r\n")
	_ = h.Write(&b) // writing to a bytes.Buffer never fails
	if len(x.body) > 0 || x.request.ContentLength != 0 || x.request.Method == http.MethodPost {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(x.body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	b.Write(x.body)
	return b.Bytes()
}

func (x *exchange) attemptTerms(a *attempt) *protocol.AttemptTerms {
	terms := &protocol.AttemptTerms{EndpointID: a.endpoint.Name(), Deadline: x.deadline, LastEvent: x.lastEvent}
	if x.team != nil {
		terms.Team = x.team.Name
	}
	if x.service.Engine == nil {
		return terms
	}
	terms.HasPriority = true
	terms.Priority = x.urgency()
	terms.Path = stagesOf(&a.path)
	return terms
}

// stagesOf converts a path to the form that engines receive.
func stagesOf(p *path.Path) []protocol.PathStage {
	stages := make([]protocol.PathStage, p.Len())
	for i := range stages {
		stages[i] = protocol.PathStage{Address: p.Runner(i).Spec().Address, Layers: p.Span(i)}
	}
	return stages
}

// urgency ranks the request by team first, then by route.
func (x *exchange) urgency() int {
	rank := min(x.route.Priority, ranksPerTeam-1)
	if x.team != nil {
		rank += ranksPerTeam * x.team.Priority
	}
	return max(0, min(protocol.LeastUrgent, rank))
}

// stripHopHeaders removes the hop-by-hop headers.
func stripHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
