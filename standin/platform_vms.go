// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"time"

	"pinerun.example/pinerun/protocol"
)

func (p *Platform) serveVMs(w http.ResponseWriter, q *http.Request) {
	if !p.admit(w, q, p.reads, &p.calls.Reads) {
		return
	}
	writeJSON(w, p.visibleVMs(time.Now()))
}

func (p *Platform) visibleVMs(now time.Time) []protocol.VM {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	shown := map[string]protocol.VM{}
	for _, c := range p.vms {
		if !now.Before(c.visibleAt) {
			shown[c.vm.Name] = c.vm
		}
	}
	list := []protocol.VM{}
	for _, vm := range shown {
		list = append(list, vm)
	}
	slices.SortFunc(list, func(a, b protocol.VM) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (p *Platform) serveFaults(_ http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	slow, _ := time.ParseDuration(v.Get("slow"))
	lose, _ := strconv.Atoi(v.Get("lose_answer"))
	next, _ := strconv.Atoi(v.Get("lose_next"))
	p.SetFaults(Faults{Down: v.Get("down") == "true", Delay: slow, LoseWriteResponses: lose, LoseNextResponses: next})
	p.mutex.Lock()
	p.wakeWatches()
	p.mutex.Unlock()
}

// serveSetVM lets a test scenario mark a VM as leaving or as staying.
func (p *Platform) serveSetVM(_ http.ResponseWriter, q *http.Request) {
	v := q.URL.Query()
	p.SetVM(protocol.VM{Name: v.Get("name"), Leaving: v.Get("leaving") == "true"})
}
