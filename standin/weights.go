// SPDX-License-Identifier: Apache-2.0

package standin

import (
	"net/http"
	"strconv"

	"golang.org/x/time/rate"
)

// weightChunk is the number of bytes sent at a time.
const weightChunk = 64 << 10

// WeightStore is a stand-in weights store. It serves the requested number of bytes for any
// name, at a limited rate that all readers share.
type WeightStore struct {
	server
	BytesPerSecond int
	limit          *rate.Limiter
}

// Listen starts the store at an address.
func (s *WeightStore) Listen(address string) error {
	s.limit = rate.NewLimiter(rate.Limit(s.BytesPerSecond), weightChunk)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{layer}", s.serveWeights)
	return s.listen(address, mux)
}

func (s *WeightStore) serveWeights(w http.ResponseWriter, q *http.Request) {
	left, err := strconv.Atoi(q.URL.Query().Get("bytes"))
	if err != nil || left < 0 {
		http.Error(w, "bytes must be a whole number", http.StatusBadRequest)
		return
	}
	chunk := make([]byte, weightChunk)
	for left > 0 {
		n := min(left, weightChunk)
		if s.limit.WaitN(q.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}
