// SPDX-License-Identifier: Apache-2.0

package metric

import "pinerun.example/pinerun/protocol"

// AnswerName returns the name of an answer to an order to change a path, which is counted as
// "path_orders_by.NAME".
func AnswerName(a protocol.PathAnswer) string {
	switch a.(type) {
	case protocol.PathAccepted:
		return "taken"
	case protocol.PathUnknown:
		return "unknown"
	case protocol.PathStageUnavailable:
		return "unfit"
	case protocol.PathRefused:
		return "refused"
	default:
		return "unanswered"
	}
}

// CountPathAnswer counts an answer to an order to change a path.
func (s *Set) CountPathAnswer(a protocol.PathAnswer) {
	s.counters.Add("path_orders_by."+AnswerName(a), 1)
}
