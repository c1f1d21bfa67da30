// SPDX-License-Identifier: Apache-2.0

package metric

// Ejection is why a runner was ejected for a while.
type Ejection string

// The reasons for ejecting a runner, each with a counter "runners_ejected_by.REASON". The
// first three apply after a stream went silent.
const (
	EjectedUnreported Ejection = "does_not_report" // it did not report its state
	EjectedStalled    Ejection = "requests_wait"   // another engine reports requests that wait for it
	EjectedUnanswered Ejection = "does_not_answer" // as EjectedStalled, and it did not answer a probe
	EjectedFailed     Ejection = "answer_failed"   // an answer of its own failed or was aborted
	EjectedLost       Ejection = "told_lost"       // entries agree that it is lost
	EjectedConnection Ejection = "connection_lost" // the connection to it broke or could not be opened
	EjectedSilent     Ejection = "silent"          // it answered neither a step nor any later one
	EjectedBadReply   Ejection = "bad_reply"       // it answered something that was not asked for
)

// Ejections returns all reasons.
func Ejections() []Ejection {
	return []Ejection{
		EjectedUnreported, EjectedStalled, EjectedUnanswered, EjectedFailed, EjectedLost,
		EjectedConnection, EjectedSilent, EjectedBadReply,
	}
}

// CountEjection counts the ejection of a runner, in total and by reason.
func (s *Set) CountEjection(reason Ejection) {
	s.Add(RunnersEjected, 1)
	s.counters.Add(string(RunnersEjected)+"_by."+string(reason), 1)
}

// CountOrder counts an order to hold layers, in total and by the name of its reason.
func (s *Set) CountOrder(reason string) {
	s.Add(OrdersGiven, 1)
	s.counters.Add(string(OrdersGiven)+"_by."+reason, 1)
}
