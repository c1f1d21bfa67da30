// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"encoding/binary"
	"encoding/json"
	"net/http"
	"slices"
)

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func littleEndian(b []byte) uint64 { return binary.LittleEndian.Uint64(b) }

// sortByPriority sorts jobs by descending urgency and keeps the order of equal ones.
func sortByPriority(jobs []job) {
	slices.SortStableFunc(jobs, func(a, b job) int {
		return int(a.step.Priority) - int(b.step.Priority)
	})
}
